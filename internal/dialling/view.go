// Package dialling decides, from the members of the fleet, which hosts open connections to the
// upstreams of a service, and each host's part of the limits that apply to all hosts together. It
// does no I/O and reads no clock.
package dialling

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// MinFleetSize limits the load share of a host to 1/MinFleetSize: a host assumes
	// that the fleet has at least this many hosts of its own weight.
	MinFleetSize = 3
	// unadvertisedHostWeight is the weight of a host that is not advertised, relative
	// to an advertised host of the same capacity. Only callers with outdated
	// addresses use a host that is not advertised.
	unadvertisedHostWeight = 0.2
	// usableExtraSlack is the part of the limit on extra attempts that the hosts use. The rest
	// is a margin: each host has its own windows, and all hosts together must stay within the
	// limit.
	usableExtraSlack = 0.75
	// remoteLimitWeight is the weight of a host in another data centre than the upstream,
	// relative to one in the same, when a limit on requests is divided among the hosts. Hosts
	// prefer upstreams of their own data centre.
	remoteLimitWeight = 0.3
)

// A View holds what one host derives from the list of members. It is immutable.
type View struct {
	host    string
	members []roster.Member
	// dialCandidates are the members that may dial; advertised hosts are preferred. Hosts that
	// reach no upstream are not among them.
	dialCandidates []candidate
	// detours are hosts that run this host's attempts at services that all hosts dial, while
	// it reaches no upstream itself.
	detours []roster.Member
	// advertised holds the names of the hosts that are advertised in at least one data
	// centre while all members are available.
	advertised map[string]bool
	// loadShare is the part of the fleet's load that the host is expected to carry, 0
	// to 1/MinFleetSize.
	loadShare float64
	// connectionShare is the part of the connections of upstreams that this host may use if
	// all hosts dial: its load share among the hosts that reach upstreams.
	connectionShare float64
	// limitShares is the part of the limits on requests that upstreams of a data centre state
	// which this host may use if all hosts dial.
	limitShares map[string]float64
	// totalConnections is the sum of connectionsFor of all dial candidates.
	totalConnections float64
}

// NewView returns the view of a host that knows these members.
func NewView(host string, members []roster.Member) View {
	advertised := allAdvertisedHosts(members)
	v := View{host: host, members: members, advertised: advertised, loadShare: loadShare(host, members, advertised)}
	v.limitShares = limitShares(host, members, advertised)
	v.connectionShare = weightShare(host, members, reachingWeights(host, members, loadWeights(members, advertised)))
	v.detours = selectDetours(v)
	for _, m := range members {
		if m.CanOwn() && !m.IsPartitioned() {
			v.totalConnections += v.connectionsFor(m)
			v.dialCandidates = append(v.dialCandidates, candidate{member: m, hash: xxhash.Sum64String(m.Host()), preferred: advertised[m.Host()]})
		}
	}
	return v
}

// ConnectionShare returns the part, 0 to 1/MinFleetSize, of the connections of upstreams that the
// host may use if all hosts dial.
func (v View) ConnectionShare() float64 { return v.connectionShare }

// Detours returns the hosts that run the host's attempts while it reaches no upstream itself.
func (v View) Detours() []roster.Member { return v.detours }

// ExtraSlack returns the host's part of a number of extra attempts that all hosts together may make.
func (v View) ExtraSlack(total float64) float64 { return total * usableExtraSlack * v.loadShare }

// MemberCount returns the number of members, with this host.
func (v View) MemberCount() int { return len(v.members) }

// dataCenter returns the data centre of the host; "" if it is not a member.
func (v View) dataCenter() string {
	if i := slices.IndexFunc(v.members, func(m roster.Member) bool { return m.Host() == v.host }); i >= 0 {
		return v.members[i].DataCenter()
	}
	return ""
}

// connectionsFor returns how many connections to one upstream a dialling host needs;
// for a host that is not advertised, this is a fraction of advertisedHostConnections.
func (v View) connectionsFor(m roster.Member) float64 {
	if v.advertised[m.Host()] {
		return advertisedHostConnections
	}
	return advertisedHostConnections * unadvertisedHostWeight
}

// loadShare returns the part of the fleet's load that a host is expected to carry, 0
// to 1/MinFleetSize. The host gets the same part of each limit that applies to the
// fleet as a whole. Members of unknown capacity weigh as much as the largest host.
// Members count in any state, since a host that is cut off cannot find out which of
// the other hosts still run. The share is zero if the host is not a member.
func loadShare(host string, members []roster.Member, advertised map[string]bool) float64 {
	return weightShare(host, members, loadWeights(members, advertised))
}

// loadWeights returns the load that each member is expected to carry, relative to the
// others.
func loadWeights(members []roster.Member, advertised map[string]bool) []float64 {
	largestCapacity := 1
	for _, m := range members {
		largestCapacity = max(largestCapacity, m.Capacity())
	}
	weights := make([]float64, len(members))
	for i, m := range members {
		weights[i] = float64(m.Capacity())
		switch {
		case m.Capacity() == 0:
			weights[i] = float64(largestCapacity)
		case !advertised[m.Host()]:
			weights[i] *= unadvertisedHostWeight
		}
	}
	return weights
}

// reachingWeights returns the weights without those of other hosts that reach no upstream.
func reachingWeights(host string, members []roster.Member, weights []float64) []float64 {
	reaching := slices.Clone(weights)
	for i, m := range members {
		if m.IsPartitioned() && m.Host() != host {
			reaching[i] = 0
		}
	}
	return reaching
}

// weightShare returns the part of the total weight that a host has, 0 to 1/MinFleetSize.
func weightShare(host string, members []roster.Member, weights []float64) float64 {
	own, total := 0.0, 0.0
	for i, m := range members {
		total += weights[i]
		if m.Host() == host {
			own = weights[i]
		}
	}
	if own == 0 {
		return 0
	}
	return own / max(total, MinFleetSize*own)
}

// limitShares returns the part of the limits on requests that a host may use, by data
// centre of the upstreams: its part of the expected load, where hosts of the same data centre
// weigh more. Hosts that reach no upstream do not count. Dead members do not count as long
// as most members live: a host that is cut off with few others keeps its part.
func limitShares(host string, members []roster.Member, advertised map[string]bool) map[string]float64 {
	weights := reachingWeights(host, members, loadWeights(members, advertised))
	dead := 0
	dataCenters := make(map[string]bool)
	for _, m := range members {
		dataCenters[m.DataCenter()] = true
		if m.State() == roster.Dead {
			dead++
		}
	}
	shares := make(map[string]float64, len(dataCenters))
	for dc := range dataCenters {
		local := slices.Clone(weights)
		for i, m := range members {
			if m.DataCenter() != dc {
				local[i] *= remoteLimitWeight
			}
			if m.State() == roster.Dead && m.Host() != host && 2*dead < len(members) {
				local[i] = 0
			}
		}
		shares[dc] = weightShare(host, members, local)
	}
	return shares
}

// allAdvertisedHosts returns the names of the hosts that are advertised in at least one data
// centre while all members are available.
func allAdvertisedHosts(members []roster.Member) map[string]bool {
	advertised := make(map[string]bool)
	dataCenters := make(map[string]bool)
	for _, m := range members {
		if dataCenters[m.DataCenter()] {
			continue
		}
		dataCenters[m.DataCenter()] = true
		for _, a := range membership.AdvertisedHosts(members, m.DataCenter()) {
			advertised[a.Host()] = true
		}
	}
	return advertised
}
