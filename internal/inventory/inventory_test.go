package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSpec(id string) UpstreamSpec {
	return UpstreamSpec{ID: id, StartedAtMillis: 1, Service: "s", Address: "1.2.3.4:5", Slots: 2}
}

func eligibilityByID(i *Inventory, now time.Time) map[string]Eligibility {
	all := make(map[string]Eligibility)
	for _, u := range i.ForService("s") {
		all[u.ID()] = u.Eligibility(now)
	}
	return all
}

// changedServices updates an inventory and returns the services whose upstreams changed.
func changedServices(i *Inventory, now time.Time, specs []UpstreamSpec) []string {
	changed, _ := i.Update(now, specs)
	return changed
}

// TestMissingEntries checks that Update returns the services with a change. An
// upstream whose entry has vanished stays usable as a last resort for
// missingGracePeriod, since an outage of the store may be the cause; it is in service
// again if its entry returns, and is removed otherwise.
func TestMissingEntries(t *testing.T) {
	c := qt.New(t)
	i := New()
	c.Check(changedServices(i, start, []UpstreamSpec{newSpec("a"), newSpec("b")}), qt.DeepEquals, []string{"s"})
	c.Check(changedServices(i, start, []UpstreamSpec{newSpec("a"), newSpec("b")}), qt.HasLen, 0)
	c.Check(changedServices(i, start, []UpstreamSpec{newSpec("a")}), qt.DeepEquals, []string{"s"})
	c.Check(eligibilityByID(i, start.Add(missingGracePeriod)), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": LastResort})
	c.Check(eligibilityByID(i, start.Add(missingGracePeriod+1)), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": Retired})
	backAt := start.Add(time.Second)
	i.Update(backAt, []UpstreamSpec{newSpec("a"), newSpec("b")})
	c.Check(eligibilityByID(i, backAt), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": InService})
	i.Update(backAt, []UpstreamSpec{newSpec("a")})
	i.Update(backAt.Add(missingGracePeriod+1), []UpstreamSpec{newSpec("a")})
	c.Check(i.Len(), qt.Equals, 1)
}

// TestDraining checks that the grace period of a draining upstream starts with the
// first report, and does not start again when the entry changes or vanishes.
func TestDraining(t *testing.T) {
	c := qt.New(t)
	i := New()
	i.Update(start, []UpstreamSpec{newSpec("a")})
	draining := newSpec("a")
	draining.Draining = true
	i.Update(start.Add(time.Second), []UpstreamSpec{draining})
	draining.Slots = 3
	i.Update(start.Add(2*time.Second), []UpstreamSpec{draining})
	c.Check(eligibilityByID(i, start.Add(time.Second+drainGracePeriod)), qt.DeepEquals, map[string]Eligibility{"a": LastResort})
	c.Check(eligibilityByID(i, start.Add(time.Second+drainGracePeriod+1)), qt.DeepEquals, map[string]Eligibility{"a": Retired})
	i.Update(start.Add(3*time.Second), nil)
	c.Check(eligibilityByID(i, start.Add(3*time.Second)), qt.DeepEquals, map[string]Eligibility{"a": Retired})
}

// TestLifetimes checks that a restart under the same id is a new lifetime, that a
// repeated report does not extend the cold period, and that both services change
// when an upstream moves from one to the other.
func TestLifetimes(t *testing.T) {
	c := qt.New(t)
	i := New()
	cold := newSpec("a")
	cold.ColdRemaining = time.Second
	i.Update(start, []UpstreamSpec{cold})
	before := i.ForService("s")[0]
	cold.ColdRemaining = time.Millisecond
	i.Update(start.Add(time.Minute), []UpstreamSpec{cold})
	c.Check(i.ForService("s")[0].ColdUntil(), qt.Equals, start.Add(time.Second), qt.Commentf("a repeated report is not a restart"))
	cold.StartedAtMillis = 2
	i.Update(start.Add(time.Minute), []UpstreamSpec{cold})
	after := i.ForService("s")[0]
	c.Check(after.HasSameLifetime(before), qt.IsFalse)
	c.Check(after.ColdUntil(), qt.Equals, start.Add(time.Minute+time.Millisecond))
	moved := cold
	moved.Service = "t"
	c.Check(changedServices(i, start.Add(time.Minute), []UpstreamSpec{moved}), qt.DeepEquals, []string{"s", "t"})
}

// TestUpstreamsEndedWithoutNotice checks which upstreams Update reports as ended: those
// whose entry has vanished or is of another lifetime, once each, but none that was draining.
func TestUpstreamsEndedWithoutNotice(t *testing.T) {
	c := qt.New(t)
	i := New()
	restarted, draining := newSpec("a"), newSpec("b")
	i.Update(start, []UpstreamSpec{newSpec("a"), newSpec("b"), newSpec("c")})
	restarted.StartedAtMillis++
	draining.Draining = true
	ids := func(now time.Time, specs ...UpstreamSpec) (list []string) {
		_, ended := i.Update(now, specs)
		for _, u := range ended {
			list = append(list, u.ID())
		}
		return list
	}
	c.Check(ids(start, restarted, draining, newSpec("c")), qt.DeepEquals, []string{"a"})
	c.Check(ids(start.Add(time.Second), restarted), qt.DeepEquals, []string{"c"})
	c.Check(ids(start.Add(2*time.Second), restarted), qt.HasLen, 0)
}

// TestCopyOfStoreBringsNoUpstreamBack checks that entries of a copy of the store from before
// an upstream left or began to drain do not count, until the upstream writes its entry
// again, and that an upstream without an entry in the copy is kept for eraGracePeriod.
func TestCopyOfStoreBringsNoUpstreamBack(t *testing.T) {
	c := qt.New(t)
	i := New()
	spec := func(id string, sequence int64, draining bool) UpstreamSpec {
		s := newSpec(id)
		s.Sequence, s.Draining = sequence, draining
		return s
	}
	i.Update(start, []UpstreamSpec{spec("gone", 3, false), spec("draining", 3, false), spec("new", 1, false)})
	i.Update(start.Add(time.Second), []UpstreamSpec{spec("draining", 4, true), spec("new", 1, false)})
	later := start.Add(time.Second + missingGracePeriod + 1)
	i.Update(later, []UpstreamSpec{spec("draining", 4, true), spec("new", 1, false)})
	i.BeginEra(later)
	_, ended := i.Update(later, []UpstreamSpec{spec("gone", 3, false), spec("draining", 3, false)})
	c.Check(ended, qt.HasLen, 0)
	eligibilities := func(now time.Time) map[string]Eligibility {
		list := make(map[string]Eligibility)
		for _, u := range i.ForService("s") {
			list[u.ID()] = u.Eligibility(now)
		}
		return list
	}
	c.Check(eligibilities(later), qt.DeepEquals, map[string]Eligibility{"draining": Retired, "new": LastResort})
	c.Check(eligibilities(later.Add(eraGracePeriod))["new"], qt.Equals, LastResort)
	c.Check(eligibilities(later.Add(eraGracePeriod + 1))["new"], qt.Equals, Retired)
	written := later.Add(500 * time.Millisecond)
	i.Update(written, []UpstreamSpec{spec("gone", 4, false), spec("draining", 5, true), spec("new", 2, false)})
	c.Check(eligibilities(written), qt.DeepEquals, map[string]Eligibility{"gone": InService, "draining": Retired, "new": InService})
}

// TestLeavingUpstreamStaysLeaving checks that an upstream that has stated that it leaves gets
// no attempts after drainGracePeriod, whatever its entry says later, also after the entry
// was away, until a new lifetime begins.
func TestLeavingUpstreamStaysLeaving(t *testing.T) {
	c := qt.New(t)
	i := New()
	i.Update(start, []UpstreamSpec{newSpec("a")})
	c.Check(i.RecordLeaving(start, "a"), qt.Equals, "s")
	c.Check(i.RecordLeaving(start, "a"), qt.Equals, "", qt.Commentf("known"))
	c.Check(i.RecordLeaving(start, "b"), qt.Equals, "", qt.Commentf("unknown"))
	c.Check(i.ForService("s")[0].Eligibility(start), qt.Equals, LastResort)
	later := start.Add(drainGracePeriod + 1)
	i.Update(later, []UpstreamSpec{newSpec("a")})
	c.Check(i.ForService("s")[0].Eligibility(later), qt.Equals, Retired)
	i.Update(later, nil)
	i.Update(later.Add(missingGracePeriod+1), nil)
	c.Check(i.ForService("s"), qt.HasLen, 0)
	back := later.Add(time.Minute)
	i.Update(back, []UpstreamSpec{newSpec("a")})
	c.Check(i.ForService("s")[0].Eligibility(back), qt.Equals, Retired)
	restarted := newSpec("a")
	restarted.StartedAtMillis++
	i.Update(back, []UpstreamSpec{restarted})
	c.Check(i.ForService("s")[0].Eligibility(back), qt.Equals, InService)
}
