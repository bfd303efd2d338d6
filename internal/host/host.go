// Package host is the program of one host: it faces callers and upstreams in
// one process, and agrees with the other hosts on who is there and which
// configuration is in force.
package host

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/mirror"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/relay"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// callerRoundTrip is the way to a caller and back, a few milliseconds each way.
	callerRoundTrip = 6 * time.Millisecond
	// callerHandling is what a request spends with the caller and in queues of the
	// network besides.
	callerHandling = 3 * time.Millisecond
	// upkeepPeriod is how often idle connections and lapsed upstreams are
	// looked through.
	upkeepPeriod = time.Second
	// maxAddressLists bounds the data centres that callers may name.
	maxAddressLists = 64
	// noConfigurationRetry is what callers are told before there is a
	// configuration: hosts that start without one wait for the end of an outage
	// of the store, which takes seconds.
	noConfigurationRetry = time.Second
)

// A DecodedRecord is what one key of the store means. At most one field is set.
type DecodedRecord struct {
	Table    *routing.Table
	Upstream *inventory.UpstreamSpec
	// PeerAddress is where a host registered itself, PeerEntry what it said.
	PeerAddress      string
	PeerRegistration string
}

// A RecordDecoder reads the keys of the store.
type RecordDecoder interface {
	// DecodeRecord returns what a key means; the zero value for nothing.
	DecodeRecord(record keyvalue.Change) (DecodedRecord, error)
	// RegistrationKey returns the key under which a host registers itself.
	RegistrationKey(address string) string
}

// A Host is one process. Its exported fields are set before Init.
type Host struct {
	Settings      Settings
	Self          roster.Member
	Feed          keyvalue.Feed
	LeaseStore    keyvalue.LeaseStore
	HostTransport peer.HostTransport
	Decoder       RecordDecoder
	Connections   *upstream.ConnectionPool
	Metrics       *Metrics
	Log           logrus.FieldLogger
	Seed          uint64

	group      work.Group
	fleet      *membership.Fleet
	follower   *mirror.Follower
	dispatcher *dispatch.Dispatcher
	journal    *journal
	// fleetChanges holds a value while members changed that are not taken in yet.
	fleetChanges chan struct{}

	mu sync.RWMutex
	// table is nil before the first configuration; its version never falls.
	table *routing.Table
	// specs are all upstreams that the store names now.
	specs     []inventory.UpstreamSpec
	inventory *inventory.Inventory
	pools     map[string]*pool.Pool
	classes   map[string]*pool.LatencyStats
	// meanings holds what each key meant, by key and revision.
	meanings map[string]meaning
	view     fleetView
	// plans holds who dials, worked out from view when it is asked for.
	plans    map[planKey]dialPlan
	stopping bool

	addressMu sync.Mutex
	// addresses holds what callers of each data centre are told, until a member
	// changes.
	addresses map[string][]string

	ledgerMu sync.Mutex
	ledger   *quarantine.Tracker
}

// Init must be called before anything else.
func (h *Host) Init() {
	h.inventory = inventory.New()
	h.pools = make(map[string]*pool.Pool)
	h.classes = make(map[string]*pool.LatencyStats)
	h.plans = make(map[planKey]dialPlan)
	h.fleetChanges = make(chan struct{}, 1)
	h.meanings = make(map[string]meaning)
	h.addresses = make(map[string][]string)
	h.ledger = quarantine.NewScatterTracker()
	h.journal = &journal{log: h.Log, metrics: h.Metrics, age: func() time.Duration { return h.follower.Age() }}
	h.fleet = &membership.Fleet{Self: h.Self, Seed: h.Seed, Exchange: h.call, OnChange: h.memberChanged, Group: &h.group}
	h.fleet.Init()
	h.follower = &mirror.Follower{
		Feed: h.Feed, Fetch: h.fetch, ShouldWatch: h.fleet.ShouldWatch, OnChange: h.recordsChanged, Log: h.Log,
	}
	h.follower.Init()
	h.dispatcher = &dispatch.Dispatcher{
		Exchanger:        &relay.Exchanger{Direct: h.Connections, HostTransport: h.HostTransport},
		Pool:             h.pool,
		LatencyStats:     h.class,
		BlockedFor:       h.blocked,
		OnCrash:          h.crashed,
		OnSuccess:        h.cleared,
		OnFinish:         h.journal.decided,
		CallerAllowance:  callerRoundTrip + callerHandling,
		ConnectAllowance: callerRoundTrip,
		Group:            &h.group,
	}
	h.fleet.HandleHostList(listed(h.Settings.Peers))
	h.updateView()
}

// AdvertisedAddresses returns the addresses that callers of a data centre should use.
func (h *Host) AdvertisedAddresses(dataCenter string) []string {
	h.addressMu.Lock()
	defer h.addressMu.Unlock()
	list, known := h.addresses[dataCenter]
	if !known {
		if len(h.addresses) >= maxAddressLists {
			clear(h.addresses)
		}
		list = chooseAddresses(h.fleet.Members(), dataCenter)
		h.addresses[dataCenter] = list
	}
	return list
}

// Answer runs a request.
func (h *Host) Answer(ctx context.Context, request *dispatch.Request) dispatch.Answer {
	table := h.Table()
	if table == nil {
		return dispatch.Answer{Status: http.StatusServiceUnavailable, RetryAfter: noConfigurationRetry}
	}
	path, _, _ := strings.Cut(request.Target, "?")
	route := table.Match(request.Host, path)
	if route == nil {
		return dispatch.Answer{Status: http.StatusNotFound}
	}
	return h.dispatcher.Run(ctx, request, route, table.Version())
}

// Leave stops taking callers, tells the other hosts and goes on serving until
// callers have heard of it.
func (h *Host) Leave(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.group.Go(func() { h.fleet.Leave(ctx) })
	work.Sleep(ctx, h.Settings.ShutdownDelay())
}

// NotReadyReason returns an empty string or why this host is not ready.
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

// Run works until the context ends.
func (h *Host) Run(ctx context.Context) error {
	h.group.Go(func() { _ = h.fleet.Run(ctx) })
	h.group.Go(func() { h.followFleet(ctx) })
	h.group.Go(func() { h.register(ctx) })
	h.group.Go(func() { h.upkeep(ctx) })
	return h.follower.Run(ctx)
}

// Stopping reports whether this host is about to stop.
func (h *Host) Stopping() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.stopping
}

// Table returns the configuration in force; nil before the first.
func (h *Host) Table() *routing.Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// class returns the times of a route's requests; another target starts anew.
func (h *Host) class(r *routing.Route) *pool.LatencyStats {
	return h.classOf(r.Name(), r.LatencyTarget(), r.Gathers())
}

func (h *Host) classOf(route string, target time.Duration, gathers bool) *pool.LatencyStats {
	key := route + " " + target.String()
	return lookUp(&h.mu, h.classes, key, func() *pool.LatencyStats { return pool.NewLatencyStats(target, gathers) })
}

// pool returns the pool of a service.
func (h *Host) pool(service string) *pool.Pool {
	return lookUp(&h.mu, h.pools, service, func() *pool.Pool { return h.newPool(service) })
}

// lookUp returns the value of a key, and makes one if there is none, under a lock
// that it takes.
func lookUp[V any](mu *sync.RWMutex, values map[string]V, key string, create func() V) V {
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

func (h *Host) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.Connections.CloseExpired(now)
			h.updateInventory(now)
		case <-ctx.Done():
			return
		}
	}
}

// listed returns members of which only the address is known.
func listed(addresses []string) []roster.Member {
	members := make([]roster.Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, listedMember(a, "", 0))
	}
	return members
}

func listedMember(address, dataCenter string, capacity int) roster.Member {
	return roster.NewMember(address, dataCenter, address, "", 0, roster.Listed).WithCapacity(capacity)
}
