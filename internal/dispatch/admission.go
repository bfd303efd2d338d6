package dispatch

// This file decides when a request starts, which parts it leaves out and when it is refused. It
// answers a load that exceeds what some shards can run in time. Limits on concurrent attempts
// (package pool) keep their upstreams from queueing. A part that finds no room waits until its
// response would be late, while the other parts run; where a request waits that cannot be
// answered without the shard, requests that can leave their slots to it.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// assignFirst assigns the first attempts to upstreams and reports whether these are
// enough parts for an answer. Otherwise it keeps no assignment, because the work of the
// parts that can start would be wasted, and abandons the parts for the result of
// abandonReason; the request then fails unless enough parts remain.
func (f *inFlightRequest) assignFirst(now time.Time) bool {
	assigned, waiting := f.assignParts(now, pool.Never)
	if len(assigned) < f.route.MinParts() && f.hasColdRelay(now, waiting) {
		// A host that has turns at some shards only would lose them.
		unassign(assigned)
		assigned, waiting = f.assignParts(now, pool.Always)
	}
	if len(assigned) >= f.route.MinParts() {
		return true
	}
	unassign(assigned)
	for _, p := range waiting {
		reason := f.abandonReason(now, p)
		if reason != ReasonNone {
			p.abandon(reason)
			continue
		}
		p.pool.RecordLack(now)
	}
	return false
}

// assignParts assigns the first attempts of all parts that are not abandoned and not assigned yet
// to upstreams. It returns the parts with an assignment, and those that wait for one.
func (f *inFlightRequest) assignParts(now time.Time, relay pool.ColdRelay) (assigned, waiting []*part) {
	for _, p := range f.partsByRoom(now) {
		r := f.requirements(p, 0)
		r.ColdRelay = relay
		r.IsSpare = len(assigned) >= f.route.MinParts() && p.pool.IsScarce(now)
		if p.held.assign(now, r) {
			assigned = append(assigned, p)
			continue
		}
		p.wasPassedOver = true
		waiting = append(waiting, p)
	}
	return assigned, waiting
}

// partsByRoom returns the parts that are not abandoned, those of scarce services last. The first
// one of these differs between requests, so that requests that can do without some of them
// leave out different ones.
func (f *inFlightRequest) partsByRoom(now time.Time) []*part {
	var parts, scarce []*part
	for _, p := range f.parts {
		switch {
		case p.isDone():
		case f.route.Gathers() && p.pool.IsScarce(now):
			scarce = append(scarce, p)
		default:
			parts = append(parts, p)
		}
	}
	first := int(f.requestFraction() * float64(len(scarce)))
	parts = append(parts, scarce[first:]...)
	return append(parts, scarce[:first]...)
}

// isSpare reports whether an attempt of a part has to leave room to other requests: its service is
// scarce, and enough other parts for an answer have a response or an attempt.
func (f *inFlightRequest) isSpare(now time.Time, p *part) bool {
	if !f.route.Gathers() || !p.pool.IsScarce(now) {
		return false
	}
	others := 0
	for _, o := range f.parts {
		if o != p && (o.response != nil || o.running > 0 || o.isAssigned()) {
			others++
		}
	}
	return others >= f.route.MinParts()
}

// unassign cancels the assignments of parts whose attempts have not started.
func unassign(parts []*part) {
	for _, p := range parts {
		p.held.giveBack()
	}
}

// resumeLeftOut resumes count parts that were left out, to replace others that have failed. It
// reports false, and resumes none, if upstreams accept fewer than count of them.
func (f *inFlightRequest) resumeLeftOut(now time.Time, count int) bool {
	var resumed []*part
	if f.holdsBackAttempts() {
		return false
	}
	for _, p := range f.parts {
		if !p.wasLeftOut() || len(resumed) == count {
			continue
		}
		if p.held.assign(now, f.requirements(p, 0)) {
			resumed = append(resumed, p)
		}
	}
	if len(resumed) < count {
		unassign(resumed)
		return false
	}
	for _, p := range resumed {
		p.resume()
	}
	return true
}

// startBy returns when a part that waits for its first attempt is abandoned: while no
// part has started, early enough that the refusal reaches the caller within
// maxRefusalRatio of the target; after that, when its response would be late.
func (f *inFlightRequest) startBy() time.Time {
	if f.isUnstarted() {
		return f.startedAt.Add(max(0, time.Duration(maxRefusalRatio*float64(f.route.LatencyTarget()))-f.allowance))
	}
	return f.answerDueAt.Add(-f.latencyStats.TypicalLatency())
}

// requestFraction returns a number from 0 to 1 that is derived from the request ID and
// spreads requests evenly.
func (f *inFlightRequest) requestFraction() float64 {
	const steps = 1 << 53
	return float64(xxhash.Sum64String(f.request.ID)%steps) / steps
}
