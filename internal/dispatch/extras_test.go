package dispatch

import (
	"hash/fnv"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
