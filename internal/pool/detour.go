package pool

// This file decides when attempts go through other hosts that reach the upstreams. It answers
// cuts between this host and upstreams that other hosts reach.

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// usableMembers returns the members that may get an attempt: the detours, if this host
// reaches no upstream of the service itself and they are not excluded; all others otherwise.
func (p *Pool) usableMembers(now time.Time, r Requirements) []*member {
	direct, detours := p.members[:len(p.members)-p.detourCount], p.members[len(p.members)-p.detourCount:]
	if len(detours) == 0 || r.DirectOnly || !p.needsDetour(now, direct, r) {
		return direct
	}
	for _, m := range detours {
		if m.isUsable(now) && !r.excludes(m) && len(m.running) < m.upstream.Slots() {
			return detours
		}
	}
	return direct
}

// needsDetour reports whether this host's links keep it from all upstreams that could run an
// attempt. An upstream that is busy or rests does not need a detour.
func (p *Pool) needsDetour(now time.Time, direct []*member, r Requirements) bool {
	isCut := false
	for _, m := range direct {
		switch {
		case m.upstream.Eligibility(now) == inventory.Retired || m.isResting(now) || r.excludes(m):
		case r.AvoidsOwnLinks && !m.upstream.IsDiallingHost():
			isCut = true
		case !m.isDown(now) && p.hasLink(now, m):
			return false
		default:
			isCut = true
		}
	}
	return isCut
}

// hasLink reports whether this host has a connection to a member that works, or may make one.
// After a cut, hosts without a detour do not wait for their time to make new connections.
func (p *Pool) hasLink(now time.Time, m *member) bool {
	if p.Links == nil || m.upstream.IsDiallingHost() || p.Links.AllowsDial(now, m.upstream.LifetimeKey()) {
		return true
	}
	if p.IdleCount(m.upstream.ID()) > 0 && p.Links.AllowsConnection(m.upstream.LifetimeKey()) {
		return true
	}
	return !p.Links.IsPartitioned() && p.detourCount == 0
}
