package host

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

const (
	// copyAge is how old the copy is that the store comes back from, and storeAwayTime how
	// long the store is away before.
	copyAge       = 3 * time.Second
	storeAwayTime = 500 * time.Millisecond
	// maxRecoveryTime is how long after the return of the store all hosts may take to have
	// everything that was written again.
	maxRecoveryTime = 3 * time.Second
)

// A storeCopy is the content of the store at a moment.
type storeCopy struct {
	records  map[string]keyvalue.Change
	history  []keyvalue.Change
	revision uint64
	leases   map[uint64]bool
	// lastLease is the last lease that was granted.
	lastLease uint64
}

// saveCopy copies the content of the store.
func (f *testFleet) saveCopy() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{
		records: maps.Clone(f.records), history: slices.Clone(f.history), revision: f.revision, leases: maps.Clone(f.leases), lastLease: f.lastLease,
	}
}

// restoreCopy replaces the content of the store by a copy, which begins a new era.
func (f *testFleet) restoreCopy(s storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records, f.history, f.revision, f.leases, f.lastLease = s.records, s.history, s.revision, s.leases, s.lastLease
	f.era++
}

// TestStoreBackFromCopy has the store come back from a copy without the last seconds, three
// times. The operator has written a version in these seconds, and writes it again after the
// return, under a revision that was given out before; upstreams have left and joined in
// them, and so has a host. All hosts must have the version, the upstreams of the store and no others, and
// their registrations must be back.
func TestStoreBackFromCopy(t *testing.T) {
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
				f, addresses := startFleet(size)
				random := rand.New(rand.NewPCG(uint64(size), 9))
				for round := range 3 {
					version := uint64(2 + 2*round)
					f.put("upold", "x")
					f.put(tableKey, fmt.Sprint(version))
					time.Sleep(time.Second)
					saved := f.saveCopy()
					f.start(fmt.Sprint("host-", size+round), addresses[:3])
					f.remove("upold")
					f.put(fmt.Sprint("upnew", round), "x")
					for n := range 5 {
						f.put(fmt.Sprint("uplost", n), "x")
					}
					f.put(tableKey, fmt.Sprint(version+1))
					time.Sleep(copyAge)
					c.Assert(f.hostsBehind(version+1), qt.HasLen, 0)
					f.setStoreDown(true)
					time.Sleep(storeAwayTime)
					f.mu.Lock()
					calls := f.storeCalls
					f.mu.Unlock()
					f.restoreCopy(saved)
					f.setStoreDown(false)
					heal := f.disconnect(addresses, random, size/7, true)
					f.put(fmt.Sprint("upnew", round), "x")
					f.put("upold", "x")
					f.remove("upold")
					f.put(tableKey, fmt.Sprint(version+1))
					time.Sleep(maxRecoveryTime)
					f.checkMirrors(c, fmt.Sprint("round ", round))
					heal()
					f.mu.Lock()
					calls = f.storeCalls - calls
					f.mu.Unlock()
					t.Logf("round %d: %d calls to the store in %v", round, calls, maxRecoveryTime)
					c.Check(calls <= size*maxCallsAfterLoss, qt.IsTrue, qt.Commentf("%d calls", calls))
					f.checkInvariants(c)
				}
				f.stopAll()
			})
		})
	}
}

// maxCallsAfterLoss bounds the calls to the store of one host on average after a loss: three
// for the registration, and those of the watchers and of hosts that wait for peers.
const maxCallsAfterLoss = 12

// checkMirrors asserts that each host has the records of the store, its registrations
// among them, and no other ones.
func (f *testFleet) checkMirrors(c *qt.C, when string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, r := range f.hosts {
		have := make(map[string]string)
		for _, record := range r.host.follower.Difference(0).Changes {
			if !record.Deleted() {
				have[record.Key()] = string(record.Value())
			}
		}
		for k, record := range f.records {
			c.Check(have[k], qt.Equals, string(record.Value()), qt.Commentf("%s, %s: key %s", when, a, k))
			delete(have, k)
		}
		c.Check(have, qt.HasLen, 0, qt.Commentf("%s, %s", when, a))
	}
	for a := range f.hosts {
		_, registered := f.records["hosts/"+a]
		c.Check(registered, qt.IsTrue, qt.Commentf("%s: %s is not registered", when, a))
	}
}
