package dispatch

// This file decides what a request does while it may be one that crashes the upstreams
// that run it: it makes no further attempts while no upstream has responded, finds out
// whether upstreams have ended, and makes test runs of suspect requests.

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// maxUnansweredAttempts is how many attempts may be in flight or have lost their
	// upstream, while no upstream has responded to the request, before further attempts
	// wait for a response.
	maxUnansweredAttempts = 2
	// unansweredHedgeInterval is the time between two hedges of a request to which no upstream has
	// responded. It is longer than it takes to find out that an upstream has ended.
	unansweredHedgeInterval = 50 * time.Millisecond
	// endCheckTimeout bounds the check of an upstream after a lost connection, which delays
	// the next attempt. An upstream that has ended refuses connections in a round trip.
	endCheckTimeout = 80 * time.Millisecond
	// maxSilenceProbes is how many upstreams are probed for one request.
	maxSilenceProbes = 3
	// maxAlertProbes is how many are probed for one that has raised a crash alert. It has probably
	// ended them all, and other hosts must not use them.
	maxAlertProbes = 64
	// testRunTimeout bounds the test run of an idempotent request.
	testRunTimeout = 2 * time.Second
	// maxTestRunTries is how many upstreams are tried until one can be reached.
	maxTestRunTries = 6
	// maxTestRunRetryDelay is the longest RetryAfter during the test run of a request.
	// Most test runs end much earlier than they must.
	maxTestRunRetryDelay = time.Second
)

// A CrashGuard keeps requests that crash upstreams from running. It is safe for
// concurrent use.
type CrashGuard interface {
	// Check returns the verdict on a request.
	Check(fingerprint uint64) quarantine.Verdict
	// BeginTestRun asks for permission for a test run of a suspect request. It is granted if
	// the decision is Suspect; end must then be called once. The decision is Allowed if
	// the request turns out not to be suspect.
	BeginTestRun(ctx context.Context, fingerprint uint64) (v quarantine.Verdict, end func(quarantine.TestResult))
	// RecordAnswers records that upstreams of services responded to a request.
	RecordAnswers(fingerprint uint64, services []string)
	// RecordCrashes records upstreams that ended while they ran requests.
	RecordCrashes(crashes []pool.Crash)
}

// crashState is what a request knows of crashes during its attempts.
type crashState struct {
	// verdict is the last verdict on the request.
	verdict quarantine.Verdict
	// isTesting is set during a test run.
	isTesting bool
	// hasResponse is set once any upstream has responded, also with a failure.
	hasResponse bool
	// endedUpstreams counts the attempts whose upstream has ended.
	endedUpstreams int
	// silenceProbed is set once upstreams were probed because none had responded, and
	// isUpstreamAlive once one of them is known to work.
	silenceProbed, isUpstreamAlive bool
	// hasRaisedAlert is set once the request has raised a crash alert.
	hasRaisedAlert bool
	// hasPassedCanary is set once the request may go to all shards after its canary.
	hasPassedCanary bool
	probeResults    chan probeResult
}

// A probeResult says whether the upstream of an attempt in flight has ended.
type probeResult struct {
	part       *part
	assignment *pool.Assignment
	ended      bool
}

// checkVerdict refuses a quarantined request and makes the test run of a suspect one. It
// returns the answer and true if the request ends with that.
func (f *inFlightRequest) checkVerdict(ctx, attemptsCtx context.Context) (Answer, bool) {
	f.verdict = f.dispatcher.Guard.Check(f.fingerprint)
	if f.verdict.Decision == quarantine.Allowed {
		return Answer{}, false
	}
	if f.verdict.Decision == quarantine.Quarantined {
		return barredAnswer(f.verdict), true
	}
	verdict, end := f.dispatcher.Guard.BeginTestRun(ctx, f.fingerprint)
	switch {
	case verdict.Decision == quarantine.Suspect && ctx.Err() != nil:
		end(quarantine.TestNotRun)
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonCallerDisconnected}, true
	case verdict.Decision == quarantine.Suspect:
		return f.runTest(ctx, attemptsCtx, verdict, end)
	}
	return barredAnswer(verdict), verdict.Decision != quarantine.Allowed
}

// barredAnswer returns the answer to a request that must not run now.
func barredAnswer(v quarantine.Verdict) Answer {
	answer := Answer{Status: http.StatusServiceUnavailable, Reason: ReasonQuarantined, RetryAfter: v.Wait}
	if v.Decision == quarantine.AwaitingTest {
		answer.Reason, answer.RetryAfter = ReasonAwaitingTest, min(v.Wait, maxTestRunRetryDelay)
	}
	return answer
}

// runTest makes a test run: one attempt at one upstream, over a new connection, so that
// the upstream is known to work when the attempt begins. If the upstream responds, the
// request goes on and the response is used. Otherwise runTest returns the answer and true.
func (f *inFlightRequest) runTest(ctx, attemptsCtx context.Context, v quarantine.Verdict, end func(quarantine.TestResult)) (Answer, bool) {
	f.isTesting = true
	hasRun := false
	for range maxTestRunTries {
		p, assignment := f.assignTest(v.Service)
		if assignment == nil {
			break
		}
		f.send(attemptsCtx, time.Now(), p, assignment, false)
		p.needsAttempt = false
		f.awaitTest(ctx, p)
		hasRun = p.ran > 0
		// An upstream that cannot be reached says nothing about the request.
		if hasRun || p.arrived > 0 || ctx.Err() != nil {
			break
		}
	}
	switch {
	case f.hasResponse:
		f.isTesting = false
		end(quarantine.TestAnswered)
		return Answer{}, false
	case !hasRun:
		end(quarantine.TestNotRun)
		return f.failureAnswer(ReasonBusy), true
	}
	f.reportCrashes(ctx)
	end(quarantine.TestUnanswered)
	if ctx.Err() != nil {
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonCallerDisconnected}, true
	}
	return f.failureAnswer(ReasonCrashSuspected), true
}

// assignTest assigns the test run to an upstream, of the service with this key if one of
// its upstreams accepts it, or to a detour if this host reaches no upstream. It returns a nil
// assignment if none accepts it.
func (f *inFlightRequest) assignTest(service uint64) (*part, *pool.Assignment) {
	now := time.Now()
	if f.isAlerted() {
		// Crashing requests are frequent, so that test runs spare the last upstreams as well.
		if _, reserved := f.canaryParts(now); 2*reserved > len(f.parts) {
			return nil, nil
		}
		p, assignment, _ := f.assignCanary()
		return p, assignment
	}
	parts := slices.Clone(f.parts)
	if i := slices.IndexFunc(parts, func(p *part) bool { return ServiceKey(p.service) == service }); i > 0 {
		parts[0], parts[i] = parts[i], parts[0]
	}
	for _, p := range parts {
		requirements := f.requirements(p, 0)
		requirements.DirectOnly = !f.dispatcher.Links.IsPartitioned()
		if assignment := p.pool.Assign(now, requirements); assignment != nil {
			return p, assignment
		}
	}
	return nil, nil
}

// awaitTest waits until the test run of a part has ended, its upstream is known to have
// ended, or the caller has disconnected.
func (f *inFlightRequest) awaitTest(ctx context.Context, p *part) {
	timer := time.NewTimer(time.Until(f.answerDueAt))
	defer timer.Stop()
	for p.running > 0 && f.endedUpstreams == 0 {
		select {
		case result := <-f.results:
			f.handleResult(result)
		case result := <-f.probeResults:
			f.handleProbeResult(result)
		case now := <-timer.C:
			f.probeSilentUpstreams(now)
		case <-ctx.Done():
			return
		}
	}
}

// isBarred reports whether the request may make no further attempts, because of evidence
// that has arrived since it began.
func (f *inFlightRequest) isBarred() bool {
	f.verdict = f.dispatcher.Guard.Check(f.fingerprint)
	return f.verdict.Decision != quarantine.Allowed
}

// abandonUnstarted abandons all parts without an attempt in flight, and makes no more
// hedges.
func (f *inFlightRequest) abandonUnstarted() {
	for _, p := range f.parts {
		if p.isAssigned() {
			p.pool.Unassign(p.assignment)
			p.assignment = nil
		}
		if !p.isDone() && p.needsAttempt {
			p.abandon(ReasonQuarantined)
		}
		p.hedgeAt = f.deadline
	}
}

// holdsBackAttempts reports whether a request makes no further attempts for now, because
// an upstream has ended and none has responded.
func (f *inFlightRequest) holdsBackAttempts() bool {
	return f.endedUpstreams > 0 && f.lacksResponses()
}

// holdsBackHedges reports whether a request makes no hedges for now, because no upstream
// has responded, and none is known to work or another hedge has just begun. A search that crashes
// upstreams would otherwise take a second replica of every shard before the first end is known.
func (f *inFlightRequest) holdsBackHedges() bool {
	isDoubtful := !f.isUpstreamAlive || f.lostConnectionCount() >= maxUnansweredAttempts || time.Since(f.hedgedAt) < unansweredHedgeInterval
	return isDoubtful && f.lacksResponses() && !f.dispatcher.Links.IsPartitioned()
}

// lostConnectionCount returns the number of attempts in flight whose connection is lost. Whether
// their upstreams have ended is being found out.
func (f *inFlightRequest) lostConnectionCount() int {
	count := 0
	for _, p := range f.parts {
		for _, a := range p.inFlight {
			if a.IsConnectionLost() {
				count++
			}
		}
	}
	return count
}

// lacksResponses reports whether several attempts are in flight or have lost their
// upstream, and no upstream has responded.
func (f *inFlightRequest) lacksResponses() bool {
	return !f.hasResponse && f.endedUpstreams+f.inFlightCount() >= maxUnansweredAttempts
}

// inFlightCount returns the number of attempts in flight, without those whose upstream is
// known to have ended.
func (f *inFlightRequest) inFlightCount() int {
	count := 0
	for _, p := range f.parts {
		count += len(p.inFlight)
	}
	return count
}

// unansweredCount returns the number of attempts without a response whose upstream is not
// known to have ended.
func (f *inFlightRequest) unansweredCount() int {
	count := f.inFlightCount()
	for _, p := range f.parts {
		count += len(p.unanswered)
	}
	return count
}

// recordAttemptEnd records what the end of an attempt tells of its upstream.
func (f *inFlightRequest) recordAttemptEnd(result attemptResult) {
	p := result.part
	i := slices.Index(p.inFlight, result.assignment)
	if i < 0 {
		// A probe has shown earlier that the upstream had ended.
		return
	}
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	switch {
	case result.outcome.Result == upstream.Answered:
		f.hasResponse = true
	case result.outcome.UpstreamEnded:
		f.recordCrash(p, result.assignment)
	case result.outcome.LinkLost:
	case result.outcome.Result == upstream.Broken, result.outcome.Result == upstream.Aborted:
		p.unanswered = append(p.unanswered, result.assignment)
	}
}

// recordCrash records that the upstream of an attempt has ended. The host that relayed the
// attempt reports crashes of its upstreams itself.
func (f *inFlightRequest) recordCrash(p *part, assignment *pool.Assignment) {
	f.endedUpstreams++
	p.hasLostUpstream = true
	f.raiseAlert()
	if assignment.Upstream.IsDiallingHost() {
		return
	}
	p.crashes = append(p.crashes, pool.Crash{Upstream: assignment.Upstream, Fingerprint: f.fingerprint, TestRun: f.isTesting})
}

// probeSilentUpstreams finds out, once, whether upstreams with an attempt in flight still
// work, if none has responded to the request. Those that have just responded to another
// request do; otherwise some are probed.
func (f *inFlightRequest) probeSilentUpstreams(now time.Time) {
	if f.silenceProbed || f.hasResponse {
		return
	}
	f.silenceProbed = true
	var candidates []probeResult
	for _, p := range f.parts {
		for _, a := range p.inFlight {
			if a.IsConnectionLost() {
				// Its upstream is being checked. That it has just responded does not show that it
				// still works.
				continue
			}
			if p.pool.IsUpstreamResponding(now, a) {
				f.isUpstreamAlive = true
				return
			}
			if !a.Upstream.IsDiallingHost() {
				candidates = append(candidates, probeResult{part: p, assignment: a})
			}
		}
	}
	// Upstreams behind dialling hosts cannot be probed, so that hedges to them do not wait.
	f.isUpstreamAlive = len(candidates) == 0 && f.lostConnectionCount() == 0
	f.silenceProbed = len(candidates) > 0 || f.isUpstreamAlive
	for _, r := range candidates[:min(maxSilenceProbes, len(candidates))] {
		f.dispatcher.Group.Go(func() {
			since := now.Add(-now.Sub(r.assignment.StartedAt()) / 2)
			r.ended = f.dispatcher.Links.CheckUpstream(context.Background(), r.assignment.Upstream, since) == reachability.Ended
			f.probeResults <- r
		})
	}
}

// handleProbeResult handles the result of a probe of a silent upstream. If its attempt was
// the only one, another upstream is asked; if all probed upstreams have ended, the request
// is given up.
func (f *inFlightRequest) handleProbeResult(result probeResult) {
	p := result.part
	f.isUpstreamAlive = f.isUpstreamAlive || !result.ended
	i := slices.Index(p.inFlight, result.assignment)
	if !result.ended || i < 0 {
		return
	}
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	f.recordCrash(p, result.assignment)
	p.hedgeAt = time.Now()
	if f.hasResponse || f.endedUpstreams < max(maxUnansweredAttempts, min(maxSilenceProbes, f.attempts)) {
		return
	}
	for _, p := range f.parts {
		if !p.isDone() {
			p.abandon(ReasonCrashSuspected)
		}
	}
}

// reportCrashes reports the services that responded to the request, and the attempts
// without a response at the others. If nothing responded at all, it probes upstreams that
// may have ended. If the caller has disconnected, it probes only those that are overdue.
func (f *inFlightRequest) reportCrashes(ctx context.Context) {
	now := time.Now()
	hasCallerLeft := ctx.Err() != nil && !f.isTesting
	var answered []string
	var crashes []pool.Crash
	var unresolved []unresolvedAttempt
	for _, p := range f.parts {
		if p.response != nil || p.failureResponse != nil {
			answered = append(answered, p.service)
			continue
		}
		crashes = append(crashes, p.crashes...)
		for _, a := range slices.Concat(p.unanswered, p.inFlight) {
			if f.dispatcher.Links.IsPartitioned() && !f.dispatcher.Links.AllowsConnection(a.Upstream.LifetimeKey()) {
				continue
			}
			crashes = append(crashes, p.pool.RecordUnanswered(now, a, f.isTesting)...)
			if !a.Upstream.IsDiallingHost() && (!hasCallerLeft || f.isOverdue(now, p, a)) {
				unresolved = append(unresolved, unresolvedAttempt{pool: p.pool, assignment: a})
			}
		}
	}
	f.dispatcher.Guard.RecordAnswers(f.fingerprint, answered)
	if len(crashes) > 0 {
		f.dispatcher.Guard.RecordCrashes(crashes)
	}
	if f.hasResponse {
		return
	}
	limit := maxSilenceProbes
	if f.hasRaisedAlert {
		limit = maxAlertProbes
	}
	for _, u := range unresolved[:min(limit, len(unresolved))] {
		f.dispatcher.CheckUnanswered(u.pool, u.assignment.Upstream, now)
	}
}

// isOverdue reports whether the upstream of an attempt should have responded by now, and has
// not responded to other attempts either.
func (f *inFlightRequest) isOverdue(now time.Time, p *part, a *pool.Assignment) bool {
	return now.Sub(a.StartedAt()) > f.latencyStats.HedgeDelay(p.pool.RemainingExtraRatio(now)) && !p.pool.IsUpstreamResponding(now, a)
}

// An unresolvedAttempt is an attempt without a response whose upstream may have ended.
type unresolvedAttempt struct {
	pool       *pool.Pool
	assignment *pool.Assignment
}

// hasEnded reports whether an upstream that has just closed a connection no longer runs.
func (d *Dispatcher) hasEnded(u inventory.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	return d.Links.CheckUpstream(ctx, u, time.Now()) == reachability.Ended
}

// CheckUnanswered reports the attempts without a response at an upstream if it has ended.
func (d *Dispatcher) CheckUnanswered(p *pool.Pool, u inventory.Upstream, since time.Time) {
	d.Group.Go(func() {
		if d.Links.CheckUpstream(context.Background(), u, since) != reachability.Ended {
			return
		}
		if crashes := p.RecordEnd(time.Now(), u); len(crashes) > 0 {
			d.Guard.RecordCrashes(crashes)
		}
	})
}

// ServiceKey identifies a service in evidence against requests.
func ServiceKey(service string) uint64 { return xxhash.Sum64String(service) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
