package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// maxAttemptsPerPart bounds all attempts of one part. Route.MaxAttempts bounds those
// that an upstream may have run.
const maxAttemptsPerPart = 16

// rerouteDelay is how long a part waits for other hosts that reach upstreams.
const rerouteDelay = 40 * time.Millisecond

// startDueAttempts starts the first attempts, retries and hedges that are due. On a
// route that gathers, it starts the first ones only once assignFirst reports true.
func (f *inFlightRequest) startDueAttempts(ctx context.Context, now time.Time) {
	switch {
	case f.isBarred():
		f.abandonUnstarted(ReasonQuarantined)
		return
	case f.cannotEndBeforeStop(now):
		f.abandonUnstarted(ReasonStopping)
		return
	}
	if !f.mayTryFirst(now) {
		return
	}
	defer f.recordFirstTry(now)
	if f.isUnstarted() && f.route.Gathers() && !f.assignFirst(now) {
		return
	}
	for _, p := range f.parts {
		switch {
		case p.isDone():
		case p.needsAttempt:
			f.startNeeded(ctx, now, p)
		case p.running == 0 || now.Before(p.hedgeAt):
		case f.holdsBackHedges():
			f.recordSilence(p)
			f.probeSilentUpstreams(now)
		case p.running > 1:
			// One hedge at a time.
		default:
			f.startHedge(ctx, now, p)
		}
	}
}

// startNeeded starts the first attempt or a retry of a part without an attempt in
// flight, if an upstream accepts it and the budget allows it. It abandons the part for
// the result of abandonReason, or as ReasonFailed if no retry started and answerDueAt
// has passed.
func (f *inFlightRequest) startNeeded(ctx context.Context, now time.Time, p *part) {
	if f.awaitsSender(p) {
		return
	}
	if reason := f.abandonReason(now, p); reason != ReasonNone {
		p.abandon(reason)
		return
	}
	if f.holdsBackAttempts() && !p.isAssigned() {
		if f.inFlightCount() == 0 {
			p.abandon(ReasonCrashSuspected)
		}
		return
	}
	if f.awaitsFirstResponse() && !p.isAssigned() {
		return
	}
	isExtra := p.arrived > 0
	started := (!isExtra || f.spendRetry(now, p)) && f.startOrRefund(ctx, now, p, isExtra, 0)
	switch {
	case started:
		p.needsAttempt = false
	case p.sent == 0:
		p.wasPassedOver = true
		if reason := f.abandonReason(now, p); reason != ReasonNone {
			p.abandon(reason)
		}
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
	f.recordSilence(p)
	if !f.route.Idempotent() || p.ran >= f.route.MaxAttempts() || p.sent >= maxAttemptsPerPart {
		p.hedgeAt = f.deadline
		return
	}
	p.hedgeAt = now.Add(placementRetryInterval)
	// Before the answer is due, a hedge whose response would be late is useless. After
	// that maxDuration is zero: the duration of a hedge is not bounded.
	maxDuration := max(0, f.answerDueAt.Sub(now))
	if f.spendHedge(now, p) && f.startOrRefund(ctx, now, p, true, maxDuration) {
		f.hedges++
		f.hedgedAt = now
	}
}

// recordSilence records that the upstreams of a part's attempts have not responded in time.
func (f *inFlightRequest) recordSilence(p *part) {
	for _, a := range p.inFlight {
		if !a.Upstream.IsDiallingHost() {
			f.dispatcher.Links.RecordSilence(a.Upstream, a.StartedAt())
		}
	}
}

// abandonReason returns why a part without an attempt in flight is to be abandoned;
// ReasonNone if it may still get an attempt.
func (f *inFlightRequest) abandonReason(now time.Time, p *part) Reason {
	switch {
	case p.isAssigned():
		return ReasonNone
	case p.ran > 0 && !f.route.Idempotent(), p.ran >= f.route.MaxAttempts(), p.sent >= maxAttemptsPerPart:
		return ReasonFailed
	case !p.pool.HasUpstream(now) && !f.awaitsRoute(now, p):
		return ReasonNoUpstream
	case p.sent == 0 && p.wasPassedOver && !now.Before(f.startBy()):
		return ReasonBusy
	default:
		return f.limitReason(now, p)
	}
}

// awaitsRoute reports whether other hosts, through which a part was to run, have just stated
// that they reach no upstream, so that this host looks for others.
func (f *inFlightRequest) awaitsRoute(now time.Time, p *part) bool {
	return p.sent > 0 && now.Sub(p.noRouteAt) < rerouteDelay && f.dispatcher.Links.IsPartitioned()
}

// limitReason returns why a part without an attempt in flight is to be abandoned because
// all upstreams that could run it have stated limits on requests; ReasonNone if one of
// them takes it in time.
func (f *inFlightRequest) limitReason(now time.Time, p *part) Reason {
	delay := p.pool.TurnDelay(now, f.requirements(p, 0))
	switch {
	case delay == 0:
		return ReasonNone
	case p.sent == p.coldRefusals && now.Add(delay).After(f.startBy()):
		return ReasonAtLimit
	case now.Add(delay).After(f.deadline):
		return ReasonFailed
	default:
		return ReasonNone
	}
}

// requirements returns the requirements on the upstream of the next attempt of a part.
func (f *inFlightRequest) requirements(p *part, maxDuration time.Duration) pool.Requirements {
	avoidsOwnLinks, avoidedDataCenter := f.doubtedLinks(p)
	return pool.Requirements{
		BeginBy: f.upstreamBeginBy(), LatencyStats: f.latencyStats, Fingerprint: f.fingerprint, TriedUpstreams: p.tried, MaxDuration: maxDuration,
		IsLastAttempt: p.ran+1 >= f.route.MaxAttempts() || !f.route.Idempotent(), IsOptional: f.isOutranked() || p.running > 0,
		AvoidsOwnLinks: avoidsOwnLinks, AvoidedDataCenter: avoidedDataCenter, WaitsInOrder: f.request.Account != nil, LeavesRoom: f.leavesRoom || p.running > 0,
	}
}

// doubtedLinks returns whether nothing was heard over this host's connections since the part's
// last attempt began, and otherwise the data centre from which nothing was heard.
func (f *inFlightRequest) doubtedLinks(p *part) (all bool, dataCenter string) {
	links := f.dispatcher.Links
	switch {
	case p.ownLinkSince.IsZero():
		return false, ""
	case !links.HeardSince(p.ownLinkSince):
		return true, ""
	case !links.HeardFromSince(p.ownLinkTo, p.ownLinkSince):
		return false, p.ownLinkTo
	default:
		return false, ""
	}
}

// handleLinkChange writes off the attempts over connections that do not work, if this host has
// lost the links to the upstreams, so that others replace them. An attempt that must not run
// twice waits for its response.
func (f *inFlightRequest) handleLinkChange() {
	if !f.route.Idempotent() || !f.dispatcher.Links.IsPartitioned() {
		return
	}
	for _, p := range f.parts {
		for _, a := range slices.Clone(p.inFlight) {
			if !a.Upstream.IsDiallingHost() && !f.dispatcher.Links.AllowsConnection(a.Upstream.LifetimeKey()) {
				p.writeOff(a)
				f.cancelAttempt[a]()
			}
		}
	}
}

// startOrRefund calls startAttempt and refunds an extra attempt if no upstream was
// found for it.
func (f *inFlightRequest) startOrRefund(ctx context.Context, now time.Time, p *part, isExtra bool, maxDuration time.Duration) bool {
	if f.startAttempt(ctx, now, p, isExtra, maxDuration) {
		return true
	}
	if isExtra {
		f.refundExtra(now, now, p)
	}
	return false
}

// startAttempt starts an attempt of a part at an upstream; it reports whether an
// upstream was found.
func (f *inFlightRequest) startAttempt(ctx context.Context, now time.Time, p *part, isExtra bool, maxDuration time.Duration) bool {
	requirements := f.requirements(p, maxDuration)
	assignment := p.held.take()
	if assignment == nil {
		requirements.IsSpare = f.isSpare(now, p)
		assignment = p.pool.Assign(now, requirements)
	}
	if assignment == nil {
		return false
	}
	f.send(ctx, now, p, assignment, isExtra)
	return true
}

// send starts an attempt of a part at the upstream of an assignment.
func (f *inFlightRequest) send(ctx context.Context, now time.Time, p *part, assignment *pool.Assignment, isExtra bool) {
	requirements := f.requirements(p, 0)
	p.tried = append(p.tried, assignment.Upstream.ID())
	p.sent++
	p.ran++
	p.arrived++
	p.running++
	p.inFlight = append(p.inFlight, assignment)
	if !assignment.Upstream.IsDiallingHost() {
		p.ownLinkSince, p.ownLinkTo = now, assignment.Upstream.DataCenter()
	}
	p.hedgeAt = now.Add(f.latencyStats.HedgeDelay(p.pool.RemainingExtraRatio(now)))
	f.attempts++
	attempt := &upstream.Attempt{
		Method: f.request.Method, Target: f.request.Target, Host: f.request.Host, Header: f.request.Header,
		Body: f.request.Body, RequestID: f.request.ID, Account: f.request.AccountName(), UpstreamID: assignment.Upstream.ID(), Address: assignment.Upstream.Address(),
		Deadline: f.deadline, RequireNewConnection: !f.route.Idempotent() || f.isTesting,
	}
	if f.isTesting && f.route.Idempotent() {
		attempt.Deadline = earlier(f.deadline, now.Add(testRunTimeout))
	}
	if assignment.Upstream.IsDiallingHost() {
		attempt.Relay = &upstream.Relay{
			Service: p.service, Route: f.route.Name(), LatencyTarget: f.route.LatencyTarget(), Gathers: f.route.Gathers(),
			Fingerprint: f.fingerprint, TriedUpstreams: slices.Clone(p.tried), IsLastAttempt: requirements.IsLastAttempt, IsTestRun: f.isTesting,
		}
	}
	if f.request.InFlight != nil && !f.route.Gathers() {
		f.request.InFlight.AddWait(func(now time.Time) time.Duration { return p.pool.WaitSoFar(now, assignment) })
	}
	ctx, cancel := context.WithCancel(ctx)
	f.cancelAttempt[assignment] = cancel
	started := f.dispatcher.Group.Go(func() { f.runAttempt(ctx, p, assignment, attempt, isExtra) })
	if !started {
		cancel()
		p.pool.Unassign(assignment)
		if isExtra {
			f.refundExtra(now, now, p)
		}
		// The group has been stopped: the attempt is not sent, and its outcome is
		// Unreachable.
		f.results <- &attemptResult{part: p, assignment: assignment, outcome: upstream.Outcome{Result: upstream.Unreachable}}
	}
}
