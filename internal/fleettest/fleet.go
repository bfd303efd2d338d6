// Package fleettest runs a complete fleet in one test process: the real entries
// and gates, connected by an in-memory network with fault injection, against
// stand-ins for the upstreams and the platform. Inside a synctest bubble a fleet
// runs in virtual time.
package fleettest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/gate"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/operator"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// ServiceName is the name of the test service, SearchKind and BookingKind those of
	// two of its kinds.
	ServiceName = "screening"
	SearchKind  = "search"
	BookingKind = "booking"
	// timelineCapacity is the maximum number of events in the timeline of a host.
	timelineCapacity = 4096
)

// Options configure a fleet: its size, its policies and its timing.
type Options struct {
	// Replicas is the number of upstreams of each shard, and Slots the number of slots
	// of each upstream.
	Hosts, Shards, Replicas, Slots int
	Seed                           uint64
	Gate                           shard.Options
	// EntryAdmissionDisabled disables the admission control of the entries;
	// Gate.AdmissionDisabled disables that of the gates.
	EntryAdmissionDisabled bool
	Goal                   catalog.Goal
	Canary                 catalog.CanaryPolicy
	RunDuration            func(*rand.Rand) time.Duration
	// Direct gives each host an empty host list. Each host then forms a fleet of its
	// own, which simulates entries that dial the shared upstreams directly.
	Direct bool
	// MessageDelay is the one-way latency of a message between different hosts, from a
	// caller to a host, from a host to an upstream or the key-value service, and of the
	// reply to a run. Other replies arrive without delay.
	MessageDelay time.Duration
}

// A Fleet is a set of hosts with their upstreams and stand-ins for the platform.
type Fleet struct {
	Options    Options
	Store      *standin.Store
	HostList   *standin.HostList
	Recorder   *invariant.Recorder
	RunCounter *standin.RunCounter
	Upstreams  []*standin.Upstream
	Network    *Network

	mu                 sync.Mutex
	hosts              []*Host
	upstreamsByAddress map[string]*standin.Upstream
	random             *rand.Rand
	// advertised holds the entry addresses that all callers cache, and advertisedUntil
	// is when the addresses expire.
	advertised      []string
	advertisedUntil time.Time
	// advertisedBy holds, for messages, the host that returned the addresses and the
	// second of the minute at which it did.
	advertisedBy string
	group        work.Group
	log          logrus.FieldLogger
}

// A Host runs one entry and one gate.
type Host struct {
	Name     string
	Entry    *entry.Entry
	Gate     *gate.Gate
	Timeline *timeline.Ring

	fleet *Fleet
	// leftGracefully is set once a graceful leave has completed, unless the host was
	// killed before.
	leftGracefully bool
	// cancel cancels ctx, which stops the entry and the gate; stopped is closed just
	// before.
	cancel   context.CancelFunc
	stopped  chan struct{}
	ctx      context.Context
	stopOnce sync.Once
}

// DefaultOptions returns the options of a small fleet in which a run takes 15 to 24 ms.
func DefaultOptions() Options {
	return Options{
		Hosts: 3, Shards: 4, Replicas: 3, Slots: 2, Seed: 1, Gate: shard.DefaultOptions(),
		Goal: catalog.GoalCoverage, Canary: catalog.CanaryAlways, MessageDelay: time.Millisecond / 2,
		RunDuration: func(r *rand.Rand) time.Duration {
			return 15*time.Millisecond + time.Duration(r.IntN(10))*time.Millisecond
		},
	}
}

// New returns a fleet that has not been started.
func New(o Options) *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &Fleet{
		Options: o, Store: &standin.Store{}, HostList: &standin.HostList{PropagationDelay: 5 * time.Second},
		Recorder: &invariant.Recorder{}, RunCounter: &standin.RunCounter{}, Network: newNetwork(o.MessageDelay),
		upstreamsByAddress: make(map[string]*standin.Upstream), random: rand.New(rand.NewPCG(o.Seed, 7)), log: log,
	}
	return f
}

// Spec returns the specification of the test service with one shard map, m1.
func (f *Fleet) Spec() catalog.ServiceSpec {
	spec := catalog.ServiceSpec{
		Name: ServiceName, Goal: string(f.Options.Goal), MinReplicas: 1, Canary: string(f.Options.Canary),
		Kinds: []catalog.KindSpec{
			{Name: SearchKind, Urgency: "ordinary", Idempotent: true, Scatter: "all", DefaultTimeoutMilliseconds: 1000},
			{Name: "urgent-search", Urgency: "urgent", Idempotent: true, Scatter: "all", DefaultTimeoutMilliseconds: 1000},
			{Name: BookingKind, Urgency: "ordinary", Scatter: "key", DefaultTimeoutMilliseconds: 1000},
		},
		ShardMaps: []catalog.ShardMapSpec{{Name: "m1"}},
	}
	for i := range f.Options.Shards {
		s := catalog.ShardSpec{Name: fmt.Sprintf("s%02d", i), Weight: 1}
		for j := range f.Options.Replicas {
			u := catalog.UpstreamSpec{
				Name: fmt.Sprintf("u%02d-%d", i, j), Address: fmt.Sprintf("127.0.1.%d:%d", j, 10000+i),
				DataCenter: "attiki-1", Slots: f.Options.Slots, Connections: 30,
			}
			spec.Upstreams = append(spec.Upstreams, u)
			s.Upstreams = append(s.Upstreams, u.Name)
		}
		spec.ShardMaps[0].Shards = append(spec.ShardMaps[0].Shards, s)
	}
	return spec
}

// SpecWithSecondMap returns Spec with a second shard map, m2. Each of its shards merges
// two shards of m1; with an odd number of shards, the last of m1 is left out.
func (f *Fleet) SpecWithSecondMap() catalog.ServiceSpec {
	spec := f.Spec()
	second := catalog.ShardMapSpec{Name: "m2"}
	first := spec.ShardMaps[0].Shards
	for i := 0; i+1 < len(first); i += 2 {
		second.Shards = append(second.Shards, catalog.ShardSpec{
			Name: "half" + first[i].Name, Weight: 2, Upstreams: append(slices.Clone(first[i].Upstreams), first[i+1].Upstreams...),
		})
	}
	spec.ShardMaps = append(spec.ShardMaps, second)
	return spec
}

// Start creates the upstreams, publishes the service, starts the hosts and publishes the
// host list.
func (f *Fleet) Start() {
	for i, u := range f.Spec().Upstreams {
		standIn := &standin.Upstream{
			Name: u.Name, Slots: u.Slots, RunDuration: f.Options.RunDuration, RestartDelay: time.Second, ColdPeriod: time.Second,
			Seed: f.Options.Seed*1000 + uint64(i), RunCounter: f.RunCounter,
		}
		standIn.SetVersions(snapshot.New(1, "m1"))
		f.Upstreams = append(f.Upstreams, standIn)
		f.upstreamsByAddress[u.Address] = standIn
	}
	f.Publish(f.Spec())
	for i := range f.Options.Hosts {
		f.AddHost(fmt.Sprintf("host-%d", i))
	}
	f.publishHostList()
}

// Publish writes spec to the key-value service. It makes a single attempt and
// ignores errors of the key-value service.
func (f *Fleet) Publish(spec catalog.ServiceSpec) {
	s, err := catalog.CompileService(spec)
	if err != nil {
		panic(err)
	}
	publisher := &operator.Publisher{Store: f.Store}
	base, revision, err := publisher.Read(context.Background())
	if err != nil {
		return
	}
	change := operator.PlanReplacement(base, s)
	_, _ = publisher.Publish(context.Background(), base, revision, change)
}

// PublishWithRetry publishes spec every 100 ms until the service that the key-value
// service returns has as many shard maps as spec.
func (f *Fleet) PublishWithRetry(spec catalog.ServiceSpec) {
	for {
		f.Publish(spec)
		publisher := &operator.Publisher{Store: f.Store}
		current, _, err := publisher.Read(context.Background())
		if err == nil {
			if s, ok := current.Service(spec.Name); ok && len(s.Spec().ShardMaps) == len(spec.ShardMaps) {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// StoredRevision returns the latest catalog revision in the key-value service.
func (f *Fleet) StoredRevision() (uint64, error) {
	current, _, err := (&operator.Publisher{Store: f.Store}).Read(context.Background())
	if err != nil {
		return 0, err
	}
	return current.Revision(), nil
}

// AddHost starts a host. It does not add the host to the host list.
func (f *Fleet) AddHost(name string) *Host {
	f.mu.Lock()
	number := len(f.hosts)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{Name: name, fleet: f, ctx: ctx, cancel: cancel, stopped: make(chan struct{}), Timeline: &timeline.Ring{Host: name, Process: "host", Capacity: timelineCapacity}}
	transport := &gateTransport{network: f.Network, hostName: name, host: h}
	hostList := f.HostList
	if f.Options.Direct {
		hostList = &standin.HostList{}
	}
	store := &hostStore{Store: f.Store, network: f.Network, hostName: name, host: h}
	incarnation := uint64(time.Now().UnixMicro())
	seed := f.Options.Seed*100 + uint64(number)
	options := f.Options.Gate
	options.Seed = seed
	h.Gate = &gate.Gate{
		Self:  roster.NewMember(name, fmt.Sprintf("attiki-%d", number%3+1), "gate@"+name, "entry@"+name, incarnation, roster.Alive),
		Store: store, Hosts: hostList, GateTransport: transport, Options: options, Recorder: f.Recorder, Timeline: h.Timeline,
		Metrics: gate.NewMetrics(prometheus.NewRegistry()), Log: f.log, Seed: seed,
		NewClient: func(u catalog.UpstreamSpec) upstream.Client {
			return f.Network.registerClient(&upstreamClient{upstream: f.upstreamsByAddress[u.Address], network: f.Network, host: h})
		},
	}
	h.Entry = &entry.Entry{
		Host: name, DataCenter: "attiki-1", Address: "entry@" + name, LocalGateAddress: "gate@" + name, Store: store, Hosts: hostList,
		GateTransport: transport, Recorder: f.Recorder, Timeline: h.Timeline, Metrics: entry.NewMetrics(prometheus.NewRegistry()), Log: f.log,
		AddressTTL: 2 * time.Second, AdmissionDisabled: f.Options.EntryAdmissionDisabled,
	}
	f.Network.registerGate("gate@"+name, h)
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.group.Go(func() { _ = h.Gate.Run(ctx) })
	f.group.Go(func() { _ = h.Entry.Run(ctx) })
	return h
}

// Hosts returns the hosts that have not stopped.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *Host) bool { return h.Stopped() })
}

// Stop kills all hosts and waits for the goroutines of the fleet.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts() {
		h.Kill()
	}
	f.group.Wait()
}

// Go calls run in a goroutine that Stop waits for.
func (f *Fleet) Go(run func()) { f.group.Go(run) }

// ShardOwner returns the host that owns the shard with the index in the first shard map
// if the members are exactly the running hosts. It returns nil if no host runs.
func (f *Fleet) ShardOwner(index int) *Host {
	s, err := catalog.CompileService(f.Spec())
	if err != nil {
		panic(err)
	}
	group, _ := s.Group(fmt.Sprintf("m1/s%02d", index))
	o := roster.NewOwnership()
	for _, h := range f.Hosts() {
		o.Add(h.Name)
	}
	for _, h := range f.Hosts() {
		if h.Name == o.Owner(group.Name()) {
			return h
		}
	}
	return nil
}

// Kill stops the entry and the gate of the host at once.
func (h *Host) Kill() {
	h.stopOnce.Do(func() {
		close(h.stopped)
		h.cancel()
	})
}

// Stopped reports whether the host was killed or has left.
func (h *Host) Stopped() bool {
	select {
	case <-h.stopped:
		return true
	default:
		return false
	}
}

// Leave stops the host gracefully in the background.
func (h *Host) Leave() {
	h.fleet.group.Go(func() {
		var wg sync.WaitGroup
		wg.Go(func() { h.Entry.Leave(h.ctx) })
		wg.Go(func() { h.Gate.Leave(h.ctx) })
		wg.Wait()
		h.fleet.mu.Lock()
		h.leftGracefully = !h.Stopped()
		h.fleet.mu.Unlock()
		h.Kill()
	})
}

func (h *Host) hasLeftGracefully() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.leftGracefully
}

// advertisedHost returns the host of a random address in the cached address answer that
// all callers share. It returns nil if the answer has no address, or if the fleet has no
// host with the chosen address. Once the time to live of the answer has passed, a new
// answer is requested from a random ready host; while no host is ready, the expired
// answer is used. The offset is added to the random index, so the address is random for
// each offset.
func (f *Fleet) advertisedHost(offset int) *Host {
	hosts := slices.DeleteFunc(f.Hosts(), func(h *Host) bool { return h.Entry.NotReadyReason() != "" })
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.After(f.advertisedUntil) && len(hosts) > 0 {
		queried := hosts[f.random.IntN(len(hosts))]
		answer := queried.Entry.Addresses("attiki-1")
		f.advertisedBy = fmt.Sprintf("%s at %s", queried.Name, now.Format("05.000"))
		f.advertised = answer.Addresses
		f.advertisedUntil = now.Add(time.Duration(answer.TimeToLiveMilliseconds) * time.Millisecond)
	}
	if len(f.advertised) == 0 {
		return nil
	}
	address := f.advertised[(f.random.IntN(len(f.advertised))+offset)%len(f.advertised)]
	for _, h := range f.hosts {
		if "entry@"+h.Name == address {
			return h
		}
	}
	return nil
}

func (f *Fleet) publishHostList() {
	var hosts []hostlist.Host
	for _, h := range f.Hosts() {
		hosts = append(hosts, hostlist.Host{
			Name: h.Name, DataCenter: "attiki-1", EntryAddress: "entry@" + h.Name, GateAddress: "gate@" + h.Name, State: hostlist.StateLive,
		})
	}
	f.HostList.Set(hosts)
}
