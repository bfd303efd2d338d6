package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// held returns the number of assignments of all pools that have not ended.
func (t *testDispatcher) held() int {
	held := 0
	for _, p := range t.pools {
		held += p.Held()
	}
	return held
}

// fill takes all room at a service, and returns the function that gives it back.
func (t *testDispatcher) fill(service string) (empty func()) {
	p := t.pools[service]
	var taken []*pool.Assignment
	for {
		a := p.Assign(time.Now(), pool.Requirements{LatencyStats: t.LatencyStats(t.route)})
		if a == nil {
			break
		}
		taken = append(taken, a)
	}
	return func() {
		for _, a := range taken {
			p.Unassign(a)
		}
	}
}

// TestSearchThatWakesUpLateLosesNoAssignment guards against upstreams that get no more requests:
// a search that was refused when it had waited too long, and ran late, left out all of its parts,
// resumed one of them and then assigned it a second time.
func TestSearchThatWakesUpLateLosesNoAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(1), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
		empty := d.fill("s0")
		a := account.NewDirectory([]account.Spec{{Name: "a"}}).ByName("a")
		var requests work.Group
		requests.Go(func() {
			d.Run(context.Background(), &Request{ID: "first", Method: http.MethodGet, Target: "/x", Host: "h", Account: a}, d.route, 1)
		})
		time.Sleep(time.Millisecond)
		answer := d.Run(context.Background(), &Request{ID: "late", Method: http.MethodGet, Target: "/x", Host: "h", Account: a, ArrivedAt: time.Now().Add(-2 * target)}, d.route, 1)
		c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(answer.NotRun, qt.IsTrue)
		requests.Wait()
		d.Group.Wait()
		empty()
		c.Check(d.held(), qt.Equals, 0)
	})
}

// TestAttemptThatTheStoppedGroupRefusesGivesItsAssignmentBack guards against assignments that are
// lost when no goroutine starts for them.
func TestAttemptThatTheStoppedGroupRefusesGivesItsAssignmentBack(t *testing.T) {
	for _, spec := range []routing.RouteSpec{gatherRoute(1), singleRoute(false)} {
		t.Run(spec.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(spec, func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
				d.Group.Wait()
				answer, _ := d.runRequest(context.Background())
				c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
				c.Check(d.upstreams.attemptOrder, qt.HasLen, 0)
				c.Check(d.held(), qt.Equals, 0)
			})
		})
	}
}

// TestCallerThatLeavesBeforeItsRequestRanHasNotRun guards against tokens of accounts that are used up
// by requests that reached no upstream.
func TestCallerThatLeavesBeforeItsRequestRanHasNotRun(t *testing.T) {
	const leavesAfter = 5 * time.Millisecond
	for _, test := range []struct {
		name              string
		isFull, isAlerted bool
		isSuspect         bool
		notRun            bool
	}{
		{name: "waits for room", isFull: true, notRun: true},
		{name: "waits for room for its canary", isFull: true, isAlerted: true, notRun: true},
		{name: "waits for its response"},
		{name: "waits for the response of its canary", isAlerted: true},
		{name: "waits for the response of its test run", isSuspect: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(gatherRoute(1), func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} })
				d.Alerts = &fakeAlerts{holds: test.isAlerted}
				if test.isSuspect {
					d.Guard = &fakeGuard{verdict: quarantine.Verdict{Decision: quarantine.Suspect}, testRunDecision: quarantine.Suspect}
				}
				if test.isFull {
					for s := range d.pools {
						defer d.fill(s)()
					}
				}
				ctx, cancel := context.WithTimeout(context.Background(), leavesAfter)
				defer cancel()
				answer, _ := d.runRequest(ctx)
				c.Check(answer.Reason, qt.Equals, ReasonCallerDisconnected)
				c.Check(answer.NotRun, qt.Equals, test.notRun)
				time.Sleep(2 * timeout)
				d.Group.Wait()
			})
		})
	}
}
