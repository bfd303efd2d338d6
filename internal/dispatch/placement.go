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

// abandonExponent is the exponent in the ratio of requests that do not abandon a slow
// part: (time from startedAt to answerDueAt / expected latency)^abandonExponent. With
// this exponent, the ratio falls steeply enough as the expected latency rises that the
// responses to these requests are on time again.
const abandonExponent = 6

// maxAttemptsPerPart bounds all attempts of one part. Route.MaxAttempts bounds those
// that an upstream may have run.
const maxAttemptsPerPart = 6

// startDueAttempts starts the first attempts, retries and hedges that are due. On a
// route that gathers, it starts the first ones only once checkCapacity reports true.
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

// checkCapacity reports whether enough parts for an answer can start now. Until then no
// part starts, because the work of those that can would be wasted. As far as the answer
// requires them, it resumes parts that were abandoned as ReasonExpectedLate. If there
// are still too few, it abandons the parts without capacity that have no upstream or
// have waited longer than maxWaitRatio of the target; the request then fails unless
// enough parts remain.
func (f *inFlightRequest) checkCapacity(now time.Time) bool {
	startable := 0
	var busy, expectedLate []*part
	for _, p := range f.parts {
		switch {
		case p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.latencyStats):
			expectedLate = append(expectedLate, p)
		case p.isDone():
		case p.pool.HasCapacity(now, f.latencyStats):
			startable++
		default:
			busy = append(busy, p)
		}
	}
	// If too few parts can start, parts that were abandoned as ReasonExpectedLate are
	// resumed, provided that this makes an answer possible: a late answer is better
	// than a failure.
	for ; startable < f.route.MinParts() && startable+len(expectedLate) >= f.route.MinParts(); startable++ {
		expectedLate[0].resume(now)
		expectedLate = expectedLate[1:]
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

// startNeeded starts the first attempt or a retry of a part without an attempt in
// flight, if an upstream accepts it and the budget allows it. It abandons the part for
// the result of abandonReason, or as ReasonFailed if no retry started and answerDueAt
// has passed.
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
	// Before the answer is due, a hedge whose response would be late is useless. After
	// that maxDuration is zero: the duration of a hedge is not bounded.
	maxDuration := max(0, f.answerDueAt.Sub(now))
	if p.pool.SpendHedge(now) && f.startOrRefund(ctx, now, p, true, maxDuration) {
		f.hedges++
	}
}

// abandonReason returns why a part without an attempt in flight is to be abandoned;
// ReasonNone if it may still get an attempt.
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
		// The group has been stopped: the attempt is not sent, and its outcome is
		// Unreachable.
		f.results <- attemptResult{part: p, outcome: upstream.Outcome{Result: upstream.Unreachable}, isExtra: isExtra}
	}
	return true
}

// abandonSlowParts abandons parts as ReasonExpectedLate if their upstreams are so busy
// that responses would come after answerDueAt, as far as the route allows missing parts.
// Attempts whose responses come too late would only delay the attempts after them. The
// higher the expected latency of a part, the more requests abandon it. This handles a
// load that exceeds the capacity of some shards.
func (f *inFlightRequest) abandonSlowParts() {
	abandonableCount := len(f.parts) - f.route.MinParts()
	if !f.route.Gathers() || abandonableCount <= 0 {
		return
	}
	maxDuration := f.answerDueAt.Sub(f.startedAt)
	fraction := f.requestFraction()
	for i := range f.parts {
		// The first part examined differs between requests. Otherwise the same parts
		// would always use up abandonableCount.
		p := f.parts[(i+int(fraction*float64(len(f.parts))))%len(f.parts)]
		expected := p.pool.ExpectedLatency(f.startedAt, f.latencyStats)
		if expected <= maxDuration || fraction < math.Pow(float64(maxDuration)/float64(expected), abandonExponent) {
			continue
		}
		p.abandon(ReasonExpectedLate)
		if abandonableCount--; abandonableCount == 0 {
			return
		}
	}
}

// resumeExpectedLate resumes count parts that were abandoned as ReasonExpectedLate, to
// replace others that have failed. It reports false, and resumes none, if fewer than
// count of them have capacity.
func (f *inFlightRequest) resumeExpectedLate(now time.Time, count int) bool {
	var resumable []*part
	for _, p := range f.parts {
		if p.reason == ReasonExpectedLate && p.pool.HasCapacity(now, f.latencyStats) {
			resumable = append(resumable, p)
		}
	}
	if len(resumable) < count {
		return false
	}
	for _, p := range resumable[:count] {
		p.resume(now)
	}
	return true
}

// requestFraction returns a number from 0 to 1 that is derived from the request ID and
// spreads requests evenly.
func (f *inFlightRequest) requestFraction() float64 {
	const steps = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%steps) / steps
}
