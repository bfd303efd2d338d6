package host

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

const (
	// partitionTime is how long hosts are cut from all upstreams, and returnTime how long
	// after that they may take to use their own connections again.
	partitionTime = 12 * time.Second
	returnTime    = 4 * time.Second
	// maxPartitionAnswerTime bounds how long callers wait for an answer.
	maxPartitionAnswerTime = time.Second
)

// A partitionPlay cuts hosts from all upstreams while callers ask all hosts.
type partitionPlay struct {
	size int
	// share is the part of the hosts that is cut.
	share float64
	mode  cutMode
	// order is set if the requests must not run twice.
	order bool
	// maxConnections is the connection limit of upstreams; zero for none.
	maxConnections int
	// disturb is called each second of the cut.
	disturb func(f *testFleet, addresses []string, random *rand.Rand, n int) ([]string, time.Duration)
	// dataCenters is the number of data centres; if share is zero, all hosts of one are cut.
	dataCenters int
	// isCut selects the upstreams from which the hosts are cut; nil for all.
	isCut func(inventory.UpstreamSpec) bool
	// repeats is how many different requests there are; zero if each is sent once.
	repeats int
	// flaps is set if the cut ends and begins again every second.
	flaps bool
}

// A partitionResult is what a partitionPlay has seen.
type partitionResult struct {
	// cutSent and cutServed count the requests at cut hosts, sent and served those at the
	// others. uncertain counts the answers 502 and 504.
	cutSent, cutServed, sent, served, uncertain int
	slowest                                     time.Duration
	// ends and quarantines count the lines about upstreams that ended and about requests
	// that were quarantined.
	ends, quarantines int
	// returned counts the arrivals over connections of the cut hosts after returnTime.
	returned int
	statuses map[string]int
}

// TestCallersOfHostsWithoutUpstreamsAreServed cuts hosts from all upstreams in several ways.
func TestCallersOfHostsWithoutUpstreamsAreServed(t *testing.T) {
	t.Parallel()
	for name, p := range partitionPlays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := p.run()
				t.Logf("%+v", r)
				c.Check(float64(r.cutServed) >= 0.97*float64(r.cutSent), qt.IsTrue)
				c.Check(float64(r.served) >= 0.99*float64(r.sent), qt.IsTrue)
				c.Check(r.slowest <= maxPartitionAnswerTime, qt.IsTrue)
				c.Check(r.returned > 0, qt.IsTrue)
				c.Check(r.ends, qt.Equals, 0)
				c.Check(r.quarantines, qt.Equals, 0)
			})
		})
	}
}

// TestHostsWithoutUpstreamsAccuseNoRequest cuts hosts from upstreams, of which none ends, while callers repeat their requests.
func TestHostsWithoutUpstreamsAccuseNoRequest(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := partitionPlay{size: 7, share: 0.6, mode: mode, repeats: 5}.run()
				t.Logf("%+v", r)
				c.Check(r.ends, qt.Equals, 0)
				c.Check(r.quarantines, qt.Equals, 0)
			})
		})
	}
}

// partitionPlays returns the plays by name. The larger fleets play a sample; -fleet-size plays all.
func partitionPlays() map[string]partitionPlay {
	plays := make(map[string]partitionPlay)
	sizes := []int{7, 63}
	if *fleetSize > 0 {
		sizes = []int{*fleetSize}
	}
	for _, size := range sizes {
		for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses} {
			for name, p := range map[string]partitionPlay{
				"few": {share: 0.15}, "most": {share: 0.6}, "nearly-all": {share: 0.85}, "order": {share: 0.6, order: true},
				"relayed": {share: 0.6, maxConnections: 8}, "flapping": {share: 0.6, flaps: true},
				"disturbed": {share: 0.4, disturb: restartOrFailStore}, "data-center": {dataCenters: 3},
				"lost-data-center": {share: 0.6, dataCenters: 3, isCut: func(u inventory.UpstreamSpec) bool { return u.DataCenter == "z1" }},
				"lost-service":     {share: 0.6, isCut: func(u inventory.UpstreamSpec) bool { return u.Service == "shard-3" }},
			} {
				if *fleetSize == 0 && size > 7 && (name != "most" || mode == cutResets) {
					continue
				}
				p.size, p.mode = size, mode
				plays[fmt.Sprintf("%d/%s/%s", size, mode, name)] = p
			}
		}
	}
	return plays
}

// run plays the cut and returns what was seen.
func (p partitionPlay) run() partitionResult {
	f := newTestFleet()
	f.dataCenters = p.dataCenters
	_, addresses := startSearchFleetIn(f, p.size, closesConnections, false, p.maxConnections)
	f.upstreams.isCut = p.isCut
	random := rand.New(rand.NewPCG(uint64(p.size), *crashTestSeed))
	var cut []string
	for _, i := range random.Perm(p.size)[:max(1, int(p.share*float64(p.size)))] {
		cut = append(cut, addresses[i])
	}
	if p.share == 0 {
		cut = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return f.dataCenterOf(a) != "z0" })
	}
	target := "/"
	if p.order {
		target = "/order/"
	}
	load := newRepeatingLoad(f, addresses, target, ordinaryInterval, p.repeats)
	time.Sleep(3 * time.Second)
	from := time.Now()
	f.upstreams.cut(cut, p.mode)
	for n := range int(partitionTime / time.Second) {
		time.Sleep(time.Second)
		if p.flaps {
			f.upstreams.cut(cut, []cutMode{"", p.mode}[n%2])
		}
		if p.disturb != nil {
			p.disturb(f, addresses, random, n)
		}
	}
	f.upstreams.cut(cut, "")
	healedAt := time.Now()
	time.Sleep(2 * returnTime)
	load.stop()
	r := partitionResult{
		returned: f.upstreams.arrivalsFrom(cut, healedAt.Add(returnTime)), ends: f.logCount("upstream ended while it ran a request"),
		quarantines: f.logCount("request quarantined"), statuses: make(map[string]int),
	}
	for a := range load.answered {
		// An order that was sent just before its connection was cut may have run.
		if a.at.Before(from) || (p.order && a.at.Sub(from) < 10*networkDelay) {
			continue
		}
		r.slowest = max(r.slowest, a.elapsed)
		r.statuses[fmt.Sprint(a.status, " ", a.reason)]++
		isServed := 0
		if a.status == 200 {
			isServed = 1
		}
		if a.status == 502 || a.status == 504 {
			r.uncertain++
		}
		if slices.Contains(cut, a.host) {
			r.cutSent++
			r.cutServed += isServed
			continue
		}
		r.sent++
		r.served += isServed
	}
	f.stopAll()
	return r
}

// restartOrFailStore restarts a host or has the store fail for a second, in turn.
func restartOrFailStore(f *testFleet, addresses []string, random *rand.Rand, n int) ([]string, time.Duration) {
	if n%2 == 0 {
		h := addresses[random.IntN(len(addresses))]
		f.stop(h)
		f.start(h, addresses[:3])
		return []string{h}, 0
	}
	f.setStoreDown(true)
	time.AfterFunc(time.Second, func() { f.setStoreDown(false) })
	return nil, 0
}

// TestRequestsAreRefusedAtOnceIfNoHostReachesUpstreams cuts all hosts from all upstreams. Once
// they know it, requests must be refused at once as not run, with a delay, unless open
// connections live on.
func TestRequestsAreRefusedAtOnceIfNoHostReachesUpstreams(t *testing.T) {
	t.Parallel()
	for _, mode := range []cutMode{cutHangs, cutResets, cutRefuses} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startSearchFleet(7, closesConnections, false)
				load := newOrdinaryLoad(f, addresses, "/")
				time.Sleep(2 * time.Second)
				f.upstreams.cut(addresses, mode)
				const settleTime = 4 * time.Second
				time.Sleep(settleTime)
				knownAt := time.Now()
				time.Sleep(settleTime)
				endedAt := time.Now()
				f.upstreams.cut(addresses, "")
				time.Sleep(settleTime)
				load.stop()
				statuses := make(map[string]int)
				for a := range load.answered {
					switch {
					case a.at.After(knownAt) && a.at.Before(endedAt):
						statuses[fmt.Sprint(a.status, " ", a.reason)]++
						if mode == cutRefuses {
							c.Check(a.status, qt.Equals, 200)
							continue
						}
						c.Check(a.status, qt.Equals, 503)
						c.Check(a.elapsed <= crashTestTarget/4, qt.IsTrue, qt.Commentf("%v", a.elapsed))
						c.Check(a.retryAfter > 0, qt.IsTrue)
					case a.at.After(endedAt.Add(returnTime / 2)):
						c.Check(a.status, qt.Equals, 200)
					}
				}
				t.Log(statuses)
				f.stopAll()
			})
		})
	}
}

// logCount returns the number of log lines with a message on all hosts.
func (f *testFleet) logCount(message string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.logCounts[message] {
		count += n
	}
	return count
}
