// Package latency estimates the duration of attempts from recent samples.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowPeriod is the minimum time for which samples are added to one histogram.
	// The first sample after that begins the next window, with the other histogram.
	windowPeriod = 5 * time.Second
	// Samples outside minMicros and maxMicros are recorded as the nearer of the two.
	minMicros         = int64(1)
	maxMicros         = int64(60 * time.Second / time.Microsecond)
	significantDigits = 2
	// refreshInterval is the minimum interval between two computations of the
	// quantiles.
	refreshInterval = 100 * time.Millisecond
	// lowRank is the rank of LowQuantile: one attempt in ten is faster.
	lowRank = 0.1
	// averageWeight is the weight of one sample in the moving average.
	averageWeight = 0.1
	// minSamples is the minimum number of samples in a histogram whose quantiles are
	// used.
	minSamples = 50
	// initialAverage is the value of the moving average before the first sample.
	initialAverage = 10 * time.Millisecond
)

// A Tracker estimates attempt durations: quantiles of the samples in the current
// window, or in the previous one while the current one has fewer than minSamples, and
// a moving average. It is not safe for concurrent use.
type Tracker struct {
	current, previous *hdrhistogram.Histogram
	// windowStartedAt is when the current window began.
	windowStartedAt time.Time
	// average is a moving average in microseconds.
	average float64
	// high, low and median are quantiles as of refreshedAt; zero until a histogram has
	// minSamples.
	high, low, median time.Duration
	refreshedAt       time.Time
	// highRank is the rank of HighQuantile, 0 to 1.
	highRank float64
}

// NewTracker returns a Tracker without samples; highRank is the rank of
// HighQuantile, 0 to 1.
func NewTracker(highRank float64) *Tracker {
	return &Tracker{
		highRank: highRank,
		current:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		previous: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		average:  float64(initialAverage.Microseconds()),
	}
}

// Add records a sample.
func (t *Tracker) Add(now time.Time, d time.Duration) {
	if now.Sub(t.windowStartedAt) > windowPeriod {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
		t.windowStartedAt = now
	}
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = t.current.RecordValue(micros)
	t.average += averageWeight * (float64(micros) - t.average)
	if now.Sub(t.refreshedAt) >= refreshInterval {
		t.refresh(now)
	}
}

// Average returns the moving average.
func (t *Tracker) Average() time.Duration {
	return time.Duration(t.average) * time.Microsecond
}

// LowQuantile returns the 0.1 quantile; zero until there are enough samples.
func (t *Tracker) LowQuantile() time.Duration { return t.low }

// HighQuantile returns the quantile of the rank given to NewTracker; zero until there
// are enough samples.
func (t *Tracker) HighQuantile() time.Duration { return t.high }

// Median returns the median; zero until there are enough samples.
func (t *Tracker) Median() time.Duration { return t.median }

// Quantile returns the quantile of the given rank, 0 to 1, in the newest histogram
// with at least minSamples; zero if neither histogram has so many.
func (t *Tracker) Quantile(rank float64) time.Duration {
	h := t.histogram()
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(rank*100)) * time.Microsecond
}

// refresh computes the quantiles if a histogram has at least minSamples.
func (t *Tracker) refresh(now time.Time) {
	if t.histogram() == nil {
		return
	}
	t.refreshedAt = now
	t.high = t.Quantile(t.highRank)
	t.low = t.Quantile(lowRank)
	t.median = t.Quantile(0.5)
}

// histogram returns the newest histogram with at least minSamples, or nil.
func (t *Tracker) histogram() *hdrhistogram.Histogram {
	if t.current.TotalCount() >= minSamples {
		return t.current
	}
	if t.previous.TotalCount() >= minSamples {
		return t.previous
	}
	return nil
}
