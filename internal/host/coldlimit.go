package host

// This file decides how much of the requests that a cold upstream takes from all hosts is for
// this host. It answers the load of many hosts right after an upstream has become cold.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
// a service with a limit: it does not know all other hosts, if these have started as well.
const memberSettlePeriod = 3 * time.Second

// coldLimit returns the part of a host in the requests that one cold upstream takes per second.
// Each host that sends any may send one at any moment, so only as many hosts do as
// requests may accumulate; advertised hosts come first. Members count in any state: a host
// that is cut off cannot find out which of the others still send. The zero value means that
// the host sends none.
func coldLimit(perSecond float64, bucket int, v fleetView) pool.ColdLimit {
	burst := coldBurstRatio*perSecond + coldBurstSlack
	candidates := make([]candidate, 0, len(v.members))
	for _, m := range v.members {
		candidates = append(candidates, candidate{member: m, hash: xxhash.Sum64String(m.Host()), preferred: v.advertised[m.Host()]})
	}
	senders := rankCandidates(candidates, bucket, int(min(burst, float64(len(candidates)))))
	if !slices.ContainsFunc(senders, func(m roster.Member) bool { return m.Host() == v.host }) {
		return pool.ColdLimit{}
	}
	share := weightShare(v.host, senders, loadWeights(senders, v.advertised))
	return pool.ColdLimit{Rate: coldRateRatio * perSecond * share, Burst: 1 + (burst-float64(len(senders)))*share}
}

// coldLimitFor returns the limit on this host's requests at a cold upstream of a service; nil
// for none. Services that all hosts dial have the same senders, so that a search finds turns at
// all its shards; those of other services are among the dialling hosts. The caller holds h.mu.
func (h *Host) coldLimitFor(now time.Time, service string) *pool.ColdLimit {
	if h.table == nil {
		return nil
	}
	s := h.table.Service(service)
	if s.ColdRequestsPerSecond <= 0 {
		return nil
	}
	if now.Sub(h.startedAt) < memberSettlePeriod {
		return &pool.ColdLimit{}
	}
	bucket := 0
	if s.MaxConnections > 0 && h.view.totalConnections > usableConnectionRatio*float64(s.MaxConnections) {
		bucket = int(xxhash.Sum64String(service) % planBucketCount)
	}
	limit := coldLimit(s.ColdRequestsPerSecond, bucket, h.view)
	return &limit
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
