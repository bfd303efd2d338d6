package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func spec(id string) UpstreamSpec {
	return UpstreamSpec{ID: id, StartedAtMillis: 1, Service: "s", Address: "1.2.3.4:5", Slots: 2}
}

func standings(i *Inventory, now time.Time) map[string]Eligibility {
	all := make(map[string]Eligibility)
	for _, u := range i.ForService("s") {
		all[u.ID()] = u.Eligibility(now)
	}
	return all
}

// TestLapsedEntries uses an upstream whose entry vanished for as long as it may
// be an effect of an outage, where no other is left, and forgets it after that.
func TestLapsedEntries(t *testing.T) {
	c := qt.New(t)
	i := New()
	c.Check(i.Update(start, []UpstreamSpec{spec("a"), spec("b")}), qt.DeepEquals, []string{"s"})
	c.Check(i.Update(start, []UpstreamSpec{spec("a"), spec("b")}), qt.HasLen, 0)
	c.Check(i.Update(start, []UpstreamSpec{spec("a")}), qt.DeepEquals, []string{"s"})
	c.Check(standings(i, start.Add(lapseGrace)), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": LastResort})
	c.Check(standings(i, start.Add(lapseGrace+1)), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": Retired})
	back := start.Add(time.Second)
	i.Update(back, []UpstreamSpec{spec("a"), spec("b")})
	c.Check(standings(i, back), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": InService})
	i.Update(back, []UpstreamSpec{spec("a")})
	i.Update(back.Add(lapseGrace+1), []UpstreamSpec{spec("a")})
	c.Check(i.Len(), qt.Equals, 1)
}

// TestDraining counts from the first report, also if the entry changes again.
func TestDraining(t *testing.T) {
	c := qt.New(t)
	i := New()
	i.Update(start, []UpstreamSpec{spec("a")})
	leaving := spec("a")
	leaving.Draining = true
	i.Update(start.Add(time.Second), []UpstreamSpec{leaving})
	leaving.Slots = 3
	i.Update(start.Add(2*time.Second), []UpstreamSpec{leaving})
	c.Check(standings(i, start.Add(time.Second+drainGrace)), qt.DeepEquals, map[string]Eligibility{"a": LastResort})
	c.Check(standings(i, start.Add(time.Second+drainGrace+1)), qt.DeepEquals, map[string]Eligibility{"a": Retired})
	i.Update(start.Add(3*time.Second), nil)
	c.Check(standings(i, start.Add(3*time.Second)), qt.DeepEquals, map[string]Eligibility{"a": Retired})
}

// TestLifetimes tells a restart under the same id apart.
func TestLifetimes(t *testing.T) {
	c := qt.New(t)
	i := New()
	cold := spec("a")
	cold.ColdRemaining = time.Second
	i.Update(start, []UpstreamSpec{cold})
	before := i.ForService("s")[0]
	cold.ColdRemaining = time.Millisecond
	i.Update(start.Add(time.Minute), []UpstreamSpec{cold})
	c.Check(i.ForService("s")[0].ColdUntil(), qt.Equals, start.Add(time.Second), qt.Commentf("a liveness report is no start"))
	cold.StartedAtMillis = 2
	i.Update(start.Add(time.Minute), []UpstreamSpec{cold})
	after := i.ForService("s")[0]
	c.Check(after.SameLifetime(before), qt.IsFalse)
	c.Check(after.ColdUntil(), qt.Equals, start.Add(time.Minute+time.Millisecond))
	moved := cold
	moved.Service = "t"
	c.Check(i.Update(start.Add(time.Minute), []UpstreamSpec{moved}), qt.DeepEquals, []string{"s", "t"})
}
