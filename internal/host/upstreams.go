package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// updateInventory calls applyInventory.
func (h *Host) updateInventory(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyInventory(now)
}

// applyInventory applies the upstreams listed in the store to the inventory and to
// the pools of the services that changed. It does nothing before the first
// configuration. The caller holds h.mu.
func (h *Host) applyInventory(now time.Time) {
	if h.table == nil {
		return
	}
	begun, returned := h.updateEvacuation(now)
	changed, ended := h.inventory.Update(now, h.upstreamSpecs)
	h.recordEvacuations(begun)
	changed = append(changed, returned...)
	var crashes []pool.Crash
	for _, u := range ended {
		h.Log.WithFields(map[string]any{"upstream": u.ID(), "service": u.Service(), "address": u.Address()}).Info("entry of upstream vanished")
		p, ok := h.pools[u.Service()]
		if !ok {
			continue
		}
		if current, isKnown := h.inventory.Upstream(u.ID()); isKnown && !current.HasSameLifetime(u) {
			crashes = append(crashes, p.RecordEnd(now, u)...)
			continue
		}
		// The store may have lost the entry of an upstream that runs.
		if p.HasUnanswered(u) {
			h.dispatcher.CheckUnanswered(p, u, now)
		}
	}
	h.configurePools(changed)
	if len(crashes) > 0 {
		h.guard.RecordCrashes(crashes)
	}
}

// recordLeaving records that an upstream has stated that it leaves. If u is a dialling host,
// forwardedTo is the ID of the upstream.
func (h *Host) recordLeaving(u inventory.Upstream, forwardedTo string) {
	source := ""
	if u.IsDiallingHost() {
		source = u.Address()
		h.mu.RLock()
		known, ok := h.inventory.Upstream(forwardedTo)
		h.mu.RUnlock()
		if !ok {
			return
		}
		u = known
	}
	now := time.Now()
	h.newsBoard.Record(now, inventory.NewLeavingNews(u, now))
	h.applyLeaving(u, source)
}

// applyLeaving stops the use of an upstream that leaves. source is the host that has told
// this one; empty if the upstream itself has.
func (h *Host) applyLeaving(u inventory.Upstream, source string) {
	h.mu.Lock()
	service := h.inventory.RecordLeaving(time.Now(), u.ID())
	if service != "" {
		h.configurePools([]string{service})
	}
	h.mu.Unlock()
	if service == "" {
		return
	}
	h.Upstreams.CloseIdleConnections(u.ID())
	h.Metrics.leavingUpstreams.Inc()
	h.Log.WithFields(map[string]any{"upstream": u.ID(), "service": service, "told-by": source}).Info("upstream states that it leaves")
}
