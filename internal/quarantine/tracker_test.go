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
