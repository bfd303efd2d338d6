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

// A Stop tells when the host stops. It is safe for concurrent use.
type Stop interface {
	// Begun returns a channel that is closed when the stop begins.
	Begun() <-chan struct{}
	// Schedule returns the schedule of the stop; false if the host does not stop.
	Schedule() (shutdown.Schedule, bool)
	// Context returns a context that ends when what is in flight is cancelled.
	Context() context.Context
	// OldestAge returns for how long the oldest request of a route has been in flight.
	OldestAge(now time.Time, route *routing.Route) time.Duration
}

// CanEndBeforeStop reports whether a request of a route that begins at now can be answered
// before the host has stopped.
func (d *Dispatcher) CanEndBeforeStop(now time.Time, route *routing.Route) bool {
	schedule, stopping := d.schedule()
	return !stopping || schedule.Admits(now, 0) && schedule.Admits(now, d.expectedDuration(now, route))
}

// expectedDuration returns how long a request of a route takes. A request that may be repeated is
// expected to take as long as most attempts: if it does not end, its caller sends it elsewhere. Any
// other takes as long as the longest recent one, or as the operator allows if there was none. While
// upstreams are silent, requests in flight show it; a search is answered without these.
func (d *Dispatcher) expectedDuration(now time.Time, route *routing.Route) time.Duration {
	stats := d.LatencyStats(route)
	expected := stats.HighLatency()
	if !route.Idempotent() {
		expected = stats.LongestAnswer(now)
		if expected == 0 {
			return route.Timeout()
		}
	}
	if route.Gathers() {
		return expected
	}
	return max(expected, d.Stop.OldestAge(now, route))
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

// cannotEndBeforeStop reports whether the host stops too early for an attempt that is due now. A
// request that may be repeated and has begun goes on: it may still get an answer in time.
func (f *inFlightRequest) cannotEndBeforeStop(now time.Time) bool {
	if f.attempts > 0 && f.route.Idempotent() {
		return false
	}
	isDue := slices.ContainsFunc(f.parts, func(p *part) bool { return p.needsAttempt && !p.isDone() })
	return isDue && !f.dispatcher.CanEndBeforeStop(now, f.route)
}

// endsWithStop reports whether the time of the request is over because the host stops.
func (f *inFlightRequest) endsWithStop(now time.Time) bool {
	return f.isCutByStop && !now.Before(f.deadline)
}

// LimitRelayedToStop makes an attempt for another host end before this host has stopped. It reports
// false if the attempt must not be accepted: it would end too late, or it must not run twice, so
// that another host cannot send it again if it is cut.
func (d *Dispatcher) LimitRelayedToStop(now time.Time, a *upstream.Attempt, stats *pool.LatencyStats) bool {
	schedule, stopping := d.schedule()
	if !stopping {
		return true
	}
	a.Deadline = earlier(a.Deadline, schedule.AnswerBy())
	return !a.RequireNewConnection && schedule.Admits(now, stats.HighLatency())
}

// deadlineReason returns why a request is given up at its deadline.
func (f *inFlightRequest) deadlineReason() Reason {
	if f.isCutByStop {
		return ReasonStopping
	}
	return ReasonDeadline
}
