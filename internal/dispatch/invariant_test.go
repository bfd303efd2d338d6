package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// outcomes are the possible outcomes of one attempt. mayRun is set for those in which
// an upstream may have run the attempt.
var outcomes = []struct {
	name   string
	react  reaction
	mayRun bool
}{
	{"answered", responds("s0a"), true},
	{"refused", endsWith(upstream.Refused), false},
	{"misdirected", endsWith(upstream.Misdirected), false},
	{"unreachable", endsWith(upstream.Unreachable), false},
	{"broken", endsWith(upstream.Broken), true},
	{"silent", reaction{isSilent: true}, true},
	{"failed", failed(http.StatusInternalServerError), true},
	{"failed with a status that implies not run", failed(http.StatusServiceUnavailable), true},
}

func failed(status int) reaction {
	return reaction{delay: runDuration, outcome: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: status, Signature: "sig"}}}
}

// TestNotRunInvariant explores every sequence of outcomes of three attempts, on
// idempotent and other routes, with a caller that disconnects at once, between the
// attempts (after 3 ms) or not at all. A connected caller gets a status that implies
// "not run" only if no upstream may have run the request, and a request that must not
// run twice may have run at most once.
func TestNotRunInvariant(t *testing.T) {
	const attempts = 3
	sequences := 1
	for range attempts {
		sequences *= len(outcomes)
	}
	for _, idempotent := range []bool{false, true} {
		for _, callerTimeout := range []time.Duration{0, 3 * time.Millisecond, time.Hour} {
			for s := range sequences {
				checkNotRunInvariant(t, idempotent, callerTimeout, s)
			}
		}
	}
}

func checkNotRunInvariant(t *testing.T, idempotent bool, callerTimeout time.Duration, sequence int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ran, outcomeNames := 0, ""
		d := newTestDispatcher(singleRoute(idempotent), func(string, int, *upstream.Attempt) reaction {
			o := outcomes[sequence%len(outcomes)]
			sequence /= len(outcomes)
			outcomeNames += o.name + ", "
			if o.mayRun {
				ran++
			}
			return o.react
		})
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		a, _ := d.runRequest(ctx)
		d.Group.Wait()
		comment := qt.Commentf("%s", fmt.Sprintf("idempotent %v, caller timeout %s: %sstatus %d", idempotent, callerTimeout, outcomeNames, a.Status))
		if impliesNotRun(a.Status) && a.Reason != ReasonCallerDisconnected {
			c.Check(ran, qt.Equals, 0, comment)
		}
		if a.NotRun {
			c.Check(ran, qt.Equals, 0, comment)
		}
		if !idempotent {
			c.Check(ran <= 1, qt.IsTrue, comment)
		}
	})
}
