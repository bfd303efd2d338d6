package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
)

// startTime is how long a fleet takes until every owner uses all its slots.
const startTime = 5 * time.Second

func TestCalmFleet(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		caller := f.NewCaller()
		for _, n := range f.Nodes() {
			r := caller.Ask(n, entry.RequestDocument{RequestID: "read-" + n.Name, Kind: Search, Query: []byte(`{}`)})
			c.Check(r.Answer.Status, qt.Equals, "complete")
		}
		d := entry.RequestDocument{RequestID: "book-1", Kind: Booking, Key: "10:00"}
		first := caller.Ask(f.Nodes()[0], d)
		second := caller.Ask(f.Nodes()[1], d)
		c.Check(first.Answer.Status, qt.Equals, "complete")
		c.Check(second.Answer.FromEarlierRun, qt.IsTrue)
		caller.CheckEnd([]string{"book-1"})
		c.Check(caller.Broken, qt.HasLen, 0)
	})
}

// runFleet runs a test on a small fleet that has been started, in virtual time.
func runFleet(t *testing.T, test func(c *qt.C, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startTime)
		test(qt.New(t), f)
	})
}
