package shutdown

import "time"

const (
	// maxTickDelay is how late a periodic task may run before the process counts as paused.
	maxTickDelay = 500 * time.Millisecond
	// wakePeriod is for how long after a pause a signal may have been sent during it.
	wakePeriod = 200 * time.Millisecond
)

// A PauseDetector finds out from a periodic task whether the process was paused.
type PauseDetector struct {
	// interval is the period of the task, lastTick when it last ran.
	interval time.Duration
	lastTick time.Time
	// pausedFrom is the last tick before the last pause, pausedUntil the first one after it.
	pausedFrom, pausedUntil time.Time
}

// NewPauseDetector returns the detector of a process that was not paused by now.
func NewPauseDetector(now time.Time, interval time.Duration) PauseDetector {
	return PauseDetector{interval: interval, lastTick: now}
}

// Tick records that the task runs.
func (d *PauseDetector) Tick(now time.Time) {
	if d.isLate(now) {
		d.pausedFrom, d.pausedUntil = d.lastTick, now
	}
	d.lastTick = now
}

// SentAt returns since when a signal that is handled at now may have been waiting: a process that
// was paused handles it late, just before or after its overdue task.
func (d *PauseDetector) SentAt(now time.Time) time.Time {
	switch {
	case d.isLate(now):
		return d.lastTick
	case !d.pausedUntil.IsZero() && now.Sub(d.pausedUntil) < wakePeriod:
		return d.pausedFrom
	default:
		return now
	}
}

func (d *PauseDetector) isLate(now time.Time) bool {
	return now.Sub(d.lastTick) > d.interval+maxTickDelay
}
