package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

func misdirected(string) (upstream.Outcome, time.Duration) {
	return upstream.Outcome{Result: upstream.Misdirected, Response: upstream.Response{Status: 421}}, time.Millisecond
}

// setSpecs configures the pool with upstreams of the data centre of the host.
func (f *fixture) setSpecs(i *inventory.Inventory, specs ...inventory.UpstreamSpec) {
	for n := range specs {
		specs[n].Service, specs[n].DataCenter, specs[n].Slots = "s", "near", 2
	}
	i.Update(f.now, specs)
	f.Configure(f.now, i.ForService("s"), Policy{MaxConcurrent: 10, Window: window})
}

// TestOneUpstreamOfAnAddressGetsRequests guards against attempts again and again at entries that name the address of another upstream.
func TestOneUpstreamOfAnAddressGetsRequests(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Policy{MaxConcurrent: 10, Window: window})
	i := inventory.New()
	old, wrong := inventory.UpstreamSpec{ID: "old", Address: "x"}, inventory.UpstreamSpec{ID: "wrong", Address: "x"}
	owner := "old"
	counts := make(map[string]int)
	play := func(d time.Duration) {
		clear(counts)
		for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(10 * time.Millisecond) {
			counts[f.run(func(id string) (upstream.Outcome, time.Duration) {
				if id == owner {
					return answered(id)
				}
				return misdirected(id)
			})]++
		}
	}
	f.setSpecs(i, old, wrong)
	play(time.Second)
	c.Check(counts["wrong"] <= 1 && counts["old"] > 10, qt.IsTrue, qt.Commentf("%v", counts))
	play(time.Minute)
	c.Check(counts["wrong"], qt.Equals, 0)
	// The upstream restarts under another ID while its entry remains.
	owner = "new"
	f.setSpecs(i, old, wrong, inventory.UpstreamSpec{ID: "new", Address: "x"})
	play(4 * time.Second)
	c.Check(counts["new"] > 10 && counts["old"] == 1 && counts["wrong"] <= 1, qt.IsTrue, qt.Commentf("%v", counts))
	play(time.Minute)
	c.Check(counts["old"]+counts["wrong"], qt.Equals, 0)
	// The owner drains: others at its address are tried, and less and less often.
	f.setSpecs(i, old, wrong, inventory.UpstreamSpec{ID: "new", Address: "x", Draining: true})
	f.now = f.now.Add(2 * time.Second)
	play(time.Minute)
	c.Check(counts["new"], qt.Equals, 0)
	c.Check(counts["old"] > 0 && counts["old"]+counts["wrong"] <= 12, qt.IsTrue, qt.Commentf("%v", counts))
	// An upstream that was misdirected and responds again is used at once.
	owner = "old"
	play(time.Minute)
	c.Check(counts["old"] > 10, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestOwnerThatIsDownSupersedesNone checks that others at the address of an upstream are tried while it cannot be reached.
func TestOwnerThatIsDownSupersedesNone(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Policy{MaxConcurrent: 10, Window: window})
	f.setSpecs(inventory.New(), inventory.UpstreamSpec{ID: "a", Address: "x"})
	c.Check(f.run(answered), qt.Equals, "a")
	i := inventory.New()
	f.setSpecs(i, inventory.UpstreamSpec{ID: "a", Address: "x"}, inventory.UpstreamSpec{ID: "b", Address: "x"})
	for range 5 {
		c.Check(f.run(answered), qt.Equals, "a")
	}
	c.Check(f.run(func(string) (upstream.Outcome, time.Duration) {
		return upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}, time.Millisecond
	}), qt.Equals, "a")
	c.Check(f.run(answered), qt.Equals, "b")
	f.now = f.now.Add(time.Minute)
	c.Check(f.run(answered), qt.Equals, "b", qt.Commentf("a stays down until a connection to it was opened"))
}
