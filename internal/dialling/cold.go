package dialling

// This file decides how much of the requests that a cold upstream takes from all hosts is for
// one host. It answers the load of many hosts right after an upstream has become cold.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// A cold upstream crashes if more than 1.5 times the configured rate plus 5 requests arrive in
// any second. All hosts together stay below that. The margin is for requests that arrive up to
// 0.4 s late, because a connection is opened for them, and for hosts that do not know of a new
// member yet.
const (
	// coldRateRatio is the part of the configured rate that all hosts together use.
	coldRateRatio = 0.85
	// coldBurstRatio times the rate plus coldBurstSlack is how many requests all hosts together
	// may accumulate while they send fewer.
	coldBurstRatio = 0.25
	coldBurstSlack = 4.0
)

// maxColdRelays bounds the hosts that run attempts at cold upstreams for one host.
const maxColdRelays = 16

// coldRefusalPeriod times the number of hosts is how long a host does not ask another one again that
// has refused to send its attempt to a cold upstream. All hosts together thus cause at most 100
// refusals a second and service at any of them.
const coldRefusalPeriod = 10 * time.Millisecond

// coldSenders returns the hosts that send requests to cold upstreams of a service that take
// perSecond each, advertised hosts first. Each sender may send a request at any moment, so there
// are no more senders than requests that may accumulate. Members count in any state, because a
// host that is cut off cannot find out which of the others still send.
func coldSenders(perSecond float64, bucket int, v View) []roster.Member {
	candidates := make([]candidate, 0, len(v.members))
	for _, m := range v.members {
		candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(m.Host()), preferred: v.advertised[m.Host()]})
	}
	return rankCandidates(candidates, bucket, int(min(coldBurst(perSecond), float64(len(candidates)))))
}

// coldBurst returns how many requests to one cold upstream may accumulate at all hosts.
func coldBurst(perSecond float64) float64 { return coldBurstRatio*perSecond + coldBurstSlack }

// coldLimit returns the limit on the requests of the host of a view at one cold upstream: its part
// of what all senders together may send, or no requests if it is not a sender.
func coldLimit(perSecond float64, senders []roster.Member, v View) pool.ColdLimit {
	limit := pool.ColdLimit{RefusalPeriod: time.Duration(len(v.members)) * coldRefusalPeriod}
	if slices.ContainsFunc(senders, func(m roster.Member) bool { return m.Host() == v.host }) {
		share := weightShare(v.host, senders, loadWeights(senders, v.advertised))
		limit.Rate, limit.Burst = coldRateRatio*perSecond*share, 1+(coldBurst(perSecond)-float64(len(senders)))*share
	}
	return limit
}

// ColdPolicy returns the limit on the host's requests at one cold upstream of a service that takes
// perSecond, and the hosts that run some of them for it, those of its data centre first, in an
// order that differs between hosts. Services that all hosts dial have the same senders, so that a
// search finds turns at all its shards; those of other services are among the dialling hosts.
func (v View) ColdPolicy(k Key, perSecond float64) (limit pool.ColdLimit, relays []roster.Member) {
	bucket := 0
	if k.connectionLimit > 0 && v.totalConnections > usableConnectionRatio*float64(k.connectionLimit) {
		bucket = k.bucket
	}
	senders := coldSenders(perSecond, bucket, v)
	return coldLimit(perSecond, senders, v), coldRelays(senders, v)
}

// coldRelays returns the hosts that run attempts at cold upstreams for the host of a view.
func coldRelays(senders []roster.Member, v View) []roster.Member {
	dataCenter := v.dataCenter()
	var candidates []candidate
	for _, m := range senders {
		if m.State() == roster.Alive && !m.IsPartitioned() && m.Host() != v.host {
			candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(m.Host() + v.host), preferred: m.DataCenter() == dataCenter})
		}
	}
	return rankCandidates(candidates, 0, maxColdRelays)
}
