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
	l := NewLedger(FewCrashes)
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
	l := NewLedger(FewCrashes)
	l.Crashed(start, "u1", []uint64{7})
	verdict, _ := l.Judge(start, 7)
	c.Check(verdict, qt.Equals, Waiting)
	l.Finished(7, true)
	verdict, _ = l.Judge(start, 7)
	c.Check(verdict, qt.Equals, Allowed)
}

func TestLostRackQuarantinesNothing(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(FewCrashes)
	for i := range 2 * massUpstreams {
		news := l.Crashed(start, fmt.Sprintf("u%d", i), []uint64{uint64(i / 2)})
		if i >= massUpstreams {
			c.Check(news, qt.HasLen, 0, qt.Commentf("upstream %d", i))
		}
	}
}

// TestChanceIsNotQuarantined loses two upstreams that ran a request by chance:
// only a third loss is held against it where requests run on several at once.
func TestChanceIsNotQuarantined(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(ManyCrashes)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Check(l.Crashed(at, "a", []uint64{7}), qt.HasLen, 0)
	c.Check(l.Crashed(at.Add(time.Second), "b", []uint64{7}), qt.HasLen, 0)
	verdict, _ := l.Judge(at.Add(time.Minute), 7)
	c.Check(verdict, qt.Not(qt.Equals), Quarantined)
	c.Check(l.Crashed(at.Add(time.Minute), "a", []uint64{7}), qt.DeepEquals, []uint64{7})
}
