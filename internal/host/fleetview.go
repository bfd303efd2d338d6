package host

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// fleetChangeDelay is the delay after each update of the fleet view. The changes that
	// arrive during the delay, dozens after a start, are applied together.
	fleetChangeDelay = 200 * time.Millisecond
	// partitionedChangeDelay is this delay while this host depends on others that reach
	// upstreams.
	partitionedChangeDelay = 20 * time.Millisecond
)

// updateFleetView derives the view from the current members and discards the dial
// plans, which were computed from the previous view.
func (h *Host) updateFleetView() {
	members := h.fleet.Members()
	view := dialling.NewView(h.Self.Host(), members)
	h.allowances.invalidateView()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = view
	h.hasOtherHosts = slices.ContainsFunc(members, func(m roster.Member) bool { return m.State() == roster.Alive && m.Host() != h.Self.Host() })
	clear(h.dialPlans)
}

// handleFleetChanges updates the fleet view, and with it this host's share of the
// limits, after members have joined or left, until the context ends.
func (h *Host) handleFleetChanges(ctx context.Context) {
	for {
		select {
		case <-h.fleetChanges:
			h.applyFleetChange()
			delay := fleetChangeDelay
			if h.links.IsPartitioned() {
				delay = partitionedChangeDelay
			}
			work.Sleep(ctx, delay)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) applyFleetChange() {
	h.updateFleetView()
	h.mu.Lock()
	defer h.mu.Unlock()
	services := make([]string, 0, len(h.pools))
	for s := range h.pools {
		services = append(services, s)
	}
	h.configurePools(services)
}
