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
	// have to be told alone.
	spareShare = 0.25
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

// chooseHosts returns the hosts for callers of a data centre: those of their own
// data centre if there are enough, or else all; and of these the large ones if they
// can carry the load. It answers the load of a fleet of unlike hosts: a search over
// many shards takes a small host longer than a caller waits, and few hosts that see
// much know the upstreams better than many that see little.
func chooseHosts(members []roster.Member, dataCenter string) []roster.Member {
	var near []roster.Member
	for _, m := range members {
		if m.DataCenter() == dataCenter {
			near = append(near, m)
		}
	}
	if len(near) < enoughHosts {
		near = members
	}
	return largeHosts(near)
}

// largeHosts returns the large ones of some hosts, or all if these are too few.
func largeHosts(members []roster.Member) []roster.Member {
	largest, total, sum := 0, 0, 0
	for _, m := range members {
		largest = max(largest, m.Capacity())
		total += m.Capacity()
	}
	large := slices.DeleteFunc(slices.Clone(members), func(m roster.Member) bool {
		return float64(m.Capacity()) < largeShare*float64(largest)
	})
	for _, m := range large {
		sum += m.Capacity()
	}
	if len(large) < enoughHosts || float64(sum) < spareShare*float64(total) {
		return members
	}
	return large
}
