package pool

// This file decides how many attempts of requests that wait in order (package admission) one
// host runs at one upstream at a time. The load: all hosts together send an upstream more
// than it can run in time. The attempts then wait at the upstream, in the order in which they
// came, and every answer is late, whoever sent it. They have to wait at the hosts instead,
// where the order is that of priorities and shares.

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// paceRatio is the part of the target from which on an attempt shows that it has waited
	// at the upstream. Waiting in order takes up to a quarter of the target before that, and
	// hedges and the way to the caller need the rest.
	paceRatio = 0.5
	// Upstreams whose attempts take long without waiting have floorFactor times the floor
	// instead, up to lateRatio of the target. The floor follows longer attempts by
	// floorWeight of the difference, slowly enough for thousands of late ones, and by
	// slowFloorWeight while yieldingLimit is as low as it may be: attempts that are late
	// nevertheless have probably not waited.
	floorFactor     = 2
	floorWeight     = 0.0003
	slowFloorWeight = 0.01
	// Limits fall while more than maxLateShare of the attempts are late, by a moving average in
	// which one has the weight lateWeight: at a load that upstreams can run, some wait too.
	maxLateShare = 0.5
	lateWeight   = 0.25
	// minPaceDecrease and maxPaceDecrease bound the factor of a limit after late attempts. While
	// attempts take less than roomRatio of what shows waiting, a limit grows by paceGrowth
	// times the host's share of the slots in a second. It grows by the same amounts on hosts
	// with low and with high limits, so that the limits of hosts become equal.
	minPaceDecrease = 0.25
	maxPaceDecrease = 0.7
	roomRatio       = 0.8
	paceGrowth      = 3.0
	// yieldingShare is the part of this host's share of the slots that is left to requests
	// that leave room to others while these need all.
	yieldingShare = 0.25
	// minPace bounds a limit from below, and maxPacePause the time without any attempt that
	// follows from it, so that each host learns when an upstream has room again.
	minPace      = 0.05
	maxPacePause = 400 * time.Millisecond
)

// A pace bounds the concurrent attempts at one upstream. Limits below one are needed where
// the hosts are more than the slots of an upstream: the host then lets time pass between its
// attempts.
type pace struct {
	// limit bounds all attempts, yieldingLimit those of requests that leave room to others; zero
	// for no bound. Requests that leave room are limited first and released last: limit falls
	// only when yieldingLimit is at its minimum, and yieldingLimit rises only when limit is zero.
	limit, yieldingLimit float64
	// lateSince is when the first attempt ended in the current series of late ones; zero
	// if the last attempt was on time.
	lateSince time.Time
	// lateShare is a moving average of the part of attempts that are late.
	lateShare float64
	// endedAt is when an attempt last ended, and elapsed how long it took. After
	// estimateHoldPeriod without an attempt, the limits do not apply.
	endedAt time.Time
	elapsed time.Duration
	// floor is about what the shortest attempts take.
	floor time.Duration
}

// apply returns how many concurrent attempts may run, at most maximum.
func (p *pace) apply(now time.Time, leavesRoom bool, maximum int) int {
	limit := p.limit
	if leavesRoom && p.yieldingLimit > 0 {
		limit = p.yieldingLimit
	}
	switch {
	case limit == 0 || now.Sub(p.endedAt) > estimateHoldPeriod:
		return maximum
	case limit >= 1:
		return min(maximum, int(limit))
	case now.Sub(p.endedAt) < pauseBetween(p.elapsed, limit):
		return 0
	default:
		return min(maximum, 1)
	}
}

// record adapts the limits to an attempt that ended now, while running others are in flight.
// Late attempts that were started before the first late one ended do not count, because the
// upstream may have paused. slotShare is this host's share of the upstream's slots: attempts
// in them do not wait there.
func (p *pace) record(now, startedAt time.Time, target time.Duration, running int, slotShare float64, maximum int) {
	if now.Sub(p.endedAt) > estimateHoldPeriod {
		*p = pace{floor: p.floor}
	}
	growth := paceGrowth * max(minPace, slotShare) * min(maxPacePause, now.Sub(p.endedAt)).Seconds()
	p.endedAt, p.elapsed = now, now.Sub(startedAt)
	lowest := max(minPace, yieldingShare*slotShare)
	bound := p.bound(target, p.yieldingLimit > 0 && p.yieldingLimit <= lowest)
	p.lateShare -= lateWeight * p.lateShare
	if p.elapsed > bound {
		p.lateShare += lateWeight
	}
	switch {
	case p.elapsed > bound && p.lateSince.IsZero():
		p.lateSince = now
	case p.elapsed > bound && (p.lateShare <= maxLateShare || !startedAt.After(p.lateSince)):
	case p.elapsed > bound:
		p.lateSince = now
		if p.yieldingLimit == 0 || p.yieldingLimit > lowest {
			p.yieldingLimit = p.lowered(p.yieldingLimit, lowest, bound, running, maximum)
			return
		}
		p.limit = p.lowered(p.limit, max(minPace, slotShare), bound, running, maximum)
	default:
		p.lateSince = time.Time{}
		if p.limit > 0 {
			p.limit = p.raised(p.limit, growth, bound, maximum)
			return
		}
		p.yieldingLimit = p.raised(p.yieldingLimit, growth, bound, maximum)
	}
}

// bound returns how long an attempt takes at most that has hardly waited at the upstream.
func (p *pace) bound(target time.Duration, isLowest bool) time.Duration {
	if p.floor == 0 || p.elapsed < p.floor {
		p.floor = p.elapsed
	}
	weight := floorWeight
	if isLowest {
		weight = slowFloorWeight
	}
	p.floor += time.Duration(weight * float64(p.elapsed-p.floor))
	return min(time.Duration(lateRatio*float64(target)), max(floorFactor*p.floor, time.Duration(paceRatio*float64(target))))
}

// lowered returns a limit after late attempts. The time that attempts wait at an upstream is in
// proportion to their number. The first step leaves at least one attempt at a time.
func (p *pace) lowered(limit, lowest float64, bound time.Duration, running, maximum int) float64 {
	if limit == 0 {
		limit, lowest = float64(maximum), max(1, lowest)
	}
	factor := max(minPaceDecrease, min(maxPaceDecrease, float64(bound)/float64(p.elapsed)))
	return max(lowest, factor*min(limit, float64(running+1)))
}

// raised returns a limit after an attempt that was on time; zero once it does not bind.
func (p *pace) raised(limit, growth float64, bound time.Duration, maximum int) float64 {
	if limit > 0 && float64(p.elapsed) <= roomRatio*float64(bound) {
		limit += min(limit, growth)
	}
	if limit >= float64(maximum) {
		return 0
	}
	return limit
}

// attemptLimit returns how many concurrent attempts a member may get before this one.
func (p *Pool) attemptLimit(now time.Time, m *member, r Requirements) int {
	limit := p.concurrencyLimit(now, m, r.LatencyStats)
	if r.WaitsInOrder {
		// The pace alone lets time pass between attempts.
		return m.pace.apply(now, r.LeavesRoom, max(1, limit))
	}
	return limit
}

// recordPace adapts the pace of a member to an attempt that has ended. One does not count if
// the upstream states that no request waits there.
func (p *Pool) recordPace(now time.Time, m *member, assignment *Assignment, o upstream.Outcome) {
	isIdle := o.Load != nil && o.Load.Waiting == 0
	if !assignment.waitsInOrder || (o.Result != upstream.Aborted && (o.Result != upstream.Answered || isIdle)) {
		return
	}
	slotShare := p.policy.LoadShare * float64(m.upstream.Slots())
	m.pace.record(now, assignment.startedAt.Add(o.ConnectDuration), assignment.latencyStats.target, len(m.running), slotShare, p.connectionLimit(now, m))
}

// ExtraRatio returns how many extra attempts each request earns.
func (p *Pool) ExtraRatio() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.ExtraRatio
}
