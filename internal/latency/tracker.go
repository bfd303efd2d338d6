// Package latency estimates how long work takes from what was seen lately.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long one of the two histograms is filled.
	window   = 5 * time.Second
	shortest = int64(1)
	longest  = int64(60 * time.Second / time.Microsecond)
	digits   = 2
	// refreshPeriod is how old quantiles may be.
	refreshPeriod = 100 * time.Millisecond
	// earlyQuantile is the share of attempts faster than any hope.
	earlyQuantile = 0.1
	meanWeight    = 0.1
	// minSamples is how many samples a quantile needs.
	minSamples = 50
	// initialAverage is assumed until something was seen.
	initialAverage = 10 * time.Millisecond
)

// A Tracker estimates how long attempts run, from the last two windows. It is
// not safe for concurrent use.
type Tracker struct {
	current, former *hdrhistogram.Histogram
	// turned is when the current window began.
	turned time.Time
	// mean is a moving average in microseconds.
	mean float64
	// late, early and median are quantiles as of refreshed; zero if unknown.
	late, early, median time.Duration
	refreshed           time.Time
	// lateQuantile is the share of attempts that are not late, 0 to 1.
	lateQuantile float64
}

// NewTracker returns a Tracker without samples.
func NewTracker(lateQuantile float64) *Tracker {
	return &Tracker{
		lateQuantile: lateQuantile,
		current:      hdrhistogram.New(shortest, longest, digits),
		former:       hdrhistogram.New(shortest, longest, digits),
		mean:         float64(initialAverage.Microseconds()),
	}
}

// Add takes one sample.
func (t *Tracker) Add(now time.Time, d time.Duration) {
	if now.Sub(t.turned) > window {
		t.current, t.former = t.former, t.current
		t.current.Reset()
		t.turned = now
	}
	micros := min(max(d.Microseconds(), shortest), longest)
	_ = t.current.RecordValue(micros)
	t.mean += meanWeight * (float64(micros) - t.mean)
	if now.Sub(t.refreshed) >= refreshPeriod {
		t.refresh(now)
	}
}

// Average returns the moving average.
func (t *Tracker) Average() time.Duration {
	return time.Duration(t.mean) * time.Microsecond
}

// LowQuantile returns the time that few attempts stay below; zero if unknown.
func (t *Tracker) LowQuantile() time.Duration { return t.early }

// HighQuantile returns the late quantile; zero if unknown.
func (t *Tracker) HighQuantile() time.Duration { return t.late }

// Median returns the median; zero if unknown.
func (t *Tracker) Median() time.Duration { return t.median }

// Quantile returns a quantile between 0 and 1; zero if unknown.
func (t *Tracker) Quantile(q float64) time.Duration {
	h := t.source()
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond
}

// refresh computes the quantiles anew if there are enough samples.
func (t *Tracker) refresh(now time.Time) {
	if t.source() == nil {
		return
	}
	t.refreshed = now
	t.late = t.Quantile(t.lateQuantile)
	t.early = t.Quantile(earlyQuantile)
	t.median = t.Quantile(0.5)
}

// source returns the newest histogram with enough samples, or nil.
func (t *Tracker) source() *hdrhistogram.Histogram {
	if t.current.TotalCount() >= minSamples {
		return t.current
	}
	if t.former.TotalCount() >= minSamples {
		return t.former
	}
	return nil
}
