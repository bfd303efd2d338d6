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
	l := NewLedger()
	c.Check(l.Crashed(start, "u1", []uint64{7}), qt.HasLen, 0)
	verdict, _ := l.Judge(start.Add(trialTime), 7)
	c.Check(verdict, qt.Equals, Suspect)
	c.Check(l.Crashed(start.Add(time.Minute), "u1", []uint64{7}), qt.DeepEquals, []uint64{7})
	verdict, left := l.Judge(start.Add(time.Minute), 7)
	c.Check(verdict, qt.Equals, Quarantined)
	c.Check(left, qt.Equals, quarantineTime)
}

func TestOneTryAtATimeAndAnswerClears(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	l.Crashed(start, "u1", []uint64{7})
	verdict, _ := l.Judge(start, 7)
	c.Check(verdict, qt.Equals, Waiting)
	l.Finished(7, true)
	verdict, _ = l.Judge(start, 7)
	c.Check(verdict, qt.Equals, Allowed)
}

func TestLostRackQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for i := range 2 * massUpstreams {
		news := l.Crashed(start, fmt.Sprintf("u%d", i), []uint64{uint64(i / 2)})
		if i >= massUpstreams {
			c.Check(news, qt.HasLen, 0, qt.Commentf("upstream %d", i))
		}
	}
}
