package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// fakeLinks are links as the test sets them.
type fakeLinks struct {
	isPartitioned bool
	// alive holds the upstreams over whose open connections attempts may go.
	alive map[uint64]bool
	// reaching holds the dialling hosts that are known to reach upstreams.
	reaching map[string]bool
}

var _ Links = (*fakeLinks)(nil)

func (l *fakeLinks) AllowsConnection(lifetime uint64) bool {
	return !l.isPartitioned || l.alive[lifetime]
}
func (l *fakeLinks) AllowsDial(time.Time, uint64) bool { return !l.isPartitioned }
func (l *fakeLinks) IsPartitioned() bool               { return l.isPartitioned }
func (l *fakeLinks) IsReaching(address string) bool    { return l.reaching[address] }

// newDetourFixture returns a fixture with the detours near:1 and far:1 besides its upstreams.
func newDetourFixture() (*fixture, *fakeLinks) {
	f := newFixture(newPolicy())
	links := &fakeLinks{alive: make(map[uint64]bool), reaching: make(map[string]bool)}
	f.Links = links
	i := inventory.New()
	var specs []inventory.UpstreamSpec
	for _, id := range []string{"a", "b", "c"} {
		specs = append(specs, inventory.UpstreamSpec{ID: id, Service: "s", Address: id, DataCenter: "near", Slots: 2})
	}
	i.Update(f.now, specs)
	upstreams := append(i.ForService("s"), inventory.NewDetour("s", "near:1", "near", 2), inventory.NewDetour("s", "far:1", "far", 2))
	f.Configure(f.now, upstreams, newPolicy())
	return f, links
}

// chosen returns where the next attempt goes; "" if no upstream accepts it.
func (f *fixture) chosen(r Requirements) string {
	r.LatencyStats = f.latencyStats
	a := f.Assign(f.now, r)
	if a == nil {
		return ""
	}
	f.Unassign(a)
	return a.Upstream.ID()
}

// fail has attempts at an upstream fail to connect.
func (f *fixture) fail(id string) {
	var tried []string
	for _, m := range f.members {
		if m.upstream.ID() != id {
			tried = append(tried, m.upstream.ID())
		}
	}
	a := f.Assign(f.now, Requirements{LatencyStats: f.latencyStats, TriedUpstreams: tried})
	f.RecordOutcome(f.now, a, upstream.Outcome{Result: upstream.Unreachable})
}

// TestDetoursAreUsedOnlyForLostLinks checks where attempts go.
func TestDetoursAreUsedOnlyForLostLinks(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(*fixture, *fakeLinks)
		r    Requirements
		want string
		// hasUpstream is the result of HasUpstream.
		hasUpstream bool
	}{
		{"all links work", func(*fixture, *fakeLinks) {}, Requirements{}, "a", true},
		{"one upstream cannot be reached", func(f *fixture, _ *fakeLinks) { f.fail("a") }, Requirements{}, "b", true},
		{"no upstream can be reached", func(f *fixture, _ *fakeLinks) { f.fail("a"); f.fail("b"); f.fail("c") }, Requirements{}, "near:1", true},
		{"no upstream can be reached, direct only", func(f *fixture, _ *fakeLinks) { f.fail("a"); f.fail("b"); f.fail("c") }, Requirements{DirectOnly: true}, "", true},
		{"partitioned", func(_ *fixture, l *fakeLinks) { l.isPartitioned = true }, Requirements{}, "near:1", true},
		{"partitioned, far detour has answered", func(_ *fixture, l *fakeLinks) { l.isPartitioned, l.reaching["far:1"] = true, true }, Requirements{}, "far:1", true},
		{"partitioned, one connection lives on", func(f *fixture, l *fakeLinks) {
			l.isPartitioned = true
			l.alive[f.members[1].upstream.LifetimeKey()] = true
		}, Requirements{}, "b", true},
		{"partitioned, the connection that lives on was tried", func(f *fixture, l *fakeLinks) {
			l.isPartitioned = true
			l.alive[f.members[1].upstream.LifetimeKey()] = true
		}, Requirements{TriedUpstreams: []string{"b"}}, "near:1", true},
		{"nothing heard since the last attempt", func(*fixture, *fakeLinks) {}, Requirements{AvoidsOwnLinks: true}, "near:1", true},
		{"nothing heard from the data centre of all upstreams", func(*fixture, *fakeLinks) {}, Requirements{AvoidedDataCenter: "near"}, "near:1", true},
		{"nothing heard from another data centre", func(*fixture, *fakeLinks) {}, Requirements{AvoidedDataCenter: "far"}, "a", true},
		{"all upstreams busy", func(f *fixture, _ *fakeLinks) {
			for range 12 {
				f.Assign(f.now, Requirements{LatencyStats: f.latencyStats})
			}
		}, Requirements{}, "", true},
		{"all upstreams rest", func(f *fixture, _ *fakeLinks) {
			for _, m := range f.members[:3] {
				m.restUntil = f.now.Add(time.Second)
			}
		}, Requirements{}, "", false},
		{"partitioned, no detour reaches the service", func(f *fixture, l *fakeLinks) {
			l.isPartitioned = true
			for range 2 {
				a := f.Assign(f.now, Requirements{LatencyStats: f.latencyStats})
				f.RecordOutcome(f.now, a, upstream.Outcome{Result: upstream.Refused, NotForwarded: true, NoRoute: true})
			}
		}, Requirements{}, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f, links := newDetourFixture()
			test.play(f, links)
			c.Check(f.chosen(test.r), qt.Equals, test.want)
			c.Check(f.HasUpstream(f.now), qt.Equals, test.hasUpstream)
		})
	}
}

// TestOwnLinksAreUsedAgain checks that detours are left once an upstream may be tried again.
func TestOwnLinksAreUsedAgain(t *testing.T) {
	c := qt.New(t)
	f, _ := newDetourFixture()
	f.fail("a")
	f.fail("b")
	f.fail("c")
	c.Check(f.chosen(Requirements{}), qt.Equals, "near:1")
	f.now = f.now.Add(minDownPeriod)
	c.Check(f.reconnect(false), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(f.chosen(Requirements{}), qt.Equals, "near:1")
	f.now = f.now.Add(2 * minDownPeriod)
	c.Check(f.reconnect(true), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(f.chosen(Requirements{}), qt.Equals, "a")
}
