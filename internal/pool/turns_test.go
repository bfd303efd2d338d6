package pool

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
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

// TestNoOrderOfEventsLosesTurns guards against limits that allow fewer and fewer attempts, because
// some way in which an attempt or a reservation ends does not give back its turn, and against limits
// that allow more.
func TestNoOrderOfEventsLosesTurns(t *testing.T) {
	services := []string{"s0", "s1", "s2"}
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		now := time.Unix(1_000_000, 0)
		recorder := &invariant.Recorder{}
		pools := make(map[string]*Pool)
		for _, s := range services {
			inv := inventory.New()
			inv.Update(now, []inventory.UpstreamSpec{
				{ID: s + "a", Service: s, Address: s + "a", DataCenter: "a", Slots: 100, ColdRemaining: time.Hour, Sequence: 1},
				{ID: s + "b", Service: s, Address: s + "b", DataCenter: "b", Slots: 100, ColdRemaining: time.Hour, Sequence: 1},
			})
			p := &Pool{DataCenter: "a", IdleCount: func(string) int { return 1 }, Recorder: recorder}
			// Turns accumulate for a second, and no more after that.
			for _, rate := range []float64{1000, 1e-9} {
				p.Configure(now, inv.ForService(s), Policy{Window: time.Second, LoadShare: 1, MaxConcurrent: 100, ColdLimit: &ColdLimit{Rate: rate, Burst: float64(burst)}})
				p.members[0].cold.advance(now.Add(time.Second))
				p.members[1].cold.advance(now.Add(time.Second))
			}
			pools[s] = p
		}
		now = now.Add(time.Second)
		type attempt struct {
			pool       *Pool
			assignment *Assignment
		}
		var running []attempt
		var reservations Reservations
		used := make(map[*member]int)
		stats := NewLatencyStats(100*time.Millisecond, true)
		take := func() (a attempt) {
			i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
			a = running[i]
			running = append(running[:i], running[i+1:]...)
			return a
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			s := rapid.SampledFrom(services).Draw(t, "service")
			r := Requirements{LatencyStats: stats}
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event <= 1:
				key := rapid.StringMatching("[a-d]").Draw(t, "search")
				turn, ok := reservations.Take(now, key, s, pools, rapid.IntRange(1, 3).Draw(t, "required"), r)
				if r.Reserved = turn; !ok {
					break
				}
				if a := pools[s].Assign(now, r); a != nil {
					running = append(running, attempt{pools[s], a})
				}
			case event == 2:
				if a := pools[s].Assign(now, r); a != nil {
					running = append(running, attempt{pools[s], a})
				}
			case event == 3 && len(running) > 0:
				a := take()
				a.pool.Unassign(a.assignment)
			case event == 4 && len(running) > 0:
				a := take()
				result := rapid.SampledFrom([]upstream.Result{upstream.Answered, upstream.Refused, upstream.Misdirected, upstream.Unreachable, upstream.Broken, upstream.Aborted}).Draw(t, "result")
				a.pool.RecordOutcome(now, a.assignment, upstream.Outcome{Result: result, ConnectAborted: true})
				if result != upstream.Unreachable {
					used[a.assignment.member]++
				}
			default:
				reservations.Maintain(now)
			}
		}
		for _, a := range running {
			a.pool.Unassign(a.assignment)
		}
		now = now.Add(time.Second)
		reservations.Maintain(now)
		if n := reservations.Held(); n != 0 || recorder.Count() != 0 {
			t.Fatalf("%d turns are reserved, violations %v", n, recorder.Violations())
		}
		for _, p := range pools {
			for _, m := range p.members {
				if turns := m.cold.turns; math.Abs(turns-float64(burst-used[m])) > 1e-3 || len(m.running) != 0 || p.Held() != 0 {
					t.Fatalf("%s has %v of %d turns after %d attempts, %d running, %d held", m.upstream.ID(), turns, burst, used[m], len(m.running), p.Held())
				}
			}
		}
	})
}
