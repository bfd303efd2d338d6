package host

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// TestUnreachableUpstreamsCostNoRequests has seven of ten upstreams accept no connections for a
// while under a load that the others can run. Once each host has found that out, no caller may wait for them, and they must be used
// again soon after they are back.
func TestUnreachableUpstreamsCostNoRequests(t *testing.T) {
	t.Parallel()
	const (
		discoveryTime   = 2 * time.Second
		unreachableTime = 10 * time.Second
		returnTime      = 2 * time.Second
		// usualTime is more than twice what a request takes, and less than half of what it
		// waits for a hedge.
		usualTime = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(7, goesSilent, false)
		var unreachable []string
		for _, u := range f.upstreams.byAddress {
			if u.spec.Service == "letters" && len(unreachable) < 7 {
				unreachable = append(unreachable, u.spec.ID)
			}
		}
		f.upstreams.isCut = func(u inventory.UpstreamSpec) bool { return slices.Contains(unreachable, u.ID) }
		// Six requests arrive at once, so that the upstreams that are left are busy for a moment.
		var loads []*ordinaryLoad
		for range 6 {
			loads = append(loads, newLoad(f, addresses[:1], "/single/", 20*time.Millisecond))
		}
		time.Sleep(time.Second)
		f.upstreams.cut(addresses, cutResets)
		from := time.Now().Add(discoveryTime)
		time.Sleep(unreachableTime)
		f.upstreams.cut(addresses, "")
		to := time.Now()
		time.Sleep(2 * returnTime)
		sent, slow := 0, 0
		for _, l := range loads {
			l.stop()
			for a := range l.answered {
				if !a.at.After(from) || !a.at.Before(to) {
					continue
				}
				sent++
				if a.status != 200 || a.elapsed > usualTime {
					slow++
				}
			}
		}
		c.Check(sent > 2000, qt.IsTrue, qt.Commentf("%d sent", sent))
		c.Check(slow, qt.Equals, 0, qt.Commentf("of %d", sent))
		back := 0
		for _, id := range unreachable {
			if slices.ContainsFunc(f.upstreams.arrivalsAt(id), func(a upstreamArrival) bool { return a.at.After(to) && a.at.Before(to.Add(returnTime)) }) {
				back++
			}
		}
		c.Check(back >= 3, qt.IsTrue, qt.Commentf("%d of those that six requests need besides the others", back))
		f.stopAll()
	})
}

// TestUnreachableUpstreamsReturnAfterEvacuation evacuates a data centre while hosts do not reach
// some of its upstreams. They make no connections there until the evacuation has ended, and must
// then find out that the upstreams are back, although nothing else happens.
func TestUnreachableUpstreamsReturnAfterEvacuation(t *testing.T) {
	t.Parallel()
	const returnTime = 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(3, goesSilent, false)
		f.upstreams.isCut = func(u inventory.UpstreamSpec) bool { return u.Service == "letters" }
		f.upstreams.cut(addresses, cutResets)
		for n := range 5 {
			f.ask(addresses[0], fmt.Sprint("/single/", n), fmt.Sprint("r-", n))
		}
		f.put(evacuationKeyPrefix+"z", "")
		time.Sleep(3 * time.Second)
		f.upstreams.cut(addresses, "")
		f.remove(evacuationKeyPrefix + "z")
		time.Sleep(returnTime)
		f.mu.Lock()
		h := f.hosts[addresses[0]].host
		f.mu.Unlock()
		c.Check(h.pool("letters").Census(time.Now(), pool.Requirements{LatencyStats: pool.NewLatencyStats(time.Second, false)}).String(), qt.Equals, "10 free")
		f.stopAll()
	})
}
