package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// TestTimeSpentByCaller sends gather requests whose callers have spent part of the target
// on finding an address and connecting, while one shard is paused. An answer without the
// paused part must leave the host in time to reach the caller within the target; callers
// that have spent nothing, or were refused before, get the time that is left to wait for
// the part.
func TestTimeSpentByCaller(t *testing.T) {
	tests := map[string]struct {
		remaining     time.Duration
		routeTimeout  time.Duration
		newConnection bool
		wantElapsed   time.Duration
	}{
		"nothing-spent":            {timeout, timeout, false, target - testCallerAllowance},
		"lookup-and-connection":    {timeout - 22*time.Millisecond, timeout, true, target - testCallerAllowance - 22*time.Millisecond},
		"route-has-longer-timeout": {timeout - 22*time.Millisecond, 2 * timeout, true, target - testCallerAllowance - 22*time.Millisecond},
		"refused-before":           {timeout - 130*time.Millisecond, timeout, false, target - testCallerAllowance},
		"no-time-left":             {timeout - 70*time.Millisecond, timeout, true, 2 * time.Duration(0.15*float64(target))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				spec := gatherRoute(0.75)
				d := newTestDispatcher(spec, func(id string, _ int, _ *upstream.Attempt) reaction {
					r := responds(id)
					r.isSilent = strings.HasPrefix(id, "s0")
					return r
				})
				d.ConnectAllowance = 6 * time.Millisecond
				for range minTimeoutSamples {
					d.timeSpent(time.Now(), &Request{Remaining: timeout}, d.route.Name(), test.routeTimeout)
				}
				startedAt := time.Now()
				request := &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h", Remaining: test.remaining, NewConnection: test.newConnection}
				a := d.Run(context.Background(), request, d.route, 1)
				c.Check(a.Status, qt.Equals, http.StatusOK)
				c.Check(a.MissingParts, qt.Equals, 1)
				c.Check(time.Since(startedAt), qt.Equals, test.wantElapsed)
				d.Group.Wait()
			})
		})
	}
}

func TestCallerTimeout(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	timeoutOf := &callerTimeout{}
	record := func(remaining, routeTimeout time.Duration) time.Duration {
		return timeoutOf.record(now, remaining, routeTimeout)
	}
	// Until enough requests are known, the route's timeout counts.
	c.Check(record(378*time.Millisecond, 400*time.Millisecond), qt.Equals, 22*time.Millisecond)
	for range minTimeoutSamples {
		record(400*time.Millisecond, 400*time.Millisecond)
	}
	// The route allows more time than its callers have.
	c.Check(record(378*time.Millisecond, 600*time.Millisecond), qt.Equals, 22*time.Millisecond)
	// Another kind of caller has a longer timeout than the route.
	c.Check(record(time.Second, 400*time.Millisecond), qt.Equals, time.Duration(0))
	c.Check(record(378*time.Millisecond, 400*time.Millisecond), qt.Equals, 22*time.Millisecond)
	// The longest remaining time is forgotten after two windows.
	now = now.Add(timeoutWindow + time.Second)
	c.Check(record(300*time.Millisecond, 0), qt.Equals, 700*time.Millisecond)
	now = now.Add(timeoutWindow + time.Second)
	c.Check(record(300*time.Millisecond, 0), qt.Equals, time.Duration(0))
}

// TestLateArrivalIsTried sends requests whose time for a refusal has passed before the host could place them, while all upstreams are free. They must be served.
func TestLateArrivalIsTried(t *testing.T) {
	for name, spec := range map[string]routing.RouteSpec{"one service": singleRoute(true), "order": singleRoute(false), "gather": gatherRoute(1)} {
		for _, spent := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, 99 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", spent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					d := newTestDispatcher(spec, func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
					a := d.Run(context.Background(), &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h", Remaining: timeout - spent}, d.route, 1)
					d.Group.Wait()
					c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.Reason))
				})
			})
		}
	}
}
