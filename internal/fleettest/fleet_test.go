package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
)

// startupPeriod is how long a fleet takes until every owner may use all slots of
// its shards.
const startupPeriod = 5 * time.Second

func TestFleetWithoutFaults(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		caller := f.NewCaller()
		for _, h := range f.Hosts() {
			r := caller.Send(h, entry.RequestDocument{RequestID: "read-" + h.Name, Kind: SearchKind, Query: []byte(`{}`)})
			c.Check(r.Answer.Status, qt.Equals, "complete")
		}
		d := entry.RequestDocument{RequestID: "book-1", Kind: BookingKind, Key: "10:00"}
		first := caller.Send(f.Hosts()[0], d)
		second := caller.Send(f.Hosts()[1], d)
		c.Check(first.Answer.Status, qt.Equals, "complete")
		c.Check(second.Answer.FromEarlierRun, qt.IsTrue)
		caller.CheckFinalState([]string{"book-1"})
		c.Check(caller.Violations, qt.HasLen, 0)
	})
}

// withStartedFleet runs a test in virtual time on a fleet of DefaultOptions, after
// startupPeriod.
func withStartedFleet(t *testing.T, test func(c *qt.C, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		test(qt.New(t), f)
	})
}
