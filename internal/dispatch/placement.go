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

// A part whose expected latency exceeds hopelessFactor times the time until the answer is
// due counts as one that no upstream can serve.
const hopelessFactor = 4

// maxAttemptsPerPart bounds all attempts of one part. Route.MaxAttempts bounds those
// that an upstream may have run.
const maxAttemptsPerPart = 6

// startDueAttempts starts the first attempts, retries and hedges that are due. On a
// route that gathers, it starts the first ones only once assignFirst reports true.
func (f *inFlightRequest) startDueAttempts(ctx context.Context, now time.Time) {
	if f.attempts == 0 && f.route.Gathers() && !f.assignFirst(now) {
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

// assignFirst assigns the first attempts to upstreams and reports whether these are
// enough parts for an answer. Otherwise it keeps no assignment, because the work of the
// parts that can start would be wasted. As far as the answer requires them, it resumes
// parts that were abandoned as ReasonExpectedLate: a late answer is better than a
// failure. If there are still too few, it abandons the parts for the result of
// abandonReason; the request then fails unless enough parts remain.
func (f *inFlightRequest) assignFirst(now time.Time) bool {
	var assigned, resumable, waiting []*part
	for _, p := range f.parts {
		switch {
		case p.reason == ReasonExpectedLate:
			resumable = append(resumable, p)
		case p.isDone():
		default:
			if p.assignment = p.pool.Assign(now, f.requirements(p, 0)); p.assignment == nil {
				waiting = append(waiting, p)
				continue
			}
			assigned = append(assigned, p)
		}
	}
	for _, p := range resumable[:max(0, min(len(resumable), f.route.MinParts()-len(assigned)))] {
		if p.assignment = p.pool.Assign(now, f.requirements(p, 0)); p.assignment != nil {
			assigned = append(assigned, p)
		}
	}
	if len(assigned) >= f.route.MinParts() {
		for _, p := range assigned {
			p.resume()
		}
		return true
	}
	unassign(assigned)
	for _, p := range waiting {
		if reason := f.abandonReason(now, p); reason != ReasonNone {
			p.abandon(reason)
		}
	}
	return false
}

// unassign cancels the assignments of parts.
func unassign(parts []*part) {
	for _, p := range parts {
		p.pool.Unassign(p.assignment)
		p.assignment = nil
	}
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
	case p.assignment != nil:
		return ReasonNone
	case p.ran > 0 && !f.route.Idempotent(), p.ran >= f.route.MaxAttempts(), p.sent >= maxAttemptsPerPart:
		return ReasonFailed
	case !p.pool.HasUpstream(now):
		return ReasonNoUpstream
	case p.sent == 0 && !now.Before(f.startBy()):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// startBy returns when a part that waits for its first attempt is abandoned: while no
// part has started, early enough that the refusal reaches the caller within
// maxRefusalRatio of the target; after that, when its response would be late.
func (f *inFlightRequest) startBy() time.Time {
	if f.attempts == 0 {
		return f.startedAt.Add(max(0, time.Duration(maxRefusalRatio*float64(f.route.LatencyTarget()))-f.allowance))
	}
	return f.answerDueAt.Add(-f.latencyStats.TypicalLatency())
}

// requirements returns the requirements on the upstream of the next attempt of a part.
func (f *inFlightRequest) requirements(p *part, maxDuration time.Duration) pool.Requirements {
	return pool.Requirements{
		LatencyStats: f.latencyStats, Fingerprint: f.fingerprint, TriedUpstreams: p.tried, MaxDuration: maxDuration,
		IsLastAttempt: p.ran+1 >= f.route.MaxAttempts() || !f.route.Idempotent(),
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
	requirements := f.requirements(p, maxDuration)
	assignment := p.assignment
	p.assignment = nil
	if assignment == nil {
		assignment = p.pool.Assign(now, requirements)
	}
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
			Fingerprint: f.fingerprint, TriedUpstreams: slices.Clone(p.tried), IsLastAttempt: requirements.IsLastAttempt,
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
// load that exceeds the capacity of some shards. Parts that no upstream can serve come
// first: if another part were abandoned instead, too few would remain.
func (f *inFlightRequest) abandonSlowParts() {
	abandonableCount := len(f.parts) - f.route.MinParts()
	if !f.route.Gathers() || abandonableCount <= 0 {
		return
	}
	// The time that this caller has spent before is no sign of load.
	maxDuration := f.route.LatencyTarget() - f.dispatcher.CallerAllowance
	fraction := f.requestFraction()
	var hopeless, slow []*part
	for i := range f.parts {
		// The first part examined differs between requests. Otherwise the same parts
		// would always use up abandonableCount.
		p := f.parts[(i+int(fraction*float64(len(f.parts))))%len(f.parts)]
		expected, reachable := p.pool.ExpectedLatency(f.startedAt, f.latencyStats)
		switch {
		case !reachable:
			hopeless = append(hopeless, p)
		case expected <= maxDuration || fraction < math.Pow(float64(maxDuration)/float64(expected), abandonExponent):
		case expected > hopelessFactor*maxDuration:
			hopeless = append(hopeless, p)
		default:
			slow = append(slow, p)
		}
	}
	candidates := slices.Concat(hopeless, slow)
	for _, p := range candidates[:min(len(candidates), abandonableCount)] {
		p.abandon(ReasonExpectedLate)
	}
}

// resumeExpectedLate resumes count parts that were abandoned as ReasonExpectedLate, to
// replace others that have failed. It reports false, and resumes none, if upstreams
// accept fewer than count of them.
func (f *inFlightRequest) resumeExpectedLate(now time.Time, count int) bool {
	var resumed []*part
	for _, p := range f.parts {
		if p.reason != ReasonExpectedLate || len(resumed) == count {
			continue
		}
		if p.assignment = p.pool.Assign(now, f.requirements(p, 0)); p.assignment != nil {
			resumed = append(resumed, p)
		}
	}
	if len(resumed) < count {
		unassign(resumed)
		return false
	}
	for _, p := range resumed {
		p.resume()
	}
	return true
}

// requestFraction returns a number from 0 to 1 that is derived from the request ID and
// spreads requests evenly.
func (f *inFlightRequest) requestFraction() float64 {
	const steps = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%steps) / steps
}
