package host

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// TestLapsedEntryIsNoEnd has an attempt without a response at an upstream whose entry vanishes. It
// counts as a crash only if the upstream has ended: an outage of the store may have lost the
// entry of one that runs, which other hosts would then avoid for seconds.
func TestLapsedEntryIsNoEnd(t *testing.T) {
	t.Parallel()
	for name, hasEnded := range map[string]bool{"runs": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f, addresses := startSearchFleet(7, closesConnections, false)
				defer f.stopAll()
				h := f.hosts[addresses[0]].host
				defer h.EndRequest(h.BeginRequest("r"))
				p, now := h.pool("letters"), time.Now()
				a := p.Assign(now, pool.Requirements{LatencyStats: pool.NewLatencyStats(crashTestTarget, false)})
				p.RecordUnanswered(now, a, false)
				if hasEnded {
					f.upstreams.end(f.upstreams.at(a.Upstream.Address()), "")
				}
				f.remove(upstreamKeyPrefix + a.Upstream.ID())
				time.Sleep(2 * time.Second)
				c.Check(p.HasUnanswered(a.Upstream), qt.Equals, !hasEnded)
			})
		})
	}
}
