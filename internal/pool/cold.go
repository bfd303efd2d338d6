package pool

// This file decides how many attempts cold upstreams get. It answers the load right after
// upstreams have become cold: above a rate that operators state, they crash.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// A ColdLimit is this host's part of the requests that a cold upstream of a service takes from
// all hosts together. The zero value allows none.
type ColdLimit struct {
	// Rate is in requests per second. Burst is how many requests accumulate at most while
	// they are not used; it is at least one if Rate is positive.
	Rate, Burst float64
}

// limitCold updates the limit of a member with the policy. Turns that have accumulated before
// the upstream became cold do not count: wasCold is set if it was cold before.
func (p *Pool) limitCold(now time.Time, m *member, wasCold bool) {
	if p.policy.ColdLimit == nil || !m.isCold(now) {
		m.cold = nil
		return
	}
	if m.cold == nil || !wasCold {
		m.cold = &requestLimit{updatedAt: now, turns: p.phase()}
	}
	m.cold.advance(now)
	m.cold.stated, m.cold.rate, m.cold.burst = 1, p.policy.ColdLimit.Rate, p.policy.ColdLimit.Burst
	m.cold.turns = min(m.cold.turns, m.cold.burst)
}

// isCold reports whether the upstream is cold.
func (m *member) isCold(now time.Time) bool { return now.Before(m.upstream.ColdUntil()) }

// turnDelay returns how long an attempt waits for a turn; zero if there is one or no limit.
// The lower of the limit that the upstream has stated and that of cold upstreams counts.
func (m *member) turnDelay(now time.Time, isOptional bool) time.Duration {
	delay := m.limit.turnDelay(now, isOptional)
	if m.cold == nil || !m.isCold(now) {
		return delay
	}
	return max(delay, min(m.cold.turnDelay(now, isOptional), m.upstream.ColdUntil().Sub(now)))
}

// takeTurn takes a turn for an attempt, giveBackTurn gives it back if it reached no upstream.
func (m *member) takeTurn(now time.Time) {
	m.limit.take()
	if m.isCold(now) {
		m.cold.take()
	}
}

func (m *member) giveBackTurn() {
	m.limit.giveBack()
	if m.cold != nil && m.cold.rate > 0 {
		m.cold.giveBack()
	}
}

// turnRate returns how many turns per second this host has at a member; zero if there is no
// limit.
func (m *member) turnRate(now time.Time) float64 {
	isCold := m.cold != nil && m.isCold(now)
	switch {
	case isCold && m.limit != nil:
		return min(m.cold.rate, m.limit.rate)
	case isCold:
		return m.cold.rate
	case m.limit != nil:
		return m.limit.rate
	default:
		return 0
	}
}

// isEvacuated reports whether the service has upstreams of evacuated data centres and no
// others that may get attempts: other hosts then have none either.
func (p *Pool) isEvacuated(now time.Time) bool {
	return p.hasEvacuated && !slices.ContainsFunc(p.members, func(m *member) bool {
		return !m.upstream.IsDiallingHost() && m.upstream.Eligibility(now) != inventory.Retired
	})
}
