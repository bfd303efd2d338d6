package dialling

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	// usableConnectionRatio is the part of an upstream's connection limit that the
	// hosts use. The rest is for hosts that join and for connections that are being
	// closed.
	usableConnectionRatio = 0.8
	// planBucketCount is the number of plans for services with the same connection limit.
	planBucketCount = 1024
	// advertisedHostConnections is how many connections to one upstream an advertised
	// host needs. While a slow attempt occupies one connection, the next attempt uses
	// the other.
	advertisedHostConnections = 2.0
	// maxDiallingHosts bounds the dialling hosts to which one host relays its attempts
	// at a service.
	maxDiallingHosts = 4
	// maxDetours bounds the detours of a host, and maxNearDetours those in its own data centre,
	// of which all hosts may be cut from the upstreams. Until a host knows which others are,
	// it finds out by using them.
	maxDetours     = 8
	maxNearDetours = 3
	// diallingLimitRatio is the part of the limits on requests that is for the dialling hosts.
	// The rest is for the other hosts, which dial if they reach no dialling host.
	diallingLimitRatio = 0.9
)

// A Plan determines how a host reaches the upstreams of one service: over its own
// connections or through dialling hosts.
type Plan struct {
	// dialsUpstreams is set if this host is a dialling host of the service.
	dialsUpstreams bool
	// maxConnections is how many connections to one upstream this host may have. It is
	// at least one, also for a host that does not dial, because such a host connects to
	// upstreams itself when it reaches no dialling host.
	maxConnections int
	// diallingHosts are the hosts that run this host's attempts if it does not dial, detours
	// those that do so while it dials but reaches no upstream.
	diallingHosts, detours []roster.Member
	// limitShares is the part of the limits on requests that upstreams of a data centre state
	// which this host may use.
	limitShares map[string]float64
}

// A Key identifies the services that share a plan: the services in the same hash
// bucket with the same connection limit. With a fixed number of buckets, the cost of
// a change of the fleet does not depend on the number of services.
type Key struct {
	bucket int
	// connectionLimit is how many connections one upstream accepts from all hosts
	// together; zero if unknown.
	connectionLimit int
}

// NewKey returns the key of a service whose upstreams accept connectionLimit connections each
// from all hosts together; zero if unknown.
func NewKey(service string, connectionLimit int) Key {
	return Key{bucket: int(xxhash.Sum64String(service) % planBucketCount), connectionLimit: connectionLimit}
}

// NewPlan returns the plan for the services of a key. All hosts dial if the
// connection limit is unknown or its usable part suffices for the connections of all
// hosts. A fleet may have more hosts than an upstream accepts connections: then as
// many hosts dial as the usable part suffices for, but at least one, advertised hosts
// first, and the other hosts relay their attempts. Hosts with the same view of the
// members compute the same set of dialling hosts.
func NewPlan(k Key, v View) Plan {
	usable := usableConnectionRatio * float64(k.connectionLimit)
	if k.connectionLimit == 0 || v.totalConnections <= usable {
		return Plan{dialsUpstreams: true, maxConnections: max(1, int(usable*v.connectionShare)), limitShares: v.limitShares, detours: v.detours}
	}
	// maxCount bounds the candidates that are ranked: usable suffices for fewer
	// advertised hosts or, if it suffices for all advertised hosts, for fewer hosts
	// of any kind.
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
		return Plan{
			dialsUpstreams: true, maxConnections: max(1, int(usable*loadShare(v.host, dialling, v.advertised))),
			limitShares: scaleShares(limitShares(v.host, dialling, v.advertised), diallingLimitRatio),
			detours:     selectDiallingHosts(k.bucket, v, slices.DeleteFunc(dialling, func(m roster.Member) bool { return m.Host() == v.host })),
		}
	}
	return Plan{
		maxConnections: 1, diallingHosts: selectDiallingHosts(k.bucket, v, dialling), limitShares: scaleShares(v.limitShares, 1-diallingLimitRatio),
	}
}

// Detours returns the hosts that run this host's attempts while it dials but reaches no upstream.
func (p Plan) Detours() []roster.Member { return p.detours }

// DiallingHosts returns the hosts that run this host's attempts if it does not dial.
func (p Plan) DiallingHosts() []roster.Member { return p.diallingHosts }

// LimitShares returns the part, 0 to 1, of the limits on requests that upstreams of a data centre
// state which this host may use.
func (p Plan) LimitShares() map[string]float64 { return p.limitShares }

// MaxConnections returns how many connections to one upstream this host may have, at least one.
func (p Plan) MaxConnections() int { return p.maxConnections }

func scaleShares(shares map[string]float64, factor float64) map[string]float64 {
	scaled := make(map[string]float64, len(shares))
	for dc, s := range shares {
		scaled[dc] = factor * s
	}
	return scaled
}

// selectDiallingHosts returns up to maxDiallingHosts alive dialling hosts that run
// attempts for this host, which does not dial; hosts of its own data centre come
// first. The hash includes the name of this host, so that different hosts select
// different dialling hosts and the load is spread over all of them.
func selectDiallingHosts(bucket int, v View, dialling []roster.Member) []roster.Member {
	dataCenter := v.dataCenter()
	var candidates []candidate
	for _, m := range dialling {
		if m.State() == roster.Alive {
			hash := xxhash.Sum64String(m.Host() + v.host)
			candidates = append(candidates, candidate{member: m, hash: hash, preferred: m.DataCenter() == dataCenter})
		}
	}
	return rankCandidates(candidates, bucket, maxDiallingHosts)
}

// selectDetours returns up to maxDetours alive hosts that reach upstreams, in the order of
// rendezvous hashing, so that different hosts select different ones.
func selectDetours(v View) []roster.Member {
	dataCenter := v.dataCenter()
	var near, far []candidate
	for _, m := range v.members {
		if m.State() != roster.Alive || m.IsPartitioned() || m.Host() == v.host {
			continue
		}
		c := candidate{member: m, hash: xxhash.Sum64String(m.Host() + v.host)}
		if m.DataCenter() == dataCenter {
			near = append(near, c)
			continue
		}
		far = append(far, c)
	}
	nearCount := max(maxNearDetours, maxDetours-len(far))
	detours := rankCandidates(near, 0, nearCount)
	return append(detours, rankCandidates(far, 0, maxDetours-len(detours))...)
}

// A candidate is a member that can be selected for a bucket. hash identifies the
// candidate in rendezvous hashing.
type candidate struct {
	member    roster.Member
	hash      uint64
	preferred bool
}

// rankCandidates returns the first maxCount members in the order of rendezvous hashing,
// preferred candidates first. The order differs from bucket to bucket.
func rankCandidates(candidates []candidate, bucket, maxCount int) []roster.Member {
	type scoredCandidate struct {
		index     int
		preferred bool
		score     uint64
	}
	compare := func(a, b scoredCandidate) int {
		switch {
		case a.preferred == b.preferred:
			return cmp.Compare(a.score, b.score)
		case a.preferred:
			return -1
		default:
			return 1
		}
	}
	best := make([]scoredCandidate, 0, maxCount+1)
	for i := range candidates {
		s := scoredCandidate{index: i, preferred: candidates[i].preferred, score: roster.RendezvousScore(candidates[i].hash, bucket)}
		if len(best) == maxCount && compare(best[maxCount-1], s) <= 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, s, compare)
		best = slices.Insert(best, index, s)
		best = best[:min(len(best), maxCount)]
	}
	ranked := make([]roster.Member, 0, len(best))
	for _, s := range best {
		ranked = append(ranked, candidates[s.index].member)
	}
	return ranked
}
