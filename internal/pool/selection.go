package pool

// This file decides which upstream gets an attempt. Of the members that accept the attempt, it is
// the one with the lowest expected cost.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

const (
	// crossDataCenterFactor and crossDataCenterDelay are how much faster an
	// upstream of another data centre must be to be preferred: traffic between data
	// centres costs money, and a part that comes slightly later does no harm as
	// long as the answer is on time. If no healthy local upstream accepts the attempt,
	// unhealthyCrossFactor is used instead of crossDataCenterFactor.
	crossDataCenterFactor = 2.8
	unhealthyCrossFactor  = 1.15
	crossDataCenterDelay  = 2 * time.Millisecond
	// directDialFactor is how much faster an upstream must be than a dialling host
	// to be dialled directly: the upstream's connections are reserved for its
	// dialling hosts.
	directDialFactor = 4.0
	// unprovedDetourFactor is how much faster a detour must be to be preferred if it is not
	// known to reach upstreams.
	unprovedDetourFactor = 4.0
	// failureCostRatio is the cost of a failed attempt, as a ratio of the target,
	// while the whole budget for extra attempts remains. Once the budget is used
	// up, or on the last attempt that a request may have, a failure is a missing
	// part and costs scarceCostRatio more. Before that, the part of scarceCostRatio that
	// applies is the part of the budget that is used up.
	failureCostRatio = 0.3
	scarceCostRatio  = 1.2
)

// selectMember returns the member to which an attempt is assigned, or nil if none accepts it.
func (p *Pool) selectMember(now time.Time, r Requirements) *member {
	members := p.usableMembers(now, r)
	if best := p.bestMember(now, members, r, inventory.InService); best != nil {
		return best
	}
	return p.bestMember(now, members, r, inventory.LastResort)
}

// bestMember returns one of the members with the lowest expected cost that has this
// eligibility and accepts the attempt, or nil.
func (p *Pool) bestMember(now time.Time, members []*member, r Requirements, eligibility inventory.Eligibility) *member {
	var best *member
	lowest := 0.0
	crossFactor := unhealthyCrossFactor
	if slices.ContainsFunc(members, func(m *member) bool {
		return m.upstream.DataCenter() == p.DataCenter && p.acceptsAttempt(now, m, r, eligibility) && m.isHealthy(now, r.LatencyStats)
	}) {
		crossFactor = crossDataCenterFactor
	}
	for _, m := range members {
		if !p.acceptsAttempt(now, m, r, eligibility) {
			continue
		}
		if cost := p.expectedCost(now, m, r, crossFactor); best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// acceptsAttempt reports whether a member has this eligibility and can take the
// attempt now.
func (p *Pool) acceptsAttempt(now time.Time, m *member, r Requirements, eligibility inventory.Eligibility) bool {
	switch {
	case m.upstream.Eligibility(now) != eligibility || !m.isUsable(now) || r.excludes(m):
		return false
	case m.turnDelay(now, r.IsOptional) > 0:
		return false
	case len(m.running) >= p.attemptLimit(now, m, r) || !p.leavesSlot(now, m, r):
		return false
	case !m.beginsInTime(now, r):
		return false
	default:
		return p.hasLink(now, m) && (!now.Before(m.noDialUntil) || p.hasConnection(m))
	}
}

// concurrencyLimit returns how many attempts of a class of requests this host may have in flight at
// a member: the connection limit and, for gathered answers, the limit by lateness.
func (p *Pool) concurrencyLimit(now time.Time, m *member, s *LatencyStats) int {
	if s.isGather {
		return m.lateness.apply(now, p.slotShare(m), p.connectionLimit(now, m))
	}
	return p.connectionLimit(now, m)
}

// slotShare returns this host's share of a member's slots, a fraction of at least minPace.
func (p *Pool) slotShare(m *member) float64 {
	return max(minPace, p.policy.LoadShare*float64(m.upstream.Slots()))
}

// connectionLimit returns how many attempts this host may have in flight at a member because each
// needs a connection.
func (p *Pool) connectionLimit(now time.Time, m *member) int {
	if m.upstream.IsDiallingHost() {
		return m.upstream.Slots()
	}
	return m.concurrencyLimit(now, p.policy.MaxConcurrent)
}

// hasConnection reports whether an attempt can use an idle connection. For a dialling
// host it is always true, because a new connection between hosts costs little.
func (p *Pool) hasConnection(m *member) bool {
	return m.upstream.IsDiallingHost() || p.IdleCount(m.upstream.ID()) > 0
}

// expectedCost returns the expected duration of an attempt in nanoseconds, weighted
// and increased by the cost of traffic between data centres, of direct dialling, of
// failures and of a new connection.
func (p *Pool) expectedCost(now time.Time, m *member, r Requirements, crossFactor float64) float64 {
	cost := float64(m.expectedLatency(now, r.LatencyStats.TypicalLatency()))
	if m.upstream.DataCenter() != p.DataCenter {
		cost = cost*crossFactor + float64(crossDataCenterDelay)
	}
	if p.hasDiallingHosts && !m.upstream.IsDiallingHost() {
		cost = cost*directDialFactor + float64(p.connectDuration)
	}
	if m.upstream.IsDetour() && p.Links != nil && !p.Links.IsReaching(m.upstream.Address()) {
		cost *= unprovedDetourFactor
	}
	scarcity := 1 - p.extra.RemainingRatio(now)
	if r.IsLastAttempt {
		scarcity = 1
	}
	cost += (failureCostRatio + scarceCostRatio*scarcity) * m.expectedFailureRatio(now) * float64(r.LatencyStats.target)
	if !p.hasConnection(m) {
		cost += float64(p.connectDuration)
	}
	return cost
}
