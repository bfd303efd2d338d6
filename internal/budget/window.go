package budget

import "time"

const (
	// windowSlots is the number of slots into which the length of a Window is divided.
	// One slot more is kept: the oldest is partly out of the window, but still counts
	// in full.
	windowSlots = 20
)

// A Window bounds the extra attempts in a sliding window by a ratio of the requests
// in the same window plus a slack. Extra attempts not used early in a window remain
// available when many attempts fail at once. It is not safe for concurrent use.
type Window struct {
	// ratio is the number of extra attempts allowed for each request, slack the
	// number allowed in addition.
	ratio, slack float64
	slotDuration time.Duration
	// createdAt is when the Window was created; the slack grows from zero over one
	// window, so that a host that restarts does not get it twice.
	createdAt time.Time
	// currentSlot is the number of the newest slot.
	currentSlot int64
	requests    [windowSlots + 1]int
	extras      [windowSlots + 1]int
	// requestSum and extraSum are the sums over all slots.
	requestSum, extraSum int
}

// NewWindow returns a Window of the given length without any request.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, slotDuration: length / windowSlots, createdAt: now}
}

// RemainingRatio returns the ratio of the allowed extra attempts that remains, 0 to
// 1; it is zero if less than one attempt remains.
func (w *Window) RemainingRatio(now time.Time) float64 {
	w.advance(now)
	allowed := w.allowed(now)
	if allowed < float64(w.extraSum+1) {
		return 0
	}
	return 1 - float64(w.extraSum)/allowed
}

// Refund removes an extra attempt that was counted but not made. It has no effect if
// the current slot has no extra attempt.
func (w *Window) Refund(now time.Time) {
	w.advance(now)
	if i := w.index(w.currentSlot); w.extras[i] > 0 {
		w.extras[i]--
		w.extraSum--
	}
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.index(w.currentSlot)]++
	w.requestSum++
}

// SetLimits changes the ratio and the slack.
func (w *Window) SetLimits(ratio, slack float64) {
	w.ratio, w.slack = ratio, slack
}

// Spend counts an extra attempt if one is allowed, and reports whether it is.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	if float64(w.extraSum+1) > w.allowed(now) {
		return false
	}
	w.extras[w.index(w.currentSlot)]++
	w.extraSum++
	return true
}

// allowed returns how many extra attempts the window may have.
func (w *Window) allowed(now time.Time) float64 {
	length := w.slotDuration * windowSlots
	slackRatio := min(1, max(0, float64(now.Sub(w.createdAt))/float64(length)))
	return w.ratio*float64(w.requestSum) + w.slack*slackRatio
}

func (w *Window) index(slot int64) int {
	return int(slot % int64(len(w.extras)))
}

// advance makes the slot of now the current one and clears the slots that have left
// the window.
func (w *Window) advance(now time.Time) {
	slot := int64(now.Sub(w.createdAt) / w.slotDuration)
	if slot-w.currentSlot > int64(len(w.extras)) {
		w.requests, w.extras = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		w.requestSum, w.extraSum, w.currentSlot = 0, 0, slot
	}
	for w.currentSlot < slot {
		w.currentSlot++
		i := w.index(w.currentSlot)
		w.requestSum -= w.requests[i]
		w.extraSum -= w.extras[i]
		w.requests[i], w.extras[i] = 0, 0
	}
}
