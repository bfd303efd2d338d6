package pool

// This file decides when a host tries to connect again to an upstream that it did not reach. It
// answers upstreams that are gone without notice while all others are busy: were requests to
// find out whether such an upstream is back, each of them would wait for its connection.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// DueReconnects returns the upstreams to which the caller must try to make a connection now, and
// when the next ones will be due; zero if none will. The caller reports the result of each to
// RecordReconnect. Until a connection was made, the upstream gets no attempts.
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

// RecordSlowDial records that a connection to an upstream, which this host began to open at a time,
// takes longer than the network and a running upstream take. It reports whether a reconnect is due
// some time later: the upstream has not responded since.
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
