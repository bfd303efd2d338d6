package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// spareSteepness is how steeply the share of the requests that wait for a busy
// part falls with its outlook: steep enough that the rest is on time again.
const spareSteepness = 6

// maxSends bounds the attempts of one part, of which only some may run.
const maxSends = 6

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
		case p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.class):
			spared = append(spared, p)
		case p.settled():
		case p.pool.HasCapacity(now, f.class):
			free++
		default:
			busy = append(busy, p)
		}
	}
	// A late part is better than no answer.
	for ; free < f.route.MinParts() && free+len(spared) >= f.route.MinParts(); free++ {
		spared[0].revive(now)
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

// placeLate asks another upstream as well.
func (f *flight) placeLate(ctx context.Context, now time.Time, p *part) {
	if !f.route.Idempotent() || p.ran >= f.route.MaxAttempts() || p.sent >= maxSends {
		p.lateAt = f.end
		return
	}
	p.lateAt = now.Add(askAgain)
	// Before the answer is due, asking one that would be late is of no use.
	within := max(0, f.due.Sub(now))
	if p.pool.SpendHedge(now) && f.startOrRefund(ctx, now, p, true, within) {
		f.late++
	}
}

// hopeless says why a part without an attempt under way gets none any more.
func (f *flight) hopeless(now time.Time, p *part) Reason {
	switch {
	case p.ran > 0 && !f.route.Idempotent(), p.ran >= f.route.MaxAttempts(), p.sent >= maxSends:
		return ReasonFailed
	case !p.pool.HasUpstream(now):
		return ReasonNoUpstream
	case p.sent == 0 && now.Sub(p.since) > time.Duration(waitShare*float64(f.route.LatencyTarget())):
		return ReasonBusy
	default:
		return ReasonNone
	}
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

// start gives an attempt of a part to an upstream; it reports whether there was
// one.
func (f *flight) start(ctx context.Context, now time.Time, p *part, extra bool, within time.Duration) bool {
	last := p.ran+1 >= f.route.MaxAttempts() || !f.route.Idempotent()
	pick := p.pool.Assign(now, pool.Requirements{
		LatencyStats: f.class, Fingerprint: f.fingerprint, TriedUpstreams: p.tried, MaxDuration: within, IsLastAttempt: last,
	})
	if pick == nil {
		return false
	}
	p.tried = append(p.tried, pick.Upstream.ID())
	p.sent++
	p.ran++
	p.arrived++
	p.running++
	p.lateAt = now.Add(f.class.HedgeDelay(p.pool.RemainingExtraRatio(now)))
	f.attempts++
	attempt := &upstream.Attempt{
		Method: f.request.Method, Target: f.request.Target, Host: f.request.Host, Header: f.request.Header,
		Body: f.request.Body, RequestID: f.request.ID, UpstreamID: pick.Upstream.ID(), Address: pick.Upstream.Address(),
		Deadline: f.end, RequireNewConnection: !f.route.Idempotent(),
	}
	if pick.Upstream.IsDiallingHost() {
		attempt.Relay = &upstream.Relay{
			Service: p.service, Route: f.route.Name(), LatencyTarget: f.route.LatencyTarget(), Gathers: f.route.Gathers(),
			Fingerprint: f.fingerprint, TriedUpstreams: slices.Clone(p.tried), IsLastAttempt: last,
		}
	}
	started := f.dispatcher.Group.Go(func() { f.attempt(ctx, p, pick, attempt, extra) })
	if !started {
		f.ended <- ended{part: p, ending: upstream.Outcome{Result: upstream.Unreachable}, extra: extra}
	}
	return true
}

// spareLateParts leaves out parts whose upstreams are so busy that they would be
// late, as far as the answer can do without them: work that is late anyway makes
// the next ones late. The more they are late, the more requests leave them out.
// It answers a load that some shards cannot carry.
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
		outlook := p.pool.ExpectedLatency(f.started, f.class)
		if outlook <= within || draw < math.Pow(float64(within)/float64(outlook), spareSteepness) {
			continue
		}
		p.giveUp(ReasonExpectedLate)
		if spare--; spare == 0 {
			return
		}
	}
}

// reviveLate takes back that parts were left out as late, as far as the answer
// needs them after others failed; it reports whether there may be an answer then.
func (f *flight) reviveLate(now time.Time, count int) bool {
	var spared []*part
	for _, p := range f.parts {
		if p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.class) {
			spared = append(spared, p)
		}
	}
	if len(spared) < count {
		return false
	}
	for _, p := range spared[:count] {
		p.revive(now)
	}
	return true
}

// draw returns a number from 0 to 1 that differs from request to request.
func (f *flight) draw() float64 {
	const fraction = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%fraction) / fraction
}
