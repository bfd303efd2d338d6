package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// setCold sets upstreams "a", which is cold, and others that are not, and a limit.
func setCold(f *fixture, sequence int64, limit *ColdLimit, others ...string) {
	policy := newPolicy()
	policy.MaxConcurrent, policy.ColdLimit = 100, limit
	i := inventory.New()
	specs := []inventory.UpstreamSpec{{ID: "a", Service: "s", Address: "a", DataCenter: "near", Slots: 100, Sequence: sequence, ColdRemaining: 5 * time.Second}}
	for _, id := range others {
		specs = append(specs, inventory.UpstreamSpec{ID: id, Service: "s", Address: id, DataCenter: "near", Slots: 100})
	}
	i.Update(f.now, specs)
	f.Configure(f.now, i.ForService("s"), policy)
}

// assignAll assigns attempts until none is accepted and returns how many were.
func assignAll(f *fixture) (count int) {
	for f.Assign(f.now, Requirements{LatencyStats: f.latencyStats}) != nil {
		count++
	}
	return count
}

// TestColdLimitStartsEmpty checks that turns from before an upstream became cold do not count, and that
// they accumulate no further than the burst.
func TestColdLimitStartsEmpty(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	limit := &ColdLimit{Rate: 2, Burst: 3}
	setCold(f, 1, limit)
	c.Check(assignAll(f), qt.Equals, 0)
	f.now = f.now.Add(4 * time.Second)
	c.Check(assignAll(f), qt.Equals, 3)
	f.now = f.now.Add(time.Minute)
	setCold(f, 2, limit)
	c.Check(assignAll(f), qt.Equals, 0, qt.Commentf("cold again"))
	f.now = f.now.Add(time.Second)
	c.Check(assignAll(f), qt.Equals, 2)
	setCold(f, 2, nil)
	c.Check(f.Assign(f.now, Requirements{LatencyStats: f.latencyStats}), qt.IsNotNil, qt.Commentf("without a limit"))
}

// TestLowerLimitBinds has an upstream that is cold state a limit of its own.
func TestLowerLimitBinds(t *testing.T) {
	for _, test := range []struct {
		name         string
		cold, stated float64
		want         int
	}{{"cold", 2, 30, 2}, {"stated", 30, 6, 2}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(newPolicy())
			setCold(f, 1, &ColdLimit{Rate: test.cold, Burst: 40})
			f.RecordLimit(f.now, f.members[0].upstream, test.stated, f.now)
			f.members[0].limit.set(f.now, test.stated, 1.0/3)
			f.members[0].limit.turns = 0
			f.now = f.now.Add(time.Second)
			c.Check(assignAll(f), qt.Equals, test.want)
		})
	}
}

// TestNoTurnIsAwaitedIfAnotherUpstreamHasRoom checks that attempts do not wait for a cold upstream, and that without
// another one the wait ends with the cold period at the latest.
func TestNoTurnIsAwaitedIfAnotherUpstreamHasRoom(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	r := Requirements{LatencyStats: f.latencyStats}
	setCold(f, 1, &ColdLimit{}, "b")
	c.Check(f.TurnDelay(f.now, r), qt.Equals, time.Duration(0))
	c.Check(f.Assign(f.now, r).Upstream.ID(), qt.Equals, "b")
	r.TriedUpstreams = []string{"b"}
	c.Check(f.TurnDelay(f.now, r), qt.Equals, 5*time.Second)
}

// TestOtherHostsSendToColdUpstreams checks that attempts go through another host only if this one has no turn, and
// not again to one that has refused, until RefusalPeriod has passed.
func TestOtherHostsSendToColdUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	i := inventory.New()
	i.Update(f.now, []inventory.UpstreamSpec{{ID: "a", Service: "s", Address: "a", DataCenter: "near", Slots: 100, ColdRemaining: 5 * time.Second}})
	policy := newPolicy()
	policy.MaxConcurrent, policy.ColdLimit = 100, &ColdLimit{Rate: 1, Burst: 1, RefusalPeriod: time.Second / 2}
	f.Configure(f.now, append(i.ForService("s"), inventory.NewColdSender("s", "h1", "near", 8), inventory.NewColdSender("s", "h2", "near", 8)), policy)
	f.now = f.now.Add(time.Second)
	r := Requirements{LatencyStats: f.latencyStats}
	c.Check(f.Assign(f.now, r).Upstream.ID(), qt.Equals, "a", qt.Commentf("the own turn"))
	first := f.Assign(f.now, r)
	c.Check(first.Upstream.Address(), qt.Equals, "h1")
	f.RecordOutcome(f.now, first, upstream.Outcome{Result: upstream.Refused, NotForwarded: true})
	c.Check(f.Assign(f.now, r).Upstream.Address(), qt.Equals, "h2")
	direct := r
	direct.DirectOnly = true
	c.Check(f.Assign(f.now, direct), qt.IsNil)
	f.now = f.now.Add(time.Second / 2)
	c.Check(f.Assign(f.now, r).Upstream.Address(), qt.Equals, "h1")
}

// TestReservedTurn checks that a reserved turn is there for its attempt only, and is given back if it is not used.
func TestReservedTurn(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	setCold(f, 1, &ColdLimit{Rate: 1, Burst: 1})
	f.now = f.now.Add(2 * time.Second)
	r := Requirements{LatencyStats: f.latencyStats}
	turn, ok := f.ReserveTurn(f.now, r)
	c.Check(ok && turn != nil, qt.IsTrue)
	c.Check(f.Assign(f.now, r), qt.IsNil)
	_, ok = f.ReserveTurn(f.now, r)
	c.Check(ok, qt.IsFalse, qt.Commentf("no second turn"))
	f.Release(turn)
	f.Release(turn)
	turn, _ = f.ReserveTurn(f.now, r)
	r.Reserved = turn
	c.Check(f.Assign(f.now, r), qt.IsNotNil)
	f.Release(turn)
	r.Reserved = nil
	c.Check(f.Assign(f.now, r), qt.IsNil, qt.Commentf("a used turn is not given back"))
}
