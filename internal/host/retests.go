package host

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

const (
	// retestInterval is the least time between two looks for upstreams that are due for a
	// retest.
	retestInterval = 50 * time.Millisecond
	// retestTimeout bounds a retest.
	retestTimeout = 250 * time.Millisecond
)

// runRetests tries to connect to the upstreams that this host did not reach, when its pools say
// so, until the context ends.
func (h *Host) runRetests(ctx context.Context) {
	ticker := time.NewTicker(retestInterval)
	defer ticker.Stop()
	var next time.Time
	for {
		select {
		case <-h.retestsDue:
		case now := <-ticker.C:
			if next.IsZero() || now.Before(next) {
				continue
			}
		case <-ctx.Done():
			return
		}
		next = h.startRetests(ctx, time.Now())
	}
}

// startRetests starts the retests that are due and returns when the next ones are; zero if none
// will be.
func (h *Host) startRetests(ctx context.Context, now time.Time) (next time.Time) {
	h.mu.RLock()
	pools := make([]*pool.Pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.RUnlock()
	for _, p := range pools {
		due, at := p.DueRetests(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
		for _, u := range due {
			h.group.Go(func() { h.retest(ctx, p, u) })
		}
	}
	return next
}

func (h *Host) retest(ctx context.Context, p *pool.Pool, u inventory.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, retestTimeout)
	defer cancel()
	isReached := h.links.Reaches(ctx, u)
	p.RecordRetest(time.Now(), u, isReached)
	h.scheduleRetests()
	if !isReached {
		h.Metrics.retests.WithLabelValues("unreachable").Inc()
		return
	}
	h.Metrics.retests.WithLabelValues("reached").Inc()
	h.Log.WithFields(map[string]any{"upstream": u.ID(), "service": u.Service(), "address": u.Address()}).Info("upstream reached again")
}

// recordSlowDial records that a connection to an upstream takes long to open.
func (h *Host) recordSlowDial(upstreamID string, startedAt time.Time) {
	h.links.RecordSlowDial(startedAt)
	h.mu.RLock()
	u, ok := h.inventory.Upstream(upstreamID)
	h.mu.RUnlock()
	if ok && h.pool(u.Service()).RecordSlowDial(time.Now(), u, startedAt) {
		h.scheduleRetests()
	}
}

// scheduleRetests has runRetests look for upstreams that it has to connect to.
func (h *Host) scheduleRetests() {
	select {
	case h.retestsDue <- struct{}{}:
	default:
		// A look is already due.
	}
}
