package host

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// ratioShare and slackShare are what this program uses of the bound on extra
	// attempts, so that the windows of several hosts together stay below it.
	ratioShare = 0.85
	slackShare = 0.75
	// connectionShare is what is used of the connections of an upstream; the
	// rest is for hosts that join and for connections that are being closed.
	connectionShare = 0.8
	// fleetPause is the pause between two changes of the fleet that are taken in:
	// after a start they come in dozens.
	fleetPause = 200 * time.Millisecond
	// maxClasses bounds how many routes' times are remembered.
	maxClasses = 4096
)

// meaning is what a key meant at a revision.
type meaning struct {
	revision uint64
	DecodedRecord
	// peer is the host that registered itself there, if any.
	peer roster.Member
}

// recordsChanged takes all keys of the store after a change.
func (h *Host) recordsChanged(records []keyvalue.Change, revision uint64) {
	now := time.Now()
	var peers []roster.Member
	h.mu.Lock()
	h.specs = h.specs[:0]
	known := make(map[string]meaning, len(records))
	for _, r := range records {
		m := h.translate(r)
		known[r.Key()] = m
		if m.Table != nil {
			h.adopt(m.Table)
		}
		if m.Upstream != nil {
			h.specs = append(h.specs, *m.Upstream)
		}
		if m.PeerAddress != "" && m.PeerAddress != h.Self.GateAddress() {
			peers = append(peers, m.peer)
		}
	}
	h.meanings = known
	h.mu.Unlock()
	h.fleet.HandleHostList(peers)
	h.updateView()
	h.updateInventory(now)
	h.announceReadiness()
	h.group.Go(func() { h.fleet.SendUpdates(context.Background()) })
	h.Log.WithField("revision", revision).Debug("keys of the store changed")
}

// adopt puts a configuration in force unless a newer one is; the caller holds
// the lock.
func (h *Host) adopt(t *routing.Table) {
	if h.table != nil && t.Version() <= h.table.Version() {
		return
	}
	h.table = t
	h.Metrics.version.Set(float64(t.Version()))
	h.Log.WithField("version", t.Version()).Info("configuration in force")
	services := t.Services()
	maps.DeleteFunc(h.pools, func(name string, _ *pool.Pool) bool {
		return !slices.Contains(services, name) && len(h.inventory.ForService(name)) == 0
	})
	if len(h.classes) > maxClasses {
		clear(h.classes)
	}
	h.configure(services)
}

// announceReadiness tells the other hosts where callers reach this one.
func (h *Host) announceReadiness() {
	address := ""
	if h.NotReadyReason() == "" {
		address = h.Settings.CallerListen
	}
	h.fleet.SetEntryAddress(address)
}

// configure gives pools their upstreams; the caller holds the lock.
func (h *Host) configure(services []string) {
	now := time.Now()
	for _, s := range services {
		if p, ok := h.pools[s]; ok {
			h.configurePool(now, p, s)
			continue
		}
		h.pools[s] = h.newPool(s)
	}
}

// configurePool gives a pool what runs its attempts now; the caller holds the lock.
func (h *Host) configurePool(now time.Time, p *pool.Pool, service string) {
	plan := h.plan(service)
	p.Configure(now, h.runners(service, plan), h.policy(plan))
}

// policy returns this host's share of what is allowed at a service of a plan; the
// caller holds the lock.
func (h *Host) policy(plan dialPlan) pool.Policy {
	return pool.Policy{
		ExtraRatio:    h.Settings.ExtraRatio * ratioShare,
		ExtraSlack:    h.Settings.ExtraSlack * slackShare * h.view.share,
		Window:        time.Duration(h.Settings.ExtraWindowSeconds * float64(time.Second)),
		MaxConcurrent: plan.connections,
	}
}

// newPool returns the pool of a service as it is now; the caller holds the lock.
func (h *Host) newPool(service string) *pool.Pool {
	p := &pool.Pool{DataCenter: h.Settings.DataCenter, IdleCount: h.Connections.IdleCount}
	h.configurePool(time.Now(), p, service)
	return p
}

// translate returns what a key means; the caller holds the lock.
func (h *Host) translate(r keyvalue.Change) meaning {
	if m, ok := h.meanings[r.Key()]; ok && m.revision == r.Revision() {
		return m
	}
	m, err := h.Decoder.DecodeRecord(r)
	if err != nil {
		h.Metrics.badRecords.Inc()
		h.Log.WithError(err).WithField("key", r.Key()).Warn("key of the store passed over")
	}
	known := meaning{revision: r.Revision(), DecodedRecord: m}
	if m.PeerAddress != "" {
		known.peer = h.registeredMember(m.PeerAddress, m.PeerRegistration)
	}
	return known
}

// updateInventory takes the upstreams that the store names now.
func (h *Host) updateInventory(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	h.configure(h.inventory.Update(now, h.specs))
}

// updateView takes the members of the fleet as they are now.
func (h *Host) updateView() {
	view := newFleetView(h.Self.Host(), h.fleet.Members())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = view
	clear(h.plans)
}

// followFleet shares what is allowed anew after members came or went.
func (h *Host) followFleet(ctx context.Context) {
	for {
		select {
		case <-h.fleetChanges:
			h.fleetChanged()
			work.Sleep(ctx, fleetPause)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) fleetChanged() {
	h.updateView()
	h.mu.Lock()
	defer h.mu.Unlock()
	services := make([]string, 0, len(h.pools))
	for s := range h.pools {
		services = append(services, s)
	}
	h.configure(services)
}
