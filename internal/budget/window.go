package budget

import "time"

const (
	// windowSlots is how many slots a Window is counted in; a slot that is partly
	// over still counts whole.
	windowSlots = 20
)

// A Window bounds extra attempts by the requests of the same sliding window: a
// ratio of them, and a slack. What was not needed early in a window is there
// when much fails at once. It is not safe for concurrent use.
type Window struct {
	// ratio is the extra attempts for each request, slack those besides.
	ratio, slack float64
	// slot is the length of a slot.
	slot time.Duration
	// first is when the window was made; the slack grows from nothing over one
	// length, so that a host that restarts does not get it twice.
	first time.Time
	// current is the number of the newest slot.
	current  int64
	requests [windowSlots + 1]int
	extras   [windowSlots + 1]int
	// requestSum and extraSum are the sums over all slots.
	requestSum, extraSum int
}

// NewWindow returns a Window of a length without any request.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, slot: length / windowSlots, first: now}
}

// RemainingRatio returns the share of the allowed extra attempts that is left, 0 to 1.
func (w *Window) RemainingRatio(now time.Time) float64 {
	w.turn(now)
	allowed := w.allowed(now)
	if allowed < float64(w.extraSum+1) {
		return 0
	}
	return 1 - float64(w.extraSum)/allowed
}

// Refund takes back an extra attempt that was not made after all.
func (w *Window) Refund(now time.Time) {
	w.turn(now)
	if i := w.index(w.current); w.extras[i] > 0 {
		w.extras[i]--
		w.extraSum--
	}
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.turn(now)
	w.requests[w.index(w.current)]++
	w.requestSum++
}

// SetLimits changes the ratio and the slack.
func (w *Window) SetLimits(ratio, slack float64) {
	w.ratio, w.slack = ratio, slack
}

// Spend counts an extra attempt if it is allowed, and reports whether it is.
func (w *Window) Spend(now time.Time) bool {
	w.turn(now)
	if float64(w.extraSum+1) > w.allowed(now) {
		return false
	}
	w.extras[w.index(w.current)]++
	w.extraSum++
	return true
}

func (w *Window) allowed(now time.Time) float64 {
	length := w.slot * windowSlots
	grown := min(1, max(0, float64(now.Sub(w.first))/float64(length)))
	return w.ratio*float64(w.requestSum) + w.slack*grown
}

func (w *Window) index(slot int64) int {
	return int(slot % int64(len(w.extras)))
}

// turn empties the slots that are out of the window.
func (w *Window) turn(now time.Time) {
	slot := int64(now.Sub(w.first) / w.slot)
	if slot-w.current > int64(len(w.extras)) {
		w.requests, w.extras = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		w.requestSum, w.extraSum, w.current = 0, 0, slot
	}
	for w.current < slot {
		w.current++
		i := w.index(w.current)
		w.requestSum -= w.requests[i]
		w.extraSum -= w.extras[i]
		w.requests[i], w.extras[i] = 0, 0
	}
}
