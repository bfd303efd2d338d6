package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOneTestRunAtATime checks that a second test run must wait until the first one has
// ended, with any result, or has taken too long.
func TestOneTestRunAtATime(t *testing.T) {
	c := qt.New(t)
	for _, result := range []TestResult{TestAnswered, TestNotRun, TestUnanswered} {
		runs := NewTestRuns()
		c.Check(runs.Begin(start, 7), qt.Equals, time.Duration(0))
		c.Check(runs.Begin(start.Add(time.Second), 7), qt.Equals, maxTestRunDuration-time.Second)
		c.Check(runs.Begin(start, 8), qt.Equals, time.Duration(0), qt.Commentf("another request"))
		runs.End(start.Add(time.Second), 7, result)
		c.Check(runs.Begin(start.Add(time.Second), 7), qt.Equals, time.Duration(0), qt.Commentf("after %v", result))
	}
}

// TestUnansweredTestRunsArePaused checks that after two test runs without an answer the
// next ones wait longer each time, whether their end was reported or not, and that an
// answer ends this.
func TestUnansweredTestRunsArePaused(t *testing.T) {
	c := qt.New(t)
	runs := NewTestRuns()
	now := start
	c.Check(runs.Begin(now, 7), qt.Equals, time.Duration(0))
	runs.End(now, 7, TestUnanswered)
	c.Check(runs.Begin(now, 7), qt.Equals, time.Duration(0))
	now = now.Add(maxTestRunDuration)
	for i := range 12 {
		pause := min(quarantinePeriod, testRunPause<<min(i, 10))
		c.Check(runs.Begin(now, 7), qt.Equals, pause, qt.Commentf("pause %d", i))
		now = now.Add(pause)
		c.Check(runs.Begin(now, 7), qt.Equals, time.Duration(0))
		runs.End(now, 7, TestUnanswered)
	}
	now = now.Add(quarantinePeriod)
	c.Check(runs.Begin(now, 7), qt.Equals, time.Duration(0))
	runs.End(now, 7, TestAnswered)
	c.Check(runs.Begin(now, 7), qt.Equals, time.Duration(0))
}
