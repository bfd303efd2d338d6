package host

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

const (
	// reconnectInterval is the least time between two looks for upstreams that are due for a
	// reconnect.
	reconnectInterval = 50 * time.Millisecond
	// reconnectTimeout bounds a reconnect.
	reconnectTimeout = 250 * time.Millisecond
)

// runReconnects tries to connect to the upstreams that this host did not reach, when its pools say
// so, until the context ends.
func (h *Host) runReconnects(ctx context.Context) {
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	var next time.Time
	for {
		select {
		case <-h.reconnectsDue:
		case now := <-ticker.C:
			if next.IsZero() || now.Before(next) {
				continue
			}
		case <-ctx.Done():
			return
		}
		next = h.startReconnects(ctx, time.Now())
	}
}

// startReconnects starts the reconnects that are due and returns when the next ones are; zero if none
// will be.
func (h *Host) startReconnects(ctx context.Context, now time.Time) (next time.Time) {
	h.mu.RLock()
	pools := make([]*pool.Pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.RUnlock()
	for _, p := range pools {
		due, at := p.DueReconnects(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
		for _, u := range due {
			h.group.Go(func() { h.reconnect(ctx, p, u) })
		}
	}
	return next
}

func (h *Host) reconnect(ctx context.Context, p *pool.Pool, u inventory.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	isReached := h.links.Reaches(ctx, u)
	p.RecordReconnect(time.Now(), u, isReached)
	h.scheduleReconnects()
	if !isReached {
		h.Metrics.reconnects.WithLabelValues("unreachable").Inc()
		return
	}
	h.Metrics.reconnects.WithLabelValues("reached").Inc()
	h.Log.WithFields(map[string]any{"upstream": u.ID(), "service": u.Service(), "address": u.Address()}).Info("upstream reached again")
}

// recordSlowDial records that a connection to an upstream takes long to open.
func (h *Host) recordSlowDial(upstreamID string, startedAt time.Time) {
	h.links.RecordSlowDial(startedAt)
	h.mu.RLock()
	u, ok := h.inventory.Upstream(upstreamID)
	h.mu.RUnlock()
	if ok && h.pool(u.Service()).RecordSlowDial(time.Now(), u, startedAt) {
		h.scheduleReconnects()
	}
}

// scheduleReconnects has runReconnects look for upstreams that it has to connect to.
func (h *Host) scheduleReconnects() {
	select {
	case h.reconnectsDue <- struct{}{}:
	default:
		// A look is already due.
	}
}
