// Package fleettest runs whole fleets in one process for tests: the real
// entries and gates, over an in-memory network with faults, against stand-ins.
// Inside a synctest bubble its time is virtual.
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

// The shape of the test service.
const (
	Service      = "screening"
	Search       = "search"
	Booking      = "booking"
	timelineSize = 4096
)

// Options are the sizes of a fleet.
type Options struct {
	Hosts, Shards, Replicas, Slots int
	Seed                           uint64
	Gate                           shard.Options
	NoAdmission                    bool
	Goal                           catalog.Goal
	Canary                         catalog.CanaryPolicy
	RunTime                        func(*rand.Rand) time.Duration
	// Direct makes each host a fleet of its own over the same upstreams, as if
	// entries dialled them directly.
	Direct bool
	// Delay is the time of one message between hosts.
	Delay time.Duration
}

// A Fleet is some hosts with their upstreams and platform.
type Fleet struct {
	Options   Options
	Store     *standin.Store
	HostList  *standin.Hosts
	Recorder  *invariant.Recorder
	Ledger    *standin.Ledger
	Upstreams []*standin.Upstream
	Network   *Network

	mu     sync.Mutex
	nodes  []*Node
	byAddr map[string]*standin.Upstream
	random *rand.Rand
	// addresses are what callers were told last, and until when they keep it.
	addresses      []string
	addressesUntil time.Time
	// toldBy is who told them and when.
	toldBy string
	group  work.Group
	log    logrus.FieldLogger
}

// A Node is one host with its entry and its gate.
type Node struct {
	Name  string
	Entry *entry.Entry
	Gate  *gate.Gate
	Ring  *timeline.Ring

	fleet *Fleet
	// leftGracefully is set if the host stopped on purpose.
	leftGracefully bool
	// stop ends both processes; dead is closed then.
	stop context.CancelFunc
	dead chan struct{}
	ctx  context.Context
	once sync.Once
}

// DefaultOptions returns a small fleet with fast, even run times.
func DefaultOptions() Options {
	return Options{
		Hosts: 3, Shards: 4, Replicas: 3, Slots: 2, Seed: 1, Gate: shard.DefaultOptions(),
		Goal: catalog.GoalCoverage, Canary: catalog.CanaryAlways, Delay: time.Millisecond / 2,
		RunTime: func(r *rand.Rand) time.Duration {
			return 15*time.Millisecond + time.Duration(r.IntN(10))*time.Millisecond
		},
	}
}

// New returns a fleet that is not started yet.
func New(o Options) *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &Fleet{
		Options: o, Store: &standin.Store{}, HostList: &standin.Hosts{Lag: 5 * time.Second},
		Recorder: &invariant.Recorder{}, Ledger: &standin.Ledger{}, Network: newNetwork(o.Delay),
		byAddr: make(map[string]*standin.Upstream), random: rand.New(rand.NewPCG(o.Seed, 7)), log: log,
	}
	return f
}

// Spec returns the document of the test service with its first map.
func (f *Fleet) Spec() catalog.ServiceSpec {
	spec := catalog.ServiceSpec{
		Name: Service, Goal: string(f.Options.Goal), MinReplicas: 1, Canary: string(f.Options.Canary),
		Kinds: []catalog.KindSpec{
			{Name: Search, Urgency: "ordinary", Idempotent: true, Scatter: "all", DeadlineMilliseconds: 1000},
			{Name: "urgent-search", Urgency: "urgent", Idempotent: true, Scatter: "all", DeadlineMilliseconds: 1000},
			{Name: Booking, Urgency: "ordinary", Scatter: "key", DeadlineMilliseconds: 1000},
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

// WithSecondMap returns the document with a second map of half the shards.
func (f *Fleet) WithSecondMap() catalog.ServiceSpec {
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

// Start makes the upstreams, puts the service in force and starts the hosts.
func (f *Fleet) Start() {
	for i, u := range f.Spec().Upstreams {
		stand := &standin.Upstream{
			Name: u.Name, Slots: u.Slots, RunTime: f.Options.RunTime, RestartTime: time.Second, WarmTime: time.Second,
			Seed: f.Options.Seed*1000 + uint64(i), Ledger: f.Ledger,
		}
		stand.SetVersions(snapshot.New(1, "m1"))
		f.Upstreams = append(f.Upstreams, stand)
		f.byAddr[u.Address] = stand
	}
	f.Publish(f.Spec())
	for i := range f.Options.Hosts {
		f.AddNode(fmt.Sprintf("host-%d", i))
	}
	f.publishHosts()
}

// Publish puts a document in force through the key-value service.
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
	change := operator.ReplaceService(base, s)
	_, _ = publisher.Publish(context.Background(), base, revision, change)
}

// PublishUntil puts a document in force, however often it takes.
func (f *Fleet) PublishUntil(spec catalog.ServiceSpec) {
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

// Revision returns the newest revision in the key-value service.
func (f *Fleet) Revision() (uint64, error) {
	current, _, err := (&operator.Publisher{Store: f.Store}).Read(context.Background())
	if err != nil {
		return 0, err
	}
	return current.Revision(), nil
}

// AddNode starts one host.
func (f *Fleet) AddNode(name string) *Node {
	f.mu.Lock()
	number := len(f.nodes)
	f.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{Name: name, fleet: f, ctx: ctx, stop: stop, dead: make(chan struct{}), Ring: &timeline.Ring{Host: name, Process: "host", Capacity: timelineSize}}
	link := &link{network: f.Network, from: name, node: n}
	hosts := f.HostList
	if f.Options.Direct {
		hosts = &standin.Hosts{}
	}
	store := &nodeStore{Store: f.Store, network: f.Network, from: name, node: n}
	incarnation := uint64(time.Now().UnixMicro())
	seed := f.Options.Seed*100 + uint64(number)
	options := f.Options.Gate
	options.Seed = seed
	n.Gate = &gate.Gate{
		Self:  roster.NewMember(name, fmt.Sprintf("attiki-%d", number%3+1), "gate@"+name, "entry@"+name, incarnation, roster.Alive),
		Store: store, Hosts: hosts, GateTransport: link, Options: options, Recorder: f.Recorder, Timeline: n.Ring,
		Metrics: gate.NewMetrics(prometheus.NewRegistry()), Log: f.log, Seed: seed,
		NewClient: func(u catalog.UpstreamSpec) upstream.Client {
			return f.Network.track(&remoteUpstream{upstream: f.byAddr[u.Address], network: f.Network, node: n})
		},
	}
	n.Entry = &entry.Entry{
		Host: name, DataCenter: "attiki-1", Address: "entry@" + name, LocalGateAddress: "gate@" + name, Store: store, Hosts: hosts,
		GateTransport: link, Recorder: f.Recorder, Timeline: n.Ring, Metrics: entry.NewMetrics(prometheus.NewRegistry()), Log: f.log,
		AddressTTL: 2 * time.Second, NoAdmission: f.Options.NoAdmission,
	}
	f.Network.attach("gate@"+name, n)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.group.Go(func() { _ = n.Gate.Run(ctx) })
	f.group.Go(func() { _ = n.Entry.Run(ctx) })
	return n
}

// Nodes returns the hosts that are not dead.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *Node) bool { return n.Dead() })
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes() {
		n.Kill()
	}
	f.group.Wait()
}

// Go runs f in a goroutine that Stop waits for.
func (f *Fleet) Go(run func()) { f.group.Go(run) }

// OwnerOf returns the node that owns a shard of the first map.
func (f *Fleet) OwnerOf(index int) *Node {
	s, err := catalog.CompileService(f.Spec())
	if err != nil {
		panic(err)
	}
	group, _ := s.Group(fmt.Sprintf("m1/s%02d", index))
	o := roster.NewOwnership()
	for _, n := range f.Nodes() {
		o.Add(n.Name)
	}
	for _, n := range f.Nodes() {
		if n.Name == o.Owner(group.Name()) {
			return n
		}
	}
	return nil
}

// Kill ends both processes of a host at once.
func (n *Node) Kill() {
	n.once.Do(func() {
		close(n.dead)
		n.stop()
	})
}

// Dead reports whether the host was killed.
func (n *Node) Dead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

// Leave stops the host gracefully.
func (n *Node) Leave() {
	n.fleet.group.Go(func() {
		var both sync.WaitGroup
		both.Go(func() { n.Entry.Leave(n.ctx) })
		both.Go(func() { n.Gate.Leave(n.ctx) })
		both.Wait()
		n.fleet.mu.Lock()
		n.leftGracefully = !n.Dead()
		n.fleet.mu.Unlock()
		n.Kill()
	})
}

func (n *Node) left() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.leftGracefully
}

// addressed returns an entry from the address answer that callers share and
// keep for its time to live; skip passes over the first ones.
func (f *Fleet) addressed(skip int) *Node {
	nodes := slices.DeleteFunc(f.Nodes(), func(n *Node) bool { return n.Entry.NotReadyReason() != "" })
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.After(f.addressesUntil) && len(nodes) > 0 {
		asked := nodes[f.random.IntN(len(nodes))]
		answer := asked.Entry.Addresses("attiki-1")
		f.toldBy = fmt.Sprintf("%s at %s", asked.Name, now.Format("05.000"))
		f.addresses = answer.Addresses
		f.addressesUntil = now.Add(time.Duration(answer.TimeToLiveMilliseconds) * time.Millisecond)
	}
	if len(f.addresses) == 0 {
		return nil
	}
	address := f.addresses[(f.random.IntN(len(f.addresses))+skip)%len(f.addresses)]
	for _, n := range f.nodes {
		if "entry@"+n.Name == address {
			return n
		}
	}
	return nil
}

func (f *Fleet) publishHosts() {
	var hosts []hostlist.Host
	for _, n := range f.Nodes() {
		hosts = append(hosts, hostlist.Host{
			Name: n.Name, DataCenter: "attiki-1", EntryAddress: "entry@" + n.Name, GateAddress: "gate@" + n.Name, State: hostlist.StateLive,
		})
	}
	f.HostList.Set(hosts)
}
