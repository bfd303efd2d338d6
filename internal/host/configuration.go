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
)

// maxLatencyStats bounds the latency statistics, which are kept by route and latency
// target. If there are more when a configuration is activated, all are discarded.
const maxLatencyStats = 4096

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
	for _, r := range records {
		if d := cached[r.Key()]; d.PeerAddress != "" && d.PeerAddress != h.Self.GateAddress() {
			peers = append(peers, d.peer)
		}
	}
	h.fleet.HandleHostList(peers)
	h.updateFleetView()
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
	}
	// No request may be routed by a configuration before its upstreams can be used.
	h.applyInventory(now)
	h.mu.Unlock()
	h.cachedRecords = cached
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
		if h.requestLog.allowOrCountLine() {
			h.Log.WithError(err).WithField("key", r.Key()).Warn("store record skipped: cannot be decoded")
		}
	}
	h.recordIgnored(r.Key(), cached.Ignored, decoded.Ignored)
	record := cachedRecord{revision: r.Revision(), DecodedRecord: decoded}
	if decoded.PeerAddress != "" {
		record.peer = h.registeredMember(decoded.PeerAddress, decoded.PeerRegistration)
	}
	return record
}

// recordPartialList records that keys of the store cannot be read.
func (h *Host) recordPartialList(err *keyvalue.PartialListError) {
	h.Metrics.badRecords.Inc()
	h.Log.WithField("problem", err.Problem).Warn("keys of the store cannot be read; what was known of them holds")
}
