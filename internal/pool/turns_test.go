package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// TestTurnsThatWereNotTakenAreNotGivenBack guards against hosts that exceed the limit of an
// upstream, because attempts from before it was stated give back a turn.
func TestTurnsThatWereNotTakenAreNotGivenBack(t *testing.T) {
	for _, giveBack := range []struct {
		name string
		end  func(p *Pool, now time.Time, a *Assignment)
	}{
		{"not started", func(p *Pool, _ time.Time, a *Assignment) { p.Unassign(a) }},
		{"unreachable", func(p *Pool, now time.Time, a *Assignment) {
			p.RecordOutcome(now, a, upstream.Outcome{Result: upstream.Unreachable, ConnectAborted: true})
		}},
	} {
		t.Run(giveBack.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_000_000, 0)
			inv := inventory.New()
			inv.Update(now, []inventory.UpstreamSpec{{ID: "u", Service: "s", Address: "u", DataCenter: "a", Slots: 100}})
			p := &Pool{DataCenter: "a", IdleCount: func(string) int { return 1 }}
			p.Configure(now, inv.ForService("s"), Policy{Window: time.Second, LoadShare: 1, MaxConcurrent: 100})
			r := Requirements{LatencyStats: NewLatencyStats(100*time.Millisecond, false)}
			before := p.Assign(now, r)
			p.RecordLimit(now.Add(time.Millisecond), before.Upstream, 10, now.Add(time.Millisecond))
			now = now.Add(2 * time.Second)
			limit := p.members[0].limit
			for range 5 {
				c.Assert(p.Assign(now, r), qt.IsNotNil)
			}
			turns := limit.turns
			giveBack.end(p, now, before)
			c.Check(limit.turns, qt.Equals, turns)
			c.Check(p.Held(), qt.Equals, 5)
		})
	}
}
