package host

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// usableExtraRatio is the part of Settings.ExtraRatio, a limit on extra attempts, that
// the hosts use. The rest is a margin: each host has its own windows, and all hosts
// together must stay within the limit.
const usableExtraRatio = 0.85

// routeLatencyStats returns the latency statistics of a route. A route whose latency target
// changes starts with empty statistics.
func (h *Host) routeLatencyStats(r *routing.Route) *pool.LatencyStats {
	return h.latencyStatsFor(r.Name(), r.LatencyTarget(), r.Gathers())
}

// latencyStatsFor is routeLatencyStats for a route that another host has named, with its target.
func (h *Host) latencyStatsFor(route string, target time.Duration, gathers bool) *pool.LatencyStats {
	key := route + " " + target.String()
	return getOrCreate(&h.mu, h.latencyStats, key, func() *pool.LatencyStats { return pool.NewLatencyStats(target, gathers) })
}

// pool returns the pool of a service and creates it if needed.
func (h *Host) pool(service string) *pool.Pool {
	return getOrCreate(&h.mu, h.pools, service, func() *pool.Pool { return h.newPool(service) })
}

// getOrCreate returns the value of a key, creating it if needed. It acquires mu; create is
// called with mu held.
func getOrCreate[V any](mu *sync.RWMutex, values map[string]V, key string, create func() V) V {
	mu.RLock()
	v, ok := values[key]
	mu.RUnlock()
	if ok {
		return v
	}
	mu.Lock()
	defer mu.Unlock()
	if v, ok = values[key]; !ok {
		v = create()
		values[key] = v
	}
	return v
}

// configurePools creates or updates the pools of services. The caller holds h.mu.
func (h *Host) configurePools(services []string) {
	now := time.Now()
	for _, s := range services {
		if p, ok := h.pools[s]; ok {
			h.configurePool(now, p, s)
			continue
		}
		h.pools[s] = h.newPool(s)
	}
}

// configurePool sets the upstreams and the limits of a pool. The caller holds h.mu.
func (h *Host) configurePool(now time.Time, p *pool.Pool, service string) {
	plan := h.dialPlanFor(service)
	policy, upstreams := h.poolPolicy(plan), h.upstreamsFor(service, plan)
	coldLimit, coldRelays := h.coldPolicy(now, service, upstreams)
	policy.ColdLimit = coldLimit
	p.Configure(now, append(upstreams, coldRelays...), policy)
}

// poolPolicy returns the limits of this host for a service with the given plan.
// ExtraSlack and the connections are this host's share of limits for all hosts
// together; ExtraRatio applies to each request and is the same on all hosts. The
// caller holds h.mu.
func (h *Host) poolPolicy(plan dialling.Plan) pool.Policy {
	return pool.Policy{
		ExtraRatio:    h.Settings.ExtraRatio * usableExtraRatio,
		ExtraSlack:    h.view.ExtraSlack(h.Settings.ExtraSlack),
		Window:        time.Duration(h.Settings.ExtraWindowSeconds * float64(time.Second)),
		LoadShare:     h.view.ConnectionShare(),
		LimitShares:   plan.LimitShares(),
		MaxConcurrent: plan.MaxConnections(),
	}
}

// newPool returns a configured pool for a service. The caller holds h.mu.
func (h *Host) newPool(service string) *pool.Pool {
	p := &pool.Pool{DataCenter: h.Settings.DataCenter, Seed: h.Seed ^ xxhash.Sum64String(h.Self.Host()), IdleCount: h.Upstreams.IdleCount, Links: h.links, OnLimit: h.recordLimit, Recorder: h.Recorder}
	h.configurePool(time.Now(), p, service)
	return p
}
