package host

import (
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// minAdvertisedHosts is the minimum number of hosts that are advertised to a caller,
	// if the fleet has as many: a second host is needed if the first one fails.
	minAdvertisedHosts = 2
	// largeHostCapacityRatio is the capacity from which a host counts as large,
	// relative to the largest capacity in the fleet.
	largeHostCapacityRatio = 0.5
	// minLargeHostsCapacityRatio is the part of the total capacity that the large hosts
	// must have for only them to be advertised. It can be small because hosts are sized
	// for several times their typical load.
	minLargeHostsCapacityRatio = 0.15
)

// advertisedAddresses returns the entry addresses of the hosts advertised to callers of
// a data centre. Only hosts that are alive and have an entry address are advertised.
func advertisedAddresses(members []roster.Member, dataCenter string) []string {
	var available []roster.Member
	for _, m := range members {
		if m.State() == roster.Alive && m.EntryAddress() != "" {
			available = append(available, m)
		}
	}
	var addresses []string
	for _, m := range advertisedHosts(available, dataCenter) {
		addresses = append(addresses, m.EntryAddress())
	}
	return addresses
}

// advertisedHosts returns the hosts for callers of a data centre: the large hosts of
// that data centre; if their number or capacity is too small, the large hosts of all
// data centres; else all hosts of the data centre, or of the fleet if the data centre
// has fewer than minAdvertisedHosts.
//
// In a fleet of hosts of different capacity, small hosts take longer for a search over
// many shards than a caller waits. Besides, a few hosts with much traffic have better
// statistics of the upstreams than many hosts with little traffic.
func advertisedHosts(members []roster.Member, dataCenter string) []roster.Member {
	var local []roster.Member
	largest := 0
	for _, m := range members {
		largest = max(largest, m.Capacity())
		if m.DataCenter() == dataCenter {
			local = append(local, m)
		}
	}
	for _, candidates := range [][]roster.Member{local, members} {
		if large := largeHosts(candidates, largest); hasEnoughCapacity(large, candidates) {
			return large
		}
	}
	if len(local) < minAdvertisedHosts {
		return members
	}
	return local
}

// hasEnoughCapacity reports whether the hosts in some are enough, in number and in
// capacity, to be advertised instead of all hosts.
func hasEnoughCapacity(some, all []roster.Member) bool {
	return len(some) >= minAdvertisedHosts && float64(totalCapacity(some)) >= minLargeHostsCapacityRatio*float64(totalCapacity(all))
}

func totalCapacity(members []roster.Member) int {
	sum := 0
	for _, m := range members {
		sum += m.Capacity()
	}
	return sum
}

// largeHosts returns the members that are large relative to the largest capacity.
func largeHosts(members []roster.Member, largest int) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool {
		return float64(m.Capacity()) < largeHostCapacityRatio*float64(largest)
	})
}
