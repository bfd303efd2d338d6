package pool

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// slownessWeight is the weight of one attempt in the slowness of a member.
	slownessWeight = 0.2
	// failureWeight is the weight of one attempt in the failure rate.
	failureWeight = 0.2
	// coldSlowness is assumed of an upstream that has just started.
	coldSlowness = 1.6
	// trustTime is how long an estimate holds; after it, it decays by half every
	// decayTime, so that members that were slow are tried again.
	trustTime = time.Second
	decayTime = 700 * time.Millisecond
	// loadTime is how long a load that an upstream told counts.
	loadTime = 150 * time.Millisecond
	// downFirst and downMost bound how long a member that could not be reached
	// is left alone.
	downFirst = 200 * time.Millisecond
	downMost  = 1600 * time.Millisecond
	// maxSlowness bounds how slow a member is taken for while an attempt is stuck.
	maxSlowness = 50.0
	// maxSample bounds what the first slow attempts say of the slowness: an upstream
	// that paused for a moment is not a slow one.
	maxSample = 5.0
	// roomPeriod is how long it takes until one more attempt at once is tried
	// after an upstream had too many connections.
	roomPeriod = 150 * time.Millisecond
	// noDialFirst and noDialMost bound how long no new connection is tried after
	// that.
	noDialFirst = 40 * time.Millisecond
	noDialMost  = 320 * time.Millisecond
	// stuckFactor is how many times the usual time the oldest attempt must
	// have taken before it tells of the member's present speed.
	stuckFactor = 1.5
	// stuckSound is how many times the usual time an attempt may take at a member
	// that counts as sound.
	stuckSound = 2
)

// member is what this host knows of one upstream.
type member struct {
	upstream inventory.Upstream
	// running holds the attempts under way; their order means nothing.
	running []*Assignment
	// slowness is a moving average of the time of attempts over the usual time.
	slowness float64
	// slowSince is when the first of the slow attempts since the last quick one ended;
	// zero if the last one was quick.
	slowSince time.Time
	// failing is a moving average of the share of attempts without an answer.
	failing float64
	// sampled is when slowness and failing last changed.
	sampled time.Time
	// load is what the upstream told at loadAt.
	load   upstream.Load
	loadAt time.Time
	// downUntil is when a member that could not be reached is tried again;
	// downFor is the last pause.
	downUntil time.Time
	downFor   time.Duration
	// room is how many attempts at once the upstream took at roomAt, when it had
	// too many connections; it grows by one each roomPeriod.
	room   int
	roomAt time.Time
	// noDialUntil is until when no new connection is tried after that; noDialFor
	// is the last such pause.
	noDialUntil time.Time
	noDialFor   time.Duration
}

func newMember(u inventory.Upstream) *member {
	return &member{upstream: u, slowness: 1}
}

// crowded notes that the upstream has too many connections.
func (m *member) crowded(now time.Time) {
	m.room = max(1, min(len(m.running), m.limit(now, len(m.running)))-1)
	m.roomAt = now
	m.noDialFor = min(max(2*m.noDialFor, noDialFirst), noDialMost)
	m.noDialUntil = now.Add(m.noDialFor)
}

// decay returns how much of an estimate still holds, 0 to 1.
func (m *member) decay(now time.Time) float64 {
	age := now.Sub(m.sampled) - trustTime
	if age <= 0 {
		return 1
	}
	share := 1.0
	for ; age > decayTime; age -= decayTime {
		share /= 2
		if share < 0.01 {
			return 0
		}
	}
	return share * (1 - 0.5*float64(age)/float64(decayTime))
}

// down reports whether the member is left alone after it could not be reached.
func (m *member) down(now time.Time) bool {
	return now.Before(m.downUntil)
}

// failureRate returns the share of attempts that are expected to fail.
func (m *member) failureRate(now time.Time) float64 {
	return m.failing * m.decay(now)
}

// limit returns how many attempts at once the member gets, at most most.
func (m *member) limit(now time.Time, most int) int {
	if m.roomAt.IsZero() {
		return max(1, most)
	}
	return max(1, min(most, m.room+int(now.Sub(m.roomAt)/roomPeriod)))
}

// bounded returns what an attempt says of the slowness. Attempts that were under way
// when the first slow one ended may have met the same pause; a later one that is
// slow as well confirms that the upstream is.
func (m *member) bounded(now, started time.Time, slowness float64) float64 {
	switch {
	case slowness <= maxSample:
		m.slowSince = time.Time{}
		return slowness
	case m.slowSince.IsZero():
		m.slowSince = now
		return maxSample
	case started.After(m.slowSince):
		return slowness
	default:
		return maxSample
	}
}

func (m *member) sample(now time.Time, slowness float64, failed bool) {
	keep := m.decay(now)
	m.slowness = 1 + (m.slowness-1)*keep
	m.failing *= keep
	m.slowness += slownessWeight * (min(slowness, maxSlowness) - m.slowness)
	failure := 0.0
	if failed {
		failure = 1
	}
	m.failing += failureWeight * (failure - m.failing)
	m.sampled = now
}

// outlook returns how long an attempt that usually takes this long will take.
func (m *member) outlook(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * m.slow(now) * (1 + m.queued(now)))
}

// reached notes that the upstream answered.
func (m *member) reached() {
	m.downFor, m.downUntil = 0, time.Time{}
	m.noDialFor = 0
}

// slow returns how many times the usual time an attempt takes now.
func (m *member) slow(now time.Time) float64 {
	slowness := 1 + (m.slowness-1)*m.decay(now)
	if now.Before(m.upstream.ColdUntil()) {
		slowness = max(slowness, coldSlowness)
	}
	for _, p := range m.running {
		age := float64(now.Sub(p.started)) / float64(max(p.usual, time.Microsecond))
		if age > stuckFactor*slowness {
			slowness = age
		}
	}
	return min(slowness, maxSlowness)
}

// sound reports whether the member answers nearly always, and in time.
func (m *member) sound(now time.Time, c *LatencyStats) bool {
	usual := c.TypicalLatency()
	for _, p := range m.running {
		if now.Sub(p.started) > stuckSound*p.usual {
			return false
		}
	}
	return m.failureRate(now) < soundFailures && m.outlook(now, usual) < time.Duration(soundShare*float64(c.target))
}

// unreachable notes that no connection could be made.
func (m *member) unreachable(now time.Time) {
	m.downFor = min(max(2*m.downFor, downFirst), downMost)
	m.downUntil = now.Add(m.downFor)
}

// queued returns how many attempts wait for a slot, this host's and others'.
func (m *member) queued(now time.Time) float64 {
	busy := float64(len(m.running))
	if now.Sub(m.loadAt) < loadTime {
		// What the upstream told includes this host's own attempts of then.
		busy = max(busy, (busy+float64(m.load.Running+m.load.Waiting))/2)
	}
	slots := float64(m.upstream.Slots())
	return max(0, busy+1-slots) / slots
}
