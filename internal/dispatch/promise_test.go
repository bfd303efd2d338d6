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

// outcomes are all that can become of one attempt. Those that may have run are
// marked.
var outcomes = []struct {
	name   string
	react  reaction
	mayRun bool
}{
	{"answered", answer("s0a"), true},
	{"refused", endedWith(upstream.Refused), false},
	{"misdirected", endedWith(upstream.Misdirected), false},
	{"unreachable", endedWith(upstream.Unreachable), false},
	{"broken", endedWith(upstream.Broken), true},
	{"silent", reaction{silent: true}, true},
	{"failed", failed(http.StatusInternalServerError), true},
	{"failed with a status that says not run", failed(http.StatusServiceUnavailable), true},
}

func failed(status int) reaction {
	return reaction{after: run, ending: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: status, Signature: "sig"}}}
}

// TestPromises explores every sequence of outcomes of three attempts, with the
// caller leaving before, between and after them, for both sorts of routes: an
// answer that says "not run" is given only if nothing may have run, and what must
// not run twice may have run once at most.
func TestPromises(t *testing.T) {
	const attempts = 3
	sequences := 1
	for range attempts {
		sequences *= len(outcomes)
	}
	for _, idempotent := range []bool{false, true} {
		for _, patience := range []time.Duration{0, 3 * time.Millisecond, time.Hour} {
			for s := range sequences {
				explorePromise(t, idempotent, patience, s)
			}
		}
	}
}

func explorePromise(t *testing.T, idempotent bool, patience time.Duration, sequence int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ran, path := 0, ""
		tier := newTier(single(idempotent), func(string, int, *upstream.Attempt) reaction {
			o := outcomes[sequence%len(outcomes)]
			sequence /= len(outcomes)
			path += o.name + ", "
			if o.mayRun {
				ran++
			}
			return o.react
		})
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		a, _ := tier.ask(ctx)
		tier.Group.Wait()
		comment := qt.Commentf("%s", fmt.Sprintf("idempotent %v, caller stays %s: %sstatus %d", idempotent, patience, path, a.Status))
		if saysNotRun(a.Status) && a.Reason != ReasonCallerDisconnected {
			c.Check(ran, qt.Equals, 0, comment)
		}
		if !idempotent {
			c.Check(ran <= 1, qt.IsTrue, comment)
		}
	})
}
