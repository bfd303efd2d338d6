package host

import (
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// enoughHosts is how many hosts are told at least, so that a caller whose
	// choice fails has another one.
	enoughHosts = 2
	// largeShare is the share of the largest capacity from which a host is large.
	largeShare = 0.5
	// spareShare is the share of the capacity of all that the large hosts must
	// have to be told alone: hosts are sized for several times their usual load.
	spareShare = 0.15
)

// chooseAddresses returns the addresses that callers of a data centre should
// use.
func chooseAddresses(members []roster.Member, dataCenter string) []string {
	var sound []roster.Member
	for _, m := range members {
		if m.State() == roster.Alive && m.EntryAddress() != "" {
			sound = append(sound, m)
		}
	}
	var addresses []string
	for _, m := range chooseHosts(sound, dataCenter) {
		addresses = append(addresses, m.EntryAddress())
	}
	return addresses
}

// chooseHosts returns the hosts for callers of a data centre: the large ones of
// their own data centre, of all data centres if these are too few, or else whoever is
// near. It answers the load of a fleet of unlike hosts: a search over many shards
// takes a small host longer than a caller waits, and few hosts that see much know the
// upstreams better than many that see little.
func chooseHosts(members []roster.Member, dataCenter string) []roster.Member {
	var near []roster.Member
	largest := 0
	for _, m := range members {
		largest = max(largest, m.Capacity())
		if m.DataCenter() == dataCenter {
			near = append(near, m)
		}
	}
	for _, candidates := range [][]roster.Member{near, members} {
		if large := largeHosts(candidates, largest); carries(large, candidates) {
			return large
		}
	}
	if len(near) < enoughHosts {
		return members
	}
	return near
}

// carries reports whether some hosts are enough for the callers of all.
func carries(some, all []roster.Member) bool {
	return len(some) >= enoughHosts && float64(capacity(some)) >= spareShare*float64(capacity(all))
}

func capacity(members []roster.Member) int {
	sum := 0
	for _, m := range members {
		sum += m.Capacity()
	}
	return sum
}

// largeHosts returns the hosts that are large against the largest capacity.
func largeHosts(members []roster.Member, largest int) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool {
		return float64(m.Capacity()) < largeShare*float64(largest)
	})
}
