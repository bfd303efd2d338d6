package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestPace lets attempts end one after the other, each started when the one before ended, and
// checks the limits of up to 8 attempts. It guards against limits at a load that upstreams
// can run, and against attempts that leave no room to others while they wait at upstreams.
func TestPace(t *testing.T) {
	const late, fast = 120 * time.Millisecond, 10 * time.Millisecond
	tests := map[string]struct {
		elapsed              []time.Duration
		all, leaveRoom       int
		isLimited, isYielded bool
	}{
		"on-time":            {repeat(fast, 20), 8, 8, false, false},
		"some-late":          {[]time.Duration{fast, late, late, fast, late, fast, late}, 8, 8, false, false},
		"most-late":          {append(repeat(fast, 4), repeat(late, 3)...), 8, 2, false, true},
		"late-for-long":      {append(repeat(fast, 4), repeat(late, 20)...), 2, 0, true, true},
		"recovered":          {append(append(repeat(fast, 4), repeat(late, 20)...), repeat(fast, 300)...), 8, 8, false, false},
		"long-but-not-in-it": {repeat(55*time.Millisecond, 20), 8, 8, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			var p pace
			for _, e := range test.elapsed {
				startedAt := now.Add(time.Microsecond)
				now = startedAt.Add(e)
				p.record(now, startedAt, latenessTarget, 7, 2, 8)
			}
			c.Check(p.apply(now, false, 8), qt.Equals, test.all)
			c.Check(p.apply(now, true, 8), qt.Equals, test.leaveRoom)
			c.Check(p.limit > 0, qt.Equals, test.isLimited)
			c.Check(p.yieldingLimit > 0, qt.Equals, test.isYielded)
		})
	}
}

// TestPaceNeverStops plays random attempts. Whatever they took, an upstream must get an
// attempt within maxPacePause of the last one, and limits must not exceed the maximum.
func TestPaceNeverStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var p pace
		slotShare := rapid.Float64Range(0, 4).Draw(t, "slot share")
		maximum := rapid.IntRange(1, 8).Draw(t, "maximum")
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			elapsed := time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			p.record(now, now.Add(-elapsed), latenessTarget, rapid.IntRange(0, maximum).Draw(t, "running"), slotShare, maximum)
			for _, leavesRoom := range []bool{false, true} {
				if n := p.apply(now, leavesRoom, maximum); n < 0 || n > maximum {
					t.Fatalf("%d attempts", n)
				}
				if p.apply(now.Add(maxPacePause), leavesRoom, maximum) < 1 {
					t.Fatalf("no attempt after a pause: %+v", p)
				}
			}
		}
	})
}
