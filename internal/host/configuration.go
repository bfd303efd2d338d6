package host

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// usableExtraRatio is the part of Settings.ExtraRatio, a limit on extra attempts, that
	// the hosts use. The rest is a margin: each host has its own windows, and all hosts
	// together must stay within the limit.
	usableExtraRatio = 0.85
	// fleetChangeDelay is the delay after each update of the fleet view. The changes that
	// arrive during the delay, dozens after a start, are applied together.
	fleetChangeDelay = 200 * time.Millisecond
	// partitionedChangeDelay is this delay while this host depends on others that reach
	// upstreams.
	partitionedChangeDelay = 20 * time.Millisecond
	// maxLatencyStats bounds the latency statistics, which are kept by route and latency
	// target. If there are more when a configuration is activated, all are discarded.
	maxLatencyStats = 4096
)

// A cachedRecord is a decoded record at a revision of its key.
type cachedRecord struct {
	revision keyvalue.Revision
	DecodedRecord
	// peer is the registered host if PeerAddress is set.
	peer roster.Member
}

// handleRecords applies all records of the mirror after a change of the mirror.
func (h *Host) handleRecords(records []keyvalue.Change, revision keyvalue.Revision) {
	now := time.Now()
	var peers []roster.Member
	// A configuration with tens of thousands of accounts takes so long to decode that requests
	// must not wait for it.
	cached := make(map[string]cachedRecord, len(records))
	for _, r := range records {
		cached[r.Key()] = h.decodeRecord(r)
	}
	h.mu.Lock()
	h.beginEra(now, revision)
	h.upstreamSpecs, h.evacuatedRecords = h.upstreamSpecs[:0], h.evacuatedRecords[:0]
	for _, r := range records {
		d := cached[r.Key()]
		if d.Table != nil {
			h.activate(d.Table)
		}
		if d.Upstream != nil {
			h.upstreamSpecs = append(h.upstreamSpecs, *d.Upstream)
		}
		if d.EvacuatedDataCenter != "" {
			h.evacuatedRecords = append(h.evacuatedRecords, d.EvacuatedDataCenter)
		}
		if d.PeerAddress != "" && d.PeerAddress != h.Self.GateAddress() {
			peers = append(peers, d.peer)
		}
	}
	h.mu.Unlock()
	h.cachedRecords = cached
	h.fleet.HandleHostList(peers)
	h.updateFleetView()
	h.updateInventory(now)
	h.announceEntryAddress()
	h.group.Go(func() { h.fleet.SendUpdates(context.Background()) })
	h.Log.WithField("revision", revision.String()).Debug("store records applied")
}

// beginEra prepares for records of a store that has come back from a copy, if the revision
// is of a later era than the last one. The caller holds h.mu.
func (h *Host) beginEra(now time.Time, revision keyvalue.Revision) {
	before := h.recordsRevision
	h.recordsRevision = revision
	if before == 0 || revision.Era() <= before.Era() {
		return
	}
	h.Log.WithFields(map[string]any{"revision": revision.String(), "before": before.String()}).Warn("store has come back from a copy")
	h.Metrics.storeEras.Inc()
	h.inventory.BeginEra(now)
	select {
	case h.eraChanges <- struct{}{}:
	default:
		// The registration is already due.
	}
}

// activate replaces the active configuration if the given configuration is newer. It
// also discards the pools of services that are neither in the new configuration nor
// in the inventory. The caller holds h.mu.
func (h *Host) activate(t *routing.Table) {
	if h.table != nil && t.Version() <= h.table.Version() {
		return
	}
	h.table = t
	h.Metrics.configurationVersion.Set(float64(t.Version()))
	h.Log.WithField("version", t.Version()).Info("configuration activated")
	h.logAccountProblems(t)
	services := t.Services()
	maps.DeleteFunc(h.pools, func(name string, _ *pool.Pool) bool {
		return !slices.Contains(services, name) && len(h.inventory.ForService(name)) == 0
	})
	if len(h.latencyStats) > maxLatencyStats {
		clear(h.latencyStats)
	}
	h.configurePools(services)
}

// announceEntryAddress publishes the address for callers to the other hosts, or an empty one
// while this host is not ready.
func (h *Host) announceEntryAddress() {
	address := ""
	if h.NotReadyReason() == "" {
		address = h.Settings.CallerListen
	}
	h.fleet.SetEntryAddress(address)
}

// configurePools creates or updates the pools of services. The caller holds h.mu.
func (h *Host) configurePools(services []string) {
	now := time.Now()
	for _, s := range services {
		if p, ok := h.pools[s]; ok {
			h.configurePool(now, p, s)
			continue
		}
		h.pools[s] = h.newPool(s)
	}
}

// configurePool sets the upstreams and the limits of a pool. The caller holds h.mu.
func (h *Host) configurePool(now time.Time, p *pool.Pool, service string) {
	plan := h.dialPlanFor(service)
	policy, upstreams := h.poolPolicy(plan), h.upstreamsFor(service, plan)
	coldLimit, coldRelays := h.coldPolicy(now, service, upstreams)
	policy.ColdLimit = coldLimit
	p.Configure(now, append(upstreams, coldRelays...), policy)
}

// poolPolicy returns the limits of this host for a service with the given plan.
// ExtraSlack and the connections are this host's share of limits for all hosts
// together; ExtraRatio applies to each request and is the same on all hosts. The
// caller holds h.mu.
func (h *Host) poolPolicy(plan dialling.Plan) pool.Policy {
	return pool.Policy{
		ExtraRatio:    h.Settings.ExtraRatio * usableExtraRatio,
		ExtraSlack:    h.view.ExtraSlack(h.Settings.ExtraSlack),
		Window:        time.Duration(h.Settings.ExtraWindowSeconds * float64(time.Second)),
		LoadShare:     h.view.ConnectionShare(),
		LimitShares:   plan.LimitShares(),
		MaxConcurrent: plan.MaxConnections(),
	}
}

// newPool returns a configured pool for a service. The caller holds h.mu.
func (h *Host) newPool(service string) *pool.Pool {
	p := &pool.Pool{DataCenter: h.Settings.DataCenter, Seed: h.Seed ^ xxhash.Sum64String(h.Self.Host()), IdleCount: h.Upstreams.IdleCount, Links: h.links, OnLimit: h.recordLimit}
	h.configurePool(time.Now(), p, service)
	return p
}

// decodeRecord returns the decoded record from the cache, or decodes it if it is new or has
// changed. A record that cannot be decoded is logged, counted and treated as empty. Only
// handleRecords calls it.
func (h *Host) decodeRecord(r keyvalue.Change) cachedRecord {
	cached, ok := h.cachedRecords[r.Key()]
	if ok && cached.revision == r.Revision() {
		return cached
	}
	decoded, err := h.Decoder.DecodeRecord(r)
	if err != nil {
		h.Metrics.badRecords.Inc()
		h.Log.WithError(err).WithField("key", r.Key()).Warn("store record skipped: cannot be decoded")
	}
	h.recordIgnored(r.Key(), cached.Ignored, decoded.Ignored)
	record := cachedRecord{revision: r.Revision(), DecodedRecord: decoded}
	if decoded.PeerAddress != "" {
		record.peer = h.registeredMember(decoded.PeerAddress, decoded.PeerRegistration)
	}
	return record
}

// updateInventory applies the upstreams listed in the store to the inventory and to
// the pools of the services that changed. It does nothing before the first
// configuration.
func (h *Host) updateInventory(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
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

// updateFleetView derives the view from the current members and discards the dial
// plans, which were computed from the previous view.
func (h *Host) updateFleetView() {
	view := dialling.NewView(h.Self.Host(), h.fleet.Members())
	h.allowances.invalidateView()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = view
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
