// Package host implements the process of one host. A host takes requests from
// callers, runs them on upstreams, and shares the list of members and the store's
// records with the other hosts.
package host

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/crashguard"
	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
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
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
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
	// maxAddressLists bounds the data centres in the address cache, because callers
	// can ask for any name. A full cache is cleared.
	maxAddressLists = 64
	// noConfigurationRetryDelay is the Retry-After of the answers before the first
	// configuration. A host that has received no configuration from the store or from
	// other hosts has to wait for the end of a store outage, which takes seconds.
	noConfigurationRetryDelay = time.Second
)

// A DecodedRecord is the decoded value of one key of the store: a configuration, an
// upstream, or the registration of a host. It is the zero value for other keys.
type DecodedRecord struct {
	Table    *routing.Table
	Upstream *inventory.UpstreamSpec
	// PeerAddress is the address of a registered host, PeerRegistration its encoded
	// wire.Member.
	PeerAddress      string
	PeerRegistration string
	// EvacuatedDataCenter is the data centre that the key evacuates.
	EvacuatedDataCenter string
	// Ignored describes the parts of the value that are invalid and do not count; empty if
	// there are none.
	Ignored string
}

var _ UpstreamTransport = (*upstream.ConnectionPool)(nil)

// A RecordDecoder decodes the keys and values of the store.
type RecordDecoder interface {
	// DecodeRecord decodes a record. It returns the zero value for a key that hosts do
	// not use.
	DecodeRecord(record keyvalue.Change) (DecodedRecord, error)
	// RegistrationKey returns the key under which a host registers itself.
	RegistrationKey(address string) string
}

// An UpstreamTransport sends attempts to upstreams over connections that it keeps.
type UpstreamTransport interface {
	upstream.Exchanger
	// NotifySlowDials has a function called while a connection takes long to open. It is called
	// before the first attempt.
	NotifySlowDials(onSlowDial func(upstreamID string, startedAt time.Time))
	// AbortDials gives up all connections that are being opened. Their attempts are not sent.
	AbortDials()
	// CloseExpired closes the idle connections that have expired.
	CloseExpired(now time.Time)
}

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
	Log           logrus.FieldLogger
	Seed          uint64

	group      work.Group
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
	// retestsDue holds a value while the pools may have upstreams for runRetests that it does
	// not know of.
	retestsDue chan struct{}

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
	// dialPlans caches the plans that were computed from view.
	dialPlans map[dialling.Key]dialling.Plan
	stopping  bool
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
	h.inventory = inventory.New()
	h.inventory.Seed = xxhash.Sum64String(h.Self.Host())
	h.pools = make(map[string]*pool.Pool)
	h.latencyStats = make(map[string]*pool.LatencyStats)
	h.dialPlans = make(map[dialling.Key]dialling.Plan)
	h.fleetChanges = make(chan struct{}, 1)
	h.eraChanges = make(chan struct{}, 1)
	h.retestsDue = make(chan struct{}, 1)
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
		Feed: h.Feed, Fetch: h.fetchDifference, ShouldWatch: h.fleet.ShouldWatch, OnChange: h.handleRecords, Log: h.Log,
	}
	h.follower.Init()
	h.dispatcher = &dispatch.Dispatcher{
		Exchanger:        &relay.Exchanger{Direct: h.Upstreams, HostTransport: h.HostTransport, OnNotice: h.guard.ApplyNotice, OnPartitioned: h.recordPartitioned},
		Pool:             h.pool,
		LatencyStats:     h.routeLatencyStats,
		Guard:            h.guard,
		Alerts:           h.alerts,
		OnAttempt:        h.requestLog.recordAttempt,
		OnLeaving:        h.recordLeaving,
		OnUnreachable:    h.scheduleRetests,
		Links:            h.links,
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
	}
}

// AdvertisedAddresses returns the entry addresses that callers of a data centre should use.
func (h *Host) AdvertisedAddresses(dataCenter string) []string {
	h.addressMu.Lock()
	defer h.addressMu.Unlock()
	list, cached := h.addressCache[dataCenter]
	if !cached {
		if len(h.addressCache) >= maxAddressLists {
			clear(h.addressCache)
		}
		list = membership.AdvertisedAddresses(h.fleet.Members(), dataCenter)
		h.addressCache[dataCenter] = list
	}
	return list
}

// Answer runs a request with the active configuration and returns the answer for the caller.
func (h *Host) Answer(ctx context.Context, request *dispatch.Request) dispatch.Answer {
	return h.AnswerWith(ctx, request, h.Table())
}

// AnswerWith is Answer with the configuration with which the request was decoded; nil if there
// was none.
func (h *Host) AnswerWith(ctx context.Context, request *dispatch.Request, table *routing.Table) dispatch.Answer {
	if table == nil {
		return dispatch.Answer{Status: http.StatusServiceUnavailable, RetryAfter: noConfigurationRetryDelay}
	}
	request.ArrivedAt = time.Now()
	path, _, _ := strings.Cut(request.Target, "?")
	route := table.Match(request.Host, path)
	if route == nil {
		return dispatch.Answer{Status: http.StatusNotFound}
	}
	if answer, refused := h.authenticate(request, route, table); refused {
		return answer
	}
	return h.answerAdmitted(ctx, request, route, table.Version())
}

// Leave announces to the other hosts that this host is stopping, so that they no longer
// advertise it. Leave returns after the shutdown delay, in which the host still serves
// callers whose addresses are outdated, or when the context ends.
func (h *Host) Leave(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.group.Go(func() { h.fleet.Leave(ctx) })
	work.Sleep(ctx, h.Settings.ShutdownDelay())
}

// NotReadyReason returns why this host is not ready, or an empty string if it is.
func (h *Host) NotReadyReason() string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	switch {
	case h.stopping:
		return "stopping"
	case h.table == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// Run keeps the members, the mirror and the registration up to date and does maintenance
// until the context ends.
func (h *Host) Run(ctx context.Context) error {
	h.group.Go(func() { _ = h.fleet.Run(ctx) })
	h.group.Go(func() { h.handleFleetChanges(ctx) })
	h.group.Go(func() { h.keepRegistered(ctx) })
	h.group.Go(func() { h.links.Run(ctx) })
	h.group.Go(func() { h.runRetests(ctx) })
	h.group.Go(func() { h.runMaintenance(ctx) })
	return h.follower.Run(ctx)
}

// Stopping reports whether Leave was called.
func (h *Host) Stopping() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.stopping
}

// Table returns the active configuration, or nil before the first one.
func (h *Host) Table() *routing.Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// routeLatencyStats returns the latency statistics of a route. A route whose latency target
// changes starts with empty statistics.
func (h *Host) routeLatencyStats(r *routing.Route) *pool.LatencyStats {
	return h.latencyStatsFor(r.Name(), r.LatencyTarget(), r.Gathers())
}

func (h *Host) latencyStatsFor(route string, target time.Duration, gathers bool) *pool.LatencyStats {
	key := route + " " + target.String()
	return getOrCreate(&h.mu, h.latencyStats, key, func() *pool.LatencyStats { return pool.NewLatencyStats(target, gathers) })
}

// members returns all hosts as this one knows them.
func (h *Host) members() []roster.Member { return h.fleet.Members() }

// pool returns the pool of a service.
func (h *Host) pool(service string) *pool.Pool {
	return getOrCreate(&h.mu, h.pools, service, func() *pool.Pool { return h.newPool(service) })
}

// getOrCreate returns the value of a key, creating it if needed. It acquires mu; create is
// called with mu held.
func getOrCreate[V any](mu *sync.RWMutex, values map[string]V, key string, create func() V) V {
	mu.RLock()
	v, ok := values[key]
	mu.RUnlock()
	if ok {
		return v
	}
	mu.Lock()
	defer mu.Unlock()
	if v, ok = values[key]; !ok {
		v = create()
		values[key] = v
	}
	return v
}

func (h *Host) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.Upstreams.CloseExpired(now)
			h.updateInventory(now)
			h.closeEvacuatedConnections()
			h.settle(now)
			h.guard.Maintain(now)
			h.allowances.maintain(now)
			h.alerts.Maintain(now)
		case <-ctx.Done():
			return
		}
	}
}

// newListedMembers returns members in state Listed that have an address but no data
// centre and no capacity.
func newListedMembers(addresses []string) []roster.Member {
	members := make([]roster.Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, newListedMember(a, "", 0))
	}
	return members
}

func newListedMember(address, dataCenter string, capacity int) roster.Member {
	return roster.NewMember(address, dataCenter, address, "", 0, roster.Listed).WithCapacity(capacity)
}
