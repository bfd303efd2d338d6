package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecentAnswers checks for how long answers are kept and which of them count.
func TestRecentAnswers(t *testing.T) {
	c := qt.New(t)
	s := NewLatencyStats(target, false)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c.Check(s.LongestAnswer(at(0)), qt.Equals, time.Duration(0))
	c.Check(s.AnswersAfter(at(0), at(-1)), qt.Equals, 0)
	s.RecordAnswer(at(0.2), 900*time.Millisecond, 200*time.Millisecond)
	s.RecordAnswer(at(0.9), 300*time.Millisecond, 0)
	s.RecordAnswer(at(5.3), 400*time.Millisecond, 0)
	c.Check(s.LongestAnswer(at(5.3)), qt.Equals, 700*time.Millisecond)
	c.Check(s.LongestAnswer(at(10)), qt.Equals, 700*time.Millisecond)
	c.Check(s.LongestAnswer(at(12)), qt.Equals, 400*time.Millisecond)
	c.Check(s.LongestAnswer(at(30)), qt.Equals, time.Duration(0))
	c.Check(s.AnswersAfter(at(6), at(-1)), qt.Equals, 3)
	c.Check(s.AnswersAfter(at(6), at(1)), qt.Equals, 1)
	c.Check(s.AnswersAfter(at(6), at(5.5)), qt.Equals, 0)
	s.RecordAnswer(at(16.3), 100*time.Millisecond, 0)
	c.Check(s.AnswersAfter(at(16.3), at(0)), qt.Equals, 1)
}
