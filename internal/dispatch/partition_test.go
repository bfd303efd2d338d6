package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// scriptedLinks are links that the test loses.
type scriptedLinks struct {
	fakeLinks

	mu            sync.Mutex
	isPartitioned bool
	hears         bool
	changed       chan struct{}
}

var (
	_ Links      = (*scriptedLinks)(nil)
	_ pool.Links = (*scriptedLinks)(nil)
)

func (l *scriptedLinks) AllowsConnection(uint64) bool { return !l.IsPartitioned() }

func (l *scriptedLinks) AllowsDial(time.Time, uint64) bool { return !l.IsPartitioned() }

func (l *scriptedLinks) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (*scriptedLinks) CheckUpstream(context.Context, inventory.Upstream, time.Time) reachability.Condition {
	return reachability.Running
}

func (l *scriptedLinks) HeardSince(time.Time) bool { return l.hears }

func (l *scriptedLinks) IsPartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isPartitioned
}

func (*scriptedLinks) IsReaching(string) bool { return true }

// lose loses the links.
func (l *scriptedLinks) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isPartitioned = true
	close(l.changed)
	l.changed = make(chan struct{})
}

const detourAddress = "detour:1"

// newPartitionDispatcher returns a dispatcher whose own upstreams never respond, with a detour
// that does, and links that are lost after lostAfter.
func newPartitionDispatcher(route routing.RouteSpec, hears bool, lostAfter time.Duration, policy pool.Policy) (*testDispatcher, *scriptedLinks) {
	d := newTestDispatcherWithPolicy(route, policy, func(id string, _ int, a *upstream.Attempt) reaction {
		if a.Relay != nil {
			return responds("xd")
		}
		return reaction{isSilent: true}
	})
	links := &scriptedLinks{hears: hears, changed: make(chan struct{})}
	d.Links = links
	for s, p := range d.pools {
		p.Links = links
		i := inventory.New()
		var specs []inventory.UpstreamSpec
		for _, id := range []string{"a", "b", "c"} {
			specs = append(specs, inventory.UpstreamSpec{ID: s + id, Service: s, Address: s + id, DataCenter: id, Slots: slotCount})
		}
		i.Update(time.Now(), specs)
		p.Configure(time.Now(), append(i.ForService(s), inventory.NewDetour(s, detourAddress, "a", slotCount)), policy)
	}
	if lostAfter > 0 {
		d.Group.Go(func() {
			time.Sleep(lostAfter)
			links.lose()
		})
	}
	return d, links
}

// TestHedgeAvoidsLinksThatHearNothing has the own upstreams of a lookup not respond.
func TestHedgeAvoidsLinksThatHearNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		hears bool
		want  string
	}{{"nothing heard", false, detourAddress}, {"others heard", true, "s0b"}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d, _ := newPartitionDispatcher(singleRoute(true), test.hears, 0, pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3})
				d.runRequest(context.Background())
				d.Group.Wait()
				c.Assert(len(d.upstreams.attemptOrder) >= 2, qt.IsTrue)
				c.Check(d.upstreams.attemptOrder[:2], qt.DeepEquals, []string{"s0a", test.want})
			})
		})
	}
}

// TestLostAttemptsAreReplacedWithoutBudget has a host lose its links while attempts are in flight that must be replaced.
func TestLostAttemptsAreReplacedWithoutBudget(t *testing.T) {
	for name, route := range map[string]routing.RouteSpec{"search": gatherRoute(1), "lookup": singleRoute(true)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				const lostAfter = 20 * time.Millisecond
				d, _ := newPartitionDispatcher(route, true, lostAfter, pool.Policy{Window: 10 * time.Second, MaxConcurrent: 3})
				a, elapsed := d.runRequest(context.Background())
				d.Group.Wait()
				c.Check(a.Status, qt.Equals, http.StatusOK)
				c.Check(elapsed < lostAfter+3*runDuration, qt.IsTrue, qt.Commentf("%v", elapsed))
			})
		})
	}
}

// TestOrderOverLostLinkIsNotRepeated has a host lose its links while an attempt is in flight that must not run twice.
func TestOrderOverLostLinkIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, _ := newPartitionDispatcher(singleRoute(false), true, 20*time.Millisecond, pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3})
		a, _ := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, http.StatusGatewayTimeout)
		c.Check(d.upstreams.attemptOrder, qt.HasLen, 1)
	})
}

// TestUnsentAttemptGoesThroughDetour has no upstream accept a connection. Other hosts may send the attempt to the same upstreams.
func TestUnsentAttemptGoesThroughDetour(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d, _ := newPartitionDispatcher(singleRoute(idempotent), true, 0, pool.Policy{Window: 10 * time.Second, MaxConcurrent: 3})
			var tried []string
			react := d.upstreams.react
			d.upstreams.react = func(id string, n int, a *upstream.Attempt) reaction {
				if a.Relay == nil {
					return endsWith(upstream.Unreachable)
				}
				tried = slices.Clone(a.Relay.TriedUpstreams)
				return react(id, n, a)
			}
			a, elapsed := d.runRequest(context.Background())
			d.Group.Wait()
			c.Check(a.Status, qt.Equals, http.StatusOK)
			c.Check(elapsed < target/2, qt.IsTrue)
			c.Check(tried, qt.DeepEquals, []string{detourAddress})
		})
	}
}

// TestWrittenOffAttemptsAreCountedOnce has attempts end in every way just when they are written off.
func TestWrittenOffAttemptsAreCountedOnce(t *testing.T) {
	for _, result := range []upstream.Result{upstream.Unreachable, upstream.Aborted, upstream.Answered, upstream.Broken} {
		t.Run(result.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d, links := newPartitionDispatcher(singleRoute(true), true, 0, pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3})
				f := newInFlightRequest(d.Dispatcher, &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h"}, d.route)
				p := f.parts[0]
				a := p.pool.Assign(time.Now(), f.requirements(p, 0))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				f.send(ctx, time.Now(), p, a, false)
				links.lose()
				f.handleLinkChange()
				c.Check(p.arrived, qt.Equals, 0)
				f.handleResult(&attemptResult{part: p, assignment: a, outcome: upstream.Outcome{Result: result}})
				wantArrived, wantRan := 1, 1
				switch result {
				case upstream.Unreachable:
					wantArrived, wantRan = 0, 0
				case upstream.Aborted:
					wantArrived = 0
				}
				c.Check(p.arrived, qt.Equals, wantArrived)
				c.Check(p.ran, qt.Equals, wantRan)
				d.Group.Wait()
			})
		})
	}
}

// TestLostAttemptsCountTowardsTheBound has a host lose its links, and the detour too, when two attempts are allowed.
func TestLostAttemptsCountTowardsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, _ := newPartitionDispatcher(singleRoute(true), true, 20*time.Millisecond, pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3})
		d.upstreams.react = func(_ string, _ int, a *upstream.Attempt) reaction {
			if a.Relay == nil {
				return reaction{isSilent: true}
			}
			return reaction{delay: time.Millisecond, outcome: upstream.Outcome{Result: upstream.Broken, LinkLost: true}}
		}
		a, _ := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, http.StatusBadGateway)
		c.Check(d.upstreams.attemptOrder, qt.DeepEquals, []string{"s0a", detourAddress})
	})
}
