package pool

import (
	"math"
	"time"
)

const (
	// An attempt for an answer that is gathered is late from lateRatio of the target on:
	// the other parts and the merge need the rest.
	lateRatio = 0.75
	// latenessDecrease is the factor of the limit after late attempts. latenessIncrease is
	// added after an attempt that would have been on time with one more in flight, too.
	latenessDecrease = 0.7
	latenessIncrease = 0.25
)

// A latenessLimit bounds the concurrent attempts of this host at one upstream for answers
// that are gathered. It answers a load that exceeds what the upstream can run in time: the
// upstream then queues attempts, and all of them are late. The limit leaves as many as it
// completes in time, and at least the host's share of its slots, which do not have to
// queue. Where that is less than one, the host lets time pass between its attempts: with an
// attempt of each host, an upstream with few slots would queue most of them.
type latenessLimit struct {
	// limit is zero for no bound. Its integer part applies; below one, time passes between
	// attempts.
	limit float64
	// lateSince is when the first attempt ended in the current series of late ones; zero
	// if the last attempt was on time.
	lateSince time.Time
	// endedAt is when an attempt last ended. After estimateHoldPeriod without one, the
	// limit does not apply.
	endedAt time.Time
	// elapsed is how long that attempt took.
	elapsed time.Duration
}

// apply returns how many concurrent attempts may run, at least minimum and at most
// maximum.
func (l *latenessLimit) apply(now time.Time, minimum float64, maximum int) int {
	limit := max(minimum, l.limit)
	switch {
	case l.limit == 0 || now.Sub(l.endedAt) > estimateHoldPeriod:
		return maximum
	case limit >= 1:
		return min(maximum, int(limit))
	case now.Sub(l.endedAt) < pauseBetween(l.elapsed, limit):
		return 0
	default:
		return min(maximum, 1)
	}
}

// pauseBetween returns how long after an attempt the next one begins, so that limit attempts run
// on average; limit is below one.
func pauseBetween(elapsed time.Duration, limit float64) time.Duration {
	return min(maxPacePause, time.Duration(float64(elapsed)*(1/limit-1)))
}

// record adapts the limit to an attempt that ended now, while running others are in
// flight. Late attempts that were started before the first late one ended do not count,
// because the upstream may have paused.
func (l *latenessLimit) record(now, startedAt time.Time, target time.Duration, running int, minimum float64, maximum int) {
	if now.Sub(l.endedAt) > estimateHoldPeriod {
		l.limit, l.lateSince = 0, time.Time{}
	}
	l.endedAt, l.elapsed = now, now.Sub(startedAt)
	current := float64(maximum)
	if l.limit > 0 {
		current = min(current, l.limit)
	}
	elapsed, bound := float64(l.elapsed), lateRatio*float64(target)
	switch {
	case elapsed > bound && l.lateSince.IsZero():
		l.lateSince = now
	case elapsed > bound && startedAt.After(l.lateSince):
		l.limit = max(minimum, latenessDecrease*min(current, float64(running+1)))
		l.lateSince = now
	case elapsed > bound:
	default:
		l.lateSince = time.Time{}
		n := current
		if current >= 1 {
			n = math.Floor(current)
		}
		if l.limit > 0 && elapsed*(n+1)/n <= bound {
			l.limit += latenessIncrease
		}
	}
	if l.limit >= float64(maximum) {
		l.limit = 0
	}
}
