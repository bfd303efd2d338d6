package shard

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindow = 5 * time.Second
	latencyMin    = int64(1)
	latencyMax    = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 2
	// latencyRefresh is how old quantiles may be.
	latencyRefresh = 100 * time.Millisecond
	// earlyQuantile is the share of attempts faster than any hope.
	earlyQuantile = 0.1
	meanWeight    = 0.1
)

// latency estimates how long attempts run, from the last two windows.
type latency struct {
	current, former *hdrhistogram.Histogram
	// turned is when the current window began.
	turned time.Time
	// mean is a moving average in microseconds.
	mean float64
	// late and early are quantiles as of refreshed; zero if unknown.
	late, early time.Duration
	refreshed   time.Time
	// lateQuantile is the share of attempts that are not late, 0 to 1.
	lateQuantile float64
}

func newLatency(lateQuantile float64) *latency {
	return &latency{
		lateQuantile: lateQuantile,
		current:      hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		former:       hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		mean:         float64(initialServiceTime.Microseconds()),
	}
}

func (l *latency) add(now time.Time, d time.Duration) {
	if now.Sub(l.turned) > latencyWindow {
		l.current, l.former = l.former, l.current
		l.current.Reset()
		l.turned = now
	}
	micros := min(max(d.Microseconds(), latencyMin), latencyMax)
	_ = l.current.RecordValue(micros)
	l.mean += meanWeight * (float64(micros) - l.mean)
	if now.Sub(l.refreshed) >= latencyRefresh {
		l.refresh(now)
	}
}

func (l *latency) average() time.Duration {
	return time.Duration(l.mean) * time.Microsecond
}

// refresh computes the quantiles anew if there are enough samples.
func (l *latency) refresh(now time.Time) {
	h := l.current
	if h.TotalCount() < minSamples {
		h = l.former
	}
	if h.TotalCount() < minSamples {
		return
	}
	l.refreshed = now
	l.late = time.Duration(h.ValueAtQuantile(l.lateQuantile*100)) * time.Microsecond
	l.early = time.Duration(h.ValueAtQuantile(earlyQuantile*100)) * time.Microsecond
}
