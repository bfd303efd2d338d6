package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// TestEndsOfUpstreamsAreToldFromLostLinks has an upstream end or hosts lose their links, and checks what hosts conclude.
func TestEndsOfUpstreamsAreToldFromLostLinks(t *testing.T) {
	t.Parallel()
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
			t.Parallel()
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
	t.Parallel()
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
