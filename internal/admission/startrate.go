package admission

import (
	"math"
	"time"
)

// A startRate is a moving average of the work started per second while requests waited.
type startRate struct {
	at time.Time
	// work is the work started in elapsed seconds of waiting; both lose weight with age.
	work, elapsed float64
}

// advance counts the time since the last event if requests waited in it.
func (r *startRate) advance(now time.Time, waited bool) {
	seconds := now.Sub(r.at).Seconds()
	if seconds <= 0 {
		return
	}
	r.at = now
	weight := math.Exp(-seconds / rateWindow.Seconds())
	r.work *= weight
	r.elapsed *= weight
	if waited {
		r.elapsed += seconds
	}
}

func (r *startRate) add(work float64) { r.work += work }

// duration returns how long it takes until an amount of work has started.
func (r *startRate) duration(work float64) (d time.Duration, isKnown bool) {
	if r.elapsed < minRateTime.Seconds() || r.work <= 0 {
		return 0, false
	}
	return time.Duration(min(work/r.work*r.elapsed, 60) * float64(time.Second)), true
}
