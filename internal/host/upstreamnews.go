package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// news returns the news for a message to another host.
func (h *Host) news() []*wire.UpstreamNews {
	now := time.Now()
	var encoded []*wire.UpstreamNews
	for _, n := range h.newsBoard.Recent(now) {
		encoded = append(encoded, &wire.UpstreamNews{
			Upstream: n.UpstreamID(), Lifetime: n.Lifetime(), Leaving: n.IsLeaving(), LimitStated: !n.IsLeaving(), Limit: n.Limit(), AgeMicros: now.Sub(n.At()).Microseconds(),
		})
	}
	return encoded
}

// applyNews handles the news in a message of another host.
func (h *Host) applyNews(source string, list []*wire.UpstreamNews) {
	now := time.Now()
	for _, encoded := range list[:min(inventory.MaxNewsPerMessage, len(list))] {
		age := time.Duration(encoded.GetAgeMicros()) * time.Microsecond
		if age < 0 || age > inventory.MaxNewsAge || encoded.GetLeaving() == encoded.GetLimitStated() || !upstream.IsPlausibleLimit(encoded.GetLimit()) {
			continue
		}
		u, ok := h.lifetimeOf(encoded)
		if !ok {
			continue
		}
		n := inventory.NewLimitNews(u, encoded.GetLimit(), now.Add(-age))
		if encoded.GetLeaving() {
			n = inventory.NewLeavingNews(u, now.Add(-age))
		}
		switch {
		case !h.newsBoard.Record(now, n):
		case n.IsLeaving():
			h.applyLeaving(u, source)
		default:
			h.pool(u.Service()).RecordLimit(now, u, n.Limit(), n.At())
		}
	}
}

// recordLimit records a change of the limit that an upstream has stated. err is set if it is an
// implausible one.
func (h *Host) recordLimit(u inventory.Upstream, limit float64, at time.Time, err error) {
	h.newsBoard.Record(time.Now(), inventory.NewLimitNews(u, limit, at))
	h.requestLog.recordLimit(u, limit, err)
}

// lifetimeOf returns the upstream that news is about, if this host knows its lifetime.
func (h *Host) lifetimeOf(n *wire.UpstreamNews) (inventory.Upstream, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	u, ok := h.inventory.Upstream(n.GetUpstream())
	return u, ok && u.LifetimeKey() == n.GetLifetime()
}
