package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	target = 80 * time.Millisecond
	usual  = 10 * time.Millisecond
	window = 10 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a pool with three upstreams a, b and c, of which a is near, and a
// class whose attempts usually take 10 ms.
type fixture struct {
	*Pool
	class *LatencyStats
	now   time.Time
}

func newFixture(policy Policy) *fixture { return newFixtureAt(start, policy) }

func newFixtureAt(now time.Time, policy Policy) *fixture {
	f := &fixture{
		Pool: &Pool{DataCenter: "near", IdleCount: func(string) int { return 1 }}, class: NewLatencyStats(target, true), now: now,
	}
	f.list(policy, "a", "b", "c")
	for range 100 {
		f.class.observe(f.now, usual)
		f.now = f.now.Add(10 * time.Millisecond)
	}
	return f
}

func (f *fixture) list(policy Policy, ids ...string) {
	i := inventory.New()
	var specs []inventory.UpstreamSpec
	for _, id := range ids {
		dataCenter := "far"
		if id == "a" {
			dataCenter = "near"
		}
		specs = append(specs, inventory.UpstreamSpec{ID: id, Service: "s", Address: id, DataCenter: dataCenter, Slots: 2})
	}
	i.Update(f.now, specs)
	f.Configure(f.now, i.ForService("s"), policy)
}

// run gives one attempt to the best upstream and ends it.
func (f *fixture) run(end func(id string) (upstream.Outcome, time.Duration)) string {
	p := f.Assign(f.now, Requirements{LatencyStats: f.class})
	if p == nil {
		return ""
	}
	e, took := end(p.Upstream.ID())
	f.now = f.now.Add(took)
	f.Done(f.now, p, e)
	return p.Upstream.ID()
}

func answered(string) (upstream.Outcome, time.Duration) {
	return upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: 200}}, usual
}

func policy() Policy {
	return Policy{ExtraRatio: 0.17, ExtraSlack: 6, Window: window, MaxConcurrent: 4}
}

// TestFailingUpstreams plays upstreams that turn away three of five attempts
// while one sound upstream is far and slow, and no extra attempt is left: a failed
// attempt is a missing part then.
func TestFailingUpstreams(t *testing.T) {
	for _, test := range []struct {
		name     string
		most     int
		slowness time.Duration
	}{
		{"sound one is three times slower", 45, 3},
		{"sound one is hardly slower", 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(Policy{Window: window, MaxConcurrent: 4})
			failing, refused := 0, 0
			for range 300 {
				id := f.run(func(id string) (upstream.Outcome, time.Duration) {
					if id == "c" {
						e, took := answered(id)
						return e, took * test.slowness
					}
					if failing++; failing%5 < 3 {
						refused++
						return upstream.Outcome{Result: upstream.Refused}, time.Millisecond
					}
					return answered(id)
				})
				c.Assert(id, qt.Not(qt.Equals), "")
				f.now = f.now.Add(5 * time.Millisecond)
			}
			c.Check(failing <= test.most, qt.IsTrue, qt.Commentf("%d of 300 at failing upstreams, %d refused", failing, refused))
		})
	}
}

// TestStuckUpstreamIsPassedOver leaves an attempt at the best upstream without
// an answer: the next one goes elsewhere as soon as it takes far too long.
func TestStuckUpstreamIsPassedOver(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	stuck := f.Assign(f.now, Requirements{LatencyStats: f.class})
	c.Assert(stuck.Upstream.ID(), qt.Equals, "a")
	f.now = f.now.Add(3 * usual)
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class}).Upstream.ID(), qt.Not(qt.Equals), "a")
	f.Done(f.now.Add(usual), stuck, upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: 200}})
	f.now = f.now.Add(5 * time.Second)
	c.Check(f.run(answered), qt.Equals, "a", qt.Commentf("what was slow is tried again"))
}

// TestLastAttemptAvoidsFailingUpstreams lets the near upstream lose half of its
// answers while all extra attempts are left and the others are slower: first attempts
// go there, but not the last one that a request has.
func TestLastAttemptAvoidsFailingUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	for range 100 {
		f.RecordRequest(f.now)
	}
	attempt := func(id string, took time.Duration, e upstream.Outcome) {
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(o string) bool { return o == id })
		p := f.Assign(f.now, Requirements{LatencyStats: f.class, TriedUpstreams: others})
		f.now = f.now.Add(took)
		f.Done(f.now, p, e)
	}
	good, _ := answered("")
	for range 10 {
		attempt("a", usual, good)
		attempt("a", usual, upstream.Outcome{Result: upstream.Broken})
		attempt("b", 3*usual, good)
		attempt("c", 3*usual, good)
	}
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class}).Upstream.ID(), qt.Equals, "a")
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class, IsLastAttempt: true}).Upstream.ID(), qt.Not(qt.Equals), "a")
}

// TestPausedUpstreamIsKept lets the near upstream pause once: it gets the next
// attempts all the same. If it stays slow, others get them after a few.
func TestPausedUpstreamIsKept(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	slow := func(factor time.Duration) string {
		return f.run(func(id string) (upstream.Outcome, time.Duration) {
			e, took := answered(id)
			if id == "a" {
				took *= factor
			}
			return e, took
		})
	}
	c.Assert(slow(30), qt.Equals, "a")
	for range 10 {
		c.Assert(slow(1), qt.Equals, "a")
	}
	at := 0
	for range 30 {
		if slow(8) == "a" {
			at++
		}
	}
	c.Check(at <= 10, qt.IsTrue, qt.Commentf("%d of 30 at an upstream that is eight times slower", at))
}

// TestUnreachableUpstreamRests leaves an upstream alone that refuses
// connections, longer each time, and tries it again after that.
func TestUnreachableUpstreamRests(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	refused := func(string) (upstream.Outcome, time.Duration) {
		return upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}, time.Millisecond
	}
	c.Assert(f.run(refused), qt.Equals, "a")
	c.Check(f.run(answered), qt.Not(qt.Equals), "a")
	f.now = f.now.Add(downFirst)
	c.Assert(f.run(refused), qt.Equals, "a")
	f.now = f.now.Add(downFirst)
	c.Check(f.run(answered), qt.Not(qt.Equals), "a", qt.Commentf("the second pause is longer"))
	for range 2 {
		f.run(refused)
	}
	c.Check(f.HasUpstream(f.now), qt.IsFalse)
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class}), qt.IsNil)
}

// TestCrowdedUpstreamIsNotLost resets a new connection: the upstream gets no new
// one for a moment and fewer attempts at once, but is not given up.
func TestCrowdedUpstreamIsNotLost(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	idle := 0
	f.IdleCount = func(string) int { return idle }
	crowded := upstream.Outcome{Result: upstream.Unreachable, AtConnectionLimit: true}
	for _, id := range []string{"a", "b", "c"} {
		c.Assert(f.run(func(string) (upstream.Outcome, time.Duration) { return crowded, 0 }), qt.Equals, id)
	}
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class}), qt.IsNil)
	c.Check(f.HasUpstream(f.now), qt.IsTrue)
	idle = 1
	first := f.Assign(f.now, Requirements{LatencyStats: f.class, TriedUpstreams: []string{"b", "c"}})
	c.Assert(first, qt.IsNotNil, qt.Commentf("a kept connection may be used"))
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class, TriedUpstreams: []string{"b", "c"}}), qt.IsNil, qt.Commentf("one at once"))
	f.now = f.now.Add(2 * roomPeriod)
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.class, TriedUpstreams: []string{"b", "c"}}), qt.IsNotNil)
}

// TestCrashIsTold tells which requests ran where an upstream died, and nothing
// if only a connection broke.
func TestCrashIsTold(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	p := f.Assign(f.now, Requirements{LatencyStats: f.class, Fingerprint: 7})
	c.Check(f.Done(f.now, p, upstream.Outcome{Result: upstream.Broken}), qt.IsNil)
	q := f.Assign(f.now, Requirements{LatencyStats: f.class, Fingerprint: 8, TriedUpstreams: []string{"b", "c"}})
	crash := f.Done(f.now.Add(time.Millisecond), q, upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true})
	c.Assert(crash, qt.IsNotNil)
	c.Check(*crash, qt.DeepEquals, Crash{Upstream: "a", Fingerprints: []uint64{7}})
}

// TestExtraAttemptsStayWithinTheBound plays 7 hosts that ask for an extra
// attempt whenever they may, over many windows, with restarts: in no window of
// 10 s are there more than the ratio and the slack allow.
func TestExtraAttemptsStayWithinTheBound(t *testing.T) {
	const (
		hosts, ratio, slack = 7, 0.2, 54.0
		step                = 40 * time.Millisecond
	)
	c := qt.New(t)
	policy := Policy{ExtraRatio: ratio * 0.85, ExtraSlack: slack * 0.75 / hosts, Window: window, MaxConcurrent: 4}
	pools := make([]*fixture, hosts)
	for i := range pools {
		pools[i] = newFixture(policy)
	}
	var requests, extras []time.Duration
	count := func(times []time.Duration, from, to time.Duration) (n int) {
		for _, t := range times {
			if t >= from && t < to {
				n++
			}
		}
		return n
	}
	for at := time.Duration(0); at < 60*time.Second; at += step {
		for i, p := range pools {
			p.RecordRequest(start.Add(at))
			requests = append(requests, at)
			for p.SpendRetry(start.Add(at)) {
				extras = append(extras, at)
			}
			if int(at/step)%400 == 50*i {
				pools[i] = newFixtureAt(start.Add(at), policy)
			}
		}
	}
	for from := time.Duration(0); from+window <= 60*time.Second; from += window / 4 {
		allowed := ratio*float64(count(requests, from, from+window)) + slack
		c.Assert(float64(count(extras, from, from+window)) <= allowed, qt.IsTrue, qt.Commentf("from %s", from))
	}
	c.Check(len(extras) > len(requests)/10, qt.IsTrue)
}

// TestLateAttemptsLeaveRetriesAlone keeps a reserve for retries.
func TestLateAttemptsLeaveRetriesAlone(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Policy{ExtraRatio: 0.2, Window: window, MaxConcurrent: 4})
	for range 100 {
		f.RecordRequest(f.now)
	}
	late := 0
	for f.SpendHedge(f.now) {
		late++
	}
	c.Check(late, qt.Equals, 18)
	c.Check(f.RemainingExtraRatio(f.now) <= retryReserve, qt.IsTrue)
	c.Check(f.SpendRetry(f.now), qt.IsTrue)
}

// TestRandomUse checks under random use that no upstream gets more attempts at
// once than allowed, and none that was tried, retired or is down.
func TestRandomUse(t *testing.T) {
	c := qt.New(t)
	f := newFixture(policy())
	random := newRandom(1)
	var running []*Assignment
	count := make(map[string]int)
	results := []upstream.Result{upstream.Answered, upstream.Refused, upstream.Unreachable, upstream.Broken, upstream.Aborted}
	for i := range 20_000 {
		f.now = f.now.Add(time.Duration(random.IntN(5000)) * time.Microsecond)
		if random.IntN(2) == 0 || len(running) == 0 {
			tried := []string{string(rune('a' + random.IntN(3)))}
			if p := f.Assign(f.now, Requirements{LatencyStats: f.class, TriedUpstreams: tried}); p != nil {
				c.Assert(p.Upstream.ID(), qt.Not(qt.Equals), tried[0])
				running = append(running, p)
				count[p.Upstream.ID()]++
			}
		} else {
			k := random.IntN(len(running))
			p := running[k]
			running = append(running[:k], running[k+1:]...)
			count[p.Upstream.ID()]--
			f.Done(f.now, p, upstream.Outcome{Result: results[random.IntN(len(results))], Response: upstream.Response{Status: 200}})
		}
		for id, n := range count {
			c.Assert(n <= policy().MaxConcurrent, qt.IsTrue, qt.Commentf("step %d, upstream %s", i, id))
		}
	}
}

func TestLateAfter(t *testing.T) {
	c := qt.New(t)
	class := NewLatencyStats(target, true)
	c.Check(class.HedgeDelay(1), qt.Equals, 24*time.Millisecond, qt.Commentf("nothing is known yet"))
	for i := range 1000 {
		class.observe(start, time.Duration(5+i%20)*time.Millisecond)
	}
	c.Check(class.HedgeDelay(0) > class.HedgeDelay(1), qt.IsTrue)
	single := NewLatencyStats(target, false)
	c.Check(single.HedgeDelay(1), qt.Equals, 32*time.Millisecond)
	c.Check(fmt.Sprint(class.TypicalLatency()), qt.Equals, "13.055ms")
}
