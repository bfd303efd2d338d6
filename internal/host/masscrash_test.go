package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// TestMassCrashStopsNoOrdinaryRequest ends a third of all upstreams at once, three times,
// while callers send requests. A caller whose request fails sends it again, as told, and
// must be served by its third attempt; none may be told to wait for longer than a
// second, and no request may be quarantined.
func TestMassCrashStopsNoOrdinaryRequest(t *testing.T) {
	t.Parallel()
	const (
		callers     = 3000
		maxAttempts = 3
		endRatio    = 0.33
	)
	for _, mode := range []endMode{closesConnections, goesSilent} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startSearchFleet(7, mode, false)
				random := rand.New(rand.NewPCG(5, 5))
				var mu sync.Mutex
				attemptsUntilServed := make(map[int]int)
				var unserved []string
				var longestWait time.Duration
				var group work.Group
				for n := range callers {
					if n%1000 == 300 {
						f.upstreams.endSome(random, endRatio)
					}
					group.Go(func() {
						var answers []string
						for attempt := range maxAttempts {
							address := addresses[(n+3*attempt)%len(addresses)]
							a := f.ask(address, fmt.Sprint("/ordinary-", n), fmt.Sprint(n, "-", attempt))
							answers = append(answers, fmt.Sprint(a.Status, " ", a.Reason))
							mu.Lock()
							longestWait = max(longestWait, a.RetryAfter)
							if a.Status == 200 {
								attemptsUntilServed[attempt]++
							} else if attempt == maxAttempts-1 {
								unserved = append(unserved, fmt.Sprint(n, answers))
							}
							mu.Unlock()
							if a.Status == 200 {
								return
							}
							time.Sleep(max(a.RetryAfter, 100*time.Millisecond))
						}
					})
					time.Sleep(10 * time.Millisecond)
				}
				group.Wait()
				t.Logf("served at attempt %v", attemptsUntilServed)
				c.Check(unserved, qt.HasLen, 0)
				c.Check(longestWait <= time.Second, qt.IsTrue, qt.Commentf("%v", longestWait))
				c.Check(f.logCounts["request quarantined"], qt.HasLen, 0)
				f.stopAll()
			})
		})
	}
}

// TestRestartedHostLearnsOfQuarantine restarts a host, and cuts off another one, after many
// requests were quarantined. Both must refuse all of them within the settle period.
func TestRestartedHostLearnsOfQuarantine(t *testing.T) {
	t.Parallel()
	const quarantined = 60
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(7, closesConnections, false)
		for n := range quarantined {
			target := fmt.Sprint(crashingTarget, "/", n)
			for i := range 3 {
				f.ask(addresses[(n+i)%len(addresses)], target, fmt.Sprint(n, "-", i))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(upstreamDownTime)
		}
		cut, restarted := addresses[1], addresses[2]
		f.mu.Lock()
		f.hosts[cut].isolated = true
		f.mu.Unlock()
		f.stop(restarted)
		target := crashingTarget + "/new"
		for i := range 3 {
			f.ask(addresses[3+i], target, fmt.Sprint("new-", i))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(upstreamDownTime)
		f.mu.Lock()
		f.hosts[cut].isolated = false
		f.mu.Unlock()
		f.start(restarted, addresses[:3])
		time.Sleep(settlePeriod)
		for _, a := range []string{cut, restarted} {
			c.Check(f.ask(a, target, "again").Reason, qt.Equals, dispatch.ReasonQuarantined, qt.Commentf("%s", a))
			known := 0
			for n := range quarantined {
				f.mu.Lock()
				h := f.hosts[a].host
				f.mu.Unlock()
				request := dispatch.Request{Method: "GET", Target: fmt.Sprint(crashingTarget, "/", n), Host: crashTestHost}
				if h.guard.Check(request.Fingerprint()).TestRuns > 0 {
					known++
				}
			}
			c.Check(known, qt.Equals, quarantined, qt.Commentf("%s", a))
		}
		f.stopAll()
	})
}

// TestRelayRefusesSuspectRequest asks a dialling host to run a suspect request. It must not
// run it, and must reply with the evidence, so that the asking host stops too.
func TestRelayRefusesSuspectRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(3, closesConnections, false)
		h := f.hosts[addresses[0]].host
		h.guard.ApplyNotices("peer", []*wire.Notice{{Fingerprint: 7, Crashes: []*wire.Crash{{Upstream: 1, Service: 2, AgeMicros: 5}}}})
		reply, err := h.Relay(context.Background(), &wire.RelayRequest{Service: "shard-0", Fingerprint: 7, Target: "/x", LeftMicros: 1e6})
		c.Assert(err, qt.IsNil)
		c.Check(reply.GetResult(), qt.Equals, wire.RelayResult_RELAY_RESULT_NOT_RUN)
		c.Check(reply.GetNotice().GetCrashes(), qt.HasLen, 1)
		c.Check(f.upstreams.arrivalsOf("/x", time.Time{}), qt.HasLen, 0)
		f.stopAll()
	})
}
