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

// maxDrainDelay bounds the time from the announcement that an upstream drains until the
// upstream gets no new run. The requirement is "a few seconds".
const maxDrainDelay = 3 * time.Second

// measureLoad sends requests to a fleet at a mean rate per second and returns the
// ratio of complete answers and the 99th percentile of the latency.
func measureLoad(f *Fleet, seed uint64, rate float64, duration time.Duration) (completeRatio float64, p99 time.Duration) {
	m := &measurement{latency: make(map[string]*hdrhistogram.Histogram), sent: make(map[string]int), completed: make(map[string]int)}
	for _, kind := range []string{SearchKind, "urgent-search"} {
		m.latency[kind] = hdrhistogram.New(1, 10_000_000, 3)
	}
	sendLoad(f, m, rand.New(rand.NewPCG(seed, 3)), rate, duration, true)
	all := hdrhistogram.Import(m.latency[SearchKind].Export())
	all.Merge(m.latency["urgent-search"])
	sent := m.sent[SearchKind] + m.sent["urgent-search"]
	return float64(m.completed[SearchKind]+m.completed["urgent-search"]) / float64(sent), time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
}

// TestRecoveryAfterOverload sends 2.5 times the capacity for 10 s, loses an upstream
// for 1 s in the middle, and then measures a normal load. An overload must leave no
// state that degrades the answers afterwards.
func TestRecoveryAfterOverload(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		// Runs of DefaultOptions take 19.5 ms on average.
		capacity := float64(f.Options.Slots*f.Options.Replicas) / 0.0195
		completeBefore, p99Before := measureLoad(f, 1, 0.6*capacity, 5*time.Second)
		f.Go(func() {
			time.Sleep(5 * time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{Down: true})
			time.Sleep(time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{})
		})
		completeDuring, _ := measureLoad(f, 2, 2.5*capacity, 10*time.Second)
		time.Sleep(2 * time.Second)
		completeAfter, p99After := measureLoad(f, 3, 0.6*capacity, 5*time.Second)
		t.Logf("complete ratio before %.3f, during %.3f, after %.3f; p99 before %s, after %s", completeBefore, completeDuring, completeAfter, p99Before, p99After)
		c.Check(completeAfter >= 0.999, qt.IsTrue)
		c.Check(p99After < 2*p99Before, qt.IsTrue)
		c.Check(f.Recorder.Count(), qt.Equals, 0)
	})
}

// TestDrainingUpstreamGetsNoNewRuns announces in each possible way that an upstream
// drains, and counts the runs that the upstream admits later than maxDrainDelay. There
// must be none, and all requests must be answered completely meanwhile.
func TestDrainingUpstreamGetsNoNewRuns(t *testing.T) {
	announcements := map[string]func(*Fleet){
		"its own reply":     func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{Draining: true}) },
		"its load endpoint": func(f *Fleet) { f.Upstreams[0].SetFaults(standin.UpstreamFaults{Misleading: true}) },
		"the configuration": drainByConfiguration,
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(DefaultOptions())
				f.Start()
				defer f.Stop()
				time.Sleep(startupPeriod)
				announce(f)
				measureLoad(f, 1, 50, maxDrainDelay)
				startedBefore := f.Upstreams[0].AdmittedCount()
				completeRatio, _ := measureLoad(f, 2, 50, 5*time.Second)
				c := qt.New(t)
				c.Check(f.Upstreams[0].AdmittedCount()-startedBefore, qt.Equals, 0)
				c.Check(completeRatio, qt.Equals, 1.0)
			})
		})
	}
}

// TestRecoveryFromSilentConnections makes all open connections to upstreams silent at
// the same time. In the first 2 s, at least 90% of the answers must be complete; after
// that, all must be, with a 99th percentile of the latency below 200 ms.
func TestRecoveryFromSilentConnections(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		measureLoad(f, 1, 50, 3*time.Second)
		for _, client := range f.Network.Clients() {
			client.setSilent(true)
		}
		completeRatio, _ := measureLoad(f, 2, 50, 2*time.Second)
		c.Check(completeRatio >= 0.9, qt.IsTrue, qt.Commentf("%.3f", completeRatio))
		completeRatio, p99 := measureLoad(f, 3, 50, 3*time.Second)
		t.Logf("after two seconds: complete ratio %.3f, p99 %s", completeRatio, p99)
		c.Check(completeRatio, qt.Equals, 1.0)
		c.Check(p99 < 200*time.Millisecond, qt.IsTrue)
	})
}

// TestVersionChangeDuringQueries repeatedly replaces the oldest version during queries,
// while the upstreams serve two versions. Queries on the older version must finish, and
// no answer may mix the two.
func TestVersionChangeDuringQueries(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		f.Go(func() {
			for number := uint64(2); number < 12; number++ {
				time.Sleep(300 * time.Millisecond)
				f.SetVersions(snapshot.New(number-1, "m1"), snapshot.New(number, "m1"))
			}
		})
		caller := f.NewCaller()
		complete := 0
		for i := range 150 {
			r := caller.Send(f.Hosts()[i%3], entry.RequestDocument{RequestID: fmt.Sprint("r", i), Kind: SearchKind, Query: []byte(fmt.Sprint(i))})
			if r.Answer.Status == "complete" {
				complete++
			}
		}
		caller.CheckFinalState(nil)
		c.Check(caller.Violations, qt.HasLen, 0)
		c.Check(complete >= 148, qt.IsTrue, qt.Commentf("%d of 150 complete", complete))
	})
}

// TestExpiredClaimsAreDeleted stores a claim that is more than a day old and a new
// one. The old claim must be deleted and the new one kept, and the request of the old
// claim must not run again.
func TestExpiredClaimsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		expiredID := uuid.Must(uuid.NewV7()).String()
		time.Sleep(28 * time.Hour)
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		_, err := f.Store.CompareAndSwap(context.Background(), booking.Key(ServiceName, expiredID), booking.Record{Phase: booking.PhaseDone}.Encode(), 0)
		c.Assert(err, qt.IsNil)
		caller := f.NewCaller()
		recent := entry.RequestDocument{RequestID: uuid.Must(uuid.NewV7()).String(), Kind: BookingKind, Key: "a"}
		c.Check(caller.Send(f.Hosts()[0], recent).Answer.Status, qt.Equals, "complete")
		time.Sleep(70 * time.Minute)
		c.Check(f.Store.CountKeys(booking.KeyPrefix), qt.Equals, 1)
		c.Check(caller.Send(f.Hosts()[1], recent).Answer.FromEarlierRun, qt.IsTrue)
		again := caller.Send(f.Hosts()[0], entry.RequestDocument{RequestID: expiredID, Kind: BookingKind, Key: "a"})
		c.Check(again.Answer.Status, qt.Equals, "unknown")
		c.Check(f.RunCounter.RunCount(ServiceName, expiredID), qt.Equals, 0)
	})
}
