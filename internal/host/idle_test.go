package host

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// TestIdleHostReportsWhatItHolds guards against losses that no one notices until an upstream gets no
// more requests.
func TestIdleHostReportsWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet()
		f.recorder = &invariant.Recorder{}
		f.start("host", nil)
		h := f.hosts["host"].host
		p := h.pool("s")
		inv := inventory.New()
		inv.Update(time.Now(), []inventory.UpstreamSpec{{ID: "u", Service: "s", Address: "u", DataCenter: "z", Slots: 4}})
		p.Configure(time.Now(), inv.ForService("s"), pool.Policy{Window: time.Second, LoadShare: 1, MaxConcurrent: 4})
		request := h.BeginRequest("r")
		c.Assert(p.Assign(time.Now(), pool.Requirements{LatencyStats: pool.NewLatencyStats(time.Second, false)}), qt.IsNotNil)
		time.Sleep(2 * idlePeriod)
		c.Check(f.recorder.Count(), qt.Equals, 0)
		h.EndRequest(request)
		time.Sleep(2 * idlePeriod)
		c.Check(f.recorder.Violations(), qt.DeepEquals, []invariant.Violation{{Rule: invariant.IdleHoldsNothing, Detail: "1 assignments held after 5s without a request (s: 1)"}})
		f.stopAll()
	})
}

// TestAccountOfOwnTokensHoldsNothing guards against an entry for each account whose tokens this host
// issues to itself: no call ends that could remove it.
func TestAccountOfOwnTokensHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet()
		f.accounts = func(uint64) []account.Spec {
			return []account.Spec{{Name: "a", Limit: account.Limit{RatePerSecond: 100, Burst: 10}}}
		}
		f.put(tableKey, "1")
		f.start("host", nil)
		time.Sleep(time.Second)
		answer, admitted := f.admit("host", "a")
		c.Check(admitted, qt.IsTrue, qt.Commentf("%v", answer))
		calls, waited := f.hosts["host"].host.allowances.held()
		c.Check(calls, qt.Equals, 0)
		c.Check(waited, qt.Equals, 0)
		f.stopAll()
	})
}

// TestReservedTurnsComeBackWithoutAnotherSearch guards against turns at cold upstreams that stay
// reserved for the parts of a search that never come, as long as no other search is forwarded.
func TestReservedTurnsComeBackWithoutAnotherSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet()
		f.start("host", nil)
		h := f.hosts["host"].host
		defer f.stopAll()
		defer h.EndRequest(h.BeginRequest("r"))
		inv := inventory.New()
		inv.Update(time.Now(), []inventory.UpstreamSpec{{ID: "u", Service: "s", Address: "u", DataCenter: "z", Slots: 4, ColdRemaining: time.Minute, Sequence: 1}})
		p := &pool.Pool{DataCenter: "z", IdleCount: func(string) int { return 1 }}
		configure := func(rate float64) {
			p.Configure(time.Now(), inv.ForService("s"), pool.Policy{Window: time.Second, LoadShare: 1, MaxConcurrent: 4, ColdLimit: &pool.ColdLimit{Rate: rate, Burst: 1}})
		}
		configure(1)
		time.Sleep(time.Second)
		configure(0.001)
		r := pool.Requirements{LatencyStats: pool.NewLatencyStats(time.Second, true)}
		_, ok := h.turns.Take(time.Now(), "search", "another", map[string]*pool.Pool{"s": p}, 1, r)
		c.Check(ok, qt.IsFalse)
		c.Check(p.TurnDelay(time.Now(), r) > 0, qt.IsTrue)
		time.Sleep(2 * time.Second)
		c.Check(p.TurnDelay(time.Now(), r), qt.Equals, time.Duration(0))
	})
}
