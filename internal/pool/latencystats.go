package pool

import (
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/latency"
)

const (
	// initialLatencyRatio is the ratio of the target that is used as the typical
	// latency until the first samples.
	initialLatencyRatio = 0.15
	// An attempt is hedged when it takes longer than a quantile of the latency. The
	// rank of the quantile is maxHedgeRank while the budget for extra attempts is
	// nearly used up, and minHedgeRank while all of it remains.
	maxHedgeRank = 0.97
	minHedgeRank = 0.80
	// minHedgeFactor is the minimum hedge delay as a multiple of the typical
	// latency.
	minHedgeFactor = 1.4
	// The baseline follows the median slowly, with baselineWeight every
	// baselineInterval: members are compared with it, and their estimates must keep
	// up with its changes.
	baselineInterval = 100 * time.Millisecond
	baselineWeight   = 0.05
	// singleHedgeRatio is the minimum hedge delay of a request for a single
	// upstream, as a ratio of the target: no other parts wait for its response.
	singleHedgeRatio = 0.4
)

// LatencyStats are statistics of the attempt latencies of one class of requests over
// all upstreams. They are safe for concurrent use.
type LatencyStats struct {
	target   time.Duration
	isGather bool

	mu      sync.Mutex
	tracker *latency.Tracker
	// baseline is the typical latency as of baselineAt; zero if unknown.
	baseline   time.Duration
	baselineAt time.Time
}

// NewLatencyStats returns the statistics of requests with a latency target; isGather
// is set if each request waits for several parts.
func NewLatencyStats(target time.Duration, isGather bool) *LatencyStats {
	return &LatencyStats{target: target, isGather: isGather, tracker: latency.NewTracker(maxHedgeRank)}
}

// HedgeDelay returns how long an attempt may take before a hedge is sent;
// remainingExtraRatio is the ratio of the budget for extra attempts that remains.
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
	// A hedge is useless once its response would be late as well.
	return min(delay, max(s.target/2, typical))
}

// TypicalLatency returns the typical latency of an attempt: the smoothed median.
func (s *LatencyStats) TypicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.typicalLatency()
}

// record adds the latency of an attempt.
func (s *LatencyStats) record(now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Add(now, elapsed)
	median := s.tracker.Median()
	switch {
	case median == 0 || now.Sub(s.baselineAt) < baselineInterval:
		return
	case s.baseline == 0:
		s.baseline = median
	default:
		s.baseline += time.Duration(baselineWeight * float64(median-s.baseline))
	}
	s.baselineAt = now
}

// typicalLatency returns the same as TypicalLatency; the caller holds the lock.
func (s *LatencyStats) typicalLatency() time.Duration {
	if s.baseline > 0 {
		return s.baseline
	}
	return time.Duration(initialLatencyRatio * float64(s.target))
}
