package dispatch

// This file decides what a request does when some of its shards get more load than they
// can run in time: which parts it leaves out, and when it is refused.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

const (
	// abandonExponent is the exponent in the ratio of requests that do not abandon a slow
	// part: (time for an answer on time / expected latency)^abandonExponent. With this
	// exponent, the ratio falls steeply enough as the expected latency rises that the
	// responses to these requests are on time again.
	abandonExponent = 6
	// A part whose expected latency exceeds hopelessFactor times the time for an answer on
	// time counts as one that no upstream can serve.
	hopelessFactor = 4
)

// assignFirst assigns the first attempts to upstreams and reports whether these are
// enough parts for an answer. Otherwise it keeps no assignment, because the work of the
// parts that can start would be wasted. As far as the answer requires them, it resumes
// parts that were abandoned as ReasonExpectedLate: a late answer is better than a
// failure. If there are still too few, it abandons the parts for the result of
// abandonReason; the request then fails unless enough parts remain.
func (f *inFlightRequest) assignFirst(now time.Time) bool {
	assigned, waiting := f.assignParts(now, pool.Never)
	if len(assigned) < f.route.MinParts() && f.hasColdRelay(now, waiting) {
		// A host that has turns at some shards only would lose them.
		unassign(assigned)
		assigned, waiting = f.assignParts(now, pool.Always)
	}
	if len(assigned) >= f.route.MinParts() {
		for _, p := range assigned {
			p.resume()
		}
		return true
	}
	unassign(assigned)
	for _, p := range waiting {
		if reason := f.abandonReason(now, p); reason != ReasonNone {
			p.abandon(reason)
		}
	}
	return false
}

// assignParts assigns the first attempts of all parts that are not abandoned to upstreams, and of
// parts that were abandoned as ReasonExpectedLate as far as the answer requires them. It returns
// the parts with an assignment, and those that wait for one.
func (f *inFlightRequest) assignParts(now time.Time, relay pool.ColdRelay) (assigned, waiting []*part) {
	var resumable []*part
	assign := func(p *part) bool {
		r := f.requirements(p, 0)
		r.ColdRelay = relay
		p.assignment = p.pool.Assign(now, r)
		return p.assignment != nil
	}
	for _, p := range f.parts {
		switch {
		case p.reason == ReasonExpectedLate:
			resumable = append(resumable, p)
		case p.isDone():
		case assign(p):
			assigned = append(assigned, p)
		default:
			p.wasPassedOver = true
			waiting = append(waiting, p)
		}
	}
	for _, p := range resumable[:max(0, min(len(resumable), f.route.MinParts()-len(assigned)))] {
		if assign(p) {
			assigned = append(assigned, p)
		}
	}
	return assigned, waiting
}

// unassign cancels the assignments of parts.
func unassign(parts []*part) {
	for _, p := range parts {
		p.pool.Unassign(p.assignment)
		p.assignment = nil
	}
}

// abandonSlowParts abandons parts as ReasonExpectedLate if their upstreams are so busy
// that responses would come too late for the target, as far as the route allows missing
// parts.
// Attempts whose responses come too late would only delay the attempts after them. The
// higher the expected latency of a part, the more requests abandon it. This handles a
// load that exceeds the capacity of some shards. Parts that no upstream can serve come
// first: if another part were abandoned instead, too few would remain.
func (f *inFlightRequest) abandonSlowParts() {
	abandonableCount := len(f.parts) - f.route.MinParts()
	if !f.route.Gathers() || abandonableCount <= 0 {
		return
	}
	// The time that this caller has spent before is no sign of load.
	maxDuration := f.route.LatencyTarget() - f.dispatcher.CallerAllowance
	fraction := f.requestFraction()
	var hopeless, slow []*part
	for i := range f.parts {
		// The first part examined differs between requests. Otherwise the same parts
		// would always use up abandonableCount.
		p := f.parts[(i+int(fraction*float64(len(f.parts))))%len(f.parts)]
		expected, reachable := p.pool.ExpectedLatency(f.startedAt, f.requirements(p, 0))
		switch {
		case !reachable:
			hopeless = append(hopeless, p)
		case expected <= maxDuration || fraction < math.Pow(float64(maxDuration)/float64(expected), abandonExponent):
		case expected > hopelessFactor*maxDuration:
			hopeless = append(hopeless, p)
		case f.hasRoom():
		default:
			slow = append(slow, p)
		}
	}
	candidates := slices.Concat(hopeless, slow)
	for _, p := range candidates[:min(len(candidates), abandonableCount)] {
		p.abandon(ReasonExpectedLate)
	}
}

// resumeExpectedLate resumes count parts that were abandoned as ReasonExpectedLate, to
// replace others that have failed. It reports false, and resumes none, if upstreams
// accept fewer than count of them.
func (f *inFlightRequest) resumeExpectedLate(now time.Time, count int) bool {
	var resumed []*part
	if f.holdsBackAttempts() {
		return false
	}
	for _, p := range f.parts {
		if p.reason != ReasonExpectedLate || len(resumed) == count {
			continue
		}
		if p.assignment = p.pool.Assign(now, f.requirements(p, 0)); p.assignment != nil {
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
