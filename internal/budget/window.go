package budget

import "time"

const (
	// windowSlots is the number of slots into which the duration of a Window is
	// divided. A Window keeps windowSlots+1 slots, because the window still includes a
	// part of the oldest one, which counts in full.
	windowSlots = 20
)

// A Window bounds the extra attempts in a sliding window by a ratio of the requests
// in the same window plus a slack. Extra attempts that are not used stay available
// for the rest of the window, in case many attempts fail at once. A Window is not
// safe for concurrent use.
type Window struct {
	// ratio is the number of extra attempts allowed for each request, slack the
	// number allowed in addition in any window.
	ratio, slack float64
	slotDuration time.Duration
	// createdAt is when the Window was created. From then on the slack grows from zero
	// to its full value over one window, so that a host that restarts does not get the
	// slack twice within one window.
	createdAt time.Time
	// currentSlot is the number of the newest slot.
	currentSlot int64
	requests    [windowSlots + 1]int
	extras      [windowSlots + 1]int
	// requestSum and extraSum are the sums over all slots.
	requestSum, extraSum int
}

// NewWindow returns a Window of the given duration without any request.
func NewWindow(now time.Time, duration time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, slotDuration: duration / windowSlots, createdAt: now}
}

// RemainingRatio returns the number of extra attempts that remain in the window,
// divided by the number allowed in it: 0 to 1. It returns zero if less than one
// attempt remains.
func (w *Window) RemainingRatio(now time.Time) float64 {
	w.advance(now)
	maxExtras := w.maxExtras(now)
	if maxExtras < float64(w.extraSum+1) {
		return 0
	}
	return 1 - float64(w.extraSum)/maxExtras
}

// Refund removes an extra attempt that was counted at spentAt but not made. It has no
// effect if no extra attempt of that slot is counted any more.
func (w *Window) Refund(now, spentAt time.Time) {
	w.advance(now)
	slot := int64(spentAt.Sub(w.createdAt) / w.slotDuration)
	if slot < 0 || slot > w.currentSlot || w.currentSlot-slot >= int64(len(w.extras)) {
		return
	}
	if i := w.index(slot); w.extras[i] > 0 {
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

// Spend counts an extra attempt and reports true, unless more than maxExtras would
// then be counted in the window.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	if float64(w.extraSum+1) > w.maxExtras(now) {
		return false
	}
	w.extras[w.index(w.currentSlot)]++
	w.extraSum++
	return true
}

// maxExtras returns how many extra attempts are allowed in the window that ends now.
func (w *Window) maxExtras(now time.Time) float64 {
	duration := w.slotDuration * windowSlots
	slackRatio := min(1, max(0, float64(now.Sub(w.createdAt))/float64(duration)))
	return w.ratio*float64(w.requestSum) + w.slack*slackRatio
}

func (w *Window) index(slot int64) int {
	return int(slot % int64(len(w.extras)))
}

// advance makes the slot that includes now the current one and clears the slots that
// are no longer kept.
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
