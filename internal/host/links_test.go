package host

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// newMembersWithoutUpstreams returns hosts of three data centres, of which some reach no upstream.
func newMembersWithoutUpstreams(count int, isPartitioned func(i int) bool) []roster.Member {
	var members []roster.Member
	for i := range count {
		address := fmt.Sprintf("host-%d", i)
		members = append(members, roster.NewMember(address, fmt.Sprint("z", i%3), address, address, 1, roster.Alive).WithCapacity(400).WithPartitioned(isPartitioned(i)))
	}
	return members
}

// TestDetoursReachUpstreams checks which hosts serve a host that reaches no upstream.
func TestDetoursReachUpstreams(t *testing.T) {
	c := qt.New(t)
	isPartitioned := func(i int) bool { return i%3 == 0 || i < 10 }
	v := newFleetView("host-0", newMembersWithoutUpstreams(60, isPartitioned))
	c.Check(v.detours, qt.HasLen, maxDetours)
	chosen := make(map[string]bool)
	for i := range 60 {
		own := newFleetView(fmt.Sprint("host-", i), newMembersWithoutUpstreams(60, isPartitioned))
		for _, m := range own.detours {
			c.Check(m.IsPartitioned(), qt.IsFalse)
			c.Check(m.Host(), qt.Not(qt.Equals), own.host)
			chosen[m.Host()] = true
		}
	}
	c.Check(chosen, qt.HasLen, 34, qt.Commentf("all hosts that reach upstreams carry"))
	c.Check(newFleetView("host-0", newMembersWithoutUpstreams(60, func(int) bool { return true })).detours, qt.HasLen, 0)
}

// TestDetoursAreInSeveralDataCenters checks that not all detours are cut with one data centre.
func TestDetoursAreInSeveralDataCenters(t *testing.T) {
	c := qt.New(t)
	v := newFleetView("host-0", newMembersWithoutUpstreams(60, func(int) bool { return false }))
	near := 0
	for _, m := range v.detours {
		if m.DataCenter() == "z0" {
			near++
		}
	}
	c.Check(near, qt.Equals, maxNearDetours)
	c.Check(v.detours, qt.HasLen, maxDetours)
}

// TestHostsWithoutUpstreamsLeaveTheirShares checks who uses the connections and limits of upstreams.
func TestHostsWithoutUpstreamsLeaveTheirShares(t *testing.T) {
	c := qt.New(t)
	members := newMembersWithoutUpstreams(10, func(i int) bool { return i < 5 })
	v := newFleetView("host-9", members)
	c.Check(v.connectionShare, qt.Equals, 0.2)
	c.Check(v.loadShare, qt.Equals, 0.1, qt.Commentf("the budget for extra attempts stays with those that have the callers"))
	c.Check(v.dialCandidates, qt.HasLen, 5)
	sum := 0.0
	for i := 5; i < 10; i++ {
		sum += newFleetView(fmt.Sprint("host-", i), members).limitShares["z0"]
	}
	c.Check(sum > 0.9 && sum < 1.0001, qt.IsTrue, qt.Commentf("%f of the limit", sum))
}

// TestAdvertisedHostsCanCarryTheLoad checks which hosts callers are told of.
func TestAdvertisedHostsCanCarryTheLoad(t *testing.T) {
	for _, test := range []struct{ cut, want int }{{0, 12}, {3, 9}, {6, 6}, {7, 12}, {12, 12}} {
		c := qt.New(t)
		members := newMembersWithoutUpstreams(12, func(i int) bool { return i < test.cut })
		told := make(map[string]bool)
		for _, dc := range []string{"z0", "z1", "z2"} {
			for _, a := range membership.AdvertisedAddresses(members, dc) {
				told[a] = true
			}
		}
		c.Check(told, qt.HasLen, test.want, qt.Commentf("%d of 12 cut", test.cut))
	}
}

// TestEndsOfUpstreamsAreToldFromLostLinks has an upstream end or hosts lose their links, and checks what hosts conclude.
func TestEndsOfUpstreamsAreToldFromLostLinks(t *testing.T) {
	const address = "shard-0-0:1"
	for _, test := range []struct {
		name string
		mode endMode
		play func(f *testFleet, addresses []string, u *simulatedUpstream)
		want reachability.Condition
	}{
		{"running", closesConnections, func(*testFleet, []string, *simulatedUpstream) {}, reachability.Running},
		{"ended", closesConnections, func(f *testFleet, _ []string, u *simulatedUpstream) { f.upstreams.end(u, "") }, reachability.Ended},
		{"ended in silence", goesSilent, func(f *testFleet, _ []string, u *simulatedUpstream) { f.upstreams.end(u, "") }, reachability.Ended},
		{"this host is cut", closesConnections, func(f *testFleet, addresses []string, _ *simulatedUpstream) { f.upstreams.cut(addresses[:1], cutHangs) }, reachability.Running},
		{"this host is cut from it", closesConnections, func(f *testFleet, addresses []string, u *simulatedUpstream) {
			f.upstreams.isCut = func(s inventory.UpstreamSpec) bool { return s.ID == u.spec.ID }
			f.upstreams.cut(addresses[:1], cutRefuses)
		}, reachability.Running},
		{"all hosts are cut", closesConnections, func(f *testFleet, addresses []string, _ *simulatedUpstream) {
			f.upstreams.cut(addresses, cutHangs)
		}, reachability.Unknown},
		{"no other host answers", goesSilent, func(f *testFleet, addresses []string, u *simulatedUpstream) {
			f.upstreams.end(u, "")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[addresses[0]].isolated = true
		}, reachability.Ended},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startSearchFleet(7, test.mode, false)
				h := f.hosts[addresses[0]].host
				u := f.upstreams.at(address)
				known, ok := h.inventory.Upstream(u.spec.ID)
				c.Assert(ok, qt.IsTrue)
				test.play(f, addresses, u)
				c.Check(h.links.CheckUpstream(context.Background(), known, time.Now()), qt.Equals, test.want)
				f.stopAll()
			})
		})
	}
}

// TestAnotherUpstreamAtTheAddressRefutesNothing has an address answer for another upstream.
func TestAnotherUpstreamAtTheAddressRefutesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(3, closesConnections, false)
		h := f.hosts[addresses[0]].host
		u, ok := h.inventory.Upstream(f.upstreams.at("shard-0-0:1").spec.ID)
		c.Assert(ok, qt.IsTrue)
		endedAt := time.Now()
		time.Sleep(networkDelay)
		startedAt := time.Now()
		time.Sleep(networkDelay)
		h.links.RecordOutcome(u, startedAt, upstream.Outcome{Result: upstream.Misdirected})
		c.Check(h.links.RespondedSince(u.LifetimeKey(), endedAt), qt.IsFalse)
		h.links.RecordOutcome(u, startedAt, upstream.Outcome{Result: upstream.Answered})
		c.Check(h.links.RespondedSince(u.LifetimeKey(), endedAt), qt.IsTrue)
		f.stopAll()
	})
}
