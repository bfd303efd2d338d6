package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSharesProtectOthers has keys send at random rates, some of which want an extra attempt
// for each request, over a Window. It guards against keys that use what others have earned:
// one that wants no more than its ratio must get nearly all of it.
func TestSharesProtectOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, modestRatio, keys, steps = 0.2, 0.1, 5, 6000
		w, s := NewWindow(start, windowDuration, ratio, 0), NewShares[int](windowDuration)
		greedy := rapid.SliceOfN(rapid.Bool(), keys, keys).Draw(t, "greedy")
		perStep := rapid.SliceOfN(rapid.IntRange(1, 20), keys, keys).Draw(t, "requests in a step")
		var wanted, got [keys]int
		for n := range steps {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			for k := range keys {
				for i := range perStep[k] {
					w.RecordRequest(now)
					s.RecordRequests(now, k, 1)
					if !greedy[k] && (n*perStep[k]+i)%int(1/modestRatio) != 0 {
						continue
					}
					isCounted := n > steps/2
					if isCounted {
						wanted[k]++
					}
					if !s.MaySpend(now, k, ratio, w.RemainingRatio(now)) || !w.Spend(now) {
						continue
					}
					s.RecordExtra(now, k, 1)
					if isCounted {
						got[k]++
					}
				}
			}
		}
		for k := range keys {
			if !greedy[k] && float64(got[k]) < 0.95*float64(wanted[k]) {
				t.Fatalf("key %d got %d of %d, greedy %v, requests %v", k, got[k], wanted[k], greedy, perStep)
			}
		}
	})
}

// TestSharesAreBounded checks that keys are forgotten, and that more than are counted may use
// only what all may.
func TestSharesAreBounded(t *testing.T) {
	c := qt.New(t)
	s := NewShares[int](windowDuration)
	for k := range 2 * maxSharers {
		s.RecordRequests(start, k, 100)
	}
	c.Check(len(s.byKey), qt.Equals, maxSharers)
	c.Check(s.MaySpend(start, 0, 0.2, 0.1), qt.IsTrue)
	c.Check(s.MaySpend(start, 2*maxSharers-1, 0.2, 0.1), qt.IsFalse)
	c.Check(s.MaySpend(start, 2*maxSharers-1, 0.2, 0.9), qt.IsTrue)
	s.RecordRequests(start.Add(20*windowDuration), 1, 1)
	c.Check(len(s.byKey), qt.Equals, 1)
}
