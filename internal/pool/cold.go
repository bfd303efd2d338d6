package pool

// This file decides how many attempts cold upstreams get. It answers the load right after
// upstreams have become cold: above a rate that operators state, they crash.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// silentSenderPeriod is how long a host may take to refuse or run an attempt before others are
// asked instead. A refusal takes one round trip, a run usually less than this. A host that is cut off
// is known as dead only after more than a second.
const silentSenderPeriod = 60 * time.Millisecond

// A ColdLimit is this host's part of the requests that a cold upstream of a service takes from
// all hosts together. The zero value allows none.
type ColdLimit struct {
	// Rate is in requests per second. Burst is how many requests accumulate at most while
	// they are not used; it is at least one if Rate is positive.
	Rate, Burst float64
	// RefusalPeriod is how long another host that has refused an attempt, because it had no
	// turn either, is not asked again.
	RefusalPeriod time.Duration
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

// A turn is what one attempt has taken of the limits at its upstream; nil for those that did not
// apply.
type turn struct{ limit, cold *requestLimit }

// takeTurn takes a turn for an attempt.
func (m *member) takeTurn(now time.Time) turn {
	t := turn{limit: m.limit.take()}
	if m.isCold(now) {
		t.cold = m.cold.take()
	}
	return t
}

// giveBack gives back the turn of an attempt that reached no upstream. It has no effect the second
// time.
func (t *turn) giveBack() {
	t.limit.giveBack()
	if t.cold != nil && t.cold.rate > 0 {
		t.cold.giveBack()
	}
	*t = turn{}
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

// usableSenders returns the first host that may send an attempt to a cold upstream. There is none
// as long as any of the direct members could run it without a turn. All parts of a search go to
// the same host: it has turns at all shards or at none, and if only some parts ran, these turns
// would be lost.
func (p *Pool) usableSenders(now time.Time, r Requirements, direct []*member) []*member {
	if p.senderCount == 0 || r.DirectOnly || r.ColdRelay == Never {
		return nil
	}
	isBlocked := false
	for _, m := range direct {
		switch {
		case !m.isUsable(now) || r.excludes(m) || !p.hasLink(now, m):
		case m.cold == nil || !m.isCold(now) || (r.ColdRelay != Always && m.cold.turnDelay(now, r.IsOptional) == 0):
			return nil
		default:
			isBlocked = true
		}
	}
	if !isBlocked {
		return nil
	}
	for _, m := range p.members[len(p.members)-p.senderCount:] {
		if m.isUsable(now) && !r.excludes(m) && !now.Before(m.refusedUntil) && !m.isSilent(now) && len(m.running) < m.upstream.Slots() {
			return []*member{m}
		}
	}
	return nil
}

// HasColdRelay reports whether another host may send an attempt because all upstreams that this
// host reaches are cold and it has no turn there.
func (p *Pool) HasColdRelay(now time.Time, r Requirements) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.usableSenders(now, r, p.members[:len(p.members)-p.senderCount-p.detourCount])) > 0
}

// isSilent reports whether a host has not responded for silentSenderPeriod since an attempt was
// forwarded to it.
func (m *member) isSilent(now time.Time) bool {
	return slices.ContainsFunc(m.running, func(a *Assignment) bool {
		return now.Sub(a.startedAt) > silentSenderPeriod && m.respondedAt.Before(a.startedAt)
	})
}

// recordColdRefusal records that another host has not forwarded an attempt to a cold upstream, or
// has not responded to it.
func (p *Pool) recordColdRefusal(now time.Time, m *member, startedAt time.Time, o upstream.Outcome) {
	if !m.upstream.IsColdSender() || p.policy.ColdLimit == nil {
		return
	}
	if o.NotForwarded || (o.Result != upstream.Answered && m.respondedAt.Before(startedAt)) {
		m.refusedUntil = now.Add(p.policy.ColdLimit.RefusalPeriod)
	}
}

// IsColdLimited reports whether a limit applies at any upstream because it is cold.
func (p *Pool) IsColdLimited(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.members, func(m *member) bool { return m.cold != nil && m.isCold(now) })
}

// A ReservedTurn is a turn at a cold upstream that is kept for one attempt.
type ReservedTurn struct{ turn turn }

// ReserveTurn reserves a turn for an attempt that will be assigned soon. It returns nil if the
// attempt needs none, and false if an upstream is cold and none has a turn.
func (p *Pool) ReserveTurn(now time.Time, r Requirements) (reserved *ReservedTurn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.bestMember(now, p.usableMembers(now, r), r, inventory.InService)
	switch {
	case m == nil:
		return nil, p.turnDelay(now, r) == 0
	case m.cold == nil || !m.isCold(now):
		return nil, true
	default:
		return &ReservedTurn{turn: m.takeTurn(now)}, true
	}
}

// Release gives back a turn that was reserved and not used.
func (p *Pool) Release(t *ReservedTurn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.release()
}

func (t *ReservedTurn) release() {
	if t != nil {
		t.turn.giveBack()
	}
}
