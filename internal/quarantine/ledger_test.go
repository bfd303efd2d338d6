package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSameUpstreamCrashedTwiceIsQuarantined(t *testing.T) {
	c := qt.New(t)
	l := NewTracker()
	c.Check(l.RecordCrash(start, "u1", []uint64{7}), qt.HasLen, 0)
	verdict, _ := l.Check(start.Add(trialTime), 7)
	c.Check(verdict, qt.Equals, Suspect)
	c.Check(l.RecordCrash(start.Add(time.Minute), "u1", []uint64{7}), qt.DeepEquals, []uint64{7})
	verdict, left := l.Check(start.Add(time.Minute), 7)
	c.Check(verdict, qt.Equals, Quarantined)
	c.Check(left, qt.Equals, quarantineTime)
}

func TestOneTryAtATimeAndAnswerClears(t *testing.T) {
	c := qt.New(t)
	l := NewTracker()
	l.RecordCrash(start, "u1", []uint64{7})
	verdict, _ := l.Check(start, 7)
	c.Check(verdict, qt.Equals, AwaitingTest)
	l.RecordFinish(7, true)
	verdict, _ = l.Check(start, 7)
	c.Check(verdict, qt.Equals, Allowed)
}

func TestLostRackQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	l := NewTracker()
	for i := range 2 * massUpstreams {
		news := l.RecordCrash(start, fmt.Sprintf("u%d", i), []uint64{uint64(i / 2)})
		if i >= massUpstreams {
			c.Check(news, qt.HasLen, 0, qt.Commentf("upstream %d", i))
		}
	}
}

// TestScatteredRequests tells requests that were hit by a mass crash while they ran
// on several upstreams from one that crashes all upstreams that run it.
func TestScatteredRequests(t *testing.T) {
	c := qt.New(t)
	upstreams := []string{"a", "b", "c", "d", "e", "f", "g"}
	l := NewScatterTracker()
	for i, u := range upstreams {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		c.Check(l.RecordCrash(at, u, []uint64{7, uint64(100 + i), uint64(200 + i)}), qt.HasLen, 0)
		c.Check(l.RecordCrash(at.Add(1500*time.Millisecond), u, []uint64{7, uint64(300 + i)}), qt.HasLen, 0, qt.Commentf("once more"))
	}
	l = NewScatterTracker()
	for round := range 3 {
		at := start.Add(time.Duration(round) * 3 * time.Second)
		var blocked []uint64
		for i, u := range upstreams {
			blocked = append(blocked, l.RecordCrash(at.Add(time.Duration(i)*time.Millisecond), u, []uint64{9, uint64(10*round + i%2)})...)
		}
		c.Check(len(blocked) > 0, qt.Equals, round == 2, qt.Commentf("round %d: %v", round, blocked))
	}
	verdict, _ := l.Check(start.Add(time.Minute), 9)
	c.Check(verdict, qt.Equals, Quarantined)
	verdict, _ = l.Check(start.Add(time.Minute), 1)
	c.Check(verdict, qt.Not(qt.Equals), Quarantined)
}
