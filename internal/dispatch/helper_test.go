package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	target      = 80 * time.Millisecond
	timeout     = 800 * time.Millisecond
	runDuration = 5 * time.Millisecond
	slotCount   = 2
	// testCallerAllowance is the CallerAllowance of the tests.
	testCallerAllowance = 10 * time.Millisecond
)

// A reaction is what an upstream does with an attempt.
type reaction struct {
	delay   time.Duration
	outcome upstream.Outcome
	// isSilent is set if the upstream never responds.
	isSilent bool
}

// fakeUpstreams is an Exchanger whose upstreams react as the test sets.
type fakeUpstreams struct {
	// react returns the reaction to the n-th attempt at an upstream.
	react func(id string, n int, a *upstream.Attempt) reaction
	// probe returns the result of a probe; nil if all upstreams are reachable.
	probe func() upstream.Reachability

	mu           sync.Mutex
	attempts     map[string]int
	attemptOrder []string
	canceled     int
}

var _ upstream.Exchanger = (*fakeUpstreams)(nil)

func (f *fakeUpstreams) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Outcome {
	f.mu.Lock()
	n := f.attempts[a.UpstreamID]
	f.attempts[a.UpstreamID]++
	f.attemptOrder = append(f.attemptOrder, a.UpstreamID)
	r := f.react(a.UpstreamID, n, a)
	f.mu.Unlock()
	delay := r.delay
	if r.isSilent {
		delay = time.Hour
	}
	timer := time.NewTimer(min(delay, time.Until(a.Deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
		if time.Now().Before(a.Deadline) {
			return r.outcome
		}
		return upstream.Outcome{Result: upstream.Aborted}
	case <-ctx.Done():
		f.mu.Lock()
		f.canceled++
		f.mu.Unlock()
		return upstream.Outcome{Result: upstream.Aborted}
	}
}

func (*fakeUpstreams) IdleCount(string) int { return 1 }

func (*fakeUpstreams) CloseIdleConnections(string) {}

func (f *fakeUpstreams) Probe(context.Context, string) upstream.Reachability {
	if f.probe == nil {
		return upstream.Reachable
	}
	return f.probe()
}

// silenceProbeTimeout is how long probes of silent upstreams take.
const silenceProbeTimeout = 400 * time.Millisecond

// fakeLinks are links of which other hosts say the same as this one: an upstream that does not
// answer a probe has ended.
type fakeLinks struct{ upstreams *fakeUpstreams }

var _ Links = fakeLinks{}

func (fakeLinks) AllowsConnection(uint64) bool { return true }

func (fakeLinks) Changed() <-chan struct{} { return nil }

func (l fakeLinks) CheckUpstream(ctx context.Context, u inventory.Upstream, _ time.Time) reachability.Condition {
	if l.upstreams.Probe(ctx, u.Address()) == upstream.Reachable {
		return reachability.Running
	}
	return reachability.Ended
}

func (fakeLinks) HeardSince(time.Time) bool { return true }

func (fakeLinks) HeardFromSince(string, time.Time) bool { return true }

func (fakeLinks) IsPartitioned() bool { return false }

func (fakeLinks) RecordOutcome(inventory.Upstream, time.Time, upstream.Outcome) {}

func (fakeLinks) RecordRelay(string, upstream.Outcome) {}

func (fakeLinks) RecordSilence(inventory.Upstream, time.Time) {}

// A fakeGuard is a CrashGuard with a fixed verdict. It permits test runs.
type fakeGuard struct {
	mu      sync.Mutex
	verdict quarantine.Verdict
	// testRunDecision is the decision of BeginTestRun; Suspect permits the test run.
	testRunDecision quarantine.Decision
	testResults     []quarantine.TestResult
	crashes         []pool.Crash
	answered        []string
}

var _ CrashGuard = (*fakeGuard)(nil)

func (g *fakeGuard) BeginTestRun(context.Context, uint64) (quarantine.Verdict, func(quarantine.TestResult)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return quarantine.Verdict{Decision: g.testRunDecision, Wait: time.Second, Service: g.verdict.Service}, func(result quarantine.TestResult) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.testResults = append(g.testResults, result)
		if result == quarantine.TestAnswered {
			g.verdict = quarantine.Verdict{}
		}
	}
}

func (g *fakeGuard) Check(uint64) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict
}

func (g *fakeGuard) RecordAnswers(_ uint64, services []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = append(g.answered, services...)
}

func (g *fakeGuard) RecordCrashes(crashes []pool.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes = append(g.crashes, crashes...)
}

// testDispatcher is a Dispatcher over services s0, s1, ... with upstreams a, b and
// c each.
type testDispatcher struct {
	*Dispatcher
	upstreams *fakeUpstreams
	route     *routing.Route
	pools     map[string]*pool.Pool

	mu        sync.Mutex
	summaries []Summary
}

func newTestDispatcher(spec routing.RouteSpec, react func(id string, n int, a *upstream.Attempt) reaction) *testDispatcher {
	return newTestDispatcherWithPolicy(spec, pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3}, react)
}

func newTestDispatcherWithPolicy(spec routing.RouteSpec, policy pool.Policy, react func(id string, n int, a *upstream.Attempt) reaction) *testDispatcher {
	t := &testDispatcher{upstreams: &fakeUpstreams{react: react, attempts: make(map[string]int)}, pools: make(map[string]*pool.Pool)}
	spec.Prefix, spec.Host, spec.Timeout, spec.LatencyTarget = "/", "h", timeout, target
	t.route = routing.NewTable(1, []routing.RouteSpec{spec}, nil, routing.Limits{}).Match("h", "/")
	services := slices.Clone(spec.Shards)
	for _, d := range spec.Destinations {
		services = append(services, d.Service)
	}
	for _, s := range services {
		i := inventory.New()
		var specs []inventory.UpstreamSpec
		for _, id := range []string{"a", "b", "c"} {
			specs = append(specs, inventory.UpstreamSpec{ID: s + id, Service: s, Address: s + id, DataCenter: id, Slots: slotCount})
		}
		i.Update(time.Now(), specs)
		t.pools[s] = &pool.Pool{DataCenter: "a", IdleCount: t.upstreams.IdleCount}
		t.pools[s].Configure(time.Now(), i.ForService(s), policy)
		for range 100 {
			t.pools[s].RecordRequest(time.Now())
		}
	}
	latencyStats := pool.NewLatencyStats(target, t.route.Gathers())
	t.Dispatcher = &Dispatcher{
		Exchanger: t.upstreams, Pool: func(s string) *pool.Pool { return t.pools[s] },
		LatencyStats: func(*routing.Route) *pool.LatencyStats { return latencyStats },
		Links:        fakeLinks{upstreams: t.upstreams}, Guard: &fakeGuard{}, Alerts: &fakeAlerts{}, OnAttempt: func(*upstream.Attempt, uint64, upstream.Outcome) {},
		OnLeaving: func(inventory.Upstream, string) {},
		OnFinish:  t.recordSummary, CallerAllowance: testCallerAllowance, Group: &work.Group{},
	}
	return t
}

func (t *testDispatcher) recordSummary(s Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summaries = append(t.summaries, s)
}

func (t *testDispatcher) runRequest(ctx context.Context) (Answer, time.Duration) {
	startedAt := time.Now()
	answer := t.Run(ctx, &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h"}, t.route, 1)
	return answer, time.Since(startedAt)
}

func gatherRoute(minShardRatio float64) routing.RouteSpec {
	return routing.RouteSpec{
		Name: "g", MaxAttempts: 2, Shards: []string{"s0", "s1", "s2", "s3"}, MaxRecords: 3, MinShardRatio: minShardRatio,
	}
}

func singleRoute(idempotent bool) routing.RouteSpec {
	return routing.RouteSpec{
		Name: "one", MaxAttempts: 2, Idempotent: idempotent, Destinations: []routing.Destination{{Service: "s0", Weight: 1}},
	}
}

func responds(id string) reaction {
	return reaction{delay: runDuration, outcome: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{
		Status: http.StatusOK, Signature: "sig-" + id, Body: bytes.Repeat([]byte(id[1:2]), RecordSize),
	}}}
}

func endsWith(result upstream.Result) reaction {
	return reaction{delay: time.Millisecond, outcome: upstream.Outcome{Result: result}}
}
