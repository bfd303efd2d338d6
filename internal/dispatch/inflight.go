package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// An inFlightRequest is one request from its arrival to its answer.
type inFlightRequest struct {
	dispatcher   *Dispatcher
	request      *Request
	route        *routing.Route
	latencyStats *pool.LatencyStats
	fingerprint  uint64
	parts        []*part
	// results has room for the results of all attempts, so that sending a result never
	// blocks. It holds pointers because most of the room stays empty.
	results chan *attemptResult
	// startedAt is when the request arrived. allowance is how much of the target is spent
	// outside this host. answerDueAt is when the answer must be sent to reach the caller
	// within the target. deadline is when the caller's or the route's timeout ends,
	// whichever is earlier.
	startedAt, answerDueAt, deadline time.Time
	allowance                        time.Duration
	// stopBegun is closed when the host begins to stop; nil once the request has taken notice of it.
	stopBegun <-chan struct{}
	// isCutByStop is set if deadline is when the stopping host has to answer.
	isCutByStop bool
	// queueWait is how long an attempt with a response has waited at its upstream, at most.
	queueWait time.Duration
	// stopEstimate is as of the last attempt that was due while the host stops.
	stopEstimate StopEstimate
	// attempts counts all attempts, including hedges and retries.
	attempts, hedges, retries int
	// hedgedAt is when the last hedge began; zero if there was none.
	hedgedAt time.Time
	// coldRefusals is the sum of those of the parts.
	coldRefusals int
	lastFailure  string
	// cancelAttempt holds the functions that give up the attempts.
	cancelAttempt map[*pool.Assignment]context.CancelFunc
	crashState
	waitState
}

type attemptResult struct {
	part       *part
	assignment *pool.Assignment
	outcome    upstream.Outcome
}

func newInFlightRequest(d *Dispatcher, request *Request, route *routing.Route) *inFlightRequest {
	now := request.ArrivedAt
	if now.IsZero() {
		now = time.Now()
	}
	remaining := route.Timeout()
	if request.Remaining > 0 && (remaining <= 0 || request.Remaining < remaining) {
		remaining = request.Remaining
	}
	f := &inFlightRequest{
		dispatcher: d, request: request, route: route, latencyStats: d.LatencyStats(route), fingerprint: request.Fingerprint(),
		startedAt: now, deadline: now.Add(remaining), allowance: d.allowance(request, d.timeSpent(now, request, route.Name(), route.Timeout())),
	}
	f.answerDueAt = now.Add(f.availableTime())
	f.stopBegun = d.stopBegun()
	f.limitToStop()
	for _, s := range route.NextServices() {
		f.parts = append(f.parts, newPart(s, d.Pool(s)))
	}
	f.results = make(chan *attemptResult, len(f.parts)*maxAttemptsPerPart)
	f.cancelAttempt = make(map[*pool.Assignment]context.CancelFunc)
	f.probeResults = make(chan probeResult, maxSilenceProbes)
	f.initWaiting()
	return f
}

// availableTime returns how much of the target this host may use. If that is less than an
// attempt takes, the answer will be late in any case, and the host waits for more parts.
func (f *inFlightRequest) availableTime() time.Duration {
	available := f.route.LatencyTarget() - f.allowance
	if typical := f.latencyStats.TypicalLatency(); available < typical {
		return 2 * typical
	}
	return available
}

func (f *inFlightRequest) run(ctx context.Context) Answer {
	attemptsCtx, cancel := context.WithCancel(f.dispatcher.stopContext())
	defer func() { f.cancelUnneeded(ctx, cancel) }()
	defer func() { f.finishWaiting(ctx.Err() != nil) }()
	defer unassign(f.parts)
	for _, p := range f.parts {
		p.pool.RecordRequest(f.startedAt)
		p.needsAttempt = true
	}
	f.recordEarned()
	if answer, ended := f.checkVerdict(ctx, attemptsCtx); ended {
		return answer
	}
	defer func() { f.reportCrashes(ctx) }()
	if answer, ended := f.runCanary(ctx, attemptsCtx); ended {
		return answer
	}
	timer := time.NewTimer(time.Until(f.deadline))
	defer timer.Stop()
	linksChanged := f.dispatcher.Links.Changed()
	disconnected, hasCallerLeft := ctx.Done(), false
	for {
		now := time.Now()
		if hasCallerLeft {
			f.abandonUnstarted(ReasonFailed)
		} else {
			f.startDueAttempts(attemptsCtx, now)
		}
		if answer, ok := f.tryAnswer(now); ok {
			f.recordKnown(answer)
			return answer
		}
		if slices.ContainsFunc(f.parts, (*part).isAssigned) {
			// tryAnswer has resumed parts.
			continue
		}
		timer.Reset(f.nextWakeAt(now).Sub(now))
		select {
		case result := <-f.results:
			f.handleResult(result)
			f.drainResults()
		case result := <-f.probeResults:
			f.handleProbeResult(result)
		case <-linksChanged:
			linksChanged = f.dispatcher.Links.Changed()
			f.handleLinkChange()
		case <-f.stopBegun:
			f.limitToStop()
		case <-f.wake:
		case <-timer.C:
		case <-disconnected:
			if f.route.Idempotent() || f.runningCount() == 0 {
				return f.callerLeftAnswer()
			}
			// The attempts continue in any case, and the caller may have closed only its sending side.
			disconnected, hasCallerLeft = nil, true
		}
	}
}

// drainResults handles all results that are already in the channel.
func (f *inFlightRequest) drainResults() {
	for {
		select {
		case result := <-f.results:
			f.handleResult(result)
		default:
			return
		}
	}
}

// cancelUnneeded cancels the attempts that are no longer needed: at once if the caller
// has disconnected, otherwise after unneededGracePeriod, in which most of them end by
// themselves. Attempts of a request that must not run twice continue until the deadline.
func (f *inFlightRequest) cancelUnneeded(ctx context.Context, cancel context.CancelFunc) {
	switch {
	case f.runningCount() == 0 || (ctx.Err() != nil && f.route.Idempotent()):
		cancel()
	case f.route.Idempotent():
		time.AfterFunc(unneededGracePeriod, cancel)
	default:
		time.AfterFunc(time.Until(f.deadline), cancel)
	}
}

// runningCount returns the number of attempts in flight.
func (f *inFlightRequest) runningCount() int {
	running := 0
	for _, p := range f.parts {
		running += p.running
	}
	return running
}

// runAttempt runs an attempt and sends its result. It refunds an extra attempt that reached no
// upstream to the budget of the pool, also if the request has ended. Each call has its own goroutine.
func (f *inFlightRequest) runAttempt(ctx context.Context, p *part, assignment *pool.Assignment, a *upstream.Attempt, isExtra bool) {
	outcome := f.dispatcher.RunAttempt(ctx, p.pool, assignment, a)
	if isExtra && !f.mayHaveArrived(outcome) {
		f.refundExtra(time.Now(), assignment.StartedAt(), p)
	}
	f.dispatcher.waiting.notify(p.service)
	f.results <- &attemptResult{part: p, assignment: assignment, outcome: outcome}
}

// handleResult updates the part of an attempt that has ended, and the last failure.
func (f *inFlightRequest) handleResult(result *attemptResult) {
	p := result.part
	p.running--
	f.cancelAttempt[result.assignment]()
	delete(f.cancelAttempt, result.assignment)
	f.recordAttemptEnd(result)
	if result.outcome.Result != upstream.Aborted {
		// The attempt was not lost: it was never sent, or the response came in time.
		p.endWriteOff(result.assignment)
	}
	if result.outcome.Err != nil {
		f.lastFailure = result.outcome.Err.Error()
	}
	if result.outcome.ForwardedTo != "" {
		p.tried = append(p.tried, result.outcome.ForwardedTo)
	}
	if !f.mayHaveArrived(result.outcome) {
		p.arrived--
	}
	switch result.outcome.Result {
	case upstream.Answered:
		f.queueWait = max(f.queueWait, result.assignment.Wait())
		f.handleResponse(p, result.outcome.Response)
	case upstream.Refused, upstream.Misdirected:
		p.ran--
		if result.outcome.NoRoute {
			p.noRouteAt = time.Now()
		}
		if result.outcome.NotForwarded {
			f.recordColdRefusal(result)
			break
		}
		f.lastFailure = fmt.Sprintf("upstream refused the attempt with status %d", result.outcome.Response.Status)
	case upstream.Unreachable:
		p.ran--
		f.undoTry(result)
		f.recordColdRefusal(result)
	}
	p.needsAttempt = !p.isDone() && p.running == 0
}

// mayHaveArrived reports whether an attempt may have reached an upstream.
func (f *inFlightRequest) mayHaveArrived(o upstream.Outcome) bool {
	switch o.Result {
	case upstream.Refused, upstream.Misdirected:
		return !o.NotForwarded
	case upstream.Unreachable:
		return false
	case upstream.Broken, upstream.Aborted:
		return !o.LinkLost || !f.route.Idempotent()
	default:
		return true
	}
}

// undoTry allows other hosts to send the attempt to its upstream: this host has not. This host
// itself does not, as long as the upstream is down for it.
func (f *inFlightRequest) undoTry(result *attemptResult) {
	p, u := result.part, result.assignment.Upstream
	if i := slices.Index(p.tried, u.ID()); i >= 0 && !u.IsDiallingHost() {
		p.tried = slices.Delete(p.tried, i, i+1)
	}
}

// handleResponse makes a final response the response of its part, unless the part
// already has one. A response is final if it is a success or, on a route that does not
// gather, if its status is below 500 and does not imply that the request was not run.
// Other responses are failures.
func (f *inFlightRequest) handleResponse(p *part, r upstream.Response) {
	isSuccess := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	isFinal := isSuccess || (!f.route.Gathers() && r.Status < http.StatusInternalServerError && !impliesNotRun(r.Status))
	if isFinal && p.response == nil {
		p.response = &r
		return
	}
	if isFinal {
		return
	}
	f.lastFailure = fmt.Sprintf("upstream responded with status %d", r.Status)
	if !impliesNotRun(r.Status) {
		p.failureResponse = &r
	}
}

// impliesNotRun reports whether callers take a status as a guarantee that the request
// was not run. A response with such a status must not be forwarded to the caller,
// because its upstream may have run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// nextWakeAt returns the next time at which an attempt, a hedge or the answer may be
// due, if no result arrives earlier.
func (f *inFlightRequest) nextWakeAt(now time.Time) time.Time {
	wakeAt := f.deadline
	consider := func(t time.Time) {
		if t.After(now) && t.Before(wakeAt) {
			wakeAt = t
		}
	}
	consider(f.answerDueAt)
	consider(f.startBy())
	consider(f.hedgedAt.Add(unansweredHedgeInterval))
	for _, p := range f.parts {
		switch {
		case p.isDone():
		case p.needsAttempt:
			consider(now.Add(placementRetryInterval))
		case f.silenceProbed && f.holdsBackHedges():
		case p.running == 1, f.holdsBackHedges():
			consider(p.hedgeAt)
		}
	}
	return wakeAt
}
