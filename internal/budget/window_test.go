package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const windowDuration = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestWindowKeepsUnusedAttempts checks that the extra attempts of nine seconds, none
// of them used, can be spent all at once, that a refunded one can be spent again, and
// that the requests are no longer counted after an hour.
func TestWindowKeepsUnusedAttempts(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(start, windowDuration, 0.2, 0)
	for i := range 900 {
		w.RecordRequest(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	spent := 0
	for w.Spend(start.Add(9 * time.Second)) {
		spent++
	}
	c.Check(spent, qt.Equals, 180)
	c.Check(w.RemainingRatio(start.Add(9*time.Second)), qt.Equals, 0.0)
	w.Refund(start.Add(9*time.Second), start.Add(9*time.Second))
	c.Check(w.Spend(start.Add(9*time.Second)), qt.IsTrue)
	c.Check(w.Spend(start.Add(time.Hour)), qt.IsFalse, qt.Commentf("all requests are out of the window"))
}

// TestWindowSlackGrows checks that no slack is available at the start, one of four
// extra attempts after a quarter of the window, and more after the whole window.
func TestWindowSlackGrows(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(start, windowDuration, 0.2, 4)
	c.Check(w.Spend(start), qt.IsFalse)
	c.Check(w.Spend(start.Add(windowDuration/4)), qt.IsTrue)
	c.Check(w.Spend(start.Add(windowDuration/4)), qt.IsFalse)
	c.Check(w.Spend(start.Add(windowDuration)), qt.IsTrue)
}

// TestWindowBound checks for windows of a random run that the extra attempts do not
// exceed the bound of ratio and slack. The bound includes the requests of one more
// slot, which is 50 steps, since the oldest slot counts in full.
func TestWindowBound(t *testing.T) {
	c := qt.New(t)
	const ratio, slack, steps = 0.2, 5.0, 4000
	random := rand.New(rand.NewPCG(1, 1))
	w := NewWindow(start, windowDuration, ratio, slack)
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
	stepsPerWindow := int(windowDuration / step)
	for to := stepsPerWindow; to < steps; to += 7 {
		if extras[to-1] == 0 {
			continue
		}
		allowed := ratio*float64(sum(requests, to-stepsPerWindow-50, to)) + slack
		c.Assert(float64(sum(extras, to-stepsPerWindow, to)) <= allowed, qt.IsTrue, qt.Commentf("window ending at step %d", to))
	}
}

// TestRefundCountsForTheTimeOfTheSpending guards against extra attempts that are lost to the budget
// when it is found out later that they reached no upstream.
func TestRefundCountsForTheTimeOfTheSpending(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(start, windowDuration, 0.2, 0)
	for range 10 {
		w.RecordRequest(start)
	}
	c.Check(w.Spend(start), qt.IsTrue)
	c.Check(w.Spend(start.Add(windowDuration/4)), qt.IsTrue)
	c.Check(w.Spend(start.Add(windowDuration/2)), qt.IsFalse)
	w.Refund(start.Add(windowDuration/2), start)
	c.Check(w.Spend(start.Add(windowDuration/2)), qt.IsTrue)
	// Nothing that was not spent is refunded, nor twice, nor after the window.
	w.Refund(start.Add(windowDuration/2), start)
	w.Refund(start.Add(windowDuration/2), start.Add(-time.Hour))
	w.Refund(start.Add(windowDuration/2), start.Add(time.Hour))
	c.Check(w.Spend(start.Add(windowDuration/2)), qt.IsFalse)
}
