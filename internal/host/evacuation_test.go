package host

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// evacuationNotice is how long after the key of an evacuation was written, or after a host
	// has come back, requests may still reach upstreams there.
	evacuationNotice = 5 * time.Second
	evacuationTime   = 12 * time.Second
	// evacuationReturnTime is how long after its end the upstreams are used as before.
	evacuationReturnTime = 6 * time.Second
	// At one upstream, at most maxReturnFactor times the most requests in a second before the
	// evacuation and returnSlack more may arrive in a second after it.
	maxReturnFactor = 1.5
	returnSlack     = 5
)

// playSizes returns the sizes of fleets in plays: 300 hosts take too long unless asked for.
func playSizes() []int {
	if *fleetSize > 0 {
		return []int{*fleetSize}
	}
	return []int{7, 89}
}

// startEvacuationFleet starts hosts and upstreams in three data centres, and a load.
func startEvacuationFleet(size int) (*testFleet, []string, *ordinaryLoad) {
	f := newTestFleet()
	f.dataCenters = 3
	_, addresses := startSearchFleetIn(f, size, closesConnections, false, 0)
	load := newLoad(f, addresses, "/", time.Duration(float64(time.Second)/max(50, float64(size)/3)))
	time.Sleep(3 * time.Second)
	return f, addresses, load
}

// TestNoRequestReachesEvacuatedDataCenter evacuates a data centre while some hosts are cut off,
// get no response from the store, or start. No request may arrive there, other upstreams serve
// the searches, and the data centre returns without more requests than before.
func TestNoRequestReachesEvacuatedDataCenter(t *testing.T) {
	t.Parallel()
	for _, size := range playSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses, load := startEvacuationFleet(size)
				evacuated := f.upstreams.idsIn(f, "z1")
				silent, cut := addresses[1:1+size/7], addresses[1+size/7]
				isolate := func(isolated bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.hosts[cut].isolated = isolated
				}
				f.mu.Lock()
				for _, a := range silent {
					f.hosts[a].storeSilent = true
				}
				f.mu.Unlock()
				isolate(true)
				writtenAt := time.Now()
				f.put(evacuationKeyPrefix+"z1", "{}")
				f.put(evacuationKeyPrefix+"unknown", "{}")
				time.Sleep(evacuationTime / 3)
				isolate(false)
				reconnectedAt := time.Now()
				// The last host starts again while the store does not respond.
				f.setStoreDown(true)
				f.stop(addresses[size-1])
				f.start(addresses[size-1], addresses[:3])
				time.Sleep(evacuationTime / 3)
				f.setStoreDown(false)
				time.Sleep(evacuationTime / 3)
				for a, r := range f.hosts {
					for id := range evacuated {
						c.Check(r.host.Upstreams.IdleCount(id), qt.Equals, 0, qt.Commentf("idle connections of %s to %s", a, id))
					}
				}
				endedAt := time.Now()
				f.remove(evacuationKeyPrefix + "z1")
				time.Sleep(evacuationReturnTime)
				returnedAt := time.Now()
				time.Sleep(3 * time.Second)
				load.stop()

				late, back := 0, 0
				for _, a := range f.upstreams.arrivalsAtAny(evacuated) {
					switch {
					case a.at.Before(writtenAt.Add(evacuationNotice)), a.host == cut && a.at.Before(reconnectedAt.Add(evacuationNotice)):
					case a.at.Before(endedAt):
						late++
					case a.at.After(returnedAt):
						back++
					}
				}
				c.Check(late, qt.Equals, 0, qt.Commentf("arrivals at evacuated upstreams"))
				c.Check(back > 0, qt.IsTrue)
				excess := 0.0
				for id := range evacuated {
					before := f.upstreams.mostArrivals(id, writtenAt.Add(-3*time.Second), writtenAt, time.Second)
					after := f.upstreams.mostArrivals(id, endedAt, returnedAt, time.Second)
					excess = max(excess, float64(after)/(maxReturnFactor*float64(before)+returnSlack))
				}
				c.Check(excess <= 1, qt.IsTrue)
				sent, served := load.count(writtenAt)
				t.Logf("%d of %d served, at most %.2f of the requests allowed after the return", served, sent, excess)
				c.Check(float64(served) >= 0.99*float64(sent), qt.IsTrue)
				c.Check(f.logCount("data centre evacuated") >= size-1, qt.IsTrue)
				c.Check(f.logCount("evacuated data centre has no upstreams; its name may be wrong") <= size+1, qt.IsTrue)
				f.stopAll()
			})
		})
	}
}

// TestRequestsAreRefusedAtOnceIfAllIsEvacuated evacuates all data centres. Requests must be
// refused at once as not run, with a delay, also through dialling hosts.
func TestRequestsAreRefusedAtOnceIfAllIsEvacuated(t *testing.T) {
	t.Parallel()
	for _, maxConnections := range []int{0, 8} {
		t.Run(fmt.Sprint("connections-", maxConnections), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startLimitedSearchFleet(7, closesConnections, false, maxConnections)
				load := newOrdinaryLoad(f, addresses, "/")
				time.Sleep(2 * time.Second)
				f.put(evacuationKeyPrefix+"z", "{}")
				time.Sleep(evacuationNotice)
				knownAt := time.Now()
				time.Sleep(3 * time.Second)
				endedAt := time.Now()
				f.remove(evacuationKeyPrefix + "z")
				time.Sleep(3 * time.Second)
				load.stop()
				arrived := f.upstreams.arrivalsFrom(addresses, knownAt)
				c.Check(arrived, qt.Equals, f.upstreams.arrivalsFrom(addresses, endedAt))
				c.Check(arrived > 0, qt.IsTrue)
				for a := range load.answered {
					switch {
					case a.at.After(knownAt) && a.at.Before(endedAt):
						c.Check(a.status, qt.Equals, 503)
						c.Check(a.elapsed <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.elapsed))
						c.Check(a.retryAfter > 0, qt.IsTrue)
					case a.at.After(endedAt.Add(2 * time.Second)):
						c.Check(a.status, qt.Equals, 200)
					}
				}
				f.stopAll()
			})
		})
	}
}

// TestEvacuationThatComesAndGoes writes and removes the key every second. Callers must be served, as
// other data centres have all shards.
func TestEvacuationThatComesAndGoes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, _, load := startEvacuationFleet(7)
		from := time.Now()
		for range 6 {
			f.put(evacuationKeyPrefix+"z1", "{}")
			time.Sleep(time.Second)
			f.remove(evacuationKeyPrefix + "z1")
			time.Sleep(time.Second)
		}
		time.Sleep(evacuationReturnTime)
		load.stop()
		sent, served := load.count(from)
		c.Check(float64(served) >= 0.99*float64(sent), qt.IsTrue, qt.Commentf("%d of %d served", served, sent))
		c.Check(f.hosts["host-0"].host.State().EvacuatedDataCenters, qt.HasLen, 0)
		f.stopAll()
	})
}

// idsIn returns the upstreams in a data centre.
func (s *simulatedUpstreams) idsIn(f *testFleet, dataCenter string) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make(map[string]bool)
	for address, u := range s.byAddress {
		if f.dataCenterOf(address) == dataCenter {
			ids[u.spec.ID] = true
		}
	}
	return ids
}

// arrivalsAtAny returns the arrivals at upstreams.
func (s *simulatedUpstreams) arrivalsAtAny(ids map[string]bool) (list []upstreamArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if ids[a.upstream] {
			list = append(list, a)
		}
	}
	return list
}

// mostArrivals returns the greatest number of arrivals at an upstream in any window of a length
// between two times.
func (s *simulatedUpstreams) mostArrivals(id string, from, to time.Time, window time.Duration) (most int) {
	var times []time.Time
	for _, a := range s.arrivalsAt(id) {
		if !a.at.Before(from) && a.at.Before(to) {
			times = append(times, a.at)
		}
	}
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
