package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// A flight is one request under way.
type flight struct {
	dispatcher  *Dispatcher
	request     *Request
	route       *routing.Route
	class       *pool.LatencyStats
	fingerprint uint64
	parts       []*part
	// ended has room for the ends of all attempts, so that none waits.
	ended chan ended
	// started is when the request came in, due when an answer must be under
	// way to be on time, end when nobody waits any more.
	started, due, end time.Time
	// attempts, late and retried count all attempts and the extra ones.
	attempts, late, retried int
	lastFailure             string
}

type ended struct {
	part   *part
	ending upstream.Outcome
	extra  bool
}

func newFlight(d *Dispatcher, request *Request, route *routing.Route) *flight {
	now := time.Now()
	left := route.Timeout()
	if request.Remaining > 0 && (left <= 0 || request.Remaining < left) {
		left = request.Remaining
	}
	f := &flight{
		dispatcher: d, request: request, route: route, class: d.LatencyStats(route), fingerprint: request.fingerprint(),
		started: now, due: now.Add(route.LatencyTarget() - d.allowance(request)), end: now.Add(left),
	}
	for _, s := range route.NextServices() {
		f.parts = append(f.parts, &part{service: s, pool: d.Pool(s), since: now})
	}
	f.ended = make(chan ended, len(f.parts)*maxSends)
	return f
}

func (f *flight) run(ctx context.Context) Answer {
	if left := f.dispatcher.BlockedFor(f.fingerprint); left > 0 {
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonQuarantined, RetryAfter: left}
	}
	attemptsCtx, cancel := context.WithCancel(context.Background())
	defer func() { f.finishLosers(ctx, cancel) }()
	for _, p := range f.parts {
		p.pool.RecordRequest(f.started)
		p.wanted = true
	}
	f.spareLateParts()
	timer := time.NewTimer(time.Until(f.end))
	defer timer.Stop()
	for {
		now := time.Now()
		f.place(attemptsCtx, now)
		if answer, ok := f.conclude(now); ok {
			return answer
		}
		timer.Reset(f.nextWake(now).Sub(now))
		select {
		case e := <-f.ended:
			f.attemptEnded(e)
			f.drainEnded()
		case <-timer.C:
		case <-ctx.Done():
			return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonCallerDisconnected}
		}
	}
}

// drainEnded takes all ends that are there already.
func (f *flight) drainEnded() {
	for {
		select {
		case e := <-f.ended:
			f.attemptEnded(e)
		default:
			return
		}
	}
}

// finishLosers ends the attempts that are not needed any more: at once if the
// caller has gone, else after a while in which most end by themselves. What must
// not run twice is not cut off.
func (f *flight) finishLosers(ctx context.Context, cancel context.CancelFunc) {
	running := 0
	for _, p := range f.parts {
		running += p.running
	}
	switch {
	case running == 0 || (ctx.Err() != nil && f.route.Idempotent()):
		cancel()
	case f.route.Idempotent():
		time.AfterFunc(loserTime, cancel)
	default:
		time.AfterFunc(time.Until(f.end), cancel)
	}
}

// attempt runs in a goroutine of its own.
func (f *flight) attempt(ctx context.Context, p *part, pick *pool.Assignment, a *upstream.Attempt, extra bool) {
	f.ended <- ended{part: p, ending: f.dispatcher.RunAttempt(ctx, p.pool, pick, a), extra: extra}
}

// attemptEnded takes the end of an attempt.
func (f *flight) attemptEnded(e ended) {
	p := e.part
	p.running--
	if e.ending.Err != nil {
		f.lastFailure = e.ending.Err.Error()
	}
	if e.ending.ForwardedTo != "" {
		p.tried = append(p.tried, e.ending.ForwardedTo)
	}
	switch e.ending.Result {
	case upstream.Answered:
		f.answered(p, e.ending.Response)
	case upstream.Refused, upstream.Misdirected:
		p.ran--
		if e.ending.NotForwarded {
			f.neverArrived(e)
			break
		}
		f.lastFailure = fmt.Sprintf("refused with status %d", e.ending.Response.Status)
	case upstream.Unreachable:
		p.ran--
		f.neverArrived(e)
	case upstream.Broken, upstream.Aborted:
	}
	p.wanted = !p.settled() && p.running == 0
}

// neverArrived takes back what an attempt cost that reached no upstream.
func (f *flight) neverArrived(e ended) {
	e.part.arrived--
	if e.extra {
		e.part.pool.Refund(time.Now())
	}
}

func (f *flight) answered(p *part, r upstream.Response) {
	good := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	final := good || (!f.route.Gathers() && r.Status < http.StatusInternalServerError && !saysNotRun(r.Status))
	if final && p.answer == nil {
		p.answer = &r
		return
	}
	if final {
		return
	}
	f.lastFailure = fmt.Sprintf("upstream answered with status %d", r.Status)
	if !saysNotRun(r.Status) {
		p.failure = &r
	}
}

// saysNotRun reports whether callers take a status for the promise that the
// request was not run. An upstream that has run it may not give that promise.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// nextWake returns when something may be due without an event.
func (f *flight) nextWake(now time.Time) time.Time {
	wake := f.end
	consider := func(t time.Time) {
		if t.After(now) && t.Before(wake) {
			wake = t
		}
	}
	consider(f.due)
	for _, p := range f.parts {
		switch {
		case p.settled():
		case p.wanted:
			consider(now.Add(askAgain))
		case p.running == 1:
			consider(p.lateAt)
		}
	}
	return wake
}
