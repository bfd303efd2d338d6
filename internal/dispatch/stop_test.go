package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// stopGrace is the grace of the stops in these tests. It is shorter than the timeout of requests.
const stopGrace = 600 * time.Millisecond

// A fakeStop is a Stop that a test begins.
type fakeStop struct {
	begun    chan struct{}
	ctx      context.Context
	schedule shutdown.Schedule
	oldest   time.Duration
	// elsewhere is what other hosts tell.
	elsewhere time.Duration
}

var _ Stop = (*fakeStop)(nil)

func (s *fakeStop) Begun() <-chan struct{} { return s.begun }

func (s *fakeStop) Context() context.Context { return s.ctx }

func (s *fakeStop) LongestElsewhere(*routing.Route) time.Duration { return s.elsewhere }

func (s *fakeStop) Overdue(_ time.Time, _ *routing.Route, expected time.Duration) (count int, oldest time.Duration) {
	if s.oldest <= expected {
		return 0, 0
	}
	return 1, s.oldest
}

func (s *fakeStop) Schedule() (shutdown.Schedule, bool) {
	select {
	case <-s.begun:
		return s.schedule, true
	default:
		return shutdown.Schedule{}, false
	}
}

// stopAfter lets a dispatcher's host begin to stop after a delay.
func (t *testDispatcher) stopAfter(delay time.Duration) *fakeStop {
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStop{begun: make(chan struct{}), ctx: ctx}
	t.Stop = s
	time.AfterFunc(delay, func() {
		s.schedule = shutdown.NewSchedule(time.Now(), stopGrace)
		time.AfterFunc(time.Until(s.schedule.CancelAt()), cancel)
		close(s.begun)
	})
	return s
}

// TestStopGivesEveryRequestItsFinalAnswer guards against requests that wait for upstreams, for room or
// for a test run when the host is killed, and against refusals of requests that have run.
func TestStopGivesEveryRequestItsFinalAnswer(t *testing.T) {
	silent := func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} }
	silentShard := func(id string, _ int, _ *upstream.Attempt) reaction {
		if id[:2] == "s1" {
			return reaction{isSilent: true}
		}
		return responds(id)
	}
	tests := []struct {
		name    string
		spec    routing.RouteSpec
		react   func(id string, n int, a *upstream.Attempt) reaction
		suspect bool
		// stopAfter is when the stop begins, before the request if it is negative.
		stopAfter time.Duration
		status    int
		reason    Reason
		missing   int
		// answeredAfter is how long after the begin of the stop the answer is due; negative for any time before
		// AnswerBy.
		answeredAfter time.Duration
		arrives       bool
	}{
		{name: "silent upstream", spec: singleRoute(true), react: silent, stopAfter: 10 * time.Millisecond, status: http.StatusGatewayTimeout, reason: ReasonStopping, answeredAfter: stopGrace * 5 / 6, arrives: true},
		{name: "silent upstream, must not run twice", spec: singleRoute(false), react: silent, stopAfter: 10 * time.Millisecond, status: http.StatusGatewayTimeout, reason: ReasonStopping, answeredAfter: stopGrace * 5 / 6, arrives: true},
		{name: "search with enough parts", spec: gatherRoute(0.75), react: silentShard, stopAfter: 10 * time.Millisecond, status: http.StatusOK, missing: 1, answeredAfter: -1, arrives: true},
		{name: "search with too few parts", spec: gatherRoute(1), react: silentShard, stopAfter: 10 * time.Millisecond, status: http.StatusGatewayTimeout, reason: ReasonStopping, answeredAfter: stopGrace * 5 / 6, arrives: true},
		{name: "test run at a silent upstream", spec: singleRoute(false), react: silent, suspect: true, stopAfter: 10 * time.Millisecond, status: http.StatusGatewayTimeout, reason: ReasonStopping, answeredAfter: stopGrace * 5 / 6, arrives: true},
		{
			name: "upstream answers in the grace", spec: singleRoute(false), stopAfter: 10 * time.Millisecond, status: http.StatusOK, answeredAfter: 390 * time.Millisecond, arrives: true,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				r := responds(id)
				r.delay = 400 * time.Millisecond
				return r
			},
		},
		{name: "longer than the rest of the grace", spec: singleRoute(false), react: silent, stopAfter: -10 * time.Millisecond, status: http.StatusServiceUnavailable, reason: ReasonStopping, answeredAfter: 10 * time.Millisecond},
		{
			name: "refused by its upstream in the stop", spec: singleRoute(false), stopAfter: 10 * time.Millisecond, status: http.StatusServiceUnavailable, reason: ReasonStopping, answeredAfter: 290 * time.Millisecond, arrives: true,
			react: func(string, int, *upstream.Attempt) reaction {
				return reaction{delay: 300 * time.Millisecond, outcome: upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: http.StatusServiceUnavailable}}}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(test.spec, test.react)
				guard := &fakeGuard{}
				if test.suspect {
					guard = &fakeGuard{verdict: quarantine.Verdict{Decision: quarantine.Suspect}, testRunDecision: quarantine.Suspect}
				}
				d.Guard = guard
				s := d.stopAfter(max(0, test.stopAfter))
				time.Sleep(max(0, -test.stopAfter))
				answer, _ := d.runRequest(context.Background())
				took := time.Since(s.schedule.BeganAt())
				c.Check(answer.Status, qt.Equals, test.status)
				c.Check(answer.Reason, qt.Equals, test.reason)
				if answer.Status == http.StatusOK {
					c.Check(answer.MissingParts, qt.Equals, test.missing)
				}
				c.Check(answer.NotRun, qt.Equals, test.status == http.StatusServiceUnavailable)
				c.Check(took < stopGrace, qt.IsTrue, qt.Commentf("answered %v after the stop began", took))
				if test.answeredAfter >= 0 {
					c.Check(took, qt.Equals, test.answeredAfter)
				}
				d.upstreams.mu.Lock()
				c.Check(len(d.upstreams.attemptOrder) > 0, qt.Equals, test.arrives)
				d.upstreams.mu.Unlock()
				if test.suspect {
					c.Check(guard.testResults, qt.DeepEquals, []quarantine.TestResult{quarantine.TestNotRun})
				}
				time.Sleep(2 * timeout)
				d.Group.Wait()
			})
		})
	}
}

// TestExpectedDurationInAStop checks what decides whether a request can end before its host has stopped.
func TestExpectedDurationInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, idempotent := range []bool{true, false} {
			d := newTestDispatcher(singleRoute(idempotent), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
			s := d.stopAfter(0)
			synctest.Wait()
			now := time.Now()
			unknown := target
			if !idempotent {
				unknown = timeout
			}
			c.Check(d.expectedDuration(now, d.route), qt.Equals, unknown)
			s.elsewhere = 20 * time.Millisecond
			if !idempotent {
				c.Check(d.expectedDuration(now, d.route), qt.Equals, s.elsewhere)
			}
			d.LatencyStats(d.route).RecordAnswer(now, 30*time.Millisecond, 0)
			if !idempotent {
				c.Check(d.expectedDuration(now, d.route), qt.Equals, 30*time.Millisecond)
			}
			s.oldest = 250 * time.Millisecond
			c.Check(d.expectedDuration(now, d.route), qt.Equals, s.oldest)
			s.elsewhere = 0
			c.Check(d.expectedDuration(now.Add(time.Minute), d.route), qt.Equals, max(unknown, s.oldest))
		}
	})
}

// TestOneHangingRequestRefusesNoOthersInAStop guards against a stopping host that refuses all requests of a
// route because one is not answered.
func TestOneHangingRequestRefusesNoOthersInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, idempotent := range []bool{true, false} {
			c := qt.New(t)
			hangs := false
			d := newTestDispatcher(singleRoute(idempotent), func(id string, _ int, _ *upstream.Attempt) reaction {
				r := responds(id)
				r.isSilent = hangs
				return r
			})
			s := d.stopAfter(time.Hour)
			serve := func(count int) {
				for range count {
					d.runRequest(context.Background())
					time.Sleep(runDuration)
				}
			}
			serve(100)
			hangs = true
			answer, _ := d.runRequest(context.Background())
			c.Check(answer.Status, qt.Equals, http.StatusGatewayTimeout)
			c.Check(d.expectedDuration(time.Now(), d.route) <= 2*runDuration, qt.IsTrue, qt.Commentf("after a request without an answer"))
			// One that is still in flight, first while others are answered, then while none is.
			hangs, s.oldest = false, 3*time.Second
			serve(300)
			c.Check(d.expectedDuration(time.Now(), d.route) <= 2*runDuration, qt.IsTrue, qt.Commentf("while a request hangs"))
			time.Sleep(3 * time.Second)
			c.Check(d.expectedDuration(time.Now(), d.route), qt.Equals, s.oldest)
			d.Group.Wait()
		}
	})
}
