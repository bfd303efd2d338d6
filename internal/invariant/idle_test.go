package invariant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleCheck guards against losses that go unnoticed, and against reports of what requests hold
// that are in flight, have just ended, or have begun during the check.
func TestIdleCheck(t *testing.T) {
	const period = 5 * time.Second
	busy := Activity{Begun: 1, InFlight: 1}
	idle := Activity{Begun: 1}
	for _, test := range []struct {
		name string
		// activities are the results of Activity, gaps the times before each run in seconds.
		activities []Activity
		held       []int
		gap        time.Duration
		want       []string
	}{
		{"held by a request", []Activity{busy, busy, busy, busy, busy, busy, busy, busy}, []int{1}, time.Second, nil},
		{"given back in time", []Activity{busy, idle, idle, idle, idle, idle, idle, idle}, []int{1, 1, 1, 1, 1, 0}, time.Second, nil},
		{"lost", []Activity{busy, idle, idle, idle, idle, idle, idle, idle, idle}, []int{2}, time.Second, []string{"2 turns held after 5s without a request (x)"}},
		{"more lost", []Activity{idle, idle, idle, idle, idle, idle, idle, idle}, []int{1, 1, 1, 1, 1, 1, 1, 3}, time.Second, []string{"1 turns held after 5s without a request (x)", "3 turns held after 7s without a request (x)"}},
		{"requests at every moment but that of the check", []Activity{{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}, {6, 0}, {7, 0}}, []int{1}, time.Second, nil},
		{"paused", []Activity{busy, idle, idle, idle}, []int{1}, time.Minute, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now, n := time.Unix(1_000_000, 0), 0
			r := &Recorder{}
			check := &IdleCheck{
				Recorder: r, Period: period, MaxGap: 3 * time.Second, Activity: func() Activity { return test.activities[n] },
				Holdings: func() []Holding {
					return []Holding{{What: "turns", Count: test.held[min(n, len(test.held)-1)], Detail: "x"}, {What: "places"}}
				},
			}
			for n = range test.activities {
				check.Run(now)
				now = now.Add(test.gap)
			}
			var got []string
			for _, v := range r.Violations() {
				c.Check(v.Rule, qt.Equals, IdleHoldsNothing)
				got = append(got, v.Detail)
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// TestIdleCheckIgnoresRequestsThatBeginMeanwhile guards against reports of what a request holds that
// has begun while the holdings were counted.
func TestIdleCheckIgnoresRequestsThatBeginMeanwhile(t *testing.T) {
	c := qt.New(t)
	now, activity := time.Unix(1_000_000, 0), Activity{}
	r := &Recorder{}
	check := &IdleCheck{Recorder: r, MaxGap: 3 * time.Second, Activity: func() Activity { return activity }, Holdings: func() []Holding {
		activity.Begun++
		return []Holding{{What: "turns", Count: 1}}
	}}
	for range 3 {
		check.Run(now)
		now = now.Add(time.Second)
	}
	c.Check(r.Count(), qt.Equals, 0)
}
