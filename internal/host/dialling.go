package host

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// connectionsNeeded is how many connections to one upstream a host needs that
	// callers are told: an attempt that is late must not hold up the next one.
	connectionsNeeded = 2.0
	// relayCount is how many of the hosts that dial a service one of the others
	// sends its attempts to.
	relayCount = 4
)

// A dialPlan says who dials the upstreams of one service.
type dialPlan struct {
	// dialling is set if this host does.
	dialling bool
	// connections is how many connections to one upstream this host may have, at
	// least one: a host that does not dial still may if it reaches none that does.
	connections int
	// relays are the hosts that run attempts for this one if it does not dial.
	relays []roster.Member
}

// A planKey names the services that share a plan: as many as fall into one bucket,
// so that a change of the fleet costs the same whatever the number of services.
type planKey struct {
	bucket      int
	connections int
}

// planDialling returns who dials the upstreams of some services, each of which takes
// some connections from all hosts together. All hosts do if the connections are
// enough or unknown (zero); else as many as have enough, those that callers are told
// first. It answers the load of a fleet with more hosts than an upstream takes
// connections. All hosts that know the same members agree.
func planDialling(k planKey, v fleetView) dialPlan {
	usable := connectionShare * float64(k.connections)
	if k.connections == 0 || v.needed <= usable {
		return dialPlan{dialling: true, connections: max(1, int(usable*v.share))}
	}
	most := 1 + int(usable/connectionsNeeded)
	if float64(len(v.told))*connectionsNeeded < usable {
		most = 1 + int(usable/(connectionsNeeded*idleWeight))
	}
	dialling := rank(v.able, k.bucket, most)
	count := 0
	for left := usable; count < len(dialling); count++ {
		if left -= v.need(dialling[count]); left < 0 {
			break
		}
	}
	dialling = dialling[:min(len(dialling), max(1, count))]
	if slices.ContainsFunc(dialling, func(m roster.Member) bool { return m.Host() == v.host }) {
		return dialPlan{dialling: true, connections: max(1, int(usable*loadShare(v.host, dialling, v.told)))}
	}
	return dialPlan{connections: 1, relays: chooseRelays(k.bucket, v, dialling)}
}

// chooseRelays returns the hosts that run attempts for one that does not dial:
// those of its own data centre first, different ones for different hosts.
func chooseRelays(bucket int, v fleetView, dialling []roster.Member) []roster.Member {
	dataCenter := ""
	if i := slices.IndexFunc(v.members, func(m roster.Member) bool { return m.Host() == v.host }); i >= 0 {
		dataCenter = v.members[i].DataCenter()
	}
	var alive []contender
	for _, m := range dialling {
		if m.State() == roster.Alive {
			hash := xxhash.Sum64String(m.Host() + v.host)
			alive = append(alive, contender{member: m, hash: hash, preferred: m.DataCenter() == dataCenter})
		}
	}
	return rank(alive, bucket, relayCount)
}

// A contender is a member that may be chosen for a bucket.
type contender struct {
	member    roster.Member
	hash      uint64
	preferred bool
}

// rank returns up to most contenders, the preferred ones first, in an order that is
// another one for each bucket (rendezvous hashing).
func rank(contenders []contender, bucket, most int) []roster.Member {
	type place struct {
		index     int
		preferred bool
		score     uint64
	}
	compare := func(a, b place) int {
		switch {
		case a.preferred == b.preferred:
			return cmp.Compare(a.score, b.score)
		case a.preferred:
			return -1
		default:
			return 1
		}
	}
	best := make([]place, 0, most+1)
	for i := range contenders {
		p := place{index: i, preferred: contenders[i].preferred, score: roster.RendezvousScore(contenders[i].hash, bucket)}
		if len(best) == most && compare(best[most-1], p) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, p, compare)
		best = slices.Insert(best, at, p)
		best = best[:min(len(best), most)]
	}
	ranked := make([]roster.Member, 0, len(best))
	for _, p := range best {
		ranked = append(ranked, contenders[p.index].member)
	}
	return ranked
}
