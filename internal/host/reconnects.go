package host

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

const (
	// reconnectInterval is how often runReconnects checks whether the next reconnect is due.
	reconnectInterval = 50 * time.Millisecond
	// reconnectTimeout bounds the time to open one connection.
	reconnectTimeout = 250 * time.Millisecond
)

// runReconnects starts the reconnects that the pools have due until the context ends. It runs them
// when next is over, and at once after scheduleReconnects.
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

// startReconnects starts the reconnects that are due in all pools. It returns when the next one is
// due; zero if none is known.
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

// reconnect opens a connection to an upstream, without a request, and tells its pool whether that
// succeeded.
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

// recordSlowDial records that a connection to an upstream, begun at startedAt, is still not open.
// Its pool then sends no requests there until a reconnect has succeeded.
func (h *Host) recordSlowDial(upstreamID string, startedAt time.Time) {
	h.links.RecordSlowDial(startedAt)
	h.mu.RLock()
	u, ok := h.inventory.Upstream(upstreamID)
	h.mu.RUnlock()
	if ok && h.pool(u.Service()).RecordSlowDial(time.Now(), u, startedAt) {
		h.scheduleReconnects()
	}
}

// scheduleReconnects has runReconnects check the pools at once.
func (h *Host) scheduleReconnects() {
	select {
	case h.reconnectsDue <- struct{}{}:
	default:
		// A check is already scheduled.
	}
}
