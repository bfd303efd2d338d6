package host

// This file decides how much of the requests that a cold upstream takes from all hosts is for
// this host. It answers the load of many hosts right after an upstream has become cold.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// A cold upstream crashes if more than 1.5 times the configured requests per second plus 5
// arrive in any second. Of these, the hosts send at most coldRateRatio times the rate, and
// accumulate at most coldBurstRatio times the rate plus coldBurstSlack. The rest is for
// requests that take up to 0.4 s longer to arrive than others, because a connection is opened
// for them, and for hosts that do not know of a new member yet.
const (
	coldRateRatio  = 0.85
	coldBurstRatio = 0.25
	coldBurstSlack = 4.0
)

// memberSettlePeriod is how long after its start a host sends no requests to cold upstreams of
// a service with a limit: it does not know all other hosts, if these have started as well. When
// 63 hosts started at once under 1,000 searches a second and a rate of 100, at most 0.56 of what is
// allowed arrived in a second; without this period 0.82.
const memberSettlePeriod = time.Second

// maxColdRelays bounds the hosts that run attempts at cold upstreams for one host.
const maxColdRelays = 16

// coldRefusalPeriod is how long, for each known host, a host that sends to cold upstreams is not
// asked again by one whose attempt it refused: at most 100 refused attempts a second and
// service arrive at it from all hosts.
const coldRefusalPeriod = 10 * time.Millisecond

// coldSenders returns the hosts that send requests to cold upstreams of a service that take
// perSecond each. Each of them may send one at any moment, so there are only as many as
// requests may accumulate; advertised hosts come first. Members count in any state: a host
// that is cut off cannot find out which of the others still send.
func coldSenders(perSecond float64, bucket int, v fleetView) []roster.Member {
	candidates := make([]candidate, 0, len(v.members))
	for _, m := range v.members {
		candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(m.Host()), preferred: v.advertised[m.Host()]})
	}
	return rankCandidates(candidates, bucket, int(min(coldBurst(perSecond), float64(len(candidates)))))
}

// coldBurst returns how many requests to one cold upstream may accumulate at all hosts.
func coldBurst(perSecond float64) float64 { return coldBurstRatio*perSecond + coldBurstSlack }

// coldLimit returns the part of a host in the requests that one cold upstream takes per second.
func coldLimit(perSecond float64, senders []roster.Member, v fleetView) pool.ColdLimit {
	limit := pool.ColdLimit{RefusalPeriod: time.Duration(len(v.members)) * coldRefusalPeriod}
	if slices.ContainsFunc(senders, func(m roster.Member) bool { return m.Host() == v.host }) {
		share := weightShare(v.host, senders, loadWeights(senders, v.advertised))
		limit.Rate, limit.Burst = coldRateRatio*perSecond*share, 1+(coldBurst(perSecond)-float64(len(senders)))*share
	}
	return limit
}

// coldRelays returns the hosts that run attempts at cold upstreams for this host, those of its
// data centre first, in an order that differs between hosts.
func coldRelays(service string, senders []roster.Member, v fleetView) (relays []inventory.Upstream) {
	dataCenter := v.dataCenter()
	var candidates []candidate
	for _, m := range senders {
		if m.State() == roster.Alive && !m.IsPartitioned() && m.Host() != v.host {
			candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(m.Host() + v.host), preferred: m.DataCenter() == dataCenter})
		}
	}
	for _, m := range rankCandidates(candidates, 0, maxColdRelays) {
		relays = append(relays, inventory.NewColdSender(service, m.GateAddress(), m.DataCenter(), maxRelayedAttempts))
	}
	return relays
}

// coldPolicy returns the limit on this host's requests at a cold upstream of a service, nil for
// none, and the hosts that send some for it while any is cold. Services that all hosts dial have
// the same senders, so that a search finds turns at all its shards; those of other services are
// among the dialling hosts. The caller holds h.mu.
func (h *Host) coldPolicy(now time.Time, service string, upstreams []inventory.Upstream) (*pool.ColdLimit, []inventory.Upstream) {
	if h.table == nil {
		return nil, nil
	}
	s := h.table.Service(service)
	isCold := func(u inventory.Upstream) bool { return now.Before(u.ColdUntil()) }
	if s.ColdRequestsPerSecond <= 0 || !slices.ContainsFunc(upstreams, isCold) {
		return nil, nil
	}
	bucket := 0
	if s.MaxConnections > 0 && h.view.totalConnections > usableConnectionRatio*float64(s.MaxConnections) {
		bucket = int(xxhash.Sum64String(service) % planBucketCount)
	}
	senders := coldSenders(s.ColdRequestsPerSecond, bucket, h.view)
	limit := coldLimit(s.ColdRequestsPerSecond, senders, h.view)
	if now.Sub(h.startedAt) < memberSettlePeriod {
		limit.Rate, limit.Burst = 0, 0
	}
	return &limit, coldRelays(service, senders, h.view)
}

// settle applies the limits at cold upstreams once memberSettlePeriod has passed.
func (h *Host) settle(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.settled || now.Sub(h.startedAt) < memberSettlePeriod {
		return
	}
	h.settled = true
	var services []string
	for s := range h.pools {
		if h.table != nil && h.table.Service(s).ColdRequestsPerSecond > 0 {
			services = append(services, s)
		}
	}
	h.configurePools(services)
}
