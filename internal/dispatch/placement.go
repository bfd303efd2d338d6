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

// skipExponent sets how steeply the ratio of requests that wait for a busy part
// falls as the part's expected latency rises: steep enough that the requests that
// still wait are on time again.
const skipExponent = 6

// maxAttemptsPerPart bounds the attempts of one part; Route.MaxAttempts bounds
// those of them that upstreams may run.
const maxAttemptsPerPart = 6

// startDueAttempts starts the attempts, retries and hedges that are due.
func (f *inFlightRequest) startDueAttempts(ctx context.Context, now time.Time) {
	if f.attempts == 0 && f.route.Gathers() && !f.checkCapacity(now) {
		return
	}
	for _, p := range f.parts {
		switch {
		case p.isDone():
		case p.needsAttempt:
			f.startNeeded(ctx, now, p)
		case p.running == 1 && !now.Before(p.hedgeAt):
			f.startHedge(ctx, now, p)
		}
	}
}

// checkCapacity reports whether enough parts can start now for an answer. Until
// then no part starts, because the work of the others would be wasted. Skipped parts
// are resumed as far as the answer requires them. Parts that have waited too long for
// an upstream with capacity are abandoned, and with them the request.
func (f *inFlightRequest) checkCapacity(now time.Time) bool {
	startable := 0
	var busy, skipped []*part
	for _, p := range f.parts {
		switch {
		case p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.latencyStats):
			skipped = append(skipped, p)
		case p.isDone():
		case p.pool.HasCapacity(now, f.latencyStats):
			startable++
		default:
			busy = append(busy, p)
		}
	}
	// A late part is better than no answer.
	for ; startable < f.route.MinParts() && startable+len(skipped) >= f.route.MinParts(); startable++ {
		skipped[0].resume(now)
		skipped = skipped[1:]
	}
	if startable >= f.route.MinParts() {
		return true
	}
	for _, p := range busy {
		if reason := f.abandonReason(now, p); reason != ReasonNone {
			p.abandon(reason)
		}
	}
	return false
}

// startNeeded starts an attempt of a part that has none in flight, or abandons the
// part if it can get none.
func (f *inFlightRequest) startNeeded(ctx context.Context, now time.Time, p *part) {
	if reason := f.abandonReason(now, p); reason != ReasonNone {
		p.abandon(reason)
		return
	}
	isExtra := p.arrived > 0
	started := (!isExtra || p.pool.SpendRetry(now)) && f.startOrRefund(ctx, now, p, isExtra, 0)
	switch {
	case started:
		p.needsAttempt = false
	case p.sent > 0 && now.After(f.answerDueAt):
		p.abandon(ReasonFailed)
	}
	if started && isExtra {
		f.retries++
	}
}

// startHedge sends a hedge to another upstream if the route, the budget and the
// remaining time allow it.
func (f *inFlightRequest) startHedge(ctx context.Context, now time.Time, p *part) {
	if !f.route.Idempotent() || p.ran >= f.route.MaxAttempts() || p.sent >= maxAttemptsPerPart {
		p.hedgeAt = f.deadline
		return
	}
	p.hedgeAt = now.Add(placementRetryInterval)
	// Before the answer is due, a hedge whose response would be late is useless.
	maxDuration := max(0, f.answerDueAt.Sub(now))
	if p.pool.SpendHedge(now) && f.startOrRefund(ctx, now, p, true, maxDuration) {
		f.hedges++
	}
}

// abandonReason returns why a part without an attempt in flight can get no further
// attempt; ReasonNone if it can.
func (f *inFlightRequest) abandonReason(now time.Time, p *part) Reason {
	switch {
	case p.ran > 0 && !f.route.Idempotent(), p.ran >= f.route.MaxAttempts(), p.sent >= maxAttemptsPerPart:
		return ReasonFailed
	case !p.pool.HasUpstream(now):
		return ReasonNoUpstream
	case p.sent == 0 && now.Sub(p.waitingSince) > time.Duration(maxWaitRatio*float64(f.route.LatencyTarget())):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// startOrRefund calls startAttempt and refunds an extra attempt if no upstream was
// found for it.
func (f *inFlightRequest) startOrRefund(ctx context.Context, now time.Time, p *part, isExtra bool, maxDuration time.Duration) bool {
	if f.startAttempt(ctx, now, p, isExtra, maxDuration) {
		return true
	}
	if isExtra {
		p.pool.Refund(now)
	}
	return false
}

// startAttempt starts an attempt of a part at an upstream; it reports whether an
// upstream was found.
func (f *inFlightRequest) startAttempt(ctx context.Context, now time.Time, p *part, isExtra bool, maxDuration time.Duration) bool {
	isLastAttempt := p.ran+1 >= f.route.MaxAttempts() || !f.route.Idempotent()
	assignment := p.pool.Assign(now, pool.Requirements{
		LatencyStats: f.latencyStats, Fingerprint: f.fingerprint, TriedUpstreams: p.tried, MaxDuration: maxDuration, IsLastAttempt: isLastAttempt,
	})
	if assignment == nil {
		return false
	}
	p.tried = append(p.tried, assignment.Upstream.ID())
	p.sent++
	p.ran++
	p.arrived++
	p.running++
	p.hedgeAt = now.Add(f.latencyStats.HedgeDelay(p.pool.RemainingExtraRatio(now)))
	f.attempts++
	attempt := &upstream.Attempt{
		Method: f.request.Method, Target: f.request.Target, Host: f.request.Host, Header: f.request.Header,
		Body: f.request.Body, RequestID: f.request.ID, UpstreamID: assignment.Upstream.ID(), Address: assignment.Upstream.Address(),
		Deadline: f.deadline, RequireNewConnection: !f.route.Idempotent(),
	}
	if assignment.Upstream.IsDiallingHost() {
		attempt.Relay = &upstream.Relay{
			Service: p.service, Route: f.route.Name(), LatencyTarget: f.route.LatencyTarget(), Gathers: f.route.Gathers(),
			Fingerprint: f.fingerprint, TriedUpstreams: slices.Clone(p.tried), IsLastAttempt: isLastAttempt,
		}
	}
	started := f.dispatcher.Group.Go(func() { f.runAttempt(ctx, p, assignment, attempt, isExtra) })
	if !started {
		// The group has been stopped, so that the attempt is not sent.
		f.results <- attemptResult{part: p, outcome: upstream.Outcome{Result: upstream.Unreachable}, isExtra: isExtra}
	}
	return true
}

// skipSlowParts skips parts whose upstreams are so busy that their responses would
// be late, as far as the route allows missing parts: attempts that are late anyway
// delay those after them. The higher the expected latency, the more requests skip
// the part. This handles a load that exceeds the capacity of some shards.
func (f *inFlightRequest) skipSlowParts() {
	skippable := len(f.parts) - f.route.MinParts()
	if !f.route.Gathers() || skippable <= 0 {
		return
	}
	maxDuration := f.answerDueAt.Sub(f.startedAt)
	fraction := f.requestFraction()
	for i := range f.parts {
		// The first part examined differs between requests, so that no part is
		// always skipped.
		p := f.parts[(i+int(fraction*float64(len(f.parts))))%len(f.parts)]
		expected := p.pool.ExpectedLatency(f.startedAt, f.latencyStats)
		if expected <= maxDuration || fraction < math.Pow(float64(maxDuration)/float64(expected), skipExponent) {
			continue
		}
		p.abandon(ReasonExpectedLate)
		if skippable--; skippable == 0 {
			return
		}
	}
}

// resumeSkipped resumes count parts that were skipped as expected late, because
// others have failed; it reports whether there were enough of them with capacity.
func (f *inFlightRequest) resumeSkipped(now time.Time, count int) bool {
	var skipped []*part
	for _, p := range f.parts {
		if p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.latencyStats) {
			skipped = append(skipped, p)
		}
	}
	if len(skipped) < count {
		return false
	}
	for _, p := range skipped[:count] {
		p.resume(now)
	}
	return true
}

// requestFraction returns a number from 0 to 1 that is derived from the request ID, so
// that it differs from request to request.
func (f *inFlightRequest) requestFraction() float64 {
	const steps = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%steps) / steps
}
