package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

func TestGather(t *testing.T) {
	for _, test := range []struct {
		name          string
		minShardRatio float64
		react         func(id string, n int, a *upstream.Attempt) reaction
		status        int
		missing       int
		elapsed       time.Duration
		attempts      int
		retryAfter    bool
	}{
		{
			name: "all respond", minShardRatio: 1,
			react:  func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) },
			status: 200, elapsed: runDuration, attempts: 4,
		},
		{
			name: "silent upstream: another upstream of its shard gets a hedge", minShardRatio: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id == "s1a" {
					return reaction{isSilent: true}
				}
				return responds(id)
			},
			status: 200, elapsed: 24*time.Millisecond + runDuration, attempts: 5,
		},
		{
			name: "lost response: retried at once", minShardRatio: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id == "s1a" {
					return endsWith(upstream.Broken)
				}
				return responds(id)
			},
			status: 200, elapsed: time.Millisecond + runDuration, attempts: 5,
		},
		{
			name: "silent shard: on time without it", minShardRatio: 0.75,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return reaction{isSilent: true}
				}
				return responds(id)
			},
			status: 200, missing: 1, elapsed: 70 * time.Millisecond, attempts: 5,
		},
		{
			name: "unreachable shard: no waiting", minShardRatio: 0.75,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return endsWith(upstream.Unreachable)
				}
				return responds(id)
			},
			status: 200, missing: 1, elapsed: runDuration, attempts: 6,
		},
		{
			name: "required shard fails in all of its attempts", minShardRatio: 1,
			react: func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return endsWith(upstream.Broken)
				}
				return responds(id)
			},
			status: 502, missing: 4, elapsed: 2 * time.Millisecond, attempts: 5, retryAfter: true,
		},
		{
			name: "no upstream can be reached", minShardRatio: 0.25,
			react:  func(string, int, *upstream.Attempt) reaction { return endsWith(upstream.Unreachable) },
			status: 503, missing: 4, elapsed: 3 * time.Millisecond, attempts: 12, retryAfter: true,
		},
		{
			name: "all silent: answer at the timeout", minShardRatio: 0.75,
			react:  func(string, int, *upstream.Attempt) reaction { return reaction{isSilent: true} },
			status: 504, missing: 4, elapsed: timeout, attempts: 8, retryAfter: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newTestDispatcher(gatherRoute(test.minShardRatio), test.react)
				a, elapsed := d.runRequest(context.Background())
				c.Check(a.Status, qt.Equals, test.status)
				c.Check(a.MissingParts, qt.Equals, test.missing)
				c.Check(elapsed, qt.Equals, test.elapsed)
				c.Check(a.RetryAfter > 0, qt.Equals, test.retryAfter)
				c.Check(d.summaries[0].Attempts, qt.Equals, test.attempts)
				if a.Status == http.StatusOK {
					c.Check(a.Signatures, qt.HasLen, 4-test.missing)
					c.Check(a.Body, qt.HasLen, 3*RecordSize)
				}
				d.Group.Wait()
			})
		})
	}
}

// TestNewCallerConnection checks that the answer to a caller that opened a connection
// for the request is sent without a silent part 6 ms earlier than usual, since the
// target includes the time to connect.
func TestNewCallerConnection(t *testing.T) {
	for _, test := range []struct {
		newConnection bool
		elapsed       time.Duration
	}{{false, 70 * time.Millisecond}, {true, 64 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
				if id[:2] == "s1" {
					return reaction{isSilent: true}
				}
				return responds(id)
			})
			d.ConnectAllowance = 6 * time.Millisecond
			startedAt := time.Now()
			request := &Request{ID: "r", Method: http.MethodGet, Target: "/x", Host: "h", NewConnection: test.newConnection}
			a := d.Run(context.Background(), request, d.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK)
			c.Check(time.Since(startedAt), qt.Equals, test.elapsed)
			d.Group.Wait()
		})
	}
}

func TestSingle(t *testing.T) {
	failure := func(status int) reaction {
		return reaction{delay: runDuration, outcome: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{
			Status: status, Signature: "sig",
		}}}
	}
	for _, test := range []struct {
		name       string
		idempotent bool
		// reactions are the reactions to successive attempts; the last one repeats.
		reactions []reaction
		status    int
		attempts  int
	}{
		{"answered", false, []reaction{responds("s0a")}, 200, 1},
		{"must not run twice: lost response", false, []reaction{endsWith(upstream.Broken), responds("s0b")}, 502, 1},
		{"must not run twice: refused", false, []reaction{endsWith(upstream.Refused), responds("s0b")}, 200, 2},
		{"must not run twice: another upstream has the address", false, []reaction{endsWith(upstream.Misdirected), responds("s0b")}, 200, 2},
		{"must not run twice: no connection", false, []reaction{endsWith(upstream.Unreachable), responds("s0b")}, 200, 2},
		{"must not run twice: silent", false, []reaction{{isSilent: true}, responds("s0b")}, 504, 1},
		{"must not run twice: failure is returned", false, []reaction{failure(500), responds("s0b")}, 500, 1},
		{"must not run twice: refused by all", false, []reaction{endsWith(upstream.Refused)}, 503, 3},
		{"must not run twice: a failure status that implies not run", false, []reaction{failure(503), responds("s0b")}, 502, 1},
		{"must not run twice: a refusal status that implies not run", false, []reaction{failure(429), responds("s0b")}, 502, 1},
		{"may run twice: a failure status that implies not run", true, []reaction{failure(503)}, 502, 2},
		{"may run twice: lost response", true, []reaction{endsWith(upstream.Broken), responds("s0b")}, 200, 2},
		{"may run twice: failure", true, []reaction{failure(500), responds("s0b")}, 200, 2},
		{"may run twice: last failure is returned", true, []reaction{failure(500)}, 500, 2},
		{"may run twice: silent", true, []reaction{{isSilent: true}, responds("s0b")}, 200, 2},
		{"client errors are returned", true, []reaction{failure(404), responds("s0b")}, 404, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := 0
				d := newTestDispatcher(singleRoute(test.idempotent), func(string, int, *upstream.Attempt) reaction {
					n++
					return test.reactions[min(n, len(test.reactions))-1]
				})
				a, elapsed := d.runRequest(context.Background())
				c.Check(a.Status, qt.Equals, test.status)
				c.Check(d.summaries[0].Attempts, qt.Equals, test.attempts)
				c.Check(elapsed <= timeout, qt.IsTrue)
				c.Check(a.Status != 503 || a.RetryAfter > 0, qt.IsTrue)
				d.Group.Wait()
			})
		})
	}
}

// TestCallerDisconnected checks that a request ends without an answer when its caller disconnects,
// and that its attempts are then canceled at once, unless the request must not run twice: it ends
// with its answer.
func TestCallerDisconnected(t *testing.T) {
	const left, responded = 10 * time.Millisecond, 20 * time.Millisecond
	for _, test := range []struct {
		spec     routing.RouteSpec
		canceled int
		elapsed  time.Duration
		status   int
		reason   Reason
	}{
		{gatherRoute(1), 4, left, http.StatusServiceUnavailable, ReasonCallerDisconnected},
		{singleRoute(true), 1, left, http.StatusServiceUnavailable, ReasonCallerDisconnected},
		{singleRoute(false), 0, responded, http.StatusOK, ReasonNone},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDispatcher(test.spec, func(id string, _ int, _ *upstream.Attempt) reaction {
				r := responds(id)
				r.delay = responded
				return r
			})
			ctx, cancel := context.WithTimeout(context.Background(), left)
			defer cancel()
			a, elapsed := d.runRequest(ctx)
			c.Check(elapsed, qt.Equals, test.elapsed)
			c.Check(a.Status, qt.Equals, test.status)
			c.Check(a.Reason, qt.Equals, test.reason)
			synctest.Wait()
			c.Check(d.upstreams.canceled, qt.Equals, test.canceled)
			d.Group.Wait()
		})
	}
}

// TestRequestOfDisconnectedCallerStartsNothing guards against attempts that begin after a caller has disconnected.
func TestRequestOfDisconnectedCallerStartsNothing(t *testing.T) {
	for _, result := range []upstream.Result{upstream.Refused, upstream.Unreachable, upstream.Broken} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDispatcher(singleRoute(false), func(string, int, *upstream.Attempt) reaction {
				return reaction{delay: 20 * time.Millisecond, outcome: upstream.Outcome{Result: result}}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			a, elapsed := d.runRequest(ctx)
			c.Check(elapsed, qt.Equals, 20*time.Millisecond)
			c.Check(a.NotRun, qt.Equals, result != upstream.Broken)
			c.Check(d.upstreams.attemptOrder, qt.HasLen, 1)
			d.Group.Wait()
		})
	}
}

// TestUnneededAttemptsAreCanceled checks that an attempt still in flight is canceled
// when unneededGracePeriod has passed since the answer.
func TestUnneededAttemptsAreCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(1), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id == "s1a" {
				return reaction{isSilent: true}
			}
			return responds(id)
		})
		a, _ := d.runRequest(context.Background())
		c.Check(a.Status, qt.Equals, http.StatusOK)
		time.Sleep(unneededGracePeriod)
		synctest.Wait()
		c.Check(d.upstreams.canceled, qt.Equals, 1)
		d.Group.Wait()
	})
}

// TestNothingStartsUntilEnoughParts fills two of four shards with attempts that never
// end: a request that requires three is refused within a third of the target, without
// any attempt.
func TestNothingStartsUntilEnoughParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
		latencyStats := pool.NewLatencyStats(target, true)
		for _, s := range []string{"s0", "s1"} {
			for d.pools[s].Assign(time.Now(), pool.Requirements{LatencyStats: latencyStats}) != nil {
			}
		}
		a, elapsed := d.runRequest(context.Background())
		c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.RetryAfter > 0, qt.IsTrue)
		c.Check(elapsed <= target/3, qt.IsTrue, qt.Commentf("%s", elapsed))
		c.Check(d.upstreams.attemptOrder, qt.HasLen, 0)
	})
}

// TestSlowPartIsUsedIfRequired fills the shard s0 of four and makes s1 slow: an answer
// that requires three shards waits for s1.
func TestSlowPartIsUsedIfRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
		latencyStats := pool.NewLatencyStats(target, true)
		for d.pools["s0"].Assign(time.Now(), pool.Requirements{LatencyStats: latencyStats}) != nil {
		}
		for range 6 {
			c.Assert(d.pools["s1"].Assign(time.Now(), pool.Requirements{LatencyStats: latencyStats}), qt.IsNotNil)
		}
		time.Sleep(10 * target)
		for i := range 20 {
			a := d.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, d.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
		}
		d.Group.Wait()
	})
}

// TestPartWithRoomIsTried keeps two attempts at each upstream of s1 of four without a response,
// so that s1 seems slow, while it accepts attempts and responds at once. No answer may lack the
// part.
func TestPartWithRoomIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
		latencyStats := pool.NewLatencyStats(target, true)
		for range 6 {
			c.Assert(d.pools["s1"].Assign(time.Now(), pool.Requirements{LatencyStats: latencyStats}), qt.IsNotNil)
		}
		time.Sleep(10 * target)
		for i := range 20 {
			a := d.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, d.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
			c.Check(a.MissingParts, qt.Equals, 0, qt.Commentf("request %d", i))
		}
		d.Group.Wait()
	})
}

// TestSlowPartIsUsedAfterFailure makes the part s1 of four slow, while both attempts of s0
// break. As the answer requires three parts, only s0 is missing.
func TestSlowPartIsUsedAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			if id[:2] == "s0" {
				return endsWith(upstream.Broken)
			}
			return responds(id)
		})
		latencyStats := pool.NewLatencyStats(target, true)
		for range 6 {
			c.Assert(d.pools["s1"].Assign(time.Now(), pool.Requirements{LatencyStats: latencyStats}), qt.IsNotNil)
		}
		time.Sleep(10 * target)
		for i := range 20 {
			a := d.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, d.route, 1)
			c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
			c.Check(a.MissingParts, qt.Equals, 1)
		}
		d.Group.Wait()
	})
}

// TestOverloadedShardIsAbandoned sends 100 requests a second where the upstreams of the
// shard s1 of four run at most 60 a second, each upstream one at a time. If all requests
// were sent to s1, its queue would grow until all answers are late. 95% of the answers
// must be on time, and 10% must be complete as well.
func TestOverloadedShardIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var mu sync.Mutex
		freeAt := make(map[string]time.Time)
		d := newTestDispatcher(gatherRoute(0.75), func(id string, _ int, _ *upstream.Attempt) reaction {
			r := responds(id)
			if !strings.HasPrefix(id, "s1") {
				return r
			}
			const slowRunDuration = 50 * time.Millisecond
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			startAt := now
			if freeAt[id].After(now) {
				startAt = freeAt[id]
			}
			freeAt[id] = startAt.Add(slowRunDuration)
			r.delay = freeAt[id].Sub(now)
			return r
		})
		var group work.Group
		onTime, complete := 0, 0
		const count = 600
		for i := range count {
			group.Go(func() {
				startedAt := time.Now()
				a := d.Run(context.Background(), &Request{ID: fmt.Sprint(i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Host: "h"}, d.route, 1)
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK && time.Since(startedAt) <= target {
					onTime++
					if a.MissingParts == 0 {
						complete++
					}
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		c.Check(onTime >= count*95/100, qt.IsTrue, qt.Commentf("%d of %d on time", onTime, count))
		c.Check(complete >= count/10, qt.IsTrue, qt.Commentf("%d of %d complete", complete, count))
		d.Group.Wait()
	})
}

// TestQuarantinedRequest checks that a quarantined request is refused without an
// attempt, with the remaining time of the quarantine as RetryAfter.
func TestQuarantinedRequest(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(singleRoute(true), func(id string, _ int, _ *upstream.Attempt) reaction { return responds(id) })
	d.Guard = &fakeGuard{verdict: quarantine.Verdict{Decision: quarantine.Quarantined, Wait: time.Minute}}
	a, _ := d.runRequest(context.Background())
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(a.RetryAfter, qt.Equals, time.Minute)
	c.Check(d.upstreams.attemptOrder, qt.HasLen, 0)
}

func TestMerge(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, RecordSize) }
	for _, test := range []struct {
		name  string
		parts [][]byte
		top   int
		want  []byte
	}{
		{"nothing", nil, 3, nil},
		{"greatest first", [][]byte{slices.Concat(record(1), record(9)), record(5)}, 2, slices.Concat(record(9), record(5))},
		{"equal records all count", [][]byte{record(7), record(7)}, 3, slices.Concat(record(7), record(7))},
		{"a remainder is no record", [][]byte{append(record(7), 9, 9)}, 3, record(7)},
		{"bytes compare unsigned", [][]byte{record(0x7f), record(0x80)}, 1, record(0x80)},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(string(merge(test.parts, test.top)), qt.Equals, string(test.want))
		})
	}
}
