package pool

import (
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/latency"
)

const (
	// initialShare of the target is assumed as the usual time of a class of
	// requests before any was seen.
	initialShare = 0.15
	// lateQuantile is the quantile from which an attempt is late while there is
	// hardly any budget for extra attempts, eagerQuantile while all of it is left.
	lateQuantile  = 0.97
	eagerQuantile = 0.80
	// minLateness is how many times the usual time an attempt must take at least
	// to be late.
	minLateness = 1.4
	// baselinePeriod and baselineWeight let the usual time follow the median
	// slowly: members are compared with it, and their estimates must keep up.
	baselinePeriod = 100 * time.Millisecond
	baselineWeight = 0.05
	// singleShare is the share of the target after which a request for one
	// upstream is late: no other parts wait for it.
	singleShare = 0.4
)

// A LatencyStats is what is known of the times of one kind of request over all
// upstreams. It is safe for concurrent use.
type LatencyStats struct {
	target time.Duration
	gather bool

	mu      sync.Mutex
	tracker *latency.Tracker
	// baseline is the usual time as of baselineAt; zero if unknown.
	baseline   time.Duration
	baselineAt time.Time
}

// NewLatencyStats returns the class of requests with a target; gather is set if each
// request waits for several parts.
func NewLatencyStats(target time.Duration, gather bool) *LatencyStats {
	return &LatencyStats{target: target, gather: gather, tracker: latency.NewTracker(lateQuantile)}
}

// HedgeDelay returns how long an attempt may take before another upstream is
// asked; fill is the share of the budget for extra attempts that is left.
func (c *LatencyStats) HedgeDelay(fill float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.tracker.Quantile(lateQuantile - (lateQuantile-eagerQuantile)*fill)
	usual := c.usual()
	if delay == 0 {
		delay = 2 * usual
	}
	delay = max(delay, time.Duration(minLateness*float64(usual)))
	if !c.gather {
		return max(delay, time.Duration(singleShare*float64(c.target)))
	}
	// Asking another is of no use once its answer would be late as well.
	return min(delay, max(c.target/2, usual))
}

// TypicalLatency returns the usual time of an attempt.
func (c *LatencyStats) TypicalLatency() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usual()
}

func (c *LatencyStats) observe(now time.Time, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Add(now, took)
	median := c.tracker.Median()
	switch {
	case median == 0 || now.Sub(c.baselineAt) < baselinePeriod:
		return
	case c.baseline == 0:
		c.baseline = median
	default:
		c.baseline += time.Duration(baselineWeight * float64(median-c.baseline))
	}
	c.baselineAt = now
}

func (c *LatencyStats) usual() time.Duration {
	if c.baseline > 0 {
		return c.baseline
	}
	return time.Duration(initialShare * float64(c.target))
}
