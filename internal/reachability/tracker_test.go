package reachability

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time some milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// failedCheck has a tracker check its links without reaching an upstream.
func failedCheck(t *Tracker, millis int) bool {
	return t.BeginCheck(at(millis)) && t.EndCheck(at(millis+100), Check{StartedAt: at(millis)})
}

// reachedCheck has a tracker check its links and reach an upstream.
func reachedCheck(t *Tracker, millis int) bool {
	if !t.BeginCheck(at(millis)) {
		return false
	}
	t.RecordConnected(at(millis + 5))
	return t.EndCheck(at(millis+6), Check{StartedAt: at(millis), Reached: true})
}

// TestHostThatHearsNothingIsPartitioned plays what a host sees of a cut and of upstreams that
// fail.
func TestHostThatHearsNothingIsPartitioned(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(*Tracker)
		want bool
	}{
		{"silence of all upstreams", func(t *Tracker) {
			t.RecordSilence(1, at(1000))
			failedCheck(t, 1050)
		}, true},
		{"refused connections while open ones live on", func(t *Tracker) {
			t.RecordDialFailure(at(1000), 1)
			t.RecordDialFailure(at(1010), 2)
			t.BeginCheck(at(1020))
			t.RecordResponse(at(1050), 3, at(1030))
			t.EndCheck(at(1120), Check{StartedAt: at(1020)})
		}, true},
		{"silence of one upstream", func(t *Tracker) {
			t.RecordResponse(at(1010), 2, at(1000))
			t.RecordSilence(1, at(1000))
			failedCheck(t, 1050)
		}, false},
		{"one refused connection", func(t *Tracker) {
			t.RecordDialFailure(at(1000), 1)
			failedCheck(t, 1050)
		}, false},
		{"refused connections between others", func(t *Tracker) {
			t.RecordDialFailure(at(1000), 1)
			t.RecordConnected(at(1005))
			t.RecordDialFailure(at(1010), 2)
			failedCheck(t, 1050)
		}, false},
		{"silence until a check", func(t *Tracker) {
			t.RecordSilence(1, at(1000))
			reachedCheck(t, 1050)
		}, false},
		{"a response during a check", func(t *Tracker) {
			t.RecordSilence(1, at(1000))
			t.BeginCheck(at(1050))
			t.RecordResponse(at(1060), 2, at(1055))
			t.EndCheck(at(1150), Check{StartedAt: at(1050)})
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tracker := NewTracker(1)
			tracker.RecordResponse(at(0), 3, at(-5))
			test.play(tracker)
			c.Check(tracker.IsPartitioned(), qt.Equals, test.want)
			c.Check(tracker.AllowsDial(at(1200), 4), qt.Equals, !test.want)
		})
	}
}

// TestConnectionsThatLiveOnAreUsed checks which open connections a partitioned host uses.
func TestConnectionsThatLiveOnAreUsed(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker(1)
	tracker.RecordDialFailure(at(1000), 1)
	tracker.RecordDialFailure(at(1001), 2)
	failedCheck(tracker, 1010)
	c.Assert(tracker.IsPartitioned(), qt.IsTrue)
	c.Check(tracker.AllowsConnection(5), qt.IsTrue, qt.Commentf("nothing says that open connections do not work"))
	tracker.RecordResponse(at(1200), 6, at(1190))
	tracker.RecordSilence(5, at(1210))
	c.Check(tracker.AllowsConnection(5), qt.IsFalse, qt.Commentf("silent"))
	c.Check(tracker.AllowsConnection(7), qt.IsFalse, qt.Commentf("not used since"))
	c.Check(tracker.AllowsConnection(6), qt.IsTrue, qt.Commentf("has worked since"))
	tracker.RecordResponse(at(1300), 6, at(1290))
	c.Check(tracker.AllowsConnection(7), qt.IsTrue, qt.Commentf("others respond again"))
}

// TestReturnIsSpreadAndSlowerAfterRelapses checks when a host uses its own connections again.
func TestReturnIsSpreadAndSlowerAfterRelapses(t *testing.T) {
	c := qt.New(t)
	tracker := NewTracker(1)
	millis := 1000
	var proofs []int
	for range 4 {
		tracker.RecordSilence(1, at(millis))
		c.Assert(failedCheck(tracker, millis), qt.IsTrue)
		n := 0
		for tracker.IsPartitioned() {
			millis += 250
			reachedCheck(tracker, millis)
			n++
		}
		proofs = append(proofs, n)
		millis += 1000
	}
	c.Check(proofs, qt.DeepEquals, []int{2, 4, 8, 16})
	returned := millis - 1000 + 6
	allowed := 0
	for u := range uint64(100) {
		if tracker.AllowsDial(at(returned+int(returnSpread/time.Millisecond)/2), u) {
			allowed++
		}
	}
	c.Check(allowed > 30 && allowed < 70, qt.IsTrue, qt.Commentf("%d of 100 after half of the time", allowed))
	c.Check(tracker.AllowsDial(at(returned+int(returnSpread/time.Millisecond)), 1), qt.IsTrue)
}
