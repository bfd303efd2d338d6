package fleettest

import (
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// A Fault is a failure or a planned change that a test injects into a fleet.
type Fault struct {
	Name   string
	Inject func(f *Fleet)
	// Heal ends the fault. It is nil for faults that tests do not end.
	Heal func(f *Fleet)
}

// Faults returns all faults. The faults of single upstreams affect those of shard 0.
// The faults of a gate and host-cut-off affect the owner of shard 0; the faults of an
// entry and store-cut affect FirstHostNotOwningShard0. The other faults affect all
// upstreams, the whole fleet or the platform.
func Faults() []Fault {
	onFirstUpstream := func(faults standin.UpstreamFaults) Fault {
		return Fault{
			Inject: func(f *Fleet) { f.Upstreams[0].SetFaults(faults) },
			Heal:   func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{}) },
		}
	}
	withName := func(name string, fault Fault) Fault {
		fault.Name = name
		return fault
	}
	return []Fault{
		withName("upstream-lost", onFirstUpstream(standin.UpstreamFaults{Down: true})),
		withName("upstream-frozen", onFirstUpstream(standin.UpstreamFaults{Frozen: true})),
		withName("upstream-slow", onFirstUpstream(standin.UpstreamFaults{SlowFactor: 20})),
		withName("upstream-drains", onFirstUpstream(standin.UpstreamFaults{Draining: true})),
		withName("upstream-sheds", onFirstUpstream(standin.UpstreamFaults{Shedding: true})),
		withName("upstream-cuts-after-run", onFirstUpstream(standin.UpstreamFaults{CutAfterRun: true})),
		withName("upstream-wrong-version", onFirstUpstream(standin.UpstreamFaults{WrongVersion: true})),
		withName("upstream-misleads", onFirstUpstream(standin.UpstreamFaults{Misleading: true})),
		withName("reports-down", onFirstUpstream(standin.UpstreamFaults{ReportsDown: true})),
		{Name: "shard-slow", Inject: slowFirstShard(10), Heal: slowFirstShard(0)},
		{Name: "connections-silent", Inject: silenceConnections},
		{Name: "version-replaced", Inject: func(f *Fleet) { f.SetVersions(snapshot.New(2, "m1")) }},
		{Name: "version-added", Inject: func(f *Fleet) { f.SetVersions(snapshot.New(1, "m1"), snapshot.New(2, "m1")) }},
		{Name: "repartitioned", Inject: repartition},
		{Name: "poison-request", Inject: sendCrashingRequests},
		{Name: "gate-killed", Inject: func(f *Fleet) { killOwner(f) }},
		{Name: "gate-leaves", Inject: func(f *Fleet) { makeOwnerLeave(f) }},
		{Name: "gate-cut-in", Inject: dropOwnerMessages(true, false), Heal: healNetwork},
		{Name: "gate-cut-out", Inject: dropOwnerMessages(false, true), Heal: healNetwork},
		{Name: "gate-cut-off", Inject: dropOwnerMessages(true, true), Heal: healNetwork},
		{Name: "host-cut-off", Inject: cutOffOwner, Heal: healNetwork},
		{Name: "entry-killed", Inject: func(f *Fleet) { f.FirstHostNotOwningShard0().Kill() }},
		{Name: "entry-leaves", Inject: func(f *Fleet) { f.FirstHostNotOwningShard0().Leave() }},
		{Name: "host-joins", Inject: func(f *Fleet) { f.AddHost("host-new"); f.publishHostList() }},
		{Name: "store-down", Inject: setStoreFaults(standin.StoreFaults{Down: true}), Heal: setStoreFaults(standin.StoreFaults{})},
		{Name: "store-slow", Inject: setStoreFaults(standin.StoreFaults{DelayMilliseconds: 400}), Heal: setStoreFaults(standin.StoreFaults{})},
		{Name: "store-loses-replies", Inject: setStoreFaults(standin.StoreFaults{LoseReplies: true}), Heal: setStoreFaults(standin.StoreFaults{})},
		{Name: "store-cut", Inject: func(f *Fleet) { f.Network.SetCutFromStore(f.FirstHostNotOwningShard0().Name, true) }, Heal: healNetwork},
		{Name: "host-list-down", Inject: func(f *Fleet) { f.HostList.SetDown(true) }, Heal: func(f *Fleet) { f.HostList.SetDown(false) }},
		{Name: "configuration-changes", Inject: drainByConfiguration},
	}
}

// FirstHostNotOwningShard0 returns the first running host that does not own shard 0, or the only
// running host. TestFaultMatrix sends its request to this host.
func (f *Fleet) FirstHostNotOwningShard0() *Host {
	hosts := f.Hosts()
	for _, h := range hosts {
		if h != f.ShardOwner(0) {
			return h
		}
	}
	return hosts[0]
}

// SetVersions makes all upstreams serve these versions.
func (f *Fleet) SetVersions(versions ...snapshot.Version) {
	for _, u := range f.Upstreams {
		u.SetVersions(versions...)
	}
}

// AllGatesHaveMap reports whether the catalog of the gate of every running host has a
// shard map of this name for the test service.
func (f *Fleet) AllGatesHaveMap(shardMap string) bool {
	for _, h := range f.Hosts() {
		s, ok := h.Gate.Catalog().Service(ServiceName)
		if !ok {
			return false
		}
		if _, ok := s.ShardMap(shardMap); !ok {
			return false
		}
	}
	return true
}

// dropOwnerMessages returns a function that drops the messages of the other hosts to
// the owner of shard 0 (inbound), those in the other direction (outbound), or both.
func dropOwnerMessages(inbound, outbound bool) func(*Fleet) {
	return func(f *Fleet) {
		owner := f.ShardOwner(0)
		for _, h := range f.Hosts() {
			if h == owner {
				continue
			}
			f.Network.SetDropped(h.Name, owner.Name, inbound)
			f.Network.SetDropped(owner.Name, h.Name, outbound)
		}
	}
}

// cutOffOwner cuts the owner of shard 0 from all other hosts and from the key-value
// service.
func cutOffOwner(f *Fleet) {
	if owner := f.ShardOwner(0); owner != nil {
		dropOwnerMessages(true, true)(f)
		f.Network.SetCutFromStore(owner.Name, true)
	}
}

func healNetwork(f *Fleet) { f.Network.Heal() }

func killOwner(f *Fleet) {
	if owner := f.ShardOwner(0); owner != nil {
		owner.Kill()
	}
}

func makeOwnerLeave(f *Fleet) {
	if owner := f.ShardOwner(0); owner != nil {
		owner.Leave()
	}
}

// sendCrashingRequests sends three requests with the same query, which crashes the
// upstreams that run it, with pauses of 50 ms.
func sendCrashingRequests(f *Fleet) {
	h := f.FirstHostNotOwningShard0()
	f.Go(func() {
		caller := f.NewCaller()
		for i := range 3 {
			caller.Send(h, entry.RequestDocument{RequestID: fmt.Sprintf("poison-%d", i), Kind: SearchKind, Query: []byte(`{"q":"` + standin.CrashMark + `"}`)})
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// drainByConfiguration publishes a configuration that drains the first upstream.
func drainByConfiguration(f *Fleet) {
	spec := f.Spec()
	spec.Upstreams[0].Drain = true
	f.Go(func() { f.Publish(spec) })
}

// repartition publishes a second shard map, m2. Once all gates have m2, it replaces the
// versions that all upstreams serve by version 2 with m2.
func repartition(f *Fleet) {
	f.Go(func() {
		f.PublishWithRetry(f.SpecWithSecondMap())
		for !f.AllGatesHaveMap("m2") {
			time.Sleep(100 * time.Millisecond)
		}
		f.SetVersions(snapshot.New(2, "m2"))
	})
}

// silenceConnections makes the open connections of all gates to the first two
// upstreams of shard 0 silent. New connections work.
func silenceConnections(f *Fleet) {
	for _, c := range f.Network.Clients() {
		if c.upstream == f.Upstreams[0] || c.upstream == f.Upstreams[1] {
			c.setSilent(true)
		}
	}
}

// slowFirstShard returns a function that replaces the faults of all upstreams of shard 0
// by a SlowFactor; a factor of 0 leaves them without faults.
func slowFirstShard(factor float64) func(*Fleet) {
	return func(f *Fleet) {
		for i := range f.Options.Replicas {
			f.Upstreams[i].SetFaults(standin.UpstreamFaults{SlowFactor: factor})
		}
	}
}

// setStoreFaults returns a function that replaces the faults of the key-value service.
func setStoreFaults(faults standin.StoreFaults) func(*Fleet) {
	return func(f *Fleet) { f.Store.SetFaults(faults) }
}
