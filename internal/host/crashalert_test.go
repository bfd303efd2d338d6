package host

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// crashLoadRate is how many searches arrive in a second, one of crashLoadEvery of which
	// crashes each upstream that begins to run it, for crashLoadPeriod.
	crashLoadRate   = 135
	crashLoadEvery  = 33
	crashLoadPeriod = 20 * time.Second
	// crashLoadWarmUp is how long searches arrive before that.
	crashLoadWarmUp = 3 * time.Second
	// wideCrashes is how many upstreams one search ends at least that went to all its shards.
	// Canaries and a test run end fewer.
	wideCrashes = 5
	// minAttainedRatio is the goal for the share of innocent searches served, as a ratio of what is
	// attainable.
	minAttainedRatio = 0.97
	// crashLoadCooldown is how long searches arrive afterwards. An alert must have ended by
	// then.
	crashLoadCooldown = 15 * time.Second
)

// A crashLoad plays searches of which some crash upstreams.
type crashLoad struct {
	fleet     *testFleet
	addresses []string
	random    *rand.Rand

	// arrivals are the searches of the period in which some crash upstreams.
	arrivals []crashLoadArrival

	mu       sync.Mutex
	answered []ordinaryAnswer
}

type crashLoadArrival struct {
	at       time.Time
	crashing bool
}

// A crashLoadResult is what a crashLoad has seen from the first crashing search on.
type crashLoadResult struct {
	// crashed counts the upstreams that ended, and wide the crashing searches that went to all
	// their shards. lost is the greatest number of replicas of one shard that were down at once.
	crashed, wide, lost int
	// sent counts the innocent searches, served those served by their first attempt within the
	// target.
	sent, served int
	// slowest is the time that the slowest of them took, refused counts answers by reason.
	slowest time.Duration
	refused map[string]int
}

// send sends a search, and once more if it crashes upstreams and has failed.
func (l *crashLoad) send(n int, crashing bool) {
	target, address := fmt.Sprint("/search-", n), l.addresses[n%len(l.addresses)]
	if !crashing {
		at := time.Now()
		a := l.fleet.ask(address, target, fmt.Sprint("s-", n))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.answered = append(l.answered, ordinaryAnswer{at: at, host: address, status: a.Status, reason: a.Reason, elapsed: time.Since(at)})
		return
	}
	target = fmt.Sprint(crashingTarget, "/", n)
	a := l.fleet.ask(address, target, fmt.Sprint("c-", n))
	if a.Status != 200 {
		time.Sleep(max(a.RetryAfter, 100*time.Millisecond))
		l.fleet.ask(l.addresses[(n+1)%len(l.addresses)], target, fmt.Sprint("c-", n, "-again"))
	}
}

// run sends searches for a period.
func (l *crashLoad) run(group *work.Group, first int, period time.Duration, crashes bool) (next int) {
	for end := time.Now().Add(period); time.Now().Before(end); first++ {
		crashing := crashes && l.random.IntN(crashLoadEvery) == 0
		if crashes {
			l.arrivals = append(l.arrivals, crashLoadArrival{at: time.Now(), crashing: crashing})
		}
		group.Go(func() { l.send(first, crashing) })
		time.Sleep(time.Second / crashLoadRate)
	}
	return first
}

// result evaluates what was seen between two times.
func (l *crashLoad) result(from, to time.Time) crashLoadResult {
	r := crashLoadResult{refused: make(map[string]int)}
	l.mu.Lock()
	for _, a := range l.answered {
		if a.at.Before(from) || !a.at.Before(to) {
			continue
		}
		r.sent++
		r.slowest = max(r.slowest, a.elapsed)
		if a.status == 200 && a.elapsed <= crashTestTarget {
			r.served++
		} else {
			r.refused[fmt.Sprint(a.status, " ", a.reason)]++
		}
	}
	l.mu.Unlock()
	s := l.fleet.upstreams
	s.mu.Lock()
	defer s.mu.Unlock()
	r.crashed = len(s.ends)
	down, byTarget := make(map[string]int), make(map[string]int)
	for i, e := range s.ends {
		if byTarget[e.target]++; byTarget[e.target] == wideCrashes {
			r.wide++
		}
		down[e.service] = 0
		for _, o := range s.ends[:i+1] {
			if o.service == e.service && e.at.Sub(o.at) < 3*time.Second {
				down[e.service]++
			}
		}
		r.lost = max(r.lost, down[e.service])
	}
	return r
}

// attainable returns the share of innocent searches that can be served at best: each crashing
// search that runs costs one replica, the first one a replica of each shard, and all but one of
// the replicas of a shard may be lost at a time, or all of as many shards as an answer can lack.
// It is not known in advance which searches crash upstreams.
func (l *crashLoad) attainable() float64 {
	const (
		replicas = 3
		maxLost  = crashTestShards*(replicas-1) + 1
		// Upstreams are back after 3 to 4 s, and their entries reach the hosts 250 ms later.
		meanReturn = 3750 * time.Millisecond
	)
	var lostAt []time.Time
	innocent, served := 0, 0
	hasCrashed := false
	for _, a := range l.arrivals {
		for len(lostAt) > 0 && a.at.Sub(lostAt[0]) >= meanReturn {
			lostAt = lostAt[1:]
		}
		canRun := len(lostAt) < maxLost
		cost := 1
		if !hasCrashed {
			cost = crashTestShards
		}
		switch {
		case !a.crashing:
			innocent++
			if canRun {
				served++
			}
		case canRun:
			hasCrashed = true
			for range cost {
				lostAt = append(lostAt, a.at)
			}
		}
	}
	return float64(served) / float64(innocent)
}

// TestSearchesThatCrashUpstreams guards against searches that take the replicas of all shards
// before the evidence against them takes effect. Three in a hundred searches, each with a path
// of its own, crash each upstream that begins to run them, and are sent once more.
func TestSearchesThatCrashUpstreams(t *testing.T) {
	t.Parallel()
	sizes := []int{7, 63}
	if *fleetSize > 0 {
		sizes = []int{*fleetSize}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startSearchFleet(size, closesConnections, false)
				random := rand.New(rand.NewPCG(uint64(size), *crashTestSeed))
				f.upstreams.downTime = func() time.Duration { return 3*time.Second + time.Duration(random.Int64N(int64(time.Second))) }
				l := &crashLoad{fleet: f, addresses: addresses, random: rand.New(rand.NewPCG(uint64(size), *crashTestSeed+1))}
				var group work.Group
				next := l.run(&group, 0, crashLoadWarmUp, false)
				c.Check(f.hostsWithAlert(), qt.HasLen, 0)
				from := time.Now()
				next = l.run(&group, next, crashLoadPeriod, true)
				to := time.Now()
				l.run(&group, next, crashLoadCooldown, false)
				group.Wait()
				c.Check(f.hostsWithAlert(), qt.HasLen, 0)
				r := l.result(from, to)
				t.Logf("%+v, served %.3f, attainable %.3f", r, float64(r.served)/float64(r.sent), l.attainable())
				c.Check(r.wide <= 1, qt.IsTrue)
				c.Check(float64(r.served) >= minAttainedRatio*l.attainable()*float64(r.sent), qt.IsTrue)
				f.stopAll()
			})
		})
	}
}

// hostsWithAlert returns the hosts on which an alert holds for a shard.
func (f *testFleet) hostsWithAlert() (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, r := range f.hosts {
		for i := range crashTestShards {
			if r.host.alerts.Hold(fmt.Sprint("shard-", i)) {
				list = append(list, a)
				break
			}
		}
	}
	slices.Sort(list)
	return list
}

// TestCrashAlertReachesHosts guards against hosts that go on sending searches to all shards: hosts
// that the first messages do not reach must learn of an alert when they are reached, and malformed
// messages must raise none. The alert must end on all hosts at about the same time, also on one
// that learned of it late.
func TestCrashAlertReachesHosts(t *testing.T) {
	t.Parallel()
	const (
		spreadTime = 40 * time.Millisecond
		lateTime   = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(7, closesConnections, false)
		isolated := addresses[6]
		setIsolated := func(value bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[isolated].isolated = value
		}
		f.hosts[addresses[0]].host.alerts.Apply("peer", []*wire.CrashAlert{
			{Service: dispatch.ServiceKey("shard-1"), AgeMicros: -1}, {Service: dispatch.ServiceKey("shard-1"), AgeMicros: 1 << 62}, nil,
		})
		c.Check(f.hostsWithAlert(), qt.HasLen, 0)
		setIsolated(true)
		raisedAt := time.Now()
		a := f.ask(addresses[0], crashingTarget, "first")
		c.Check(a.Status, qt.Equals, 502)
		time.Sleep(spreadTime - time.Since(raisedAt))
		c.Check(f.hostsWithAlert(), qt.DeepEquals, addresses[:6])
		time.Sleep(lateTime)
		setIsolated(false)
		time.Sleep(lateTime)
		c.Check(f.hostsWithAlert(), qt.DeepEquals, addresses)
		time.Sleep(quarantine.AlertPeriod + 500*time.Millisecond - time.Since(raisedAt))
		c.Check(f.hostsWithAlert(), qt.HasLen, 0)
		f.stopAll()
	})
}
