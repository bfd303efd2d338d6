package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestQueueInvariants plays random arrivals, tries, starts and leaves, and callers that poll
// each 4 ms. It guards against requests that are never tried, requests of one flow that
// overtake each other, a less urgent request before a more urgent one, and state that grows.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int, int]()
		now := start
		tried := make(map[*Ticket[int, int]]time.Time)
		var waiting []*Ticket[int, int]
		remove := func(i int) {
			delete(tried, waiting[i])
			waiting = append(waiting[:i:i], waiting[i+1:]...)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			for polledAt := now.Add(-100 * time.Millisecond); !polledAt.After(now); polledAt = polledAt.Add(4 * time.Millisecond) {
				for _, w := range waiting {
					if polledAt.After(tried[w]) && q.MayTry(polledAt, w, nil) {
						tried[w] = polledAt
					}
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w := q.Join(now, rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 4).Draw(t, "flow"), rapid.Float64Range(0.001, 10).Draw(t, "work"), 0)
				waiting = append(waiting, w)
				tried[w] = now
			case 2:
				if first := q.First(); first != nil {
					for i, w := range waiting {
						if w == first {
							remove(i)
							break
						}
					}
					q.Start(now, first)
				}
			case 3:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "left")
					q.Leave(now, waiting[i])
					remove(i)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d wait, want %d", q.Len(), len(waiting))
			}
			first := q.First()
			for _, w := range waiting {
				if now.Sub(tried[w]) > 500*time.Millisecond {
					t.Fatalf("a request of priority %d was not tried for %v", w.flow.level.priority, now.Sub(tried[w]))
				}
				if w != first && w.ranksBefore(first) {
					t.Fatalf("a request with a better rank than the first one waits")
				}
				if count, work := q.Ahead(w); count < 0 || count >= len(waiting)+5 || work < -1e-6 || (w == first && count != 0) {
					t.Fatalf("%d requests with work %v ahead of one of %d", count, work, len(waiting))
				}
			}
		}
		for _, w := range waiting {
			q.Leave(now, w)
		}
		if !q.IsIdle(now.Add(idleFlowPeriod)) {
			t.Fatalf("flows without requests are kept")
		}
	})
}

// TestShares lets flows with work of any size wait all the time, one of them with many more
// requests than the others. It guards against a flow that gets more than its share: by the
// theory of start-time fair queueing the work of two flows differs by no more than the
// largest request of each. A flow that was idle must not get what it did not use.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int, int]()
		flows := rapid.IntRange(2, 8).Draw(t, "flows")
		idle := rapid.IntRange(0, flows-1).Draw(t, "idle flow")
		idleUntil := rapid.IntRange(0, 100).Draw(t, "idle until")
		largest, done := make([]float64, flows), make([]float64, flows)
		atReturn := make([]float64, flows)
		join := func(flow int) {
			work := rapid.Float64Range(0.1, 5).Draw(t, "work")
			largest[flow] = max(largest[flow], work)
			q.Join(start, 0, flow, work, flow)
		}
		for f := range flows {
			if f != idle {
				join(f)
			}
		}
		for range 50 {
			join((idle + 1) % flows)
		}
		for n := range 200 {
			if n == idleUntil {
				join(idle)
				copy(atReturn, done)
			}
			first := q.First()
			done[first.Value] += first.work
			q.Start(start, first)
			join(first.Value)
			if n < idleUntil {
				continue
			}
			for f := range flows {
				for g := range flows {
					if d := (done[f] - atReturn[f]) - (done[g] - atReturn[g]); d > 2*(largest[f]+largest[g]) {
						t.Fatalf("flow %d got %v more than flow %d", f, d, g)
					}
				}
			}
		}
	})
}

// TestStateIsBounded lets 50,000 flows send a request each, as accounts of a large site
// do, and checks that they are forgotten, and that a Queue that is full says so.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	q := NewQueue[int, int]()
	for i := range 50_000 {
		q.Charge(start.Add(time.Duration(i)*time.Millisecond), 0, i, 1)
		c.Assert(len(q.levels[0].flows) <= int((idleFlowPeriod+sweepInterval)/time.Millisecond)+1, qt.IsTrue)
	}
	for i := range 50_000 {
		q.Charge(start.Add(time.Minute), 0, i, 1)
		c.Assert(len(q.levels[0].flows) <= maxFlows, qt.IsTrue)
	}
	for range maxWaiting {
		c.Assert(q.Join(start.Add(time.Minute), 0, 1, 1, 0), qt.IsNotNil)
	}
	c.Check(q.Join(start.Add(time.Minute), 0, 2, 1, 0), qt.IsNil)
}

// TestExpectedWait starts a request of work 1 each 10 ms while ten wait. The wait of each
// must be known by its rank, and unknown before any has started.
func TestExpectedWait(t *testing.T) {
	c := qt.New(t)
	q := NewQueue[int, int]()
	now := start
	var last *Ticket[int, int]
	for i := range 10 {
		last = q.Join(now, 0, i, 1, 0)
	}
	_, isKnown := q.ExpectedWait(now, last)
	c.Check(isKnown, qt.IsFalse)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		q.Start(now, q.First())
		last = q.Join(now, 0, 0, 1, 0)
	}
	urgent := q.Join(now, -1, 0, 1, 0)
	wait, isKnown := q.ExpectedWait(now, urgent)
	c.Check(isKnown, qt.IsTrue)
	c.Check(wait, qt.Equals, time.Duration(0))
	count, _ := q.Ahead(last)
	wait, isKnown = q.ExpectedWait(now, last)
	c.Check(isKnown, qt.IsTrue)
	c.Check(wait > time.Duration(count-2)*10*time.Millisecond && wait < time.Duration(count+2)*10*time.Millisecond, qt.IsTrue, qt.Commentf("%v for %d", wait, count))
}

// TestLines lets requests for random sets of services wait. It guards against requests that
// wait for each other: whatever waits, one may always be tried; and against requests that
// overtake others with a better rank that lack one of their services.
func TestLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLines[string, int, int]()
		now := start
		var waiting []*Waiting[string, int, int]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			first := rapid.IntRange(0, 5).Draw(t, "service")
			var services []string
			for s := range rapid.IntRange(1, 3).Draw(t, "services") {
				services = append(services, fmt.Sprint("s", first+s))
			}
			claim := Claim[string, int]{Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Flow: rapid.IntRange(0, 3).Draw(t, "flow"), Work: 1, Resources: services}
			w, mayTry := l.Arrive(now, claim, 0)
			lacks := services[:rapid.IntRange(0, len(services)).Draw(t, "lacking")]
			switch {
			case len(lacks) > 0 && w == nil:
				waiting = append(waiting, l.Wait(now, claim, lacks, 0))
			case len(lacks) > 0 && mayTry:
				l.SetLacks(w, lacks)
				waiting = append(waiting, w)
			case mayTry && w != nil:
				l.Start(now, w)
			case w != nil:
				waiting = append(waiting, w)
			}
			mayAnyTry := len(waiting) == 0
			for _, w := range waiting {
				mayTry := l.MayTry(now, w)
				mayAnyTry = mayAnyTry || mayTry
				for _, other := range waiting {
					if other != w && other.line == w.line && other.ticket.ranksBefore(w.ticket) && intersects(other.blocks(), w.needs) && mayTry {
						t.Fatalf("a request overtakes another one that waits for the same service")
					}
				}
			}
			if !mayAnyTry {
				t.Fatalf("none of %d requests may be tried", len(waiting))
			}
			if len(waiting) > 0 && rapid.Bool().Draw(t, "leave") {
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "left")
				l.Leave(now, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			}
		}
		for _, w := range waiting {
			l.Leave(now, w)
		}
		if l.sweep(now.Add(idleFlowPeriod)); len(l.byResource) != 0 || l.lines != 0 {
			t.Fatalf("%d services in %d lines are kept", len(l.byResource), l.lines)
		}
	})
}

// BenchmarkQueue measures one request from its arrival to its start while 400 requests of 200
// flows wait and 5,000 more flows have sent lately: joining, three polls with the expected
// wait, and the start of the first one.
func BenchmarkQueue(b *testing.B) {
	q := NewQueue[int, int]()
	now := start
	for i := range 5000 {
		q.Charge(now, 0, i, 1)
	}
	for i := range 400 {
		q.Join(now, 0, i%200, 1, 0)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		t := q.Join(now, 0, i%5000, 1, 0)
		for range 3 {
			q.MayTry(now, t, nil)
			q.ExpectedWait(now, t)
		}
		q.Start(now, q.First())
	}
}
