package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRequestCrashingUpstreamTwiceIsQuarantined(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker()
	c.Check(tracker.RecordCrash(start, "u1", []uint64{7}), qt.HasLen, 0)
	decision, _ := tracker.Check(start.Add(testRunTimeout), 7)
	c.Check(decision, qt.Equals, Suspect)
	c.Check(tracker.RecordCrash(start.Add(time.Minute), "u1", []uint64{7}), qt.DeepEquals, []uint64{7})
	decision, remaining := tracker.Check(start.Add(time.Minute), 7)
	c.Check(decision, qt.Equals, Quarantined)
	c.Check(remaining, qt.Equals, quarantinePeriod)
}

func TestOneTestRunAtATimeAndAnswerClears(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker()
	tracker.RecordCrash(start, "u1", []uint64{7})
	decision, _ := tracker.Check(start, 7)
	c.Check(decision, qt.Equals, AwaitingTest)
	tracker.RecordFinish(7, true)
	decision, _ = tracker.Check(start, 7)
	c.Check(decision, qt.Equals, Allowed)
}

// TestMassLossQuarantinesNoMoreRequests loses ten upstreams at once, with each
// request on two of them. The first five losses are recognized as a mass loss; the
// other five quarantine no request.
func TestMassLossQuarantinesNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker()
	for i := range 2 * minMassLossUpstreams {
		quarantined := tracker.RecordCrash(start, fmt.Sprintf("u%d", i), []uint64{uint64(i / 2)})
		if i >= minMassLossUpstreams {
			c.Check(quarantined, qt.HasLen, 0, qt.Commentf("upstream %d", i))
		}
	}
}

// TestScatteredRequests checks that a request is not quarantined if the seven
// upstreams that run it are lost twice and run many other requests too: this is a mass
// loss. A request that crashes the seven upstreams, which run few others, is
// quarantined in the third round; a request that ran beside it is not.
func TestScatteredRequests(t *testing.T) {
	c := qt.New(t)
	upstreams := []string{"a", "b", "c", "d", "e", "f", "g"}
	tracker := NewScatterTracker()
	for i, u := range upstreams {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		c.Check(tracker.RecordCrash(at, u, []uint64{7, uint64(100 + i), uint64(200 + i)}), qt.HasLen, 0)
		c.Check(tracker.RecordCrash(at.Add(1500*time.Millisecond), u, []uint64{7, uint64(300 + i)}), qt.HasLen, 0, qt.Commentf("second crash"))
	}
	tracker = NewScatterTracker()
	for round := range 3 {
		at := start.Add(time.Duration(round) * 3 * time.Second)
		var quarantined []uint64
		for i, u := range upstreams {
			quarantined = append(quarantined, tracker.RecordCrash(at.Add(time.Duration(i)*time.Millisecond), u, []uint64{9, uint64(10*round + i%2)})...)
		}
		c.Check(len(quarantined) > 0, qt.Equals, round == 2, qt.Commentf("round %d: %v", round, quarantined))
	}
	decision, _ := tracker.Check(start.Add(time.Minute), 9)
	c.Check(decision, qt.Equals, Quarantined)
	decision, _ = tracker.Check(start.Add(time.Minute), 1)
	c.Check(decision, qt.Not(qt.Equals), Quarantined)
}
