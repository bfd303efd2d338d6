package host

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// advertisedHostConnections is how many connections to one upstream an advertised host
	// needs: with a second one, a slow attempt does not block the next attempt.
	advertisedHostConnections = 2.0
	// maxDiallingHosts bounds the dialling hosts to which one host relays its attempts
	// at a service.
	maxDiallingHosts = 4
)

// A dialPlan determines how a host reaches the upstreams of one service: over its own
// connections or through dialling hosts.
type dialPlan struct {
	// dialsUpstreams is set if this host is a dialling host of the service.
	dialsUpstreams bool
	// maxConnections is how many connections to one upstream this host may have. It is
	// at least one, also for a host that does not dial: it connects to upstreams when it
	// reaches no dialling host.
	maxConnections int
	// diallingHosts are the hosts that run this host's attempts if it does not dial.
	diallingHosts []roster.Member
}

// A planKey identifies the services that share a plan: those in the same hash bucket with
// the same connection limit. With a fixed number of buckets, the cost of a change of the
// fleet does not depend on the number of services.
type planKey struct {
	bucket         int
	maxConnections int
}

// newDialPlan returns the plan for the services of a key, whose upstreams each accept
// maxConnections connections from all hosts together. All hosts dial if the limit suffices
// for them or is unknown (zero); else as many hosts as the limit suffices for, advertised
// hosts first. The latter is for fleets with more hosts than an upstream accepts
// connections. Hosts with the same view of the members compute the same set of dialling
// hosts.
func newDialPlan(k planKey, v fleetView) dialPlan {
	usable := usableConnectionRatio * float64(k.maxConnections)
	if k.maxConnections == 0 || v.totalConnections <= usable {
		return dialPlan{dialsUpstreams: true, maxConnections: max(1, int(usable*v.loadShare))}
	}
	maxCount := 1 + int(usable/advertisedHostConnections)
	if float64(len(v.advertised))*advertisedHostConnections < usable {
		maxCount = 1 + int(usable/(advertisedHostConnections*unadvertisedHostWeight))
	}
	dialling := rankCandidates(v.dialCandidates, k.bucket, maxCount)
	count := 0
	for remaining := usable; count < len(dialling); count++ {
		if remaining -= v.connectionsFor(dialling[count]); remaining < 0 {
			break
		}
	}
	dialling = dialling[:min(len(dialling), max(1, count))]
	if slices.ContainsFunc(dialling, func(m roster.Member) bool { return m.Host() == v.host }) {
		return dialPlan{dialsUpstreams: true, maxConnections: max(1, int(usable*loadShare(v.host, dialling, v.advertised)))}
	}
	return dialPlan{maxConnections: 1, diallingHosts: selectDiallingHosts(k.bucket, v, dialling)}
}

// selectDiallingHosts returns the dialling hosts that run attempts for this host, which does
// not dial: hosts of its own data centre first. The hash includes the name of this host, so
// that the load is spread over the dialling hosts.
func selectDiallingHosts(bucket int, v fleetView, dialling []roster.Member) []roster.Member {
	dataCenter := ""
	if i := slices.IndexFunc(v.members, func(m roster.Member) bool { return m.Host() == v.host }); i >= 0 {
		dataCenter = v.members[i].DataCenter()
	}
	var candidates []candidate
	for _, m := range dialling {
		if m.State() == roster.Alive {
			hash := xxhash.Sum64String(m.Host() + v.host)
			candidates = append(candidates, candidate{member: m, hash: hash, preferred: m.DataCenter() == dataCenter})
		}
	}
	return rankCandidates(candidates, bucket, maxDiallingHosts)
}

// A candidate is a member that can be selected for a bucket.
type candidate struct {
	member    roster.Member
	hash      uint64
	preferred bool
}

// rankCandidates returns up to maxCount members by rendezvous hashing, preferred candidates
// first. The order differs from bucket to bucket.
func rankCandidates(candidates []candidate, bucket, maxCount int) []roster.Member {
	type position struct {
		index     int
		preferred bool
		score     uint64
	}
	compare := func(a, b position) int {
		switch {
		case a.preferred == b.preferred:
			return cmp.Compare(a.score, b.score)
		case a.preferred:
			return -1
		default:
			return 1
		}
	}
	best := make([]position, 0, maxCount+1)
	for i := range candidates {
		p := position{index: i, preferred: candidates[i].preferred, score: roster.RendezvousScore(candidates[i].hash, bucket)}
		if len(best) == maxCount && compare(best[maxCount-1], p) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, p, compare)
		best = slices.Insert(best, at, p)
		best = best[:min(len(best), maxCount)]
	}
	ranked := make([]roster.Member, 0, len(best))
	for _, p := range best {
		ranked = append(ranked, candidates[p.index].member)
	}
	return ranked
}
