package pool

import (
	"math"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/latency"
)

const (
	// initialLatencyRatio is the typical latency as a ratio of the target, until there
	// are enough samples for a median.
	initialLatencyRatio = 0.15
	// An attempt is hedged when it takes longer than a quantile of the latency. The
	// rank of the quantile is maxHedgeRank while the budget for extra attempts is
	// nearly used up, and minHedgeRank while all of it remains.
	maxHedgeRank = 0.97
	minHedgeRank = 0.80
	// minHedgeFactor is the minimum hedge delay as a multiple of the typical
	// latency.
	minHedgeFactor = 1.4
	// The baseline moves toward the median by baselineWeight of their difference in each
	// baselineInterval, at most by maxBaselineWeight at once. It changes this slowly
	// because the slowness of members is relative to it, and their estimates must keep
	// up with its changes.
	baselineInterval  = 100 * time.Millisecond
	baselineWeight    = 0.05
	maxBaselineWeight = 0.4
	// singleHedgeRatio is the minimum hedge delay of a request that does not gather
	// parts, as a ratio of the target. Such a request can wait longer for a hedge,
	// because no other part waits for the response.
	singleHedgeRatio = 0.4
)

// LatencyStats are statistics of the attempt latencies of one class of requests over
// all upstreams. They are safe for concurrent use.
type LatencyStats struct {
	target   time.Duration
	isGather bool

	mu      sync.Mutex
	tracker *latency.Tracker
	// baseline is the smoothed median as of baselineAt; zero until there is a median.
	baseline   time.Duration
	baselineAt time.Time
	answers    recentAnswers
	// work is a moving average of how long upstreams work on an attempt; zero until there is one.
	work time.Duration
}

// NewLatencyStats returns the statistics of requests with a latency target; isGather
// is true if each request gathers several parts.
func NewLatencyStats(target time.Duration, isGather bool) *LatencyStats {
	return &LatencyStats{target: target, isGather: isGather, tracker: latency.NewTracker(maxHedgeRank)}
}

// HedgeDelay returns how long an attempt may take before a hedge is sent.
// remainingExtraRatio is the number of extra attempts that remain, divided by the
// number allowed. The more of them remain, the shorter the delay.
func (s *LatencyStats) HedgeDelay(remainingExtraRatio float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.tracker.Quantile(maxHedgeRank - (maxHedgeRank-minHedgeRank)*remainingExtraRatio)
	typical := s.typicalLatency()
	if delay == 0 {
		delay = 2 * typical
	}
	delay = max(delay, time.Duration(minHedgeFactor*float64(typical)))
	if !s.isGather {
		return max(delay, time.Duration(singleHedgeRatio*float64(s.target)))
	}
	// A hedge sent later than this would be useless, since its own response would be
	// late as well.
	return min(delay, max(s.target/2, typical))
}

// TypicalLatency returns the typical latency of an attempt: the smoothed median.
func (s *LatencyStats) TypicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.typicalLatency()
}

// record adds the latency of an attempt and updates the baseline when this is due. wait is how
// long the attempt has waited at its upstream.
func (s *LatencyStats) record(now time.Time, elapsed, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Add(now, elapsed)
	s.recordWork(elapsed, wait)
	median := s.tracker.Median()
	switch {
	case median == 0 || now.Sub(s.baselineAt) < baselineInterval:
		return
	case s.baseline == 0:
		s.baseline = median
	default:
		intervals := float64(now.Sub(s.baselineAt)) / float64(baselineInterval)
		weight := min(maxBaselineWeight, 1-math.Pow(1-baselineWeight, intervals))
		s.baseline += time.Duration(weight * float64(median-s.baseline))
	}
	s.baselineAt = now
}

// typicalLatency implements TypicalLatency; the caller holds the lock.
func (s *LatencyStats) typicalLatency() time.Duration {
	if s.baseline > 0 {
		return s.baseline
	}
	return time.Duration(initialLatencyRatio * float64(s.target))
}
