package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/membership"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// TestChangesAreInForceEverywhere changes the configuration while hosts are cut
// off, barred from the store, killed and restarted, and the store is away or
// loses its history. Hosts in touch have each version within the time that the
// platform allows, none goes back, and the extra attempts stay within the bound.
func TestChangesAreInForceEverywhere(t *testing.T) {
	const (
		inForce = 3 * time.Second
		rounds  = 12
	)
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startFleet(size)
				random := rand.New(rand.NewPCG(uint64(size), 3))
				c.Assert(f.behind(1), qt.HasLen, 0)
				for version := uint64(2); version < 2+rounds; version++ {
					disturb := []func() func(){
						func() func() { return func() {} },
						func() func() { return f.bar(addresses, random, size/3, true) },
						func() func() { return f.bar(addresses, random, max(1, size/7), false) },
						func() func() { return f.restart(addresses, random, max(1, size/4)) },
						func() func() { f.loseHistory(); return func() {} },
					}[random.IntN(5)]
					heal := disturb()
					f.put(keyOfTable, fmt.Sprint(version))
					for range 10 {
						time.Sleep(inForce / 10)
						f.check(c)
					}
					c.Assert(f.behind(version), qt.HasLen, 0, qt.Commentf("version %d", version))
					heal()
					time.Sleep(4 * time.Second)
					f.check(c)
					c.Assert(f.behind(version), qt.HasLen, 0, qt.Commentf("version %d after the disturbance", version))
				}
				f.stopAll()
			})
		})
	}
}

// TestStoreAway lets hosts restart while the store is away: they learn the
// configuration from the others and go on.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		f.setAway(true)
		for _, a := range addresses {
			f.stop(a)
			f.start(a, addresses[:3])
			time.Sleep(time.Second)
			c.Assert(f.behind(1), qt.HasLen, 0, qt.Commentf("%s restarted", a))
		}
		f.stopAll()
	})
}

// TestStoreAwayCostsFewCalls takes the store away from all hosts: a few go on asking
// for all, the others once a second at most; once it is back, all have what changed
// within two seconds.
func TestStoreAwayCostsFewCalls(t *testing.T) {
	const (
		away  = 10 * time.Second
		asked = 4 * membership.WatcherCount
	)
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, _ := startFleet(size)
				f.setAway(true)
				calls := f.calls
				time.Sleep(away)
				f.mu.Lock()
				calls = f.calls - calls
				f.mu.Unlock()
				c.Check(calls <= int(away.Seconds())*(size+asked), qt.IsTrue, qt.Commentf("%d calls", calls))
				f.setAway(false)
				f.put(keyOfTable, "2")
				time.Sleep(2 * time.Second)
				c.Check(f.behind(2), qt.HasLen, 0)
				f.stopAll()
			})
		})
	}
}

// TestCallsDoNotGrowWithTheFleet counts the calls to the store and between hosts
// in a calm minute.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{7, 63, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, _ := startFleet(size)
				f.mu.Lock()
				calls, messages := f.calls, f.messages
				f.mu.Unlock()
				time.Sleep(time.Minute)
				f.mu.Lock()
				calls, messages = f.calls-calls, f.messages-messages
				f.mu.Unlock()
				renewals := size * int(time.Minute/renewPeriod)
				watches := membership.WatcherCount * int(time.Minute/watchPeriod)
				c.Check(calls-renewals <= watches*13/10, qt.IsTrue, qt.Commentf("%d calls, %d of them renewals", calls, renewals))
				c.Check(messages <= size*150, qt.IsTrue, qt.Commentf("%d messages", messages))
				t.Logf("%d hosts: %d watches and lists a minute, %.1f messages a host and minute", size, calls-renewals, float64(messages)/float64(size))
				f.stopAll()
			})
		})
	}
}

// TestLeavingHostIsNotOffered tells all hosts at once that one stops.
func TestLeavingHostIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		left := f.hosts[addresses[3]].host
		done := make(chan struct{})
		var group work.Group
		group.Go(func() { left.Leave(context.Background()); close(done) })
		time.Sleep(100 * time.Millisecond)
		c.Check(left.NotReadyReason(), qt.Equals, "stopping")
		for _, a := range addresses {
			if a != addresses[3] {
				c.Check(f.hosts[a].host.AdvertisedAddresses("z"), qt.HasLen, 6, qt.Commentf("%s", a))
			}
		}
		f.put(keyOfTable, "2")
		time.Sleep(2 * time.Second)
		for _, a := range addresses {
			c.Check(f.hosts[a].host.AdvertisedAddresses("z"), qt.Not(qt.Contains), addresses[3], qt.Commentf("%s after a change", a))
		}
		<-done
		f.stopAll()
	})
}

// TestWatchersThatDoNotReachTheStore silences the store for the two hosts that
// watch it, while the others reach them: the others read it themselves before an
// upstream that leaves counts as gone for the platform, in three seconds, less the
// second for which it may still be used.
func TestWatchersThatDoNotReachTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		for version := uint64(2); version < 12; version++ {
			var silenced []*running
			f.mu.Lock()
			for _, a := range addresses {
				if r := f.hosts[a]; r.host.fleet.ShouldWatch(0) {
					r.silent = true
					silenced = append(silenced, r)
				}
			}
			f.mu.Unlock()
			c.Assert(silenced, qt.HasLen, membership.WatcherCount)
			f.put(keyOfTable, fmt.Sprint(version))
			time.Sleep(1900 * time.Millisecond)
			behind := f.behind(version)
			for _, r := range silenced {
				behind = slices.DeleteFunc(behind, func(a string) bool { return f.hosts[a] == r })
			}
			c.Check(behind, qt.HasLen, 0, qt.Commentf("version %d", version))
			f.mu.Lock()
			for _, r := range silenced {
				r.silent = false
			}
			f.mu.Unlock()
			time.Sleep(5 * time.Second)
		}
		f.stopAll()
	})
}

// TestNewsArrivesSoon counts how long changes take to every host while two of
// seven, or nine of 63, are cut off: upstreams that leave may be used for a second after a host
// has heard of it, and for three after the platform has.
func TestNewsArrivesSoon(t *testing.T) {
	const bound = 1200 * time.Millisecond
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startFleet(size)
				random := rand.New(rand.NewPCG(uint64(size), 5))
				for version := uint64(2); version < 22; version++ {
					heal := func() {}
					if version%2 == 0 {
						heal = f.bar(addresses, random, max(2, size/7), false)
						time.Sleep(4 * time.Second)
					}
					f.put(keyOfTable, fmt.Sprint(version))
					time.Sleep(bound)
					c.Check(f.behind(version), qt.HasLen, 0, qt.Commentf("version %d", version))
					heal()
					time.Sleep(5 * time.Second)
				}
				f.stopAll()
			})
		})
	}
}

// TestHostsMeetAfterAllRestarted kills all hosts of a large fleet at once: as soon
// as they have read the store, callers are told large hosts only, and most of them,
// though most hosts have not heard of each other yet.
func TestHostsMeetAfterAllRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(63)
		large := addresses[:6]
		for _, a := range addresses {
			f.stop(a)
		}
		for _, a := range addresses {
			f.start(a, addresses[:3])
		}
		time.Sleep(300 * time.Millisecond)
		for _, a := range addresses {
			told := f.hosts[a].host.AdvertisedAddresses("z")
			c.Check(len(told) > len(large)/2, qt.IsTrue, qt.Commentf("%s tells %v", a, told))
			for _, l := range told {
				c.Check(large, qt.Contains, l, qt.Commentf("%s", a))
			}
		}
		f.stopAll()
	})
}
