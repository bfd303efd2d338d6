package host

import (
	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// minFleet is the smallest fleet that a host assumes, in hosts like itself.
	minFleet = 3
	// idleWeight is the weight of a host that callers are not told, against that
	// of others of its capacity: it serves callers with old addresses only.
	idleWeight = 0.2
)

// A fleetView is what one host makes of the members of the fleet. It is immutable.
type fleetView struct {
	host    string
	members []roster.Member
	// able are the members that may dial, those that callers are told preferred.
	able []contender
	// told holds the hosts that callers are told while all members work.
	told map[string]bool
	// share is the part of the load of all hosts that this one carries, 0 to 1.
	share float64
	// needed is how many connections to one upstream all hosts need together.
	needed float64
}

func newFleetView(host string, members []roster.Member) fleetView {
	told := toldHosts(members)
	v := fleetView{host: host, members: members, told: told, share: loadShare(host, members, told)}
	for _, m := range members {
		if m.CanOwn() {
			v.needed += v.need(m)
			v.able = append(v.able, contender{member: m, hash: xxhash.Sum64String(m.Host()), preferred: told[m.Host()]})
		}
	}
	return v
}

// need returns how many connections to one upstream a host needs to dial it.
func (v fleetView) need(m roster.Member) float64 {
	if v.told[m.Host()] {
		return connectionsNeeded
	}
	return connectionsNeeded * idleWeight
}

// loadShare returns the part of the load of all hosts that one is expected to
// carry, 0 to 1: its part of bounds that hold for all hosts together. All members
// count, whatever their state, since who is cut off from the others cannot know which
// of them still work.
func loadShare(host string, members []roster.Member, told map[string]bool) float64 {
	largest := 1
	for _, m := range members {
		largest = max(largest, m.Capacity())
	}
	own, total := 0.0, 0.0
	for _, m := range members {
		weight := float64(m.Capacity())
		switch {
		case m.Capacity() == 0:
			weight = float64(largest)
		case !told[m.Host()]:
			weight *= idleWeight
		}
		total += weight
		if m.Host() == host {
			own = weight
		}
	}
	if own == 0 {
		return 0
	}
	return own / max(total, minFleet*own)
}

// toldHosts returns the hosts that callers of some data centre are told while all
// members work.
func toldHosts(members []roster.Member) map[string]bool {
	told := make(map[string]bool)
	dataCenters := make(map[string]bool)
	for _, m := range members {
		if dataCenters[m.DataCenter()] {
			continue
		}
		dataCenters[m.DataCenter()] = true
		for _, t := range chooseHosts(members, m.DataCenter()) {
			told[t.Host()] = true
		}
	}
	return told
}
