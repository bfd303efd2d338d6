package fleettest

import (
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// A Fault is one of the things that fail, and how it ends.
type Fault struct {
	Name   string
	Inject func(f *Fleet)
	// Heal may be nil.
	Heal func(f *Fleet)
}

// Faults returns all faults. Each hits shard 0, its owner, the entry that
// is asked, or the platform.
func Faults() []Fault {
	first := func(faults standin.UpstreamFaults) Fault {
		return Fault{
			Inject: func(f *Fleet) { f.Upstreams[0].SetFaults(faults) },
			Heal:   func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{}) },
		}
	}
	named := func(name string, fault Fault) Fault {
		fault.Name = name
		return fault
	}
	return []Fault{
		named("upstream-lost", first(standin.UpstreamFaults{Down: true})),
		named("upstream-frozen", first(standin.UpstreamFaults{Frozen: true})),
		named("upstream-slow", first(standin.UpstreamFaults{SlowFactor: 20})),
		named("upstream-drains", first(standin.UpstreamFaults{Draining: true})),
		named("upstream-sheds", first(standin.UpstreamFaults{Shedding: true})),
		named("upstream-cuts-after-run", first(standin.UpstreamFaults{CutAfterRun: true})),
		named("upstream-wrong-version", first(standin.UpstreamFaults{WrongVersion: true})),
		named("upstream-misleads", first(standin.UpstreamFaults{Misleading: true})),
		named("reports-down", first(standin.UpstreamFaults{ReportsDown: true})),
		{Name: "shard-slow", Inject: slowShard(10), Heal: slowShard(0)},
		{Name: "connections-silent", Inject: silence},
		{Name: "version-replaced", Inject: func(f *Fleet) { f.SetVersions(snapshot.New(2, "m1")) }},
		{Name: "version-added", Inject: func(f *Fleet) { f.SetVersions(snapshot.New(1, "m1"), snapshot.New(2, "m1")) }},
		{Name: "repartitioned", Inject: repartition},
		{Name: "poison-request", Inject: poison},
		{Name: "gate-killed", Inject: func(f *Fleet) { killOwner(f) }},
		{Name: "gate-leaves", Inject: func(f *Fleet) { leaveOwner(f) }},
		{Name: "gate-cut-in", Inject: cutOwner(true, false), Heal: heal},
		{Name: "gate-cut-out", Inject: cutOwner(false, true), Heal: heal},
		{Name: "gate-cut-off", Inject: cutOwner(true, true), Heal: heal},
		{Name: "host-cut-off", Inject: cutOffOwner, Heal: heal},
		{Name: "entry-killed", Inject: func(f *Fleet) { f.Asked().Kill() }},
		{Name: "entry-leaves", Inject: func(f *Fleet) { f.Asked().Leave() }},
		{Name: "host-joins", Inject: func(f *Fleet) { f.AddNode("host-new"); f.publishHosts() }},
		{Name: "store-down", Inject: storeFaults(standin.StoreFaults{Down: true}), Heal: storeFaults(standin.StoreFaults{})},
		{Name: "store-slow", Inject: storeFaults(standin.StoreFaults{DelayMilliseconds: 400}), Heal: storeFaults(standin.StoreFaults{})},
		{Name: "store-loses-replies", Inject: storeFaults(standin.StoreFaults{LoseReplies: true}), Heal: storeFaults(standin.StoreFaults{})},
		{Name: "store-cut", Inject: func(f *Fleet) { f.Network.CutStore(f.Asked().Name, true) }, Heal: heal},
		{Name: "host-list-down", Inject: func(f *Fleet) { f.HostList.SetDown(true) }, Heal: func(f *Fleet) { f.HostList.SetDown(false) }},
		{Name: "configuration-changes", Inject: reconfigure},
	}
}

// Asked returns the first host that does not own shard 0, or the only one.
func (f *Fleet) Asked() *Node {
	nodes := f.Nodes()
	for _, n := range nodes {
		if n != f.OwnerOf(0) {
			return n
		}
	}
	return nodes[0]
}

// SetVersions makes all upstreams hold these versions.
func (f *Fleet) SetVersions(versions ...snapshot.Version) {
	for _, u := range f.Upstreams {
		u.SetVersions(versions...)
	}
}

// InForce reports whether all gates know a shard map.
func (f *Fleet) InForce(shardMap string) bool {
	for _, n := range f.Nodes() {
		s, ok := n.Gate.Catalog().Service(Service)
		if !ok {
			return false
		}
		if _, ok := s.ShardMap(shardMap); !ok {
			return false
		}
	}
	return true
}

func cutOwner(in, out bool) func(*Fleet) {
	return func(f *Fleet) {
		owner := f.OwnerOf(0)
		for _, n := range f.Nodes() {
			if n == owner {
				continue
			}
			f.Network.Cut(n.Name, owner.Name, in)
			f.Network.Cut(owner.Name, n.Name, out)
		}
	}
}

// cutOffOwner cuts the owner of shard 0 from all hosts and from the service.
func cutOffOwner(f *Fleet) {
	if owner := f.OwnerOf(0); owner != nil {
		cutOwner(true, true)(f)
		f.Network.CutStore(owner.Name, true)
	}
}

func heal(f *Fleet) { f.Network.Heal() }

func killOwner(f *Fleet) {
	if owner := f.OwnerOf(0); owner != nil {
		owner.Kill()
	}
}

func leaveOwner(f *Fleet) {
	if owner := f.OwnerOf(0); owner != nil {
		owner.Leave()
	}
}

// poison sends a request that crashes upstreams, and sends it again.
func poison(f *Fleet) {
	n := f.Asked()
	f.Go(func() {
		caller := f.NewCaller()
		for i := range 3 {
			caller.Ask(n, entry.RequestDocument{RequestID: fmt.Sprintf("poison-%d", i), Kind: Search, Query: []byte(`{"q":"` + standin.PoisonMark + `"}`)})
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// reconfigure drains the first upstream by configuration.
func reconfigure(f *Fleet) {
	spec := f.Spec()
	spec.Upstreams[0].Drain = true
	f.Go(func() { f.Publish(spec) })
}

// repartition adds a second map and, once the map is in force everywhere, a
// version of it in place of the first.
func repartition(f *Fleet) {
	f.Go(func() {
		f.PublishUntil(f.WithSecondMap())
		for !f.InForce("m2") {
			time.Sleep(100 * time.Millisecond)
		}
		f.SetVersions(snapshot.New(2, "m2"))
	})
}

// silence makes the open connections of the owner of shard 0 to its upstreams
// silent; new ones work.
func silence(f *Fleet) {
	for _, c := range f.Network.Clients() {
		if c.upstream == f.Upstreams[0] || c.upstream == f.Upstreams[1] {
			c.setSilent(true)
		}
	}
}

func slowShard(factor float64) func(*Fleet) {
	return func(f *Fleet) {
		for i := range f.Options.Replicas {
			f.Upstreams[i].SetFaults(standin.UpstreamFaults{SlowFactor: factor})
		}
	}
}

func storeFaults(faults standin.StoreFaults) func(*Fleet) {
	return func(f *Fleet) { f.Store.SetFaults(faults) }
}
