package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// losesConnection is the reaction of an upstream that ends.
func losesConnection() reaction {
	return reaction{delay: 2 * time.Millisecond, outcome: upstream.Outcome{Result: upstream.Broken, ConnectionLost: true, Err: errors.New("EOF")}}
}

// TestCrashingSearchIsNotRetried has each upstream that runs a search end. The search must
// be given up after its first attempts, at once, and all of them be reported as crashes.
func TestCrashingSearchIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(string, int, *upstream.Attempt) reaction { return losesConnection() })
		d.upstreams.probe = func() upstream.Reachability { return upstream.NotListening }
		guard := &fakeGuard{}
		d.Guard = guard
		a, elapsed := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, http.StatusBadGateway)
		c.Check(a.Reason, qt.Equals, ReasonCrashSuspected)
		c.Check(elapsed < target, qt.IsTrue, qt.Commentf("%v", elapsed))
		c.Check(d.upstreams.attemptOrder, qt.HasLen, 4)
		c.Check(guard.crashes, qt.HasLen, 4)
	})
}

// TestSilentSearchIsGivenUp has all upstreams go silent. If no connection to them can be
// opened, the search must be given up without further attempts, long before its timeout.
func TestSilentSearchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} })
		d.upstreams.probe = func() upstream.Reachability {
			time.Sleep(silenceProbeTimeout)
			return upstream.NoResponse
		}
		guard := &fakeGuard{}
		d.Guard = guard
		a, elapsed := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Reason, qt.Equals, ReasonCrashSuspected)
		c.Check(elapsed < target+silenceProbeTimeout, qt.IsTrue, qt.Commentf("%v", elapsed))
		c.Check(d.upstreams.attemptOrder, qt.HasLen, 4)
		c.Check(len(guard.crashes) >= maxSilenceProbes, qt.IsTrue)
	})
}

// TestSilentLookupIsGivenUp has both upstreams of a request to one service go silent. It must
// be given up once no connection to them can be opened, long before its timeout.
func TestSilentLookupIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(singleRoute(true), func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} })
		d.upstreams.probe = func() upstream.Reachability {
			time.Sleep(silenceProbeTimeout)
			return upstream.NoResponse
		}
		guard := &fakeGuard{}
		d.Guard = guard
		a, elapsed := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, http.StatusBadGateway)
		c.Check(a.Reason, qt.Equals, ReasonCrashSuspected)
		c.Check(elapsed < 2*target+silenceProbeTimeout, qt.IsTrue, qt.Commentf("%v", elapsed))
		c.Check(d.upstreams.attemptOrder, qt.HasLen, 2)
		c.Check(guard.crashes, qt.HasLen, 2)
	})
}

// TestCallerThatLeavesSilentUpstreams has a caller leave while the upstreams of its request
// have been silent for long. Their ends must be recorded all the same, but no upstream be
// probed whose attempt has just begun.
func TestCallerThatLeavesSilentUpstreams(t *testing.T) {
	for _, test := range []struct {
		name     string
		patience time.Duration
		want     int
	}{
		{"silent for long", 3 * target, 2},
		{"just begun", runDuration, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(singleRoute(true), func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} })
				var probes atomic.Int64
				d.upstreams.probe = func() upstream.Reachability {
					probes.Add(1)
					time.Sleep(silenceProbeTimeout)
					return upstream.NoResponse
				}
				guard := &fakeGuard{}
				d.Guard = guard
				ctx, cancel := context.WithTimeout(context.Background(), test.patience)
				defer cancel()
				a, _ := d.runRequest(ctx)
				d.Group.Wait()
				c.Check(a.Reason, qt.Equals, ReasonCallerDisconnected)
				c.Check(guard.crashes, qt.HasLen, test.want)
				c.Check(probes.Load() > 0, qt.Equals, test.want > 0)
			})
		})
	}
}

// TestEndedUpstreamIsReplaced has one upstream of a search end while the others answer.
// Its part must be answered by another upstream on time, and no crash be reported.
func TestEndedUpstreamIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ended := false
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id[:2] == "s0" && !ended {
				ended = true
				return losesConnection()
			}
			return responds(id)
		})
		d.upstreams.probe = func() upstream.Reachability { return upstream.NotListening }
		guard := &fakeGuard{}
		d.Guard = guard
		a, elapsed := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, http.StatusOK)
		c.Check(a.MissingParts, qt.Equals, 0)
		c.Check(elapsed < target, qt.IsTrue, qt.Commentf("%v", elapsed))
		c.Check(guard.crashes, qt.HasLen, 0)
		c.Check(guard.answered, qt.DeepEquals, []string{"s0", "s1", "s2", "s3"})
	})
}

// TestTestRun checks the test run of a suspect request: one attempt first, the others only
// after a response; no attempt without permission.
func TestTestRun(t *testing.T) {
	unreachable := reaction{outcome: upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}}
	for _, test := range []struct {
		name     string
		decision quarantine.Decision
		react    func(id string, n int) reaction
		status   int
		reason   Reason
		attempts int
		results  []quarantine.TestResult
	}{
		{"answered", quarantine.Suspect, func(id string, _ int) reaction { return responds(id) }, 200, ReasonNone, 4, []quarantine.TestResult{quarantine.TestAnswered}},
		{"upstream ends", quarantine.Suspect, func(string, int) reaction { return losesConnection() }, 502, ReasonCrashSuspected, 1, []quarantine.TestResult{quarantine.TestUnanswered}},
		{"upstream silent", quarantine.Suspect, func(string, int) reaction { return reaction{isSilent: true} }, 502, ReasonCrashSuspected, 1, []quarantine.TestResult{quarantine.TestUnanswered}},
		{"another one after an unreachable one", quarantine.Suspect, func(id string, _ int) reaction {
			if id == "s0a" {
				return unreachable
			}
			return responds(id)
		}, 200, ReasonNone, 5, []quarantine.TestResult{quarantine.TestAnswered}},
		{"none reachable", quarantine.Suspect, func(string, int) reaction { return unreachable }, 503, ReasonBusy, 6, []quarantine.TestResult{quarantine.TestNotRun}},
		{"test run elsewhere", quarantine.AwaitingTest, func(id string, _ int) reaction { return responds(id) }, 503, ReasonAwaitingTest, 0, nil},
		{"quarantined elsewhere", quarantine.Quarantined, func(id string, _ int) reaction { return responds(id) }, 503, ReasonQuarantined, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var attempts []*upstream.Attempt
				d := newTestDispatcher(gatherRoute(0.75), func(id string, n int, a *upstream.Attempt) reaction {
					attempts = append(attempts, a)
					return test.react(id, n)
				})
				d.upstreams.probe = func() upstream.Reachability { return upstream.NotListening }
				guard := &fakeGuard{verdict: quarantine.Verdict{Decision: quarantine.Suspect, Service: ServiceKey("s0")}, testRunDecision: test.decision}
				d.Guard = guard
				a, _ := d.runRequest(context.Background())
				d.Group.Wait()
				c.Check(a.Status, qt.Equals, test.status)
				c.Check(a.Reason, qt.Equals, test.reason)
				c.Check(a.RetryAfter > 0, qt.Equals, test.status != http.StatusOK)
				c.Check(attempts, qt.HasLen, test.attempts, qt.Commentf("%v", d.upstreams.attemptOrder))
				c.Check(guard.testResults, qt.DeepEquals, test.results)
				if test.attempts > 0 {
					c.Check(attempts[0].RequireNewConnection, qt.IsTrue)
					c.Check(attempts[0].UpstreamID, qt.Equals, "s0a")
				}
				c.Check(slices.ContainsFunc(guard.crashes, func(p pool.Crash) bool { return p.TestRun }), qt.Equals, test.reason == ReasonCrashSuspected)
			})
		})
	}
}

// TestEvidenceStopsFurtherAttempts has evidence arrive while a request waits for its first
// attempts, and while it would retry one. No further attempt may start.
func TestEvidenceStopsFurtherAttempts(t *testing.T) {
	for _, retries := range []bool{false, true} {
		t.Run(fmt.Sprint("retries ", retries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				guard := &fakeGuard{}
				bar := func() {
					guard.mu.Lock()
					defer guard.mu.Unlock()
					guard.verdict = quarantine.Verdict{Decision: quarantine.Quarantined, Wait: time.Minute}
				}
				d := newTestDispatcher(singleRoute(true), func(string, int, *upstream.Attempt) reaction {
					bar()
					return reaction{outcome: upstream.Outcome{Result: upstream.Broken}}
				})
				d.Guard = guard
				want, status := 1, http.StatusBadGateway
				if !retries {
					for range 3 * slotCount {
						c.Assert(d.pools["s0"].Assign(time.Now(), pool.Requirements{LatencyStats: d.LatencyStats(d.route)}), qt.IsNotNil)
					}
					for d.pools["s0"].Assign(time.Now(), pool.Requirements{LatencyStats: d.LatencyStats(d.route)}) != nil {
						continue
					}
					time.AfterFunc(2*placementRetryInterval, bar)
					want, status = 0, http.StatusServiceUnavailable
				}
				a, _ := d.runRequest(context.Background())
				d.Group.Wait()
				c.Check(a.Status, qt.Equals, status)
				c.Check(a.Reason, qt.Equals, ReasonQuarantined)
				c.Check(a.RetryAfter, qt.Equals, time.Minute)
				c.Check(d.upstreams.attemptOrder, qt.HasLen, want)
			})
		})
	}
}
