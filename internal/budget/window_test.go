package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const length = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestWindowKeepsUnusedAttempts checks that the extra attempts that were not used
// for nine seconds can all be spent at once, when many attempts fail, and that the
// requests are no longer counted after an hour.
func TestWindowKeepsUnusedAttempts(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(start, length, 0.2, 0)
	for i := range 900 {
		w.RecordRequest(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	spent := 0
	for w.Spend(start.Add(9 * time.Second)) {
		spent++
	}
	c.Check(spent, qt.Equals, 180)
	c.Check(w.RemainingRatio(start.Add(9*time.Second)), qt.Equals, 0.0)
	w.Refund(start.Add(9 * time.Second))
	c.Check(w.Spend(start.Add(9*time.Second)), qt.IsTrue)
	c.Check(w.Spend(start.Add(time.Hour)), qt.IsFalse, qt.Commentf("all requests are out of the window"))
}

// TestWindowSlackGrows checks that a host has no slack right after its start and
// gets all of it within one window.
func TestWindowSlackGrows(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(start, length, 0.2, 4)
	c.Check(w.Spend(start), qt.IsFalse)
	c.Check(w.Spend(start.Add(length/4)), qt.IsTrue)
	c.Check(w.Spend(start.Add(length/4)), qt.IsFalse)
	c.Check(w.Spend(start.Add(length)), qt.IsTrue)
}

// TestWindowBound checks windows of a random run against the bound. The requests of
// one more slot, 50 steps, count as well, since the oldest slot counts in full.
func TestWindowBound(t *testing.T) {
	c := qt.New(t)
	const ratio, slack, steps = 0.2, 5.0, 4000
	random := rand.New(rand.NewPCG(1, 1))
	w := NewWindow(start, length, ratio, slack)
	requests, extras := make([]int, steps), make([]int, steps)
	step := 10 * time.Millisecond
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for range random.IntN(3) {
			w.RecordRequest(now)
			requests[i]++
		}
		for random.IntN(40) > 0 && w.Spend(now) {
			extras[i]++
		}
	}
	sum := func(list []int, from, to int) (n int) {
		for _, v := range list[max(0, from):to] {
			n += v
		}
		return n
	}
	perWindow := int(length / step)
	for to := perWindow; to < steps; to += 7 {
		if extras[to-1] == 0 {
			continue
		}
		allowed := ratio*float64(sum(requests, to-perWindow-50, to)) + slack
		c.Assert(float64(sum(extras, to-perWindow, to)) <= allowed, qt.IsTrue, qt.Commentf("window ending at step %d", to))
	}
}
