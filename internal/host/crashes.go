package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/crashguard"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// initCrashGuard creates the guard and the alerts of this host.
func (h *Host) initCrashGuard() {
	a := crashguard.NewAlerts()
	a.Self, a.Members, a.Tasks, a.Log, a.Metrics = h.Self, h.members, &h.group, h.Log, h.Metrics.crashes
	a.AllowLine = func() bool { return h.requestLog.allowOrCountLine() }
	a.Tell = func(ctx context.Context, address string) error {
		_, err := h.exchangeGossip(ctx, address, nil)
		return err
	}
	h.alerts = a
	g := crashguard.NewGuard(h.startedAt)
	g.Self, g.Alerts, g.Peers, g.Members, g.Tasks, g.Log, g.Metrics = h.Self, a, h.HostTransport, h.members, &h.group, h.Log, h.Metrics.crashes
	g.SendUpdates = func(ctx context.Context) { h.fleet.SendUpdates(ctx) }
	g.HasResponded = func(lifetime uint64, since time.Time) bool { return h.links.RespondedSince(lifetime, since) }
	g.OnEnds = h.recordReportedEnds
	g.AllowLine = a.AllowLine
	g.LinkFields = func(now time.Time) logrus.Fields { return linkFields(h.links.Summary(now)) }
	h.guard = g
}

// TestRun implements peer.HostHandler.
func (h *Host) TestRun(_ context.Context, request *wire.TestRunRequest) (*wire.TestRunReply, error) {
	return h.guard.AnswerTestRun(request), nil
}

// recordReportedEnds has the pools avoid upstreams that have ended, as this or another host has
// found out, while an alert holds for their service.
func (h *Host) recordReportedEnds(crashes []quarantine.Crash) {
	for _, c := range crashes {
		if !h.alerts.HoldsFor(c.Service) {
			continue
		}
		h.mu.RLock()
		for service, p := range h.pools {
			if dispatch.ServiceKey(service) == c.Service {
				p.RecordReportedEnd(time.Now(), c.Upstream, c.At)
			}
		}
		h.mu.RUnlock()
	}
}
