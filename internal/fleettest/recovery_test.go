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
// upstream gets no more new runs. The requirement is "a few seconds".
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

// TestRecoveryAfterOverload sends 2.5 times the capacity for 10 s, with an upstream down
// for 1 s in the middle. An overload must leave no state that degrades later answers: 2 s
// after it, at 0.6 times the capacity, at least 99.9% of the answers must be complete,
// with less than twice the 99th percentile of the latency before the overload. No
// invariant of the processes may be violated.
func TestRecoveryAfterOverload(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		// Runs of DefaultOptions take 19.5 ms on average.
		capacity := float64(f.Options.Slots*f.Options.Replicas) / 0.0195
		completeRatioBefore, p99Before := measureLoad(f, 1, 0.6*capacity, 5*time.Second)
		f.Go(func() {
			time.Sleep(5 * time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{Down: true})
			time.Sleep(time.Second)
			f.Upstreams[0].SetFaults(standin.UpstreamFaults{})
		})
		completeRatioDuring, _ := measureLoad(f, 2, 2.5*capacity, 10*time.Second)
		time.Sleep(2 * time.Second)
		completeRatioAfter, p99After := measureLoad(f, 3, 0.6*capacity, 5*time.Second)
		t.Logf("complete ratio before %.3f, during %.3f, after %.3f; p99 before %s, after %s", completeRatioBefore, completeRatioDuring, completeRatioAfter, p99Before, p99After)
		c.Check(completeRatioAfter >= 0.999, qt.IsTrue)
		c.Check(p99After < 2*p99Before, qt.IsTrue)
		c.Check(f.Recorder.Count(), qt.Equals, 0)
	})
}

// TestDrainingUpstreamGetsNoNewRuns announces in each possible way that an upstream
// drains. In the 5 s after maxDrainDelay has passed, the upstream must admit no run, and
// all answers must be complete.
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
				admittedBefore := f.Upstreams[0].AdmittedCount()
				completeRatio, _ := measureLoad(f, 2, 50, 5*time.Second)
				c := qt.New(t)
				c.Check(f.Upstreams[0].AdmittedCount()-admittedBefore, qt.Equals, 0)
				c.Check(completeRatio, qt.Equals, 1.0)
			})
		})
	}
}

// TestRecoveryFromSilentConnections makes all open connections to upstreams silent at
// the same time. In the first 2 s, at least 90% of the answers must be complete. In the
// 3 s after that, all answers must be complete, with a 99th percentile of the latency
// below 200 ms.
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

// TestVersionChangeDuringQueries adds a version every 300 ms during queries and keeps
// only the version before it; the upstreams then serve two versions. No answer may mix
// versions or violate another invariant of Caller. Queries on the older version must
// finish: at least 148 of 150 queries must be complete.
func TestVersionChangeDuringQueries(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		f.Go(func() {
			for number := uint64(2); number < 12; number++ {
				time.Sleep(300 * time.Millisecond)
				f.SetVersions(snapshot.New(number-1, "m1"), snapshot.New(number, "m1"))
			}
		})
		caller := f.NewCaller()
		completeCount := 0
		for i := range 150 {
			r := caller.Send(f.Hosts()[i%3], entry.RequestDocument{RequestID: fmt.Sprint("r", i), Kind: SearchKind, Query: []byte(fmt.Sprint(i))})
			if r.Answer.Status == "complete" {
				completeCount++
			}
		}
		caller.CheckFinalState(nil)
		c.Check(caller.Violations, qt.HasLen, 0)
		c.Check(completeCount >= 148, qt.IsTrue, qt.Commentf("%d of 150 complete", completeCount))
	})
}

// TestExpiredClaimsAreDeleted stores a claim whose request id is 28 h old and sends a
// recent booking, which must be complete. 70 min later, the expired claim must be deleted
// and the recent claim kept. The recent booking must be answered from its earlier run,
// and the request of the expired claim as unknown, without a run.
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
