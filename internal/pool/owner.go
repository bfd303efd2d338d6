package pool

// This file decides which of several entries with the same address gets requests. It answers entries
// that name the address of another upstream: each attempt there is refused and counts as an extra one.

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// maxMisdirectedPeriod bounds how long a member is down after another upstream responded at its
// address. The period doubles each time.
const maxMisdirectedPeriod = 30 * time.Second

// recordMisdirected records that another upstream responded at the address of a member.
func (p *Pool) recordMisdirected(now time.Time, m *member) {
	m.downPeriod = min(max(2*m.downPeriod, maxDownPeriod), maxMisdirectedPeriod)
	m.downUntil = now.Add(m.downPeriod)
	p.setOwnsAddress(m, false)
}

// setOwnsAddress records whether the upstream of a member was the one that responded at its address.
func (p *Pool) setOwnsAddress(m *member, owns bool) {
	if m.upstream.IsDiallingHost() || m.ownsAddress == owns {
		return
	}
	m.ownsAddress = owns
	p.linkOwners()
}

// linkOwners sets the owners of the addresses of all members.
func (p *Pool) linkOwners() {
	owners := make(map[string]*member)
	for _, m := range p.members {
		if m.ownsAddress {
			owners[m.upstream.Address()] = m
		}
	}
	for _, m := range p.members {
		m.owner = nil
		if !m.ownsAddress && !m.upstream.IsDiallingHost() {
			m.owner = owners[m.upstream.Address()]
		}
	}
}

// isSuperseded reports whether another upstream of the service, which is in service and not down, has
// responded at the member's address.
func (m *member) isSuperseded(now time.Time) bool {
	return m.owner != nil && m.owner.upstream.Eligibility(now) == inventory.InService && !m.owner.isDown(now)
}
