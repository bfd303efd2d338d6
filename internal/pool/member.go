package pool

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// slownessWeight is the weight of one attempt in the moving average of
	// slowness.
	slownessWeight = 0.2
	// failureWeight is the weight of one attempt in the moving average failureRatio.
	failureWeight = 0.2
	// coldSlowness is the minimum slowness assumed of an upstream before its
	// ColdUntil.
	coldSlowness = 1.6
	// An estimate keeps its full weight for estimateHoldPeriod and loses half of it
	// every estimateHalfLife after that, so that members that were slow are tried
	// again.
	estimateHoldPeriod = time.Second
	estimateHalfLife   = 700 * time.Millisecond
	// maxLoadAge is how long the load that an upstream reported is used.
	maxLoadAge = 150 * time.Millisecond
	// minDownPeriod and maxDownPeriod bound how long a member is down, so that it gets
	// no attempts, after no connection to it could be made, before this host tries to make
	// one. The period doubles each time until the upstream responds.
	minDownPeriod = 200 * time.Millisecond
	maxDownPeriod = 1600 * time.Millisecond
	// maxSlowness bounds the slowness of a member, also while an attempt in flight is
	// stuck.
	maxSlowness = 50.0
	// maxUnconfirmedSlowness bounds the slowness sampled from the first slow attempts,
	// so that an upstream that only paused for a moment is not taken for a slow one.
	maxUnconfirmedSlowness = 5.0
	// limitGrowthInterval is the interval at which the concurrency limit of an upstream
	// grows by one, after it was reduced because of too many connections.
	limitGrowthInterval = 150 * time.Millisecond
	// minNoDialPeriod and maxNoDialPeriod bound how long no new connection is dialled
	// to an upstream that had too many connections. The period doubles each time until
	// the upstream responds.
	minNoDialPeriod = 40 * time.Millisecond
	maxNoDialPeriod = 320 * time.Millisecond
	// An attempt in flight raises the slowness once it has taken more than stuckFactor
	// times the duration that the member's slowness predicts.
	stuckFactor = 1.5
	// maxHealthyFactor bounds how long an attempt in flight at a healthy member has
	// taken, as a multiple of the typical latency.
	maxHealthyFactor = 2
	// An upstream is healthy if its failure ratio is below maxHealthyFailureRatio, its
	// expected latency is below maxHealthyTargetRatio of the target, and no attempt in
	// flight exceeds maxHealthyFactor.
	maxHealthyFailureRatio = 0.15
	maxHealthyTargetRatio  = 0.4
)

// A member is this host's record of one upstream in a pool.
type member struct {
	upstream inventory.Upstream
	// running holds the attempts in flight in the order in which they were assigned.
	running []*Assignment
	// slowness is a moving average of attempt duration divided by typical latency.
	slowness float64
	// slowSince is when the first attempt ended in the current series of attempts
	// slower than maxUnconfirmedSlowness; zero if the last attempt was not that slow.
	slowSince time.Time
	// failureRatio is a moving average of the ratio of failed attempts to all attempts.
	failureRatio float64
	// sampledAt is when slowness and failureRatio were last updated.
	sampledAt time.Time
	// respondedAt is when the upstream last responded to an attempt.
	respondedAt time.Time
	// load is what the upstream reported at loadAt.
	load   upstream.Load
	loadAt time.Time
	// foreignLoad is how many attempts of other hosts the upstream had at loadAt.
	foreignLoad int
	// downUntil is when a member may get attempts again, after no connection to it could
	// be made or another upstream had its address. downPeriod is for how long it was
	// last down; zero once the upstream has responded.
	downUntil  time.Time
	downPeriod time.Duration
	// isUnreachable is set after no connection could be made, until one could: the member stays
	// down after downUntil. isReconnecting is set while this host tries to make one.
	isUnreachable, isReconnecting bool
	// ownsAddress is set if the last response at the address was from the upstream. owner is
	// another member for which it is set at this address, while it is not set here; nil if none.
	ownsAddress bool
	owner       *member
	// restUntil is until when the upstream wants no requests of this host.
	restUntil time.Time
	// limit is the limit on requests that the upstream has stated; nil if none.
	limit *requestLimit
	// cold is the limit on requests while the upstream is cold; nil if none.
	cold *requestLimit
	// refusedUntil is until when a host that sends to cold upstreams is not asked again.
	refusedUntil time.Time
	// reducedLimit is the concurrency limit that was set at limitReducedAt, when the
	// upstream had too many connections. From then on the limit grows by one every
	// limitGrowthInterval.
	reducedLimit   int
	limitReducedAt time.Time
	// lateness bounds the concurrent attempts for answers that are gathered.
	lateness latenessLimit
	// pace bounds the concurrent attempts of requests that wait in order.
	pace pace
	// noDialUntil is when new connections may be dialled again, after the upstream had
	// too many connections. noDialPeriod is for how long none was dialled the last
	// time; zero once the upstream has responded.
	noDialUntil  time.Time
	noDialPeriod time.Duration
}

func newMember(u inventory.Upstream) *member {
	return &member{upstream: u, slowness: 1}
}

// recordConnectionLimit records that the upstream has too many connections: the
// concurrency limit is reduced, and no new connection is dialled until noDialUntil.
func (m *member) recordConnectionLimit(now time.Time) {
	m.reducedLimit = max(1, min(len(m.running), m.concurrencyLimit(now, len(m.running)))-1)
	m.limitReducedAt = now
	m.noDialPeriod = min(max(2*m.noDialPeriod, minNoDialPeriod), maxNoDialPeriod)
	m.noDialUntil = now.Add(m.noDialPeriod)
}

// remainingWeight returns the weight of slowness and failureRatio at their age, 0 to 1.
func (m *member) remainingWeight(now time.Time) float64 {
	age := now.Sub(m.sampledAt) - estimateHoldPeriod
	if age <= 0 {
		return 1
	}
	weight := 1.0
	for ; age > estimateHalfLife; age -= estimateHalfLife {
		weight /= 2
		if weight < 0.01 {
			return 0
		}
	}
	return weight * (1 - 0.5*float64(age)/float64(estimateHalfLife))
}

// isDown reports whether the member gets no attempts, because no connection could be
// made or another upstream has its address.
func (m *member) isDown(now time.Time) bool {
	return m.isUnreachable || now.Before(m.downUntil) || m.isSuperseded(now)
}

// isResting reports whether the upstream wants no requests of this host.
func (m *member) isResting(now time.Time) bool { return now.Before(m.restUntil) }

// isUsable reports whether the member is neither retired nor down nor resting.
func (m *member) isUsable(now time.Time) bool {
	return m.upstream.Eligibility(now) != inventory.Retired && !m.isDown(now) && !m.isResting(now)
}

// expectedFailureRatio returns the probability with which an attempt is expected to
// fail, 0 to 1.
func (m *member) expectedFailureRatio(now time.Time) float64 {
	return m.failureRatio * m.remainingWeight(now)
}

// concurrencyLimit returns how many concurrent attempts the member may get, at
// least 1 and at most maxConcurrent.
func (m *member) concurrencyLimit(now time.Time, maxConcurrent int) int {
	if m.limitReducedAt.IsZero() {
		return max(1, maxConcurrent)
	}
	return max(1, min(maxConcurrent, m.reducedLimit+int(now.Sub(m.limitReducedAt)/limitGrowthInterval)))
}

// boundSlowness returns the slowness to sample from an attempt, at most
// maxUnconfirmedSlowness until the upstream is confirmed as slow. An attempt confirms
// this if it is slow and was started after the first slow one ended; earlier attempts
// may have been delayed by the same pause of the upstream.
func (m *member) boundSlowness(now, startedAt time.Time, slowness float64) float64 {
	switch {
	case slowness <= maxUnconfirmedSlowness:
		m.slowSince = time.Time{}
		return slowness
	case m.slowSince.IsZero():
		m.slowSince = now
		return maxUnconfirmedSlowness
	case startedAt.After(m.slowSince):
		return slowness
	default:
		return maxUnconfirmedSlowness
	}
}

// addSample adds an attempt to the moving averages of slowness and failures, whose
// previous values first lose weight with their age.
func (m *member) addSample(now time.Time, slowness float64, failed bool) {
	weight := m.remainingWeight(now)
	m.slowness = 1 + (m.slowness-1)*weight
	m.failureRatio *= weight
	m.slowness += slownessWeight * (min(slowness, maxSlowness) - m.slowness)
	failure := 0.0
	if failed {
		failure = 1
	}
	m.failureRatio += failureWeight * (failure - m.failureRatio)
	m.sampledAt = now
}

// remove removes an attempt from those in flight.
func (m *member) remove(assignment *Assignment) {
	if i := slices.Index(m.running, assignment); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
}

// expectedLatency returns the expected duration of an attempt at this member,
// queueing included.
func (m *member) expectedLatency(now time.Time, typical time.Duration) time.Duration {
	return time.Duration(float64(typical) * m.currentSlowness(now) * (1 + m.queuedPerSlot(now)))
}

// recordReachable records that the upstream responded: the member is no longer down,
// and the next downPeriod and noDialPeriod are the minimum again.
func (m *member) recordReachable(now time.Time) {
	m.respondedAt = now
	m.downPeriod, m.downUntil = 0, time.Time{}
	m.isUnreachable = false
	m.noDialPeriod = 0
}

// currentSlowness returns the expected duration of an attempt without queueing, as
// a multiple of the typical latency.
func (m *member) currentSlowness(now time.Time) float64 {
	slowness := 1 + (m.slowness-1)*m.remainingWeight(now)
	if now.Before(m.upstream.ColdUntil()) {
		slowness = max(slowness, coldSlowness)
	}
	for _, a := range m.running {
		age := float64(now.Sub(a.startedAt)) / float64(max(a.typicalLatency, time.Microsecond))
		if age > stuckFactor*slowness {
			slowness = age
		}
	}
	return min(slowness, maxSlowness)
}

// isHealthy reports whether the expected failure ratio is below maxHealthyFailureRatio,
// the expected latency is below maxHealthyTargetRatio of the target, and no attempt in
// flight has taken more than maxHealthyFactor times the typical latency.
func (m *member) isHealthy(now time.Time, s *LatencyStats) bool {
	typical := s.TypicalLatency()
	for _, a := range m.running {
		if now.Sub(a.startedAt) > maxHealthyFactor*a.typicalLatency {
			return false
		}
	}
	return m.expectedFailureRatio(now) < maxHealthyFailureRatio && m.expectedLatency(now, typical) < time.Duration(maxHealthyTargetRatio*float64(s.target))
}

// recordUnreachable records that no connection could be made.
func (m *member) recordUnreachable(now time.Time) {
	m.isUnreachable = !m.upstream.IsDiallingHost()
	m.downPeriod = min(max(2*m.downPeriod, minDownPeriod), maxDownPeriod)
	// An upstream that is known to have ended is down for longer.
	if until := now.Add(m.downPeriod); until.After(m.downUntil) {
		m.downUntil = until
	}
}

// queuedPerSlot returns how many attempts of this and other hosts, including a new
// one, are estimated to wait, divided by the number of slots.
func (m *member) queuedPerSlot(now time.Time) float64 {
	busy := float64(len(m.running))
	if now.Sub(m.loadAt) < maxLoadAge {
		// The reported load includes the attempts of this host at the time of the
		// report, so the sum of both would count these twice. Instead, busy is the mean
		// of both, but at least the number of attempts in flight from this host.
		busy = max(busy, (busy+float64(m.load.Running+m.load.Waiting))/2)
	}
	slots := float64(m.upstream.Slots())
	return max(0, busy+1-slots) / slots
}
