package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// A randomRequest is one request of a randomPlay.
type randomRequest struct {
	// at is when it is run, lateBy for how long it has been on its way by then.
	at, lateBy time.Duration
	// leavesAfter is when its caller leaves; zero if it does not.
	leavesAfter time.Duration
	account     string
	fingerprint int
}

// A randomPlay is a random order of events at one host.
type randomPlay struct {
	spec      routing.RouteSpec
	policy    pool.Policy
	requests  []randomRequest
	reactions []reaction
	// delays are for how long the goroutines of requests stand still, one after the other.
	delays []time.Duration
	// Zero times are those of events that do not happen.
	stopAt, groupStopAt, linksLostAt, fullUntil, upstreamsLeaveAt time.Duration
	isCold, isAlerted, isSuspect, areAccountsKnown                bool
	testDecision                                                  quarantine.Decision
	probe                                                         upstream.Reachability
}

func drawPlay(t *rapid.T) randomPlay {
	ms := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	// maybe draws a time from 1 ms, or none in three of four cases.
	maybe := func(high int, name string) time.Duration {
		if rapid.IntRange(0, 3).Draw(t, name+" happens") > 0 {
			return 0
		}
		return ms(1, high, name)
	}
	rarely := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
	p := randomPlay{
		spec:        rapid.SampledFrom([]routing.RouteSpec{gatherRoute(1), gatherRoute(0.75), gatherRoute(0.5), singleRoute(true), singleRoute(false)}).Draw(t, "route"),
		policy:      pool.Policy{ExtraRatio: 0.2, ExtraSlack: 5, Window: 10 * time.Second, LoadShare: rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "share"), MaxConcurrent: rapid.IntRange(1, 3).Draw(t, "concurrent")},
		stopAt:      maybe(300, "stop"),
		isCold:      rarely("cold"),
		isAlerted:   rarely("alerted"),
		isSuspect:   rarely("suspect"),
		fullUntil:   maybe(300, "full"),
		probe:       rapid.SampledFrom([]upstream.Reachability{upstream.Reachable, upstream.NotListening}).Draw(t, "probe"),
		delays:      rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 5 * time.Millisecond, 50 * time.Millisecond, 2 * target}), 1, 20).Draw(t, "delays"),
		reactions:   rapid.SliceOfN(rapid.Custom(drawReaction), 1, 12).Draw(t, "reactions"),
		groupStopAt: maybe(300, "group stop"), linksLostAt: maybe(200, "links lost"), upstreamsLeaveAt: maybe(200, "upstreams leave"),
		areAccountsKnown: rapid.IntRange(0, 3).Draw(t, "accounts") > 0,
		testDecision:     rapid.SampledFrom([]quarantine.Decision{quarantine.Suspect, quarantine.AwaitingTest, quarantine.Allowed}).Draw(t, "test"),
	}
	for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
		p.requests = append(p.requests, randomRequest{
			at: ms(0, 200, "at"), lateBy: rapid.SampledFrom([]time.Duration{0, 0, target / 4, 2 * target}).Draw(t, "late"), leavesAfter: maybe(300, "leaves"),
			account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), fingerprint: i,
		})
	}
	return p
}

func drawReaction(t *rapid.T) reaction {
	r := reaction{delay: time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * time.Millisecond}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		r.outcome = responds("s0a").outcome
	case 3:
		r.outcome = responds("s0a").outcome
		r.outcome.Limit = 20
	case 4:
		r.outcome = failed(rapid.SampledFrom([]int{http.StatusInternalServerError, http.StatusServiceUnavailable}).Draw(t, "status")).outcome
	case 5:
		r.outcome = upstream.Outcome{Result: rapid.SampledFrom([]upstream.Result{upstream.Refused, upstream.Misdirected, upstream.Unreachable}).Draw(t, "result")}
		r.outcome.NotForwarded = r.outcome.Result == upstream.Refused && rapid.Bool().Draw(t, "not forwarded")
		r.outcome.NoRoute = r.outcome.NotForwarded && rapid.Bool().Draw(t, "no route")
	case 6:
		r.outcome = upstream.Outcome{Result: upstream.Broken, ConnectionLost: rapid.Bool().Draw(t, "lost"), LinkLost: rapid.Bool().Draw(t, "link lost")}
	case 7:
		r.isSilent = true
	case 8:
		r.outcome = upstream.Outcome{Result: upstream.Unreachable, AtConnectionLimit: rapid.Bool().Draw(t, "at limit"), ConnectAborted: rapid.Bool().Draw(t, "aborted")}
	default:
		r.outcome = upstream.Outcome{Result: upstream.Refused, RestUntil: time.Now().Add(time.Second)}
	}
	return r
}

// A playedGuard is a CrashGuard that lets the goroutines of requests stand still and counts the
// permits that have not ended.
type playedGuard struct {
	*fakeGuard

	delays  []time.Duration
	checks  atomic.Int64
	permits atomic.Int64
}

func (g *playedGuard) Check(fingerprint uint64) quarantine.Verdict {
	time.Sleep(g.delays[int(g.checks.Add(1))%len(g.delays)])
	return g.fakeGuard.Check(fingerprint)
}

func (g *playedGuard) BeginTestRun(ctx context.Context, fingerprint uint64) (quarantine.Verdict, func(quarantine.TestResult)) {
	v, end := g.fakeGuard.BeginTestRun(ctx, fingerprint)
	if v.Decision == quarantine.Suspect {
		g.permits.Add(1)
	}
	return v, func(r quarantine.TestResult) {
		g.permits.Add(-1)
		end(r)
	}
}

// run plays the events and returns what is held after them.
func (p randomPlay) run() (held []string) {
	var mu sync.Mutex
	attempts := 0
	d := newTestDispatcherWithPolicy(p.spec, p.policy, func(string, int, *upstream.Attempt) reaction {
		mu.Lock()
		defer mu.Unlock()
		attempts++
		r := p.reactions[attempts%len(p.reactions)]
		if !r.outcome.RestUntil.IsZero() {
			r.outcome.RestUntil = time.Now().Add(time.Second)
		}
		return r
	})
	d.upstreams.probe = func() upstream.Reachability { return p.probe }
	recorder := &invariant.Recorder{}
	links := &scriptedLinks{fakeLinks: fakeLinks{upstreams: d.upstreams}, hears: true, changed: make(chan struct{})}
	d.Links = links
	for s, service := range d.pools {
		service.Recorder, service.Links = recorder, links
		service.Configure(time.Now(), p.upstreams(s, p.isCold, false), p.servicePolicy())
	}
	d.Alerts = &fakeAlerts{holds: p.isAlerted}
	guard := &playedGuard{fakeGuard: &fakeGuard{}, delays: p.delays}
	if p.isSuspect {
		guard.fakeGuard = &fakeGuard{verdict: quarantine.Verdict{Decision: quarantine.Suspect}, testRunDecision: p.testDecision}
	}
	d.Guard = guard
	waiting := 0.0
	d.OnWaiting = func(change float64) {
		mu.Lock()
		defer mu.Unlock()
		waiting += change
	}
	p.schedule(d, links)
	var requests work.Group
	for _, r := range p.requests {
		requests.Go(func() { p.send(d, r) })
	}
	requests.Wait()
	time.Sleep(2 * timeout)
	d.Group.Wait()
	time.Sleep(time.Minute)
	for _, h := range append(d.Holdings(), invariant.Holding{What: "permits", Count: int(guard.permits.Load())}, invariant.Holding{What: "waiting", Count: int(waiting)}, invariant.Holding{What: "running attempts", Count: d.Running()}) {
		if h.Count != 0 {
			held = append(held, fmt.Sprintf("%d %s", h.Count, h.What))
		}
	}
	for s, service := range d.pools {
		if n := service.Held(); n != 0 {
			held = append(held, fmt.Sprintf("%d assignments at %s", n, s))
		}
		if delay := service.TurnDelay(time.Now(), pool.Requirements{LatencyStats: d.LatencyStats(d.route)}); delay != 0 {
			held = append(held, fmt.Sprintf("no turn at %s for %s", s, delay))
		}
		if ratio := service.RemainingExtraRatio(time.Now()); ratio != 1 {
			held = append(held, fmt.Sprintf("budget of %s at %v", s, ratio))
		}
	}
	for _, v := range recorder.Violations() {
		held = append(held, v.Error())
	}
	slices.Sort(held)
	return held
}

func (p randomPlay) servicePolicy() pool.Policy {
	policy := p.policy
	if p.isCold {
		policy.ColdLimit = &pool.ColdLimit{Rate: 20, Burst: 2, RefusalPeriod: 20 * time.Millisecond}
	}
	return policy
}

// upstreams returns the upstreams of a service; two of three if one has left.
func (randomPlay) upstreams(service string, areCold, hasLeft bool) []inventory.Upstream {
	i := inventory.New()
	var specs []inventory.UpstreamSpec
	ids := []string{"a", "b", "c"}
	if hasLeft {
		ids = ids[:2]
	}
	for _, id := range ids {
		spec := inventory.UpstreamSpec{ID: service + id, Service: service, Address: service + id, DataCenter: id, Slots: slotCount}
		if areCold {
			spec.ColdRemaining, spec.Sequence = time.Second, 1
		}
		specs = append(specs, spec)
	}
	i.Update(time.Now(), specs)
	upstreams := append(i.ForService(service), inventory.NewDetour(service, detourAddress, "a", slotCount))
	if areCold {
		upstreams = append(upstreams, inventory.NewColdSender(service, "cold:1", "a", slotCount))
	}
	return upstreams
}

// schedule starts the events that are not requests.
func (p randomPlay) schedule(d *testDispatcher, links *scriptedLinks) {
	after := func(at time.Duration, do func()) {
		if at > 0 {
			time.AfterFunc(at, do)
		}
	}
	if p.fullUntil > 0 {
		time.AfterFunc(p.fullUntil, d.fill("s0"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStop{begun: make(chan struct{}), ctx: ctx}
	d.Stop = s
	after(p.stopAt, func() {
		s.schedule = shutdown.NewSchedule(time.Now(), stopGrace)
		time.AfterFunc(time.Until(s.schedule.CancelAt()), cancel)
		close(s.begun)
	})
	after(p.groupStopAt, d.Group.Wait)
	after(p.linksLostAt, links.lose)
	after(p.upstreamsLeaveAt, func() {
		for s, service := range d.pools {
			service.Configure(time.Now(), p.upstreams(s, false, true), p.servicePolicy())
		}
	})
}

func (p randomPlay) send(d *testDispatcher, r randomRequest) {
	time.Sleep(r.at)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.leavesAfter > 0 {
		time.AfterFunc(r.leavesAfter, cancel)
	}
	request := &Request{ID: fmt.Sprint("r", r.fingerprint), Method: http.MethodGet, Target: fmt.Sprint("/", r.fingerprint), Host: "h", ArrivedAt: time.Now().Add(-r.lateBy)}
	if p.areAccountsKnown {
		request.Account = account.NewDirectory([]account.Spec{{Name: "a"}, {Name: "b", HasPriority: true, Priority: 1}}).ByName(r.account)
	}
	d.Run(ctx, request, d.route, 1)
}

// TestNoOrderOfEventsLosesWhatRequestsTake guards against a host that serves less and less, because
// some way in which a request ends does not give back what the request has taken.
func TestNoOrderOfEventsLosesWhatRequestsTake(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		play := drawPlay(rt)
		var held []string
		synctest.Test(t, func(*testing.T) { held = play.run() })
		if len(held) > 0 {
			rt.Fatalf("held after all requests have ended: %s", strings.Join(held, "; "))
		}
	})
}
