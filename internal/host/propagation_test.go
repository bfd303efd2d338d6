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
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// TestConfigurationReachesAllHosts starts hosts, which must all have the first
// configuration, and changes the configuration 12 times: without a failure, while
// hosts are isolated or disconnected from the store, after hosts were killed and
// restarted, or after the store has lost its history. All hosts that are not isolated
// must have each version within the three seconds that the platform allows, and all
// hosts 4 s after the failure has ended. In ten checks during the three seconds and
// in one at the end, no host may have returned to an older version, and the extra
// attempts must be within the limit.
func TestConfigurationReachesAllHosts(t *testing.T) {
	t.Parallel()
	const (
		maxPropagationTime = 3 * time.Second
		rounds             = 12
	)
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startFleet(size)
				random := rand.New(rand.NewPCG(uint64(size), 3))
				c.Assert(f.hostsBehind(1), qt.HasLen, 0)
				for version := uint64(2); version < 2+rounds; version++ {
					injectFailure := []func() func(){
						func() func() { return func() {} },
						func() func() { return f.disconnect(addresses, random, size/3, true) },
						func() func() { return f.disconnect(addresses, random, max(1, size/7), false) },
						func() func() { return f.restart(addresses, random, max(1, size/4)) },
						func() func() { f.loseHistory(); return func() {} },
					}[random.IntN(5)]
					heal := injectFailure()
					f.put(tableKey, fmt.Sprint(version))
					for range 10 {
						time.Sleep(maxPropagationTime / 10)
						f.checkInvariants(c)
					}
					c.Assert(f.hostsBehind(version), qt.HasLen, 0, qt.Commentf("version %d", version))
					heal()
					time.Sleep(4 * time.Second)
					f.checkInvariants(c)
					c.Assert(f.hostsBehind(version), qt.HasLen, 0, qt.Commentf("version %d after the failure", version))
				}
				f.stopAll()
			})
		})
	}
}

// TestRestartDuringStoreOutage restarts all hosts in turn during a store outage.
// Within one second after its start, each host must have the configuration from the
// other hosts.
func TestRestartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		f.setStoreDown(true)
		for _, a := range addresses {
			f.stop(a)
			f.start(a, addresses[:3])
			time.Sleep(time.Second)
			c.Assert(f.hostsBehind(1), qt.HasLen, 0, qt.Commentf("%s restarted", a))
		}
		f.stopAll()
	})
}

// TestCallRateDuringStoreOutage guards against all hosts calling an unavailable store
// at a high rate. All hosts together may make one call a second for each host and
// four more for each watcher. Two seconds after the end of the outage, all hosts must
// have a change that was made at its end.
func TestCallRateDuringStoreOutage(t *testing.T) {
	t.Parallel()
	const (
		outagePeriod          = 10 * time.Second
		watcherCallsPerSecond = 4 * membership.WatcherCount
	)
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, _ := startFleet(size)
				f.setStoreDown(true)
				f.mu.Lock()
				calls := f.storeCalls
				f.mu.Unlock()
				time.Sleep(outagePeriod)
				f.mu.Lock()
				calls = f.storeCalls - calls
				f.mu.Unlock()
				c.Check(calls <= int(outagePeriod.Seconds())*(size+watcherCallsPerSecond), qt.IsTrue, qt.Commentf("%d calls", calls))
				f.setStoreDown(false)
				f.put(tableKey, "2")
				time.Sleep(2 * time.Second)
				c.Check(f.hostsBehind(2), qt.HasLen, 0)
				f.stopAll()
			})
		})
	}
}

// TestCallRateIsBounded counts the calls to the store and between hosts in a minute
// without changes. Apart from lease renewals, the calls to the store must not exceed
// 1.3 times the number of watches that WatcherCount hosts make, whatever the number
// of hosts. The calls between hosts must not exceed 150 for each host, so they grow
// no faster than the fleet.
func TestCallRateIsBounded(t *testing.T) {
	t.Parallel()
	for _, size := range []int{7, 63, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, _ := startFleet(size)
				f.mu.Lock()
				storeCalls, peerCalls := f.storeCalls, f.peerCalls
				f.mu.Unlock()
				time.Sleep(time.Minute)
				f.mu.Lock()
				storeCalls, peerCalls = f.storeCalls-storeCalls, f.peerCalls-peerCalls
				f.mu.Unlock()
				renewals := size * int(time.Minute/renewInterval)
				watches := membership.WatcherCount * int(time.Minute/watchWait)
				c.Check(storeCalls-renewals <= watches*13/10, qt.IsTrue, qt.Commentf("%d calls to the store, %d of them renewals", storeCalls, renewals))
				c.Check(peerCalls <= size*150, qt.IsTrue, qt.Commentf("%d calls between hosts", peerCalls))
				t.Logf("%d hosts: %d watches and lists a minute, %.1f messages a host and minute", size, storeCalls-renewals, float64(peerCalls)/float64(size))
				f.stopAll()
			})
		})
	}
}

// TestLeavingHostIsNotAdvertised lets a host leave. 100 ms later it must be not ready
// with the reason stopping, and no other host may advertise it. No host may advertise
// it after a change of the store either, although the store still lists its
// registration.
func TestLeavingHostIsNotAdvertised(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		leavingHost := f.hosts[addresses[3]].host
		done := make(chan struct{})
		var group work.Group
		group.Go(func() { leavingHost.Leave(context.Background()); close(done) })
		time.Sleep(100 * time.Millisecond)
		c.Check(leavingHost.NotReadyReason(), qt.Equals, "stopping")
		for _, a := range addresses {
			if a != addresses[3] {
				c.Check(f.hosts[a].host.AdvertisedAddresses("z"), qt.HasLen, 6, qt.Commentf("%s", a))
			}
		}
		f.put(tableKey, "2")
		time.Sleep(2 * time.Second)
		for _, a := range addresses {
			c.Check(f.hosts[a].host.AdvertisedAddresses("z"), qt.Not(qt.Contains), addresses[3], qt.Commentf("%s after a change", a))
		}
		<-done
		f.stopAll()
	})
}

// TestWatchersLoseStore silences the store for the watchers, of which there must be
// WatcherCount, while the other hosts still reach the watchers. The other hosts must
// read the store themselves and have a change within 1.9 s, since two seconds are
// available: the platform treats a leaving upstream as removed after three seconds,
// and a host may use the upstream for one second after the host has received the
// change.
func TestWatchersLoseStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startFleet(7)
		for version := uint64(2); version < 12; version++ {
			var silenced []*hostProcess
			f.mu.Lock()
			for _, a := range addresses {
				if r := f.hosts[a]; r.host.fleet.ShouldWatch(0) {
					r.storeSilent = true
					silenced = append(silenced, r)
				}
			}
			f.mu.Unlock()
			c.Assert(silenced, qt.HasLen, membership.WatcherCount)
			f.put(tableKey, fmt.Sprint(version))
			time.Sleep(1900 * time.Millisecond)
			behind := f.hostsBehind(version)
			for _, r := range silenced {
				behind = slices.DeleteFunc(behind, func(a string) bool { return f.hosts[a] == r })
			}
			c.Check(behind, qt.HasLen, 0, qt.Commentf("version %d", version))
			f.mu.Lock()
			for _, r := range silenced {
				r.storeSilent = false
			}
			f.mu.Unlock()
			time.Sleep(5 * time.Second)
		}
		f.stopAll()
	})
}

// TestChangePropagationTime checks that all hosts that are not isolated have a change
// within maxPropagationTime, also while two of seven or nine of 63 hosts are
// isolated. A host may use a leaving upstream for one second after the host has
// received the change; the platform allows three seconds in total.
func TestChangePropagationTime(t *testing.T) {
	t.Parallel()
	const maxPropagationTime = 1200 * time.Millisecond
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startFleet(size)
				random := rand.New(rand.NewPCG(uint64(size), 5))
				for version := uint64(2); version < 22; version++ {
					heal := func() {}
					if version%2 == 0 {
						heal = f.disconnect(addresses, random, max(2, size/7), false)
						time.Sleep(4 * time.Second)
					}
					f.put(tableKey, fmt.Sprint(version))
					time.Sleep(maxPropagationTime)
					c.Check(f.hostsBehind(version), qt.HasLen, 0, qt.Commentf("version %d", version))
					heal()
					time.Sleep(5 * time.Second)
				}
				f.stopAll()
			})
		})
	}
}

// TestDiscoveryAfterFullRestart kills and restarts all hosts of a large fleet. 300 ms
// later, after they have read the store, each host must advertise more than half of
// the large hosts and no small host, although most hosts have not exchanged gossip
// with each other yet.
func TestDiscoveryAfterFullRestart(t *testing.T) {
	t.Parallel()
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
			advertised := f.hosts[a].host.AdvertisedAddresses("z")
			c.Check(len(advertised) > len(large)/2, qt.IsTrue, qt.Commentf("%s advertises %v", a, advertised))
			for _, l := range advertised {
				c.Check(large, qt.Contains, l, qt.Commentf("%s", a))
			}
		}
		f.stopAll()
	})
}

// TestReconnectedHostsAreAlive isolates a seventh of the hosts until the others consider
// them dead. All hosts must consider all others alive, so that changes and callers reach
// them, once the platform's stabilisation period has passed since they were reconnected.
func TestReconnectedHostsAreAlive(t *testing.T) {
	t.Parallel()
	const stabilisationPeriod = 4 * time.Second
	for _, size := range []int{7, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startFleet(size)
				heal := f.disconnect(addresses, rand.New(rand.NewPCG(uint64(size), 7)), max(2, size/7), false)
				time.Sleep(15 * time.Second)
				heal()
				time.Sleep(stabilisationPeriod)
				for _, a := range addresses {
					for _, m := range f.hosts[a].host.fleet.Members() {
						c.Check(m.State(), qt.Equals, roster.Alive, qt.Commentf("%s as seen by %s", m.Host(), a))
					}
				}
				f.stopAll()
			})
		})
	}
}
