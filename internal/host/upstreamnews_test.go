package host

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// TestNewsOfUpstreamReachesOtherHosts has one host hear that an upstream leaves or states a limit. The other hosts must act on it before their first request there.
func TestNewsOfUpstreamReachesOtherHosts(t *testing.T) {
	t.Parallel()
	const (
		limit    = 1.0
		loadTime = 4 * time.Second
	)
	sizes := map[int]time.Duration{7: 2 * time.Second, 63: 4 * time.Second}
	if *fleetSize > 0 {
		sizes = map[int]time.Duration{*fleetSize: 6 * time.Second}
	}
	for size, spreadTime := range sizes {
		for _, leaves := range []bool{false, true} {
			// The larger fleet plays a sample; -fleet-size 63 plays both.
			if *fleetSize == 0 && size > 7 && leaves {
				continue
			}
			t.Run(fmt.Sprintf("%d/leaves-%v", size, leaves), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f, addresses := startSearchFleet(size, closesConnections, false)
					stated, upstreamID := limit, ""
					for address, u := range f.upstreams.byAddress {
						switch {
						case !strings.HasPrefix(address, "letters-0:"):
							continue
						case leaves:
							u.leaving.Store(true)
						default:
							u.limit.Store(&stated)
						}
						upstreamID = u.spec.ID
					}
					for n := 0; len(f.upstreams.arrivalsAt(upstreamID)) == 0; n++ {
						f.ask(addresses[0], fmt.Sprint("/single/first-", n), fmt.Sprint("f-", n))
					}
					time.Sleep(spreadTime)
					from := time.Now()
					load := newLoad(f, addresses[1:], "/single/", loadTime/time.Duration(4*size))
					time.Sleep(loadTime)
					load.stop()
					arrived := 0
					for _, a := range f.upstreams.arrivalsAt(upstreamID) {
						if a.at.After(from) {
							arrived++
						}
					}
					allowed := 0.0
					if !leaves {
						allowed = limitTolerance*limit*loadTime.Seconds() + limitSlack
					}
					c.Check(float64(arrived) <= allowed, qt.IsTrue, qt.Commentf("%d arrivals, %v allowed", arrived, allowed))
					sent, served := load.count(from)
					c.Check(served, qt.Equals, sent)
					f.stopAll()
				})
			})
		}
	}
}

// arrivalsAt returns the arrivals at an upstream.
func (s *simulatedUpstreams) arrivalsAt(id string) (list []upstreamArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.upstream == id {
			list = append(list, a)
		}
	}
	return list
}

// TestImplausibleNewsIsIgnored sends a host news that no host would send.
func TestImplausibleNewsIsIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(3, closesConnections, false)
		h := f.hosts[addresses[0]].host
		h.mu.RLock()
		u := h.inventory.ForService("letters")[0]
		h.mu.RUnlock()
		news := func(change func(n *wire.UpstreamNews)) *wire.UpstreamNews {
			n := &wire.UpstreamNews{Upstream: u.ID(), Lifetime: u.LifetimeKey(), LimitStated: true, Limit: 5}
			change(n)
			return n
		}
		for _, n := range []*wire.UpstreamNews{
			news(func(n *wire.UpstreamNews) { n.Limit = -1 }),
			news(func(n *wire.UpstreamNews) { n.Limit = math.NaN() }),
			news(func(n *wire.UpstreamNews) { n.Limit = math.Inf(1) }),
			news(func(n *wire.UpstreamNews) { n.Lifetime++ }),
			news(func(n *wire.UpstreamNews) { n.Upstream = "unknown" }),
			news(func(n *wire.UpstreamNews) { n.AgeMicros = -1 }),
			news(func(n *wire.UpstreamNews) { n.AgeMicros = (inventory.MaxNewsAge + 1).Microseconds() + 1 }),
			news(func(n *wire.UpstreamNews) { n.LimitStated = false }),
			news(func(n *wire.UpstreamNews) { n.Leaving = true }),
		} {
			h.applyNews("peer", []*wire.UpstreamNews{n})
			c.Check(h.newsBoard.Recent(time.Now()), qt.HasLen, 0, qt.Commentf("%v", n))
		}
		h.applyNews("peer", []*wire.UpstreamNews{news(func(*wire.UpstreamNews) {})})
		c.Check(h.newsBoard.Recent(time.Now()), qt.HasLen, 1)
		f.stopAll()
	})
}
