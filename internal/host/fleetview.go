package host

import (
	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// minFleetSize limits the load share of a host to 1/minFleetSize: a host assumes
	// that the fleet has at least this many hosts of its own weight.
	minFleetSize = 3
	// unadvertisedHostWeight is the weight of a host that is not advertised, relative
	// to an advertised host of the same capacity. Only callers with outdated
	// addresses use a host that is not advertised.
	unadvertisedHostWeight = 0.2
)

// A fleetView holds what one host derives from the list of members. It is immutable.
type fleetView struct {
	host    string
	members []roster.Member
	// dialCandidates are the members that may dial; advertised hosts are preferred.
	dialCandidates []candidate
	// advertised holds the names of the hosts that are advertised in at least one data
	// centre while all members are available.
	advertised map[string]bool
	// loadShare is the part of the fleet's load that the host is expected to carry, 0
	// to 1/minFleetSize.
	loadShare float64
	// totalConnections is the sum of connectionsFor of all dial candidates.
	totalConnections float64
}

func newFleetView(host string, members []roster.Member) fleetView {
	advertised := allAdvertisedHosts(members)
	v := fleetView{host: host, members: members, advertised: advertised, loadShare: loadShare(host, members, advertised)}
	for _, m := range members {
		if m.CanOwn() {
			v.totalConnections += v.connectionsFor(m)
			v.dialCandidates = append(v.dialCandidates, candidate{member: m, hash: xxhash.Sum64String(m.Host()), preferred: advertised[m.Host()]})
		}
	}
	return v
}

// connectionsFor returns how many connections to one upstream a dialling host needs;
// for a host that is not advertised, this is a fraction of advertisedHostConnections.
func (v fleetView) connectionsFor(m roster.Member) float64 {
	if v.advertised[m.Host()] {
		return advertisedHostConnections
	}
	return advertisedHostConnections * unadvertisedHostWeight
}

// loadShare returns the part of the fleet's load that a host is expected to carry, 0
// to 1/minFleetSize. The host gets the same part of each limit that applies to the
// fleet as a whole. Members of unknown capacity weigh as much as the largest host.
// Members count in any state, since a host that is cut off cannot find out which of
// the other hosts still run. The share is zero if the host is not a member.
func loadShare(host string, members []roster.Member, advertised map[string]bool) float64 {
	largestCapacity := 1
	for _, m := range members {
		largestCapacity = max(largestCapacity, m.Capacity())
	}
	own, total := 0.0, 0.0
	for _, m := range members {
		weight := float64(m.Capacity())
		switch {
		case m.Capacity() == 0:
			weight = float64(largestCapacity)
		case !advertised[m.Host()]:
			weight *= unadvertisedHostWeight
		}
		total += weight
		if m.Host() == host {
			own = weight
		}
	}
	if own == 0 {
		return 0
	}
	return own / max(total, minFleetSize*own)
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
		for _, a := range selectAdvertisedHosts(members, m.DataCenter()) {
			advertised[a.Host()] = true
		}
	}
	return advertised
}
