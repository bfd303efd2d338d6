package dispatch

// This file finds out whether upstreams that have not responded have ended.

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
)

// A probeResult says whether the upstream of an attempt in flight has ended.
type probeResult struct {
	part       *part
	assignment *pool.Assignment
	ended      bool
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
	// Upstreams behind dialling hosts cannot be probed, so hedges do not wait for a result.
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
