package pool

// This file decides when attempts go through other hosts that reach the upstreams. It answers
// cuts between this host and upstreams that other hosts reach.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// Links tells which connections of this host to upstreams work. It identifies upstreams by
// the key of their lifetime and is safe for concurrent use.
type Links interface {
	// AllowsConnection reports whether an attempt may use an open connection.
	AllowsConnection(lifetime uint64) bool
	// AllowsDial reports whether a new connection may be made.
	AllowsDial(now time.Time, lifetime uint64) bool
	// IsPartitioned reports whether this host cannot make connections to any upstream.
	IsPartitioned() bool
	// IsReaching reports whether a dialling host is known to reach upstreams.
	IsReaching(address string) bool
}

// HasOwnLink reports whether this host reaches any upstream of the service itself that is
// neither retired nor down nor resting.
func (p *Pool) HasOwnLink(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return !m.upstream.IsDiallingHost() && m.isUsable(now) && p.hasLink(now, m)
	})
}

// usableMembers returns the members that may get an attempt: the hosts that send to cold
// upstreams, if all that this host reaches are cold and it has no turn there; the detours, if this host
// reaches no upstream of the service itself and they are not excluded; all others otherwise,
// without those that the attempt avoids if there are more.
func (p *Pool) usableMembers(now time.Time, r Requirements) []*member {
	if p.isEvacuated(now) {
		return nil
	}
	firstSender := len(p.members) - p.senderCount
	firstDetour := firstSender - p.detourCount
	direct, detours := p.members[:firstDetour], p.members[firstDetour:firstSender]
	if senders := p.usableSenders(now, r, direct); len(senders) > 0 {
		return senders
	}
	if len(detours) == 0 || r.DirectOnly {
		return direct
	}
	isCut := false
	for _, m := range direct {
		switch {
		case m.upstream.Eligibility(now) == inventory.Retired || m.isResting(now) || r.excludes(m):
		case !r.avoids(m) && !m.isDown(now) && p.hasLink(now, m):
			return withoutAvoided(direct, r)
		default:
			isCut = true
		}
	}
	// Upstreams that are busy or rest need no detour.
	isUsable := func(m *member) bool {
		return m.isUsable(now) && !r.excludes(m) && len(m.running) < m.upstream.Slots()
	}
	if isCut && slices.ContainsFunc(detours, isUsable) {
		return detours
	}
	return direct
}

// withoutAvoided returns the members that an attempt does not avoid.
func withoutAvoided(members []*member, r Requirements) []*member {
	if !r.AvoidsOwnLinks && r.AvoidedDataCenter == "" {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), r.avoids)
}

// avoids reports whether the attempt avoids the link to a member.
func (r Requirements) avoids(m *member) bool {
	return !m.upstream.IsDiallingHost() && (r.AvoidsOwnLinks || (r.AvoidedDataCenter != "" && m.upstream.DataCenter() == r.AvoidedDataCenter))
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
