package dispatch

import (
	"context"
	"hash/fnv"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// TestFailingAccountLeavesRetriesToOthers has an account send ten times its usual rate of
// requests whose attempts all fail, while a tenth of the attempts of others do.
// The others must get their retries: without shares of the budget they lose most of them.
func TestFailingAccountLeavesRetriesToOthers(t *testing.T) {
	c := qt.New(t)
	react := func(id string, _ int, a *upstream.Attempt) reaction {
		r := responds(id)
		h := fnv.New32()
		_, _ = h.Write([]byte(a.RequestID + id))
		if strings.HasPrefix(a.RequestID, "flood") || h.Sum32()%10 == 0 {
			r.outcome.Response.Status = http.StatusInternalServerError
		}
		r.delay = time.Millisecond
		return r
	}
	loads := append(flood(1, 30, 10), manyAccounts(20, 5)...)
	before, _ := sumResults(t, "before", playAccounts(t, singleRoute(true), react, loads, false, 1))
	now, _ := sumResults(t, "with shares", playAccounts(t, singleRoute(true), react, loads, true, 1))
	c.Check(now.share() >= 0.98, qt.IsTrue, qt.Commentf("%.3f", now.share()))
	c.Check(now.share() > before.share(), qt.IsTrue)
}

// TestHedgeThatReachedNoUpstreamIsRefundedAfterTheAnswer guards against budgets that lose the hedges
// whose connection is given up because the answer has come.
func TestHedgeThatReachedNoUpstreamIsRefundedAfterTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		policy := pool.Policy{ExtraRatio: 0.2, Window: 10 * time.Second, MaxConcurrent: 3}
		attempts := 0
		d := newTestDispatcherWithPolicy(singleRoute(true), policy, func(id string, _ int, _ *upstream.Attempt) reaction {
			if attempts++; attempts == 1 {
				r := responds(id)
				r.delay = 3 * target / 4
				return r
			}
			return reaction{delay: 5 * target / 8, outcome: upstream.Outcome{Result: upstream.Unreachable, ConnectAborted: true}}
		})
		a, _ := d.runRequest(context.Background())
		c.Check(a.Status, qt.Equals, http.StatusOK)
		c.Check(d.summaries[0].Hedges, qt.Equals, 1)
		c.Check(d.pools["s0"].RemainingExtraRatio(time.Now()) < 1, qt.IsTrue)
		time.Sleep(timeout)
		d.Group.Wait()
		c.Check(d.pools["s0"].RemainingExtraRatio(time.Now()), qt.Equals, 1.0)
	})
}
