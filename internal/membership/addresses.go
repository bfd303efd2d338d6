package membership

import (
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// minAdvertisedHosts is the minimum number of hosts that are advertised to a
	// caller, if the fleet has as many. A caller needs a second host when the first
	// one fails.
	minAdvertisedHosts = 2
	// largeHostCapacityRatio is the capacity from which a host counts as large,
	// relative to the largest capacity in the fleet.
	largeHostCapacityRatio = 0.5
	// minLargeHostsCapacityRatio is the part of the capacity of all candidates, the
	// hosts of a data centre or of the fleet, that the large ones must have for the
	// others not to be advertised. The ratio can be small because hosts are sized for
	// several times their typical load.
	minLargeHostsCapacityRatio = 0.15
	// minReachingCapacityRatio is the part of all capacity that the hosts which reach upstreams
	// must have to be advertised alone. With less, partitioned hosts are advertised as well;
	// they serve callers through the others.
	minReachingCapacityRatio = 0.5
)

// AdvertisedAddresses returns the entry addresses of the hosts advertised to callers of
// a data centre. Only hosts that are alive and have an entry address are advertised, and only
// those that reach upstreams if they can carry the load.
func AdvertisedAddresses(members []roster.Member, dataCenter string) []string {
	var available, reaching []roster.Member
	for _, m := range members {
		if m.State() != roster.Alive || m.EntryAddress() == "" {
			continue
		}
		available = append(available, m)
		if !m.IsPartitioned() {
			reaching = append(reaching, m)
		}
	}
	if len(reaching) >= minAdvertisedHosts && float64(totalCapacity(reaching)) >= minReachingCapacityRatio*float64(totalCapacity(available)) {
		available = reaching
	}
	var addresses []string
	for _, m := range AdvertisedHosts(available, dataCenter) {
		addresses = append(addresses, m.EntryAddress())
	}
	return addresses
}

// AdvertisedHosts selects, among members, the hosts for callers of a data
// centre. It returns the first of these sets that meets its condition:
//
//  1. the large hosts of the data centre, if canReplaceAll holds for them,
//  2. the large hosts of all data centres, if canReplaceAll holds for them,
//  3. all hosts of the data centre, if there are at least minAdvertisedHosts,
//  4. all hosts of the fleet.
//
// Large hosts are preferred because, in a fleet of hosts of different capacity, small
// hosts take longer for a search over many shards than a caller waits. Besides, a few
// hosts with much traffic have better statistics of the upstreams than many hosts
// with little traffic.
func AdvertisedHosts(members []roster.Member, dataCenter string) []roster.Member {
	var local []roster.Member
	largestCapacity := 0
	for _, m := range members {
		largestCapacity = max(largestCapacity, m.Capacity())
		if m.DataCenter() == dataCenter {
			local = append(local, m)
		}
	}
	for _, candidates := range [][]roster.Member{local, members} {
		if large := selectLargeHosts(candidates, largestCapacity); canReplaceAll(large, candidates) {
			return large
		}
	}
	if len(local) < minAdvertisedHosts {
		return members
	}
	return local
}

// canReplaceAll reports whether the large hosts can be advertised instead of all
// hosts: they are at least minAdvertisedHosts, and have minLargeHostsCapacityRatio of
// the capacity.
func canReplaceAll(large, all []roster.Member) bool {
	return len(large) >= minAdvertisedHosts && float64(totalCapacity(large)) >= minLargeHostsCapacityRatio*float64(totalCapacity(all))
}

func totalCapacity(members []roster.Member) int {
	sum := 0
	for _, m := range members {
		sum += m.Capacity()
	}
	return sum
}

// selectLargeHosts returns the members with at least largeHostCapacityRatio of the
// largest capacity.
func selectLargeHosts(members []roster.Member, largestCapacity int) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool {
		return float64(m.Capacity()) < largeHostCapacityRatio*float64(largestCapacity)
	})
}
