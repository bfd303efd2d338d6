package dispatch

// This file decides what the stop of the host means for requests: which are refused because they
// would outlast it, and by when the others are answered.

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// minAnswersPerOverdue is how many requests of a route must have been answered since for each one in
// flight that is overdue, so that others are not expected to take as long. One that hangs would do so at
// any host.
const minAnswersPerOverdue = 20

// A Stop tells when the host stops. It is safe for concurrent use.
type Stop interface {
	// Begun returns a channel that is closed when the stop begins.
	Begun() <-chan struct{}
	// Schedule returns the schedule of the stop; false if the host does not stop.
	Schedule() (shutdown.Schedule, bool)
	// Context returns a context that ends when what is in flight is cancelled.
	Context() context.Context
	// LongestElsewhere returns the longest time to an answer of a route that other hosts told of;
	// zero if they told of none.
	LongestElsewhere(route *routing.Route) time.Duration
	// Overdue returns how many requests of a route have been in flight for longer than expected, without
	// waits at upstreams, and for how long the oldest one has.
	Overdue(now time.Time, route *routing.Route, expected time.Duration) (count int, oldest time.Duration)
}

// A StopEstimate is what decides whether a request can be answered before its host has stopped.
type StopEstimate struct {
	// Duration is how long the request is expected to take, without QueueWait, the time until an
	// upstream begins it.
	Duration, QueueWait time.Duration
	// isAccepted is set if the host still accepts requests and this one can end.
	isAccepted bool
}

// EstimateForStop returns the estimate of a request of a route that begins at now and does not wait at
// its upstreams. It reports false if the host stops too early for the request.
func (d *Dispatcher) EstimateForStop(now time.Time, route *routing.Route) (StopEstimate, bool) {
	schedule, stopping := d.schedule()
	if !stopping {
		return StopEstimate{}, true
	}
	e := newStopEstimate(now, schedule, d.expectedDuration(now, route), 0)
	return e, e.isAccepted
}

// CanEndBeforeStop reports whether a request of a route that begins at now and does not wait at its
// upstreams can be answered before the host has stopped.
func (d *Dispatcher) CanEndBeforeStop(now time.Time, route *routing.Route) bool {
	_, accepted := d.EstimateForStop(now, route)
	return accepted
}

func newStopEstimate(now time.Time, schedule shutdown.Schedule, duration, queueWait time.Duration) StopEstimate {
	isAccepted := schedule.Admits(now, 0) && schedule.Admits(now, duration+queueWait)
	return StopEstimate{Duration: duration, QueueWait: queueWait, isAccepted: isAccepted}
}

// expectedDuration returns how long a request of a route takes. A request that may be repeated is
// expected to take as long as most attempts: if it does not end, its caller sends it elsewhere. Any
// other takes as long as the longest recent one that was served here or elsewhere, or as the operator
// allows if there was none. While upstreams are silent, requests in flight show it; a search is
// answered without these.
func (d *Dispatcher) expectedDuration(now time.Time, route *routing.Route) time.Duration {
	stats := d.LatencyStats(route)
	expected := stats.HighLatency()
	if !route.Idempotent() {
		expected = max(stats.LongestAnswer(now), d.Stop.LongestElsewhere(route))
		if expected == 0 {
			return route.Timeout()
		}
	}
	if route.Gathers() {
		return expected
	}
	count, oldest := d.Stop.Overdue(now, route, expected)
	if stats.AnswersAfter(now, now.Add(-oldest)) >= minAnswersPerOverdue*count {
		return expected
	}
	return oldest
}

func (d *Dispatcher) schedule() (shutdown.Schedule, bool) {
	if d.Stop == nil {
		return shutdown.Schedule{}, false
	}
	return d.Stop.Schedule()
}

// stopBegun returns a channel that is closed when the host begins to stop; nil if it never does.
func (d *Dispatcher) stopBegun() <-chan struct{} {
	if d.Stop == nil {
		return nil
	}
	return d.Stop.Begun()
}

// stopContext returns the context of all attempts.
func (d *Dispatcher) stopContext() context.Context {
	if d.Stop == nil {
		return context.Background()
	}
	return d.Stop.Context()
}

// limitToStop makes the request end before the host has stopped, if the host stops.
func (f *inFlightRequest) limitToStop() {
	schedule, stopping := f.dispatcher.schedule()
	if !stopping {
		return
	}
	f.stopBegun = nil
	if !schedule.AnswerBy().Before(f.deadline) {
		return
	}
	f.deadline, f.isCutByStop = schedule.AnswerBy(), true
	f.answerDueAt = earlier(f.answerDueAt, f.deadline)
}

// upstreamBeginBy returns by when an upstream has to begin an attempt because the host stops; zero if it
// does not matter. Searches can do without late parts.
func (f *inFlightRequest) upstreamBeginBy() time.Time {
	schedule, stopping := f.dispatcher.schedule()
	if !stopping || f.route.Gathers() || f.goesOnInStop() {
		return time.Time{}
	}
	return schedule.BeginBy(f.dispatcher.expectedDuration(time.Now(), f.route))
}

// goesOnInStop reports whether the request goes on until the host has to answer it, even if it is not
// expected to end before: it may be repeated and has begun.
func (f *inFlightRequest) goesOnInStop() bool { return f.attempts > 0 && f.route.Idempotent() }

// cannotEndBeforeStop reports whether the host stops too early for an attempt that is due now.
func (f *inFlightRequest) cannotEndBeforeStop(now time.Time) bool {
	schedule, stopping := f.dispatcher.schedule()
	isDue := slices.ContainsFunc(f.parts, func(p *part) bool { return p.needsAttempt && !p.isDone() })
	if !stopping || !isDue || f.goesOnInStop() {
		return false
	}
	f.stopEstimate = newStopEstimate(now, schedule, f.dispatcher.expectedDuration(now, f.route), f.expectedWait(now))
	return !f.stopEstimate.isAccepted
}

// expectedWait returns how long the parts that an answer needs wait at their upstreams. The parts
// that wait longest may be left out.
func (f *inFlightRequest) expectedWait(now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(f.parts))
	for _, p := range f.parts {
		wait := time.Duration(0)
		if p.needsAttempt && !p.isDone() && !p.isAssigned() {
			wait = p.pool.ExpectedWait(now, f.requirements(p, 0))
		}
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(f.route.MinParts(), len(waits))-1]
}

// endsWithStop reports whether the time of the request is over because the host stops.
func (f *inFlightRequest) endsWithStop(now time.Time) bool {
	return f.isCutByStop && !now.Before(f.deadline)
}

// LimitRelayedToStop makes an attempt for another host end before this host has stopped. It reports
// false if the attempt must not be accepted: it would end too late, or it must not run twice, so
// that another host cannot send it again if it is cut.
func (d *Dispatcher) LimitRelayedToStop(now time.Time, a *upstream.Attempt, p *pool.Pool, r pool.Requirements) bool {
	schedule, stopping := d.schedule()
	if !stopping {
		return true
	}
	a.Deadline = earlier(a.Deadline, schedule.AnswerBy())
	return !a.RequireNewConnection && schedule.Admits(now, r.LatencyStats.HighLatency()+p.ExpectedWait(now, r))
}

// deadlineReason returns why a request is given up at its deadline.
func (f *inFlightRequest) deadlineReason() Reason {
	if f.isCutByStop {
		return ReasonStopping
	}
	return ReasonDeadline
}
