package shutdown

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsOfAStopEndBeforeTheKill checks, for graces from the shortest to the longest that
// the settings allow, that no admitted request lasts until the kill.
func TestRequestsOfAStopEndBeforeTheKill(t *testing.T) {
	from := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second, 10 * time.Minute} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			c := qt.New(t)
			s := NewSchedule(from, grace)
			kill := from.Add(grace)
			for _, pair := range [][2]time.Time{{from, s.AcceptUntil()}, {s.AcceptUntil(), s.AnswerBy()}, {s.AnswerBy(), s.CancelAt()}, {s.CancelAt(), s.ExitBy()}, {s.ExitBy(), kill}} {
				c.Check(pair[0].Before(pair[1]), qt.IsTrue)
			}
			// Silent upstreams get at least five sixths of the grace.
			c.Check(s.AnswerBy().Sub(from) >= grace*5/6, qt.IsTrue)
			for after := time.Duration(0); after < grace; after += grace / 100 {
				for _, duration := range []time.Duration{0, 10 * time.Millisecond, grace / 3, grace / 2, grace} {
					if s.Admits(from.Add(after), duration) {
						c.Check(from.Add(after+duration).After(s.AnswerBy()), qt.IsFalse)
					}
				}
			}
			c.Check(s.Admits(from, 0), qt.IsTrue)
			c.Check(s.Admits(from, grace), qt.IsFalse)
			c.Check(s.Admits(s.AcceptUntil(), 0), qt.IsFalse)
		})
	}
}

// TestPausedHostCountsItsGraceFromThePause guards against a host that was paused when it was told to stop and
// counts on time that has passed.
func TestPausedHostCountsItsGraceFromThePause(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	d := NewPauseDetector(start, time.Second)
	d.Tick(at(1))
	c.Check(d.SentAt(at(1.9)), qt.Equals, at(1.9))
	// Paused from 1.2 to 4 s; the signal is handled before the overdue task, then after it.
	c.Check(d.SentAt(at(4)), qt.Equals, at(1))
	d.Tick(at(4))
	c.Check(d.SentAt(at(4.1)), qt.Equals, at(1))
	d.Tick(at(5))
	c.Check(d.SentAt(at(5.2)), qt.Equals, at(5.2))
}
