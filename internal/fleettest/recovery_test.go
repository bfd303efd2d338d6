package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// drainBound is "a few seconds": from any sign until no new work is sent.
const drainBound = 3 * time.Second

// loaded asks a fleet at a rate in the background and reports how many answers
// were complete and how late the slowest of 99 in 100 was.
func loaded(f *Fleet, seed uint64, rate float64, length time.Duration) (complete float64, p99 time.Duration) {
	m := &measure{latency: make(map[string]*hdrhistogram.Histogram), asked: make(map[string]int), useful: make(map[string]int)}
	for _, kind := range []string{Search, "urgent-search"} {
		m.latency[kind] = hdrhistogram.New(1, 10_000_000, 3)
	}
	load(f, m, rand.New(rand.NewPCG(seed, 3)), rate, length, true)
	all := hdrhistogram.Import(m.latency[Search].Export())
	all.Merge(m.latency["urgent-search"])
	asked := m.asked[Search] + m.asked["urgent-search"]
	return float64(m.useful[Search]+m.useful["urgent-search"]) / float64(asked), time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

// TestOverloadLeavesNoBadState asks for 2.5 times the capacity for 10 s, with an
// upstream lost in the middle, and then looks at the first seconds after.
func TestOverloadLeavesNoBadState(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		capacity := float64(f.Options.Slots*f.Options.Replicas) / 0.0195
		before, calm := loaded(f, 1, 0.6*capacity, 5*time.Second)
		f.Go(func() {
			time.Sleep(5 * time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{Down: true})
			time.Sleep(time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{})
		})
		during, _ := loaded(f, 2, 2.5*capacity, 10*time.Second)
		time.Sleep(2 * time.Second)
		after, again := loaded(f, 3, 0.6*capacity, 5*time.Second)
		t.Logf("complete before %.3f, during %.3f, after %.3f; p99 before %s, after %s", before, during, after, calm, again)
		c.Check(after >= 0.999, qt.IsTrue)
		c.Check(again < 2*calm, qt.IsTrue)
		c.Check(f.Recorder.Count(), qt.Equals, 0)
	})
}

// TestLeavingUpstreamGetsNoNewWork gives each sign of a leaving upstream and
// counts the runs that start there later than the bound.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	signs := map[string]func(*Fleet){
		"its own reply":     func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{Draining: true}) },
		"its load endpoint": func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{Misleading: true}) },
		"the configuration": reconfigure,
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(DefaultOptions())
				f.Start()
				defer f.Stop()
				time.Sleep(startTime)
				sign(f)
				loaded(f, 1, 50, drainBound)
				before := f.Upstreams[0].Started()
				complete, _ := loaded(f, 2, 50, 5*time.Second)
				c := qt.New(t)
				c.Check(f.Upstreams[0].Started()-before, qt.Equals, 0)
				c.Check(complete, qt.Equals, 1.0)
			})
		})
	}
}

// TestSilentConnectionsCostLittle makes all connections to two replicas of each
// shard silent at once and looks at the requests of the next seconds.
func TestSilentConnectionsCostLittle(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		loaded(f, 1, 50, 3*time.Second)
		for _, client := range f.Network.Clients() {
			client.setSilent(true)
		}
		complete, _ := loaded(f, 2, 50, 2*time.Second)
		c.Check(complete >= 0.9, qt.IsTrue, qt.Commentf("%.3f", complete))
		complete, p99 := loaded(f, 3, 50, 3*time.Second)
		t.Logf("after two seconds: complete %.3f, p99 %s", complete, p99)
		c.Check(complete, qt.Equals, 1.0)
		c.Check(p99 < 200*time.Millisecond, qt.IsTrue)
	})
}

// TestOldVersionFinishes changes the version under running queries while both
// are held: queries on the old one finish, none mixes the two.
func TestOldVersionFinishes(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		f.Go(func() {
			for n := uint64(2); n < 12; n++ {
				time.Sleep(300 * time.Millisecond)
				f.SetVersions(snapshot.New(n-1, "m1"), snapshot.New(n, "m1"))
			}
		})
		caller := f.NewCaller()
		complete := 0
		for i := range 150 {
			r := caller.Ask(f.Nodes()[i%3], entry.RequestDocument{RequestID: fmt.Sprint("r", i), Kind: Search, Query: []byte(fmt.Sprint(i))})
			if r.Answer.Status == "complete" {
				complete++
			}
		}
		caller.CheckEnd(nil)
		c.Check(caller.Broken, qt.HasLen, 0)
		c.Check(complete >= 148, qt.IsTrue, qt.Commentf("%d of 150 complete", complete))
	})
}

// TestOldClaimsAreDeleted leaves a claim of more than a day ago and a new one.
func TestOldClaimsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		old := uuid.Must(uuid.NewV7()).String()
		time.Sleep(28 * time.Hour)
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startTime)
		_, err := f.Store.CompareAndSwap(context.Background(), booking.Key(Service, old), booking.Record{Phase: booking.PhaseDone}.Encode(), 0)
		c.Assert(err, qt.IsNil)
		caller := f.NewCaller()
		young := entry.RequestDocument{RequestID: uuid.Must(uuid.NewV7()).String(), Kind: Booking, Key: "a"}
		c.Check(caller.Ask(f.Nodes()[0], young).Answer.Status, qt.Equals, "complete")
		time.Sleep(70 * time.Minute)
		c.Check(f.Store.Keys(booking.KeyPrefix), qt.Equals, 1)
		c.Check(caller.Ask(f.Nodes()[1], young).Answer.FromEarlierRun, qt.IsTrue)
		again := caller.Ask(f.Nodes()[0], entry.RequestDocument{RequestID: old, Kind: Booking, Key: "a"})
		c.Check(again.Answer.Status, qt.Equals, "unknown")
		c.Check(f.Ledger.Runs(Service, old), qt.Equals, 0)
	})
}
