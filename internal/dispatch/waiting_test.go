package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// An accountLoad is what one account sends: perSecond requests, times factor from 2 to 5 s.
type accountLoad struct {
	spec              account.Spec
	perSecond, factor float64
}

// An accountResult is what the callers of one account got from settleTime after the start of
// the flood until its end.
type accountResult struct {
	// parts counts the parts of the answers in time, missing those that they lack.
	sent, served, parts, missing, late, failed int
	elapsed                                    []time.Duration
}

func (a accountResult) share() float64 { return float64(a.served) / float64(max(1, a.sent)) }

func (a accountResult) plus(b accountResult) accountResult {
	return accountResult{
		sent: a.sent + b.sent, served: a.served + b.served, parts: a.parts + b.parts, missing: a.missing + b.missing,
		late: a.late + b.late, failed: a.failed + b.failed, elapsed: slices.Concat(a.elapsed, b.elapsed),
	}
}

func (a accountResult) quantile(q float64) time.Duration {
	if len(a.elapsed) == 0 {
		return 0
	}
	slices.Sort(a.elapsed)
	return a.elapsed[min(len(a.elapsed)-1, int(q*float64(len(a.elapsed))))]
}

const (
	floodStart = 2 * time.Second
	floodEnd   = 5 * time.Second
	// settleTime is how long hosts may take to find out that upstreams lack capacity:
	// attempts that take almost twice the target have to end twice.
	settleTime = 500 * time.Millisecond
	loadEnd    = 5500 * time.Millisecond
)

// playAccounts plays the loads of accounts. If areKnown is false, the requests carry no
// account, as without accounts in the configuration. Several hosts use the same upstreams
// over two connections each.
func playAccounts(t *testing.T, spec routing.RouteSpec, react func(string, int, *upstream.Attempt) reaction, loads []accountLoad, areKnown bool, hosts int) map[string]accountResult {
	t.Helper()
	results := make(map[string]accountResult)
	admissions := make(map[Admission]int)
	synctest.Test(t, func(*testing.T) {
		policy := soleHostPolicy
		if hosts > 1 {
			policy.LoadShare, policy.MaxConcurrent = 1/float64(hosts), 2
		}
		var fleet []*testDispatcher
		for range hosts {
			fleet = append(fleet, newTestDispatcherWithPolicy(spec, policy, react))
		}
		startedAt := time.Now()
		var mu sync.Mutex
		var senders, requests work.Group
		for i, l := range loads {
			a := account.NewDirectory([]account.Spec{l.spec}).ByName(l.spec.Name)
			random := rand.New(rand.NewPCG(uint64(i), 1))
			senders.Go(func() {
				for n := 0; time.Since(startedAt) < loadEnd; n++ {
					since := time.Since(startedAt)
					isFlood := since >= floodStart && since < floodEnd
					d := fleet[random.IntN(hosts)]
					requests.Go(func() {
						r := sendForAccount(d, fmt.Sprint(l.spec.Name, "-", n), a, areKnown)
						mu.Lock()
						defer mu.Unlock()
						if isFlood && since >= floodStart+settleTime {
							results[l.spec.Name] = results[l.spec.Name].add(r)
						}
					})
					perSecond := l.perSecond
					if isFlood && l.factor > 0 {
						perSecond *= l.factor
					}
					time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				}
			})
		}
		senders.Wait()
		requests.Wait()
		for _, d := range fleet {
			d.Group.Wait()
			for _, s := range d.summaries {
				admissions[s.Admission]++
			}
		}
	})
	t.Logf("admissions %v", admissions)
	if !areKnown && len(admissions) != 1 {
		t.Errorf("requests without an account have waited in order: %v", admissions)
	}
	return results
}

func (a accountResult) add(r callerResult) accountResult {
	a.sent++
	switch {
	case r.wasServed():
		a.served++
		answer := r.first
		if answer.Status != http.StatusOK {
			answer = r.second
		}
		a.parts += max(1, len(answer.Signatures))
		a.missing += answer.MissingParts
	case r.first.Status == http.StatusOK || r.second.Status == http.StatusOK:
		a.late++
	default:
		a.failed++
	}
	switch {
	case r.first.Status == http.StatusOK:
		a.elapsed = append(a.elapsed, r.firstElapsed)
	case r.second.Status == http.StatusOK:
		a.elapsed = append(a.elapsed, r.secondElapsed)
	}
	return a
}

// sendForAccount is sendAsCaller for a caller of an account.
func sendForAccount(d *testDispatcher, id string, a *account.Account, isKnown bool) callerResult {
	if !isKnown {
		a = nil
	}
	return sendRequestAsCaller(d, func(attempt int, remaining time.Duration) *Request {
		return &Request{ID: fmt.Sprint(id, "-", attempt), Method: http.MethodGet, Target: "/" + id, Host: "h", Remaining: remaining, Account: a}
	})
}

func manyAccounts(count int, perSecond float64) []accountLoad {
	var loads []accountLoad
	for i := range count {
		loads = append(loads, accountLoad{spec: account.Spec{Name: fmt.Sprintf("small-%02d", i)}, perSecond: perSecond})
	}
	return loads
}

func flood(names int, perSecond, factor float64) []accountLoad {
	var loads []accountLoad
	for i := range names {
		loads = append(loads, accountLoad{spec: account.Spec{Name: fmt.Sprintf("flood-%d", i)}, perSecond: perSecond, factor: factor})
	}
	return loads
}

// duringFlood changes a reaction for some of a, b and c of each service while accounts
// flood.
func duringFlood(react func(string, int, *upstream.Attempt) reaction, affected string, change func(reaction) reaction) func(string, int, *upstream.Attempt) reaction {
	var startedAt time.Time
	var once sync.Once
	return func(id string, n int, a *upstream.Attempt) reaction {
		once.Do(func() { startedAt = time.Now() })
		r := react(id, n, a)
		if since := time.Since(startedAt); since >= floodStart && since < floodEnd && strings.Contains(affected, id[len(id)-1:]) {
			return change(r)
		}
		return r
	}
}

// TestFloodingAccountBearsItsCost plays accounts that send several times their usual rate
// while upstreams lack capacity, and small accounts that send what they always do. The small
// ones must be served as if they were alone where the capacity suffices for them, answers
// must hold as many parts in time as if each request tried on its own, and without a flood
// no account may be worse off.
func TestFloodingAccountBearsItsCost(t *testing.T) {
	type reactions func() func(string, int, *upstream.Attempt) reaction
	limited := func() func(string, int, *upstream.Attempt) reaction {
		return newQueueingUpstreams(20*time.Millisecond, "s")
	}
	long := func() func(string, int, *upstream.Attempt) reaction {
		return newQueueingUpstreams(50*time.Millisecond, "s")
	}
	slow := func() func(string, int, *upstream.Attempt) reaction {
		return duringFlood(limited(), "a", func(r reaction) reaction {
			r.delay += 200 * time.Millisecond
			return r
		})
	}
	halfCrashed := func() func(string, int, *upstream.Attempt) reaction {
		return duringFlood(limited(), "bc", func(reaction) reaction {
			return reaction{delay: time.Millisecond, outcome: upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}}
		})
	}
	small := manyAccounts(20, 5)
	tests := map[string]struct {
		loads []accountLoad
		react reactions
		// recovered is how many of the requests of small accounts that were not served in
		// time before must be. One host sees the whole load. Several do not see each
		// other's, and learn of it from what their attempts take. Zero is for upstreams
		// whose remaining capacity is about what small accounts send: these must get more.
		recovered, recoveredBySeveral float64
	}{
		"usual":             {append(flood(1, 120, 1), small...), limited, 0, 0},
		"usual-long":        {append(flood(1, 20, 1), manyAccounts(20, 2)...), long, 0, 0},
		"five-times":        {append(flood(1, 60, 5), small...), limited, 0.95, 0.8},
		"ten-times":         {append(flood(1, 60, 10), small...), limited, 0.95, 0.8},
		"three-accounts":    {append(flood(3, 40, 10), small...), limited, 0.95, 0.8},
		"many-small":        {append(flood(1, 60, 10), manyAccounts(200, 0.5)...), limited, 0.95, 0.8},
		"slow-upstreams":    {append(flood(1, 60, 5), small...), slow, 0, 0},
		"crashed-upstreams": {append(flood(1, 60, 2), small...), halfCrashed, 0, 0},
	}
	for name, test := range tests {
		for _, v := range []struct {
			spec  routing.RouteSpec
			hosts int
		}{{singleRoute(true), 1}, {gatherRoute(0.75), 1}, {singleRoute(true), 7}, {gatherRoute(1), 7}} {
			t.Run(fmt.Sprint(name, "/", v.spec.Name, "-", v.hosts), func(t *testing.T) {
				c := qt.New(t)
				isUsual := strings.HasPrefix(name, "usual")
				if isUsual && testing.Short() {
					t.Skip("usual loads need several plays")
				}
				plays := 1
				if isUsual {
					plays = 4
				}
				var small, floods, smallNow, floodsNow accountResult
				for range plays {
					a, b := sumResults(t, "before", playAccounts(t, v.spec, test.react(), test.loads, false, v.hosts))
					small, floods = small.plus(a), floods.plus(b)
					a, b = sumResults(t, "in order", playAccounts(t, v.spec, test.react(), test.loads, true, v.hosts))
					smallNow, floodsNow = smallNow.plus(a), floodsNow.plus(b)
				}
				recovered := test.recovered
				if v.hosts > 1 {
					recovered = test.recoveredBySeveral
				}
				// Plays differ by chance: three standard deviations of the difference, and
				// 0.03 because late attempts come in series.
				before, now := small.plus(floods), smallNow.plus(floodsNow)
				chance := 3*math.Sqrt(2*before.share()*(1-before.share())/float64(before.sent)) + 0.03
				c.Check(!isUsual || now.share() >= before.share()-chance, qt.IsTrue, qt.Commentf("%.3f after %.3f", now.share(), before.share()))
				c.Check(isUsual || smallNow.share() >= min(0.99, small.share()+recovered*(1-small.share())), qt.IsTrue, qt.Commentf("%.3f", smallNow.share()))
				c.Check(float64(now.parts) >= 0.9*float64(before.parts), qt.IsTrue, qt.Commentf("%d parts after %d", now.parts, before.parts))
			})
		}
	}
}

// sumResults logs and sums the results of small and of flooding accounts.
func sumResults(t *testing.T, name string, results map[string]accountResult) (small, floods accountResult) {
	t.Helper()
	for n, r := range results {
		if strings.HasPrefix(n, "flood") {
			floods = floods.plus(r)
			continue
		}
		small = small.plus(r)
	}
	for kind, r := range map[string]accountResult{"small": small, "flood": floods} {
		t.Logf("%s: %s accounts: %d sent, %.3f served in time, p50 %v, p99 %v, %d late, %d not served, %d parts missing", name, kind, r.sent, r.share(), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.late, r.failed, r.missing)
	}
	return small, floods
}

// TestUrgentAccountsComeFirst has an account with a better priority than its route send
// beside one that sends ten times what upstreams can run. All of its requests must be
// served in time, although both use the same route.
func TestUrgentAccountsComeFirst(t *testing.T) {
	c := qt.New(t)
	ordinary := accountLoad{spec: account.Spec{Name: "ordinary", HasPriority: true, Priority: 2}, perSecond: 100, factor: 10}
	urgent := accountLoad{spec: account.Spec{Name: "urgent", HasPriority: true, Priority: 1}, perSecond: 20, factor: 5}
	results := playAccounts(t, singleRoute(true), newQueueingUpstreams(20*time.Millisecond, "s"), []accountLoad{ordinary, urgent}, true, 1)
	c.Check(results["urgent"].share() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", results["urgent"].share()))
	c.Check(results["ordinary"].served > 0, qt.IsTrue)
}

// TestHopelessRequestsAreRefusedAtOnce has an account send three times what all upstreams
// run, and another one a request. Requests that the order shows to be hopeless must be refused
// within a millisecond, as not run, with when to come back. The other account's must be
// served, and none may be counted as waiting in the end.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcherWithPolicy(singleRoute(true), soleHostPolicy, newQueueingUpstreams(20*time.Millisecond, "s"))
		waiting := 0.0
		var mu sync.Mutex
		d.OnWaiting = func(change float64) {
			mu.Lock()
			defer mu.Unlock()
			waiting += change
		}
		directory := account.NewDirectory([]account.Spec{{Name: "flood"}, {Name: "other"}})
		run := func(name string) (Answer, time.Duration) {
			startedAt := time.Now()
			answer := d.Run(t.Context(), &Request{ID: name, Method: http.MethodGet, Target: "/" + name, Host: "h", Account: directory.ByName(name)}, d.route, 1)
			c.Check(answer.Status == http.StatusOK || (answer.NotRun && answer.Reason == ReasonBusy && answer.RetryAfter >= failureRetryDelay), qt.IsTrue, qt.Commentf("%+v", answer))
			return answer, time.Since(startedAt)
		}
		var group work.Group
		for range 500 {
			group.Go(func() { run("flood") })
			time.Sleep(time.Millisecond)
		}
		answer, elapsed := run("other")
		c.Check(answer.Status, qt.Equals, http.StatusOK)
		c.Check(elapsed <= target, qt.IsTrue, qt.Commentf("%v", elapsed))
		group.Wait()
		d.Group.Wait()
		refusedAtOnce := 0
		for _, s := range d.summaries {
			if s.Admission == AdmissionRefusedAtOnce && s.Elapsed < time.Millisecond {
				refusedAtOnce++
			}
		}
		c.Check(refusedAtOnce >= 100, qt.IsTrue, qt.Commentf("%d", refusedAtOnce))
		c.Check(waiting, qt.Equals, 0.0)
	})
}
