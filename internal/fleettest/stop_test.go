package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// maxStopDuration is by when an entry or a gate has ended that was told to stop.
const maxStopDuration = 2 * time.Minute

// withSlowFleet runs a test in virtual time on a fleet whose runs take a fixed duration.
func withSlowFleet(t *testing.T, run time.Duration, test func(c *qt.C, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := DefaultOptions()
		o.RunDuration = func(*rand.Rand) time.Duration { return run }
		f := New(o)
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		test(qt.New(t), f)
	})
}

// stopWith calls leave as a program does on SIGTERM and returns how long it took.
func stopWith(leave func(context.Context)) time.Duration {
	startAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxStopDuration)
	defer cancel()
	leave(ctx)
	return time.Since(startAt)
}

// longBooking returns a booking with the longest deadline, on a shard of the first host.
func longBooking(f *Fleet) entry.RequestDocument {
	s, _ := f.Hosts()[0].Entry.Catalog().Service(ServiceName)
	m, _ := s.ShardMap("m1")
	for i := 0; ; i++ {
		key := fmt.Sprint(i)
		if name := m.ShardForKey(key).Name(); f.ShardOwner(int(name[2]-'0')) == f.Hosts()[0] {
			return entry.RequestDocument{RequestID: "book-1", Kind: BookingKind, Key: key, DeadlineMilliseconds: entry.MaxTimeout.Milliseconds()}
		}
	}
}

// TestRequestsWithoutPauseDelayNoStop guards against a stop that waits for a moment without
// requests, which callers that use an outdated address may never grant.
func TestRequestsWithoutPauseDelayNoStop(t *testing.T) {
	withSlowFleet(t, 100*time.Millisecond, func(c *qt.C, f *Fleet) {
		h := f.Hosts()[0]
		var callers sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var lastEntry entry.AnswerDocument
		var lastGate shard.Reason
		callers.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
				callers.Go(func() {
					answer, _ := h.Entry.Serve(context.Background(), ServiceName, entry.RequestDocument{Kind: SearchKind})
					mu.Lock()
					defer mu.Unlock()
					lastEntry = answer
				})
				callers.Go(func() {
					request := &wire.ScatterRequest{Service: ServiceName, Shards: []string{"m1/s00"}, DeadlineMicros: 1e6, Idempotent: true, Version: &wire.Version{Number: 1, Map: "m1"}}
					_ = h.Gate.Scatter(context.Background(), request, func(r *wire.ScatterReply) error {
						mu.Lock()
						defer mu.Unlock()
						if r.GetShard() != "" {
							lastGate = shard.Reason(r.GetReason())
						}
						return nil
					})
				})
			}
		})
		var stops sync.WaitGroup
		stops.Go(func() { c.Check(stopWith(h.Gate.Leave) < 10*time.Second, qt.IsTrue) })
		stops.Go(func() { c.Check(stopWith(h.Entry.Leave) < 10*time.Second, qt.IsTrue) })
		stops.Wait()
		time.Sleep(time.Second)
		cancel()
		callers.Wait()
		c.Check([]string{lastEntry.Status, lastEntry.Reason}, qt.DeepEquals, []string{"not-run", "stopping"})
		c.Check(lastEntry.RetryAfterMilliseconds > 0, qt.IsTrue)
		c.Check(lastGate, qt.Equals, shard.ReasonStopping)
		// Only the first sending of a booking is certain not to have run before.
		for firstSending, status := range map[bool]string{true: "not-run", false: "unknown"} {
			answer, _ := h.Entry.Serve(context.Background(), ServiceName, entry.RequestDocument{Kind: BookingKind, RequestID: "book-1", Key: "k", FirstSending: firstSending})
			c.Check([]string{answer.Status, answer.Reason}, qt.DeepEquals, []string{status, "stopping"})
		}
	})
}

// TestStopAnswersLongRequests guards against requests that a stopping process accepted and cuts
// at its end, because their deadlines are later.
func TestStopAnswersLongRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		host  int
		leave func(*Host) func(context.Context)
		// again is the status when the booking is sent again later: a gate ends its runs, and keeps
		// the outcome of one whose entry has stopped.
		again string
	}{
		{"gate", 0, func(h *Host) func(context.Context) { return h.Gate.Leave }, "unknown"},
		{"entry", 1, func(h *Host) func(context.Context) { return h.Entry.Leave }, "complete"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSlowFleet(t, 5*time.Minute, func(c *qt.C, f *Fleet) {
				caller, booking, hosts := f.NewCaller(), longBooking(f), f.Hosts()
				answers := make(chan Response, 1)
				f.Go(func() { answers <- caller.Send(hosts[1], booking) })
				time.Sleep(time.Second)
				c.Check(stopWith(test.leave(hosts[test.host])) < maxStopDuration, qt.IsTrue)
				time.Sleep(10 * time.Millisecond)
				var answered Response
				select {
				case answered = <-answers:
				default:
				}
				c.Check([]string{answered.Answer.Status, answered.Answer.Reason}, qt.DeepEquals, []string{"unknown", "stopping"})
				hosts[test.host].Kill()
				time.Sleep(5 * time.Minute)
				c.Check(caller.Send(hosts[2], booking).Answer.Status, qt.Equals, test.again)
				caller.CheckFinalState([]string{booking.RequestID})
				c.Check(caller.Violations, qt.HasLen, 0)
			})
		})
	}
}

// TestStoppingGateKeepsOutcomeOfLostEntry guards against a gate that ends while it runs a booking
// whose entry was lost: the outcome would never be known.
func TestStoppingGateKeepsOutcomeOfLostEntry(t *testing.T) {
	withSlowFleet(t, 20*time.Second, func(c *qt.C, f *Fleet) {
		caller, booking, hosts := f.NewCaller(), longBooking(f), f.Hosts()
		f.Go(func() { caller.Send(hosts[1], booking) })
		time.Sleep(time.Second)
		hosts[1].Kill()
		time.Sleep(time.Second)
		stopWith(hosts[0].Gate.Leave)
		hosts[0].Kill()
		again := caller.Send(hosts[2], booking)
		c.Check(again.Answer.Status, qt.Equals, "complete")
		c.Check(again.Answer.FromEarlierRun, qt.IsTrue)
		caller.CheckFinalState([]string{booking.RequestID})
		c.Check(caller.Violations, qt.HasLen, 0)
	})
}
