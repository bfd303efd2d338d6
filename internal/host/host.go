// Package host implements the process of one host. A host takes requests from
// callers, runs them on upstreams, and shares the list of members and the store's
// records with the other hosts.
package host

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/crashguard"
	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/linkcheck"
	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/mirror"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/relay"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// callerRoundTripTime is the network round trip to a caller; each direction takes a few
	// milliseconds.
	callerRoundTripTime = 6 * time.Millisecond
	// callerOverhead is the time that a request spends inside the caller and in network
	// queues, in addition to the round trip.
	callerOverhead = 3 * time.Millisecond
	// maintenanceInterval is how often expired connections are closed and expired
	// upstreams are removed.
	maintenanceInterval = time.Second
)

// A Host is the state of one host process. Its exported fields are set before Init.
type Host struct {
	Settings      Settings
	Self          roster.Member
	Feed          keyvalue.Feed
	LeaseStore    keyvalue.LeaseStore
	HostTransport peer.HostTransport
	Decoder       RecordDecoder
	Upstreams     UpstreamTransport
	Metrics       *Metrics
	// Budget is the account of what callers make the host hold. It may be nil.
	Budget *footprint.Budget
	// Recorder records violations of invariants. It may be nil.
	Recorder *invariant.Recorder
	Log      logrus.FieldLogger
	Seed     uint64

	group      work.Group
	stop       *stop
	fleet      *membership.Fleet
	follower   *mirror.Follower
	dispatcher *dispatch.Dispatcher
	requestLog *requestLog
	// refusalLog logs the requests that are refused for their credentials. It has a bound of
	// its own: callers with an unknown key must not use up the lines of all others.
	refusalLog *requestLog
	// fleetChanges holds a value while a change of the members is not applied yet.
	fleetChanges chan struct{}
	// eraChanges holds a value while this host has to register again, because the store has
	// come back from a copy.
	eraChanges chan struct{}
	// reconnectsDue holds a value while runReconnects has to check the pools for due reconnects.
	reconnectsDue chan struct{}

	mu sync.RWMutex
	// table is the active configuration, nil before the first one. Its version never
	// decreases.
	table *routing.Table
	// recordsRevision is the revision of the last records that were applied.
	recordsRevision keyvalue.Revision
	// upstreamSpecs are all upstreams that are listed in the store.
	upstreamSpecs []inventory.UpstreamSpec
	// evacuatedRecords are the evacuated data centres that are listed in the store.
	evacuatedRecords []string
	inventory        *inventory.Inventory
	pools            map[string]*pool.Pool
	latencyStats     map[string]*pool.LatencyStats
	// cachedRecords holds the decoded records by key, so that only changed records are
	// decoded again. Only handleRecords uses it.
	cachedRecords map[string]cachedRecord
	// view is derived from the current members.
	view dialling.View
	// hasOtherHosts is set if another host is alive.
	hasOtherHosts bool
	// dialPlans caches the plans that were computed from view.
	dialPlans map[dialling.Key]dialling.Plan
	// startedAt is when Init was called; settled is set once memberSettlePeriod has passed.
	startedAt time.Time
	settled   bool

	addressMu sync.Mutex
	// addressCache holds the advertised addresses by data centre. It is cleared when a
	// member changes.
	addressCache map[string][]string

	guard     *crashguard.Guard
	alerts    *crashguard.Alerts
	links     *linkcheck.Checker
	newsBoard inventory.NewsBoard
	// allowances admits requests by the limits of their accounts.
	allowances *allowances
	turns      pool.Reservations
}

// Init must be called before anything else.
func (h *Host) Init() {
	h.startedAt = time.Now()
	h.stop = newStop(h.startedAt)
	h.inventory = inventory.New()
	h.inventory.Seed = xxhash.Sum64String(h.Self.Host())
	h.pools = make(map[string]*pool.Pool)
	h.latencyStats = make(map[string]*pool.LatencyStats)
	h.dialPlans = make(map[dialling.Key]dialling.Plan)
	h.fleetChanges = make(chan struct{}, 1)
	h.eraChanges = make(chan struct{}, 1)
	h.reconnectsDue = make(chan struct{}, 1)
	h.cachedRecords = make(map[string]cachedRecord)
	h.addressCache = make(map[string][]string)
	h.initCrashGuard()
	h.links = h.newLinks()
	h.allowances = newAllowances(h)
	h.Upstreams.NotifySlowDials(h.recordSlowDial)
	h.requestLog = h.newRequestLog()
	h.refusalLog = h.newRequestLog()
	h.fleet = &membership.Fleet{Self: h.Self, Seed: h.Seed, Exchange: h.exchangeGossip, OnChange: h.handleMemberChange, Tasks: &h.group}
	h.fleet.Init()
	h.follower = &mirror.Follower{
		Feed: h.Feed, Fetch: h.fetchDifference, ShouldWatch: h.fleet.ShouldWatch, OnChange: h.handleRecords,
		OnPartialList: h.recordPartialList, Log: h.Log,
	}
	h.follower.Init()
	h.dispatcher = &dispatch.Dispatcher{
		Exchanger:        &relay.Exchanger{Direct: h.Upstreams, HostTransport: h.HostTransport, Budget: h.Budget, OnNotice: h.guard.ApplyNotice, OnPartitioned: h.recordPartitioned},
		Pool:             h.pool,
		LatencyStats:     h.routeLatencyStats,
		Guard:            h.guard,
		Alerts:           h.alerts,
		OnAttempt:        h.requestLog.recordAttempt,
		OnLeaving:        h.recordLeaving,
		OnUnreachable:    h.scheduleReconnects,
		Links:            h.links,
		Stop:             h.stop,
		OnFinish:         h.requestLog.record,
		OnWaiting:        h.Metrics.waitingRequests.Add,
		CallerAllowance:  callerRoundTripTime + callerOverhead,
		ConnectAllowance: callerRoundTripTime,
		Group:            &h.group,
	}
	h.fleet.HandleHostList(newListedMembers(h.Settings.Peers))
	h.updateFleetView()
}

func (h *Host) newRequestLog() *requestLog {
	return &requestLog{
		log: h.Log, metrics: h.Metrics, links: h.links.Tracker, evacuated: h.evacuatedDataCenters, mirrorAge: func() time.Duration { return h.follower.Age() },
		sinceStop: h.stop.elapsed,
	}
}

// Run keeps the members, the mirror and the registration up to date and does maintenance
// until the context ends.
func (h *Host) Run(ctx context.Context) error {
	h.group.Go(func() { _ = h.fleet.Run(ctx) })
	h.group.Go(func() { h.handleFleetChanges(ctx) })
	h.group.Go(func() { h.keepRegistered(ctx) })
	h.group.Go(func() { h.links.Run(ctx) })
	h.group.Go(func() { h.runReconnects(ctx) })
	h.group.Go(func() { h.runMaintenance(ctx) })
	return h.follower.Run(ctx)
}

func (h *Host) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	idle := h.newIdleCheck()
	for {
		select {
		case now := <-ticker.C:
			h.stop.tick(time.Now())
			h.Upstreams.CloseExpired(now)
			h.updateInventory(now)
			h.closeEvacuatedConnections()
			h.settle(now)
			// Upstreams that were evacuated or retired had no reconnects; nothing else
			// schedules them afterwards.
			h.scheduleReconnects()
			h.guard.Maintain(now)
			h.allowances.maintain(now)
			h.alerts.Maintain(now)
			h.turns.Maintain(now)
			idle.Run(time.Now())
		case <-ctx.Done():
			return
		}
	}
}
