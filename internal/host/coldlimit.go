package host

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// memberSettlePeriod is how long after its start a host sends no requests to cold upstreams of
// a service with a limit: it does not know all other hosts, if these have started as well. When
// 63 hosts started at once under 1,000 searches a second and a rate of 100, at most 0.56 of what is
// allowed arrived in a second; without this period 0.82.
const memberSettlePeriod = time.Second

// coldPolicy returns the limit on this host's requests at a cold upstream of a service, nil for
// none, and the hosts that send some for it while any is cold. The caller holds h.mu.
func (h *Host) coldPolicy(now time.Time, service string, upstreams []inventory.Upstream) (*pool.ColdLimit, []inventory.Upstream) {
	if h.table == nil {
		return nil, nil
	}
	s := h.table.Service(service)
	isCold := func(u inventory.Upstream) bool { return now.Before(u.ColdUntil()) }
	if s.ColdRequestsPerSecond <= 0 || !slices.ContainsFunc(upstreams, isCold) {
		return nil, nil
	}
	limit, members := h.view.ColdPolicy(dialling.NewKey(service, s.MaxConnections), s.ColdRequestsPerSecond)
	if now.Sub(h.startedAt) < memberSettlePeriod {
		limit.Rate, limit.Burst = 0, 0
	}
	var relays []inventory.Upstream
	for _, m := range members {
		relays = append(relays, inventory.NewColdSender(service, m.GateAddress(), m.DataCenter(), maxRelayedAttempts))
	}
	return &limit, relays
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
