package pool

// This file decides when a host tries again to connect to an upstream that it did not reach. The
// connection carries no request. It answers upstreams that are gone without notice while the others
// are busy: a request that is sent to find out whether such an upstream is back waits in vain.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// DueReconnects returns the upstreams to which the caller must open a connection now, and when the
// next one is due; zero if none is known. The caller reports each result to RecordReconnect. An
// upstream gets no attempts until a connection to it was opened or it has responded.
func (p *Pool) DueReconnects(now time.Time) (due []inventory.Upstream, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.isUnreachable || m.isReconnecting || m.upstream.Eligibility(now) == inventory.Retired || m.upstream.IsEvacuated() {
			continue
		}
		at := m.downUntil
		if m.restUntil.After(at) {
			at = m.restUntil
		}
		switch {
		case !at.After(now) && (p.Links == nil || p.Links.AllowsDial(now, m.upstream.LifetimeKey())):
			m.isReconnecting = true
			due = append(due, m.upstream)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	return due, next
}

// RecordSlowDial records that a connection, begun at startedAt, takes longer to open than a running
// upstream and the network take. It marks the upstream as unreachable and reports true, unless the
// upstream has responded since startedAt or is marked already.
func (p *Pool) RecordSlowDial(now time.Time, u inventory.Upstream, startedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.members, func(m *member) bool { return m.upstream.HasSameLifetime(u) })
	if i < 0 || p.members[i].isUnreachable || p.members[i].respondedAt.After(startedAt) {
		return false
	}
	p.members[i].recordUnreachable(now)
	return true
}

// RecordReconnect records whether a connection to an upstream of DueReconnects could be made.
func (p *Pool) RecordReconnect(now time.Time, u inventory.Upstream, isReached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.members, func(m *member) bool { return m.upstream.HasSameLifetime(u) })
	if i < 0 {
		return
	}
	m := p.members[i]
	m.isReconnecting = false
	switch {
	case !m.isUnreachable:
		// The upstream has responded meanwhile.
	case isReached:
		m.isUnreachable = false
	default:
		m.recordUnreachable(now)
	}
}
