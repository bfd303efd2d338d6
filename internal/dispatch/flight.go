package dispatch

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// A flight is one request under way.
type flight struct {
	dispatcher  *Dispatcher
	request     *Request
	route       *routing.Route
	class       *pool.Class
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
	ending upstream.Ending
	extra  bool
}

// spareSteepness is how steeply the share of the requests that wait for a busy
// part falls with its outlook: steep enough that the rest is on time again.
const spareSteepness = 6

// maxSends bounds the attempts of one part, of which only some may run.
const maxSends = 6

func newFlight(d *Dispatcher, request *Request, route *routing.Route) *flight {
	now := time.Now()
	left := route.Timeout()
	if request.Left > 0 && (left <= 0 || request.Left < left) {
		left = request.Left
	}
	f := &flight{
		dispatcher: d, request: request, route: route, class: d.Class(route), fingerprint: request.fingerprint(),
		started: now, due: now.Add(route.Target() - d.CallerAllowance), end: now.Add(left),
	}
	for _, s := range route.Next() {
		f.parts = append(f.parts, &part{service: s, pool: d.Pool(s)})
	}
	f.ended = make(chan ended, len(f.parts)*maxSends)
	return f
}

func (f *flight) run(ctx context.Context) Answer {
	if left := f.dispatcher.Blocked(f.fingerprint); left > 0 {
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonQuarantined, RetryAfter: left}
	}
	attemptsCtx, cancel := context.WithCancel(context.Background())
	defer func() { f.finishLosers(ctx, cancel) }()
	for _, p := range f.parts {
		p.pool.Earn(f.started)
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
			return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonCallerGone}
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

// place starts the attempts that are due.
func (f *flight) place(ctx context.Context, now time.Time) {
	if f.attempts == 0 && f.route.Gathers() && !f.enoughFree(now) {
		return
	}
	for _, p := range f.parts {
		switch {
		case p.settled():
		case p.wanted:
			f.placeWanted(ctx, now, p)
		case p.running == 1 && !now.Before(p.lateAt):
			f.placeLate(ctx, now, p)
		}
	}
}

// enoughFree reports whether so many parts can start now that there may be an
// answer. Until then none starts: the work of the others would be lost. After a
// while, parts without a free upstream are given up, and the request with them.
func (f *flight) enoughFree(now time.Time) bool {
	free := 0
	var busy, spared []*part
	for _, p := range f.parts {
		switch {
		case p.reason == ReasonLate && p.pool.Free(now, f.class):
			spared = append(spared, p)
		case p.settled():
		case p.pool.Free(now, f.class):
			free++
		default:
			busy = append(busy, p)
		}
	}
	// A late part is better than no answer.
	for ; free < f.route.MinParts() && free+len(spared) >= f.route.MinParts(); free++ {
		spared[0].reason, spared[0].wanted = ReasonNone, true
		spared = spared[1:]
	}
	if free >= f.route.MinParts() {
		return true
	}
	for _, p := range busy {
		if reason := f.hopeless(now, p); reason != ReasonNone {
			p.giveUp(reason)
		}
	}
	return false
}

// placeWanted starts an attempt of a part that has none under way.
func (f *flight) placeWanted(ctx context.Context, now time.Time, p *part) {
	if reason := f.hopeless(now, p); reason != ReasonNone {
		p.giveUp(reason)
		return
	}
	extra := p.arrived > 0
	started := (!extra || p.pool.SpendRetry(now)) && f.startOrRefund(ctx, now, p, extra, 0)
	switch {
	case started:
		p.wanted = false
	case p.sent > 0 && now.After(f.due):
		p.giveUp(ReasonFailed)
	}
	if started && extra {
		f.retried++
	}
}

// spareLateParts leaves out parts whose upstreams are so busy that they would be
// late, as far as the answer can do without them: work that is late anyway makes
// the next ones late. The more they are late, the more requests leave them out.
// It answers a load that some shards can not carry.
func (f *flight) spareLateParts() {
	spare := len(f.parts) - f.route.MinParts()
	if !f.route.Gathers() || spare <= 0 {
		return
	}
	within := f.due.Sub(f.started)
	draw := f.draw()
	for i := range f.parts {
		// Requests begin at different parts, so that none is always left out.
		p := f.parts[(i+int(draw*float64(len(f.parts))))%len(f.parts)]
		outlook := p.pool.Outlook(f.started, f.class)
		if outlook <= within || draw < math.Pow(float64(within)/float64(outlook), spareSteepness) {
			continue
		}
		p.giveUp(ReasonLate)
		if spare--; spare == 0 {
			return
		}
	}
}

// draw returns a number from 0 to 1 that differs from request to request.
func (f *flight) draw() float64 {
	const fraction = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%fraction) / fraction
}

// startOrRefund is start, but gives the extra attempt back if there was no
// upstream for it.
func (f *flight) startOrRefund(ctx context.Context, now time.Time, p *part, extra bool, within time.Duration) bool {
	if f.start(ctx, now, p, extra, within) {
		return true
	}
	if extra {
		p.pool.Refund(now)
	}
	return false
}

// hopeless says why a part without an attempt under way gets none any more.
func (f *flight) hopeless(now time.Time, p *part) Reason {
	switch {
	case p.ran > 0 && !f.route.Idempotent(), p.ran >= f.route.Attempts(), p.sent >= maxSends:
		return ReasonFailed
	case !p.pool.Known(now):
		return ReasonNoUpstream
	case p.sent == 0 && now.Sub(f.started) > time.Duration(waitShare*float64(f.route.Target())):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// placeLate asks another upstream as well.
func (f *flight) placeLate(ctx context.Context, now time.Time, p *part) {
	if !f.route.Idempotent() || p.ran >= f.route.Attempts() || p.sent >= maxSends {
		p.lateAt = f.end
		return
	}
	p.lateAt = now.Add(askAgain)
	// Before the answer is due, asking one that would be late is of no use.
	within := max(0, f.due.Sub(now))
	if p.pool.SpendLate(now) && f.startOrRefund(ctx, now, p, true, within) {
		f.late++
	}
}

// start gives an attempt of a part to an upstream; it reports whether there was
// one.
func (f *flight) start(ctx context.Context, now time.Time, p *part, extra bool, within time.Duration) bool {
	pick := p.pool.Choose(now, f.class, f.fingerprint, p.tried, within)
	if pick == nil {
		return false
	}
	p.tried = append(p.tried, pick.Upstream.ID())
	p.sent++
	p.ran++
	p.arrived++
	p.running++
	p.lateAt = now.Add(f.class.LateAfter(p.pool.ExtraFill(now)))
	f.attempts++
	attempt := &upstream.Attempt{
		Method: f.request.Method, Target: f.request.Target, Host: f.request.Host, Header: f.request.Header,
		Body: f.request.Body, RequestID: f.request.ID, UpstreamID: pick.Upstream.ID(), Address: pick.Upstream.Address(),
		Deadline: f.end, Fresh: !f.route.Idempotent(),
	}
	started := f.dispatcher.Group.Go(func() { f.attempt(ctx, p, pick, attempt, extra) })
	if !started {
		f.ended <- ended{part: p, ending: upstream.Ending{Result: upstream.Unreachable}, extra: extra}
	}
	return true
}

// attempt runs in a goroutine of its own.
func (f *flight) attempt(ctx context.Context, p *part, pick *pool.Pick, a *upstream.Attempt, extra bool) {
	e := f.dispatcher.Exchanger.Exchange(ctx, a)
	if crash := p.pool.Done(time.Now(), pick, e); crash != nil {
		f.dispatcher.OnCrash(*crash)
	}
	if e.Result == upstream.Broken || e.Result == upstream.Misdirected || e.Refusal {
		f.dispatcher.Exchanger.Forget(a.UpstreamID)
	}
	f.ended <- ended{part: p, ending: e, extra: extra}
}

// attemptEnded takes the end of an attempt.
func (f *flight) attemptEnded(e ended) {
	p := e.part
	p.running--
	if e.ending.Err != nil {
		f.lastFailure = e.ending.Err.Error()
	}
	switch e.ending.Result {
	case upstream.Answered:
		f.answered(p, e.ending.Response)
	case upstream.Refused, upstream.Misdirected:
		p.ran--
		f.lastFailure = fmt.Sprintf("refused with status %d", e.ending.Response.Status)
	case upstream.Unreachable:
		p.ran--
		p.arrived--
		if e.extra {
			p.pool.Refund(time.Now())
		}
	case upstream.Broken, upstream.Aborted:
	}
	p.wanted = !p.settled() && p.running == 0
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
