package host

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/linkcheck"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

var _ dispatch.Links = (*linkcheck.Checker)(nil)

// newLinks returns the checker of this host's links to the upstreams.
func (h *Host) newLinks() *linkcheck.Checker {
	c := linkcheck.New(h.Seed ^ xxhash.Sum64String(h.Self.Host()))
	c.Host, c.Prober, c.Peers, c.Tasks = h.Self.Host(), h.Upstreams, h.HostTransport, &h.group
	c.InService = func() []inventory.Upstream {
		h.mu.RLock()
		defer h.mu.RUnlock()
		return h.inventory.InService(time.Now())
	}
	c.Upstream = func(id string) (inventory.Upstream, bool) {
		h.mu.RLock()
		defer h.mu.RUnlock()
		return h.inventory.Upstream(id)
	}
	c.Members = h.members
	c.Detours = func() []roster.Member {
		h.mu.RLock()
		defer h.mu.RUnlock()
		return h.view.Detours()
	}
	c.OnProbe = func(id string, r upstream.Reachability) { h.requestLog.recordProbe(id, r) }
	c.OnChange = h.applyLinkChange
	return c
}

// CheckUpstream implements peer.HostHandler.
func (h *Host) CheckUpstream(ctx context.Context, r *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error) {
	return h.links.Answer(ctx, r), nil
}

// applyLinkChange tells the other hosts and the log that this host has lost the links to all
// upstreams, or that they work again. After a loss it gives up the connections that may not work.
func (h *Host) applyLinkChange(isPartitioned bool) {
	summary := h.links.Summary(time.Now())
	h.group.Go(func() { h.fleet.SetPartitioned(context.Background(), isPartitioned) })
	if !isPartitioned {
		h.Metrics.partitioned.Set(0)
		h.Log.WithFields(linkFields(summary)).Warn("host reaches upstreams again")
		return
	}
	h.Metrics.partitioned.Set(1)
	h.Log.WithFields(linkFields(summary)).Warn("host reaches no upstream")
	h.forgetUnanswered(h.links.FailingSince())
	h.closeLostConnections()
}

// closeLostConnections gives up the connections that are being opened and closes the idle ones
// that may not work, so that their attempts go through other hosts.
func (h *Host) closeLostConnections() {
	h.Upstreams.AbortDials()
	h.mu.RLock()
	list := h.inventory.InService(time.Now())
	h.mu.RUnlock()
	for _, u := range list {
		if !h.links.AllowsConnection(u.LifetimeKey()) {
			h.Upstreams.CloseIdleConnections(u.ID())
		}
	}
}

// forgetUnanswered discards the attempts without a response that began after a time.
func (h *Host) forgetUnanswered(since time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.pools {
		p.ForgetUnanswered(since)
	}
}
