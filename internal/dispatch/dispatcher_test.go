package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	target  = 80 * time.Millisecond
	timeout = 800 * time.Millisecond
	run     = 5 * time.Millisecond
)

// A reaction is what an upstream does with an attempt.
type reaction struct {
	after  time.Duration
	ending upstream.Outcome
	// silent upstreams never answer.
	silent bool
}

// fakeUpstreams is an Exchanger whose upstreams react as they are told.
type fakeUpstreams struct {
	// react returns the reaction to the n-th attempt at an upstream.
	react func(id string, n int, a *upstream.Attempt) reaction

	mu       sync.Mutex
	attempts map[string]int
	order    []string
	canceled int
}

var _ upstream.Exchanger = (*fakeUpstreams)(nil)

func (f *fakeUpstreams) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Outcome {
	f.mu.Lock()
	n := f.attempts[a.UpstreamID]
	f.attempts[a.UpstreamID]++
	f.order = append(f.order, a.UpstreamID)
	r := f.react(a.UpstreamID, n, a)
	f.mu.Unlock()
	wait := r.after
	if r.silent {
		wait = time.Hour
	}
	timer := time.NewTimer(min(wait, time.Until(a.Deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
		if time.Now().Before(a.Deadline) {
			return r.ending
		}
		return upstream.Outcome{Result: upstream.Aborted}
	case <-ctx.Done():
		f.mu.Lock()
		f.canceled++
		f.mu.Unlock()
		return upstream.Outcome{Result: upstream.Aborted}
	}
}

func (*fakeUpstreams) IdleCount(string) int { return 1 }

func (*fakeUpstreams) CloseIdleConnections(string) {}

// tier is a dispatcher over shards s0, s1, ... with upstreams a, b and c each.
type tier struct {
	*Dispatcher
	upstreams *fakeUpstreams
	route     *routing.Route
	pools     map[string]*pool.Pool

	mu        sync.Mutex
	decisions []Summary
}

func newTier(spec routing.RouteSpec, react func(id string, n int, a *upstream.Attempt) reaction) *tier {
	t := &tier{upstreams: &fakeUpstreams{react: react, attempts: make(map[string]int)}, pools: make(map[string]*pool.Pool)}
	spec.Prefix, spec.Host, spec.Timeout, spec.LatencyTarget = "/", "h", timeout, target
	t.route = routing.NewTable(1, []routing.RouteSpec{spec}, nil, routing.Limits{}).Match("h", "/")
	services := slices.Clone(spec.Shards)
	for _, d := range spec.Destinations {
		services = append(services, d.Service)
	}
	for _, s := range services {
		i := inventory.New()
		var specs []inventory.UpstreamSpec
		for _, id := range []string{"a", "b", "c"} {
			specs = append(specs, inventory.UpstreamSpec{ID: s + id, Service: s, Address: s + id, DataCenter: id, Slots: 2})
		}
		i.Update(time.Now(), specs)
		t.pools[s] = &pool.Pool{DataCenter: "a", IdleCount: t.upstreams.IdleCount}
		policy := pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3}
		t.pools[s].Configure(time.Now(), i.ForService(s), policy)
		for range 100 {
			t.pools[s].RecordRequest(time.Now())
		}
	}
	class := pool.NewLatencyStats(target, t.route.Gathers())
	t.Dispatcher = &Dispatcher{
		Exchanger: t.upstreams, Pool: func(s string) *pool.Pool { return t.pools[s] },
		LatencyStats: func(*routing.Route) *pool.LatencyStats { return class },
		BlockedFor:   func(uint64) time.Duration { return 0 }, OnCrash: func(pool.Crash) {}, OnSuccess: func(uint64) {},
		OnFinish: t.decided, CallerAllowance: 10 * time.Millisecond, Group: &work.Group{},
	}
	return t
}

func (t *tier) decided(d Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decisions = append(t.decisions, d)
}

func (t *tier) ask(ctx context.Context) (Answer, time.Duration) {
	started := time.Now()
	answer := t.Run(ctx, &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h"}, t.route, 1)
	return answer, time.Since(started)
}

func gather(minShare float64) routing.RouteSpec {
	return routing.RouteSpec{
		Name: "g", MaxAttempts: 2, Shards: []string{"s0", "s1", "s2", "s3"}, MaxRecords: 3, MinShardRatio: minShare,
	}
}

func single(idempotent bool) routing.RouteSpec {
	return routing.RouteSpec{
		Name: "one", MaxAttempts: 2, Idempotent: idempotent, Destinations: []routing.Destination{{Service: "s0", Weight: 1}},
	}
}

func answer(id string) reaction {
	return reaction{after: run, ending: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{
		Status: http.StatusOK, Signature: "sig-" + id, Body: bytes.Repeat([]byte(id[1:2]), RecordSize),
	}}}
}

func endedWith(result upstream.Result) reaction {
	return reaction{after: time.Millisecond, ending: upstream.Outcome{Result: result}}
}

func TestGather(t *testing.T) {
	for _, test := range []struct {
		name       string
		minShare   float64
		react      func(id string, n int, a *upstream.Attempt) reaction
		status     int
		missing    int
		took       time.Duration
		attempts   int
		retryAfter bool
	}{
		{
			name: "all answer", minShare: 1,
			react:  func(id string, _ int, _ *upstream.Attempt) reaction { return answer(id) },
			status: 200, took: run, attempts: 4,
		},
		{
			name: "one is silent, another of its shard is asked", minShare: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id == "s1a" {
					return reaction{silent: true}
				}
				return answer(id)
			},
			status: 200, took: 24*time.Millisecond + run, attempts: 5,
		},
		{
			name: "one answer is lost, another is asked at once", minShare: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id == "s1a" {
					return endedWith(upstream.Broken)
				}
				return answer(id)
			},
			status: 200, took: time.Millisecond + run, attempts: 5,
		},
		{
			name: "a shard is silent: the answer is on time without it", minShare: 0.75,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return reaction{silent: true}
				}
				return answer(id)
			},
			status: 200, missing: 1, took: 70 * time.Millisecond, attempts: 5,
		},
		{
			name: "a shard is gone: no waiting", minShare: 0.75,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return endedWith(upstream.Unreachable)
				}
				return answer(id)
			},
			status: 200, missing: 1, took: run, attempts: 6,
		},
		{
			name: "a shard that is needed fails in all attempts that it may have", minShare: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return endedWith(upstream.Broken)
				}
				return answer(id)
			},
			status: 502, missing: 4, took: 2 * time.Millisecond, attempts: 5, retryAfter: true,
		},
		{
			name: "nobody can be reached", minShare: 0.25,
			react:  func(string, int, *upstream.Attempt) reaction { return endedWith(upstream.Unreachable) },
			status: 503, missing: 4, took: 3 * time.Millisecond, attempts: 12, retryAfter: true,
		},
		{
			name: "all are silent: an answer at the timeout", minShare: 0.75,
			react:  func(string, int, *upstream.Attempt) reaction { return reaction{silent: true} },
			status: 504, missing: 4, took: timeout, attempts: 8, retryAfter: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tier := newTier(gather(test.minShare), test.react)
				a, took := tier.ask(context.Background())
				c.Check(a.Status, qt.Equals, test.status)
				c.Check(a.MissingParts, qt.Equals, test.missing)
				c.Check(took, qt.Equals, test.took)
				c.Check(a.RetryAfter > 0, qt.Equals, test.retryAfter)
				c.Check(tier.decisions[0].Attempts, qt.Equals, test.attempts)
				if a.Status == http.StatusOK {
					c.Check(a.Signatures, qt.HasLen, 4-test.missing)
					c.Check(a.Body, qt.HasLen, 3*RecordSize)
				}
				tier.Group.Wait()
			})
		})
	}
}

// TestCallersThatConnected leaves out a silent part in time for a caller whose target
// began with a new connection.
func TestCallersThatConnected(t *testing.T) {
	for _, test := range []struct {
		connected bool
		took      time.Duration
	}{{false, 70 * time.Millisecond}, {true, 64 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			tier := newTier(gather(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return reaction{silent: true}
				}
				return answer(id)
			})
			tier.ConnectAllowance = 6 * time.Millisecond
			started := time.Now()
			request := &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h", NewConnection: test.connected}
			a := tier.Run(context.Background(), request, tier.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK)
			c.Check(time.Since(started), qt.Equals, test.took)
			tier.Group.Wait()
		})
	}
}

func TestSingle(t *testing.T) {
	failure := func(status int) reaction {
		return reaction{after: run, ending: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{
			Status: status, Signature: "sig",
		}}}
	}
	for _, test := range []struct {
		name       string
		idempotent bool
		// reactions are those to the attempts in turn; the last one repeats.
		reactions []reaction
		status    int
		attempts  int
	}{
		{"answered", false, []reaction{answer("s0a")}, 200, 1},
		{"must not run twice: lost answer", false, []reaction{endedWith(upstream.Broken), answer("s0b")}, 502, 1},
		{"must not run twice: turned away", false, []reaction{endedWith(upstream.Refused), answer("s0b")}, 200, 2},
		{"must not run twice: another upstream there", false, []reaction{endedWith(upstream.Misdirected), answer("s0b")}, 200, 2},
		{"must not run twice: no connection", false, []reaction{endedWith(upstream.Unreachable), answer("s0b")}, 200, 2},
		{"must not run twice: silent", false, []reaction{{silent: true}, answer("s0b")}, 504, 1},
		{"must not run twice: failure is passed on", false, []reaction{failure(500), answer("s0b")}, 500, 1},
		{"must not run twice: turned away by all", false, []reaction{endedWith(upstream.Refused)}, 503, 3},
		{"must not run twice: a failure that looks like not run", false, []reaction{failure(503), answer("s0b")}, 502, 1},
		{"must not run twice: a refusal that looks like not run", false, []reaction{failure(429), answer("s0b")}, 502, 1},
		{"may run twice: a failure that looks like not run", true, []reaction{failure(503)}, 502, 2},
		{"may run twice: lost answer", true, []reaction{endedWith(upstream.Broken), answer("s0b")}, 200, 2},
		{"may run twice: failure", true, []reaction{failure(500), answer("s0b")}, 200, 2},
		{"may run twice: failures are passed on in the end", true, []reaction{failure(500)}, 500, 2},
		{"may run twice: silent", true, []reaction{{silent: true}, answer("s0b")}, 200, 2},
		{"refusals of the request are passed on", true, []reaction{failure(404), answer("s0b")}, 404, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := 0
				tier := newTier(single(test.idempotent), func(string, int, *upstream.Attempt) reaction {
					n++
					return test.reactions[min(n, len(test.reactions))-1]
				})
				a, took := tier.ask(context.Background())
				c.Check(a.Status, qt.Equals, test.status)
				c.Check(tier.decisions[0].Attempts, qt.Equals, test.attempts)
				c.Check(took <= timeout, qt.IsTrue)
				c.Check(a.Status != 503 || a.RetryAfter > 0, qt.IsTrue)
				tier.Group.Wait()
			})
		})
	}
}

// TestCallerGone ends the attempts of a caller that has left at once, but not
// what must not run twice.
func TestCallerGone(t *testing.T) {
	for _, test := range []struct {
		spec     routing.RouteSpec
		canceled int
	}{{gather(1), 4}, {single(true), 1}, {single(false), 0}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			tier := newTier(test.spec, func(id string, _ int, _ *upstream.Attempt) reaction {
				r := answer(id)
				r.after = 20 * time.Millisecond
				return r
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			_, took := tier.ask(ctx)
			c.Check(took, qt.Equals, 10*time.Millisecond)
			synctest.Wait()
			c.Check(tier.upstreams.canceled, qt.Equals, test.canceled)
			tier.Group.Wait()
		})
	}
}

// TestLosersEnd gives up an attempt that is not needed any more.
func TestLosersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tier := newTier(gather(1), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id == "s1a" {
				return reaction{silent: true}
			}
			return answer(id)
		})
		a, _ := tier.ask(context.Background())
		c.Check(a.Status, qt.Equals, http.StatusOK)
		time.Sleep(loserTime)
		synctest.Wait()
		c.Check(tier.upstreams.canceled, qt.Equals, 1)
		tier.Group.Wait()
	})
}

// TestNothingStartsUntilEnoughParts fills two of four shards with attempts that
// never end: a request that needs three is refused soon, and no upstream works
// for it.
func TestNothingStartsUntilEnoughParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tier := newTier(gather(0.75), func(id string, _ int, _ *upstream.Attempt) reaction { return answer(id) })
		class := pool.NewLatencyStats(target, true)
		for _, s := range []string{"s0", "s1"} {
			for tier.pools[s].Assign(time.Now(), pool.Requirements{LatencyStats: class}) != nil {
			}
		}
		a, took := tier.ask(context.Background())
		c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.RetryAfter > 0, qt.IsTrue)
		c.Check(took <= target/3, qt.IsTrue, qt.Commentf("%s", took))
		c.Check(tier.upstreams.order, qt.HasLen, 0)
	})
}

// TestLatePartIsBetterThanNone fills one shard of four and makes another one slow:
// an answer that needs three waits for the slow one.
func TestLatePartIsBetterThanNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tier := newTier(gather(0.75), func(id string, _ int, _ *upstream.Attempt) reaction { return answer(id) })
		class := pool.NewLatencyStats(target, true)
		for tier.pools["s0"].Assign(time.Now(), pool.Requirements{LatencyStats: class}) != nil {
		}
		for range 6 {
			c.Assert(tier.pools["s1"].Assign(time.Now(), pool.Requirements{LatencyStats: class}), qt.IsNotNil)
		}
		time.Sleep(10 * target)
		for i := range 20 {
			a := tier.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, tier.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
		}
		tier.Group.Wait()
	})
}

// TestLatePartIsAskedWhenAnotherFails leaves one of four parts out as late, while the
// upstreams of another one lose both of its attempts: three parts are needed, so that
// the late one is asked after all.
func TestLatePartIsAskedWhenAnotherFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tier := newTier(gather(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id[:2] == "s0" {
				return endedWith(upstream.Broken)
			}
			return answer(id)
		})
		class := pool.NewLatencyStats(target, true)
		for range 6 {
			c.Assert(tier.pools["s1"].Assign(time.Now(), pool.Requirements{LatencyStats: class}), qt.IsNotNil)
		}
		time.Sleep(10 * target)
		for i := range 20 {
			a := tier.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, tier.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
			c.Check(a.MissingParts, qt.Equals, 1)
		}
		tier.Group.Wait()
	})
}

// TestShardThatCannotCarryTheLoad asks 100 times a second where the upstreams of
// one shard of four run 60 times a second at most, one after the other. Without
// leaving that shard out of some answers, its queue grows until all are late.
func TestShardThatCannotCarryTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var mu sync.Mutex
		free := make(map[string]time.Time)
		tier := newTier(gather(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			r := answer(id)
			if !strings.HasPrefix(id, "s1") {
				return r
			}
			const each = 50 * time.Millisecond
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			start := now
			if free[id].After(now) {
				start = free[id]
			}
			free[id] = start.Add(each)
			r.after = free[id].Sub(now)
			return r
		})
		var group work.Group
		onTime, whole := 0, 0
		const count = 600
		for i := range count {
			group.Go(func() {
				started := time.Now()
				a := tier.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, tier.route, 1)
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK && time.Since(started) <= target {
					onTime++
					if a.MissingParts == 0 {
						whole++
					}
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		c.Check(onTime >= count*95/100, qt.IsTrue, qt.Commentf("%d of %d on time", onTime, count))
		c.Check(whole >= count/10, qt.IsTrue, qt.Commentf("%d of %d whole", whole, count))
		tier.Group.Wait()
	})
}

// TestQuarantinedRequest is refused without an attempt.
func TestQuarantinedRequest(t *testing.T) {
	c := qt.New(t)
	tier := newTier(single(true), func(id string, _ int, _ *upstream.Attempt) reaction { return answer(id) })
	tier.BlockedFor = func(uint64) time.Duration { return time.Minute }
	a, _ := tier.ask(context.Background())
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(a.RetryAfter, qt.Equals, time.Minute)
	c.Check(tier.upstreams.order, qt.HasLen, 0)
}

func TestMerge(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, RecordSize) }
	for _, test := range []struct {
		name  string
		parts [][]byte
		top   int
		want  []byte
	}{
		{"nothing", nil, 3, nil},
		{"greatest first", [][]byte{slices.Concat(record(1), record(9)), record(5)}, 2, slices.Concat(record(9), record(5))},
		{"equal records all count", [][]byte{record(7), record(7)}, 3, slices.Concat(record(7), record(7))},
		{"a remainder is no record", [][]byte{append(record(7), 9, 9)}, 3, record(7)},
		{"bytes compare unsigned", [][]byte{record(0x7f), record(0x80)}, 1, record(0x80)},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(string(merge(test.parts, test.top)), qt.Equals, string(test.want))
		})
	}
}
