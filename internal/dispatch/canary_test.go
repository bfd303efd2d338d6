package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// fakeAlerts are CrashAlerts whose alert holds for all services or none.
type fakeAlerts struct {
	holds, known bool

	mu       sync.Mutex
	raised   int
	recorded []uint64
	results  []CanaryResult
}

func (a *fakeAlerts) Hold(...string) bool { return a.holds }

func (a *fakeAlerts) IsKnown(uint64) bool { return a.known }

func (a *fakeAlerts) RecordKnown(fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recorded = append(a.recorded, fingerprint)
}

func (a *fakeAlerts) Raise(uint64, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.raised++
}

func (a *fakeAlerts) RecordCanary(_ uint64, _ string, r CanaryResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
}

// TestCanary guards against searches that go to all shards although an alert holds, and against
// searches that pay for an alert that does not concern them.
func TestCanary(t *testing.T) {
	const first = 1
	answers := func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) }
	ends := func(string, int, *upstream.Attempt) reaction { return losesConnection() }
	silent := func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} }
	for _, test := range []struct {
		name         string
		alerts       *fakeAlerts
		probe        upstream.Reachability
		react        func(string, int, *upstream.Attempt) reaction
		wantStatus   int
		wantAttempts int
		// wantFirst is how many attempts are made before any upstream responds or ends.
		wantFirst  int
		wantResult []CanaryResult
		wantRaised int
		maxElapsed time.Duration
	}{
		{"no alert", &fakeAlerts{}, upstream.Reachable, answers, 200, 4, 4, nil, 0, runDuration},
		{"no alert, all end", &fakeAlerts{}, upstream.NotListening, ends, 502, 4, 4, nil, 1, target},
		{"known search", &fakeAlerts{holds: true, known: true}, upstream.Reachable, answers, 200, 4, 4, nil, 0, runDuration},
		{"unknown search", &fakeAlerts{holds: true}, upstream.Reachable, answers, 200, 4, first, []CanaryResult{CanaryAnswered}, 0, 2 * runDuration},
		{"crashing search", &fakeAlerts{holds: true}, upstream.NotListening, ends, 502, 1, first, []CanaryResult{CanaryEnded}, 0, target},
		{"upstreams that went silent", &fakeAlerts{holds: true}, upstream.NotListening, silent, 502, maxCanaries, first, []CanaryResult{CanaryEnded}, 0, target + silenceProbeTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				started := 0
				d := newTestDispatcher(gatherRoute(0.75), func(id string, n int, a *upstream.Attempt) reaction {
					started++
					return test.react(id, n, a)
				})
				d.upstreams.probe = func() upstream.Reachability { return test.probe }
				d.Alerts = test.alerts
				var group work.Group
				group.Go(func() {
					time.Sleep(time.Millisecond)
					c.Check(started, qt.Equals, test.wantFirst)
				})
				a, elapsed := d.runRequest(context.Background())
				group.Wait()
				d.Group.Wait()
				c.Check(a.Status, qt.Equals, test.wantStatus)
				c.Check(d.upstreams.attemptOrder, qt.HasLen, test.wantAttempts)
				c.Check(test.alerts.results, qt.DeepEquals, test.wantResult)
				c.Check(test.alerts.raised, qt.Equals, test.wantRaised)
				c.Check(test.alerts.recorded, qt.HasLen, map[int]int{200: 1}[a.Status])
				c.Check(elapsed <= test.maxElapsed, qt.IsTrue, qt.Commentf("%v", elapsed))
			})
		})
	}
}

// TestCanarySparesLastUpstreams guards against canaries that take the last upstream of every
// service, and against alerts that refuse searches while upstreams are missing for other reasons.
func TestCanarySparesLastUpstreams(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost upstreams of each service have ended, and resting ones want no requests.
		lost, resting int
		minShardRatio float64
		want          int
		wantReason    Reason
	}{
		{"all services have two", 1, 0, 1, 200, ReasonNone},
		{"all services have one", 2, 0, 1, 503, ReasonAwaitingCanary},
		{"an answer can do without one service", 2, 0, 0.75, 200, ReasonNone},
		{"all services have one, others rest", 0, 2, 1, 200, ReasonNone},
		{"no service has any", 0, 3, 1, 503, ReasonNoUpstream},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(gatherRoute(test.minShardRatio), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
				alerts := &fakeAlerts{holds: true}
				d.Alerts = alerts
				now := time.Now()
				for _, p := range d.pools {
					for i := range test.lost + test.resting {
						a := p.Assign(now, pool.Requirements{LatencyStats: d.Dispatcher.LatencyStats(d.route)})
						if i < test.lost {
							p.RecordOutcome(now, a, upstream.Outcome{Result: upstream.Broken, UpstreamEnded: true})
							p.RecordReportedEnd(now, a.Upstream.LifetimeKey(), now)
							continue
						}
						p.RecordOutcome(now, a, upstream.Outcome{Result: upstream.Refused, RestUntil: now.Add(time.Minute)})
					}
				}
				a, _ := d.runRequest(context.Background())
				d.Group.Wait()
				c.Check(a.Status, qt.Equals, test.want)
				c.Check(a.Reason, qt.Equals, test.wantReason)
				c.Check(a.NotRun, qt.Equals, test.want == 503)
				c.Check(d.upstreams.attemptOrder, qt.HasLen, map[int]int{200: 4}[test.want])
				if a.Reason == ReasonAwaitingCanary {
					c.Check(a.RetryAfter, qt.Equals, canaryRetryDelay)
				}
			})
		})
	}
}

// TestAlertDuringSearch has an alert raised while a search is under way, some of whose upstreams
// have just ended and refuse connections. It must not send their parts to others that it may
// crash as well, before any upstream has responded.
func TestAlertDuringSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		alerts := &fakeAlerts{}
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id == "s0a" {
				return losesConnection()
			}
			if id[2] == 'a' {
				alerts.holds = true
				return reaction{delay: time.Millisecond, outcome: upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}}
			}
			return losesConnection()
		})
		d.upstreams.probe = func() upstream.Reachability { return upstream.NotListening }
		d.Alerts = alerts
		a, _ := d.runRequest(context.Background())
		d.Group.Wait()
		c.Check(a.Status, qt.Equals, 502)
		ran := 0
		for _, id := range d.upstreams.attemptOrder {
			if id == "s0a" || id[2] != 'a' {
				ran++
			}
		}
		c.Check(ran <= 2, qt.IsTrue, qt.Commentf("%v", d.upstreams.attemptOrder))
	})
}
