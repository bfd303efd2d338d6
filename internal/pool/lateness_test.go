package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const latenessTarget = 80 * time.Millisecond

// TestLatenessLimit lets attempts end one after the other, each started when the one
// before ended, and checks the limit of up to 8 attempts.
func TestLatenessLimit(t *testing.T) {
	const late, slow, fast = 100 * time.Millisecond, 50 * time.Millisecond, 5 * time.Millisecond
	tests := map[string]struct {
		elapsed []time.Duration
		running int
		minimum float64
		want    int
	}{
		"on-time":                     {[]time.Duration{fast, slow, fast}, 7, 1, 8},
		"one-late-attempt":            {[]time.Duration{fast, late, fast}, 7, 1, 8},
		"two-late-attempts":           {[]time.Duration{late, late}, 7, 1, 5},
		"two-late-attempts-of-few":    {[]time.Duration{late, late}, 1, 1, 1},
		"many-late-attempts":          {[]time.Duration{late, late, late, late, late, late, late}, 7, 1, 1},
		"share-of-slots":              {[]time.Duration{late, late, late, late, late, late, late}, 7, 3, 3},
		"no-room-for-one-more":        {[]time.Duration{late, late, late, late, late, late, late, slow, slow, slow, slow}, 7, 1, 1},
		"room-for-one-more":           {[]time.Duration{late, late, late, late, late, late, late, fast, fast, fast, fast}, 7, 1, 2},
		"recovered-after-many-faster": {append([]time.Duration{late, late}, repeat(fast, 20)...), 7, 1, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var l latenessLimit
			for _, e := range test.elapsed {
				startedAt := now.Add(time.Microsecond)
				now = startedAt.Add(e)
				l.record(now, startedAt, latenessTarget, test.running, test.minimum, 8)
			}
			qt.New(t).Check(l.apply(now, test.minimum, 8), qt.Equals, test.want)
		})
	}
}

// TestLatenessLimitAfterPause lets several attempts end late at once, as after a pause of
// the upstream. They must not limit it.
func TestLatenessLimitAfterPause(t *testing.T) {
	c := qt.New(t)
	startedAt := time.Unix(1000, 0)
	now := startedAt.Add(100 * time.Millisecond)
	var l latenessLimit
	for range 5 {
		l.record(now, startedAt, latenessTarget, 4, 1, 8)
	}
	c.Check(l.apply(now, 1, 8), qt.Equals, 8)
}

// TestLatenessLimitExpires checks that an upstream that gets no attempts for a while is
// tried again without a limit.
func TestLatenessLimitExpires(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var l latenessLimit
	for range 5 {
		startedAt := now.Add(time.Microsecond)
		now = startedAt.Add(100 * time.Millisecond)
		l.record(now, startedAt, latenessTarget, 4, 1, 8)
	}
	c.Check(l.apply(now, 1, 8), qt.Equals, 1)
	c.Check(l.apply(now.Add(2*estimateHoldPeriod), 1, 8), qt.Equals, 8)
}

func repeat(d time.Duration, count int) []time.Duration {
	list := make([]time.Duration, count)
	for i := range list {
		list[i] = d
	}
	return list
}

// TestLatenessLimitIsBounded plays attempts of any duration, targets of zero and hours, and shares
// of a slot. A limit stays within its bounds, and after the longest pause at least one attempt
// may run: otherwise a host would never learn that an upstream has room again.
func TestLatenessLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minimum := rapid.Float64Range(minPace, 4).Draw(t, "minimum")
		maximum := rapid.IntRange(1, 8).Draw(t, "maximum")
		target := time.Duration(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "target"))
		now := time.Unix(1000, 0)
		var l latenessLimit
		for range rapid.IntRange(1, 30).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			elapsed := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "elapsed"))
			l.record(now, now.Add(-elapsed), target, rapid.IntRange(0, maximum).Draw(t, "running"), minimum, maximum)
			if n := l.apply(now, minimum, maximum); n < 0 || n > maximum {
				t.Fatalf("limit %d of at most %d", n, maximum)
			}
			if n := l.apply(now.Add(maxPacePause), minimum, maximum); n < 1 {
				t.Fatalf("no attempt after %s at a limit of %v", maxPacePause, l.limit)
			}
		}
	})
}
