package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const second = time.Second

// jobsSent returns jobs in flight of 2 s each, by how long ago they were sent.
func jobsSent(now time.Time, ages ...time.Duration) []job {
	var jobs []job
	for _, a := range ages {
		jobs = append(jobs, job{earliestBegin: now.Add(-a), work: 2 * second, isInFlight: true})
	}
	return jobs
}

// TestFreeSlotDelay checks when a slot is free after the attempts that an upstream has.
func TestFreeSlotDelay(t *testing.T) {
	for _, test := range []struct {
		name string
		jobs []job
		want time.Duration
	}{
		{name: "no attempts", want: 0},
		{name: "a slot is free", jobs: jobsSent(start, second), want: 0},
		{name: "the oldest ends first", jobs: jobsSent(start, second, second/2), want: second},
		{name: "one waits already", jobs: jobsSent(start, second, second/2, second/4), want: 3 * second / 2},
		{name: "two wait already", jobs: jobsSent(start, second, second/2, second/4, 0), want: 3 * second},
		{name: "about to end", jobs: jobsSent(start, 5*second/2, 0), want: 0},
		{name: "long overdue", jobs: jobsSent(start, 8*second, 8*second), want: 8 * second},
		{name: "foreign ones have ended", jobs: []job{{earliestBegin: start.Add(-3 * second), work: 2 * second}, {earliestBegin: start.Add(-3 * second), work: 2 * second}}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) { qt.New(t).Check(freeSlotDelay(start, test.jobs, 2), qt.Equals, test.want) })
	}
}

// TestExpectedWaitOfQueuedAttempts sends attempts of 2 s to an upstream of two slots, which serves them
// in order, and checks the expected wait of each against its actual one.
func TestExpectedWaitOfQueuedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := &Pool{DataCenter: "near", IdleCount: func(string) int { return 1 }}
		i := inventory.New()
		i.Update(now, []inventory.UpstreamSpec{{ID: "a", Service: "s", Address: "a", DataCenter: "near", Slots: 2}})
		p.Configure(now, i.ForService("s"), Policy{Window: window, MaxConcurrent: 40})
		stats := NewLatencyStats(4*second, false)
		stats.record(now, 2*second, 0)
		free := []time.Time{now, now}
		type sent struct {
			assignment *Assignment
			endsAt     time.Time
		}
		var inFlight []sent
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap")) * time.Millisecond)
			for len(inFlight) > 0 && !inFlight[0].endsAt.After(now) {
				p.RecordOutcome(inFlight[0].endsAt, inFlight[0].assignment, upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: 200}})
				inFlight = inFlight[1:]
			}
			r := Requirements{LatencyStats: stats}
			first := 0
			if free[1].Before(free[0]) {
				first = 1
			}
			wait := max(0, free[first].Sub(now))
			expected := p.ExpectedWait(now, r)
			a := p.Assign(now, r)
			if expected != wait || a.Wait() != wait {
				t.Fatalf("expected waits of %v and %v, actual one %v", expected, a.Wait(), wait)
			}
			free[first] = now.Add(wait + 2*second)
			inFlight = append(inFlight, sent{a, free[first]})
		}
		if stats.Work() != 2*second {
			t.Fatalf("work of %v", stats.Work())
		}
	})
}

// TestWorkIsLearntBesideQueues checks that the wait at upstreams does not count as work, whatever was
// assumed at first.
func TestWorkIsLearntBesideQueues(t *testing.T) {
	c := qt.New(t)
	s := NewLatencyStats(4*second, false)
	for range 60 {
		s.record(start, 5*second, 3*second)
	}
	c.Check(s.Work(), qt.Equals, 2*second)
	for range 60 {
		s.record(start, second, 0)
	}
	c.Check(s.Work() < 1100*time.Millisecond, qt.IsTrue)
}

// TestForeignAttemptsCountTowardsTheWait checks that an upstream full of attempts of other hosts has a wait
// as soon as a response tells of them.
func TestForeignAttemptsCountTowardsTheWait(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	f.setUpstreams(newPolicy(), "a")
	r := Requirements{LatencyStats: f.latencyStats}
	c.Check(f.ExpectedWait(f.now, r), qt.Equals, time.Duration(0))
	a := f.Assign(f.now, r)
	f.now = f.now.Add(typicalLatency)
	f.RecordOutcome(f.now, a, upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: 200}, Load: &upstream.Load{Running: 2, Waiting: 3}})
	// Four others on two slots, of 10 ms each.
	c.Check(f.ExpectedWait(f.now, r).Round(time.Millisecond), qt.Equals, 20*time.Millisecond)
	c.Check(f.ExpectedWait(f.now.Add(time.Second), r), qt.Equals, time.Duration(0))
}
