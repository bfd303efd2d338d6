package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newSpecIn(id, dataCenter string) UpstreamSpec {
	s := newSpec(id)
	s.DataCenter = dataCenter
	return s
}

// TestEvacuatedUpstreamsAreRetired checks that no upstream of an evacuated data centre is
// eligible, also one whose entry comes later, and that they return cold and as a last resort.
func TestEvacuatedUpstreamsAreRetired(t *testing.T) {
	c := qt.New(t)
	i := New()
	i.Seed = 1 << 31
	specs := []UpstreamSpec{newSpecIn("a", "z1"), newSpecIn("b", "z2")}
	i.Update(start, specs)
	c.Check(i.SetEvacuated(start, []string{"z1", "unknown"}), qt.DeepEquals, []string{"s"})
	c.Check(i.SetEvacuated(start, []string{"unknown", "z1"}), qt.HasLen, 0, qt.Commentf("nothing new"))
	specs = append(specs, newSpecIn("late", "z1"))
	i.Update(start.Add(time.Hour), specs)
	want := map[string]Eligibility{"a": Retired, "b": InService, "late": Retired}
	c.Check(eligibilityByID(i, start.Add(time.Hour)), qt.DeepEquals, want)
	c.Check(i.Len(), qt.Equals, 3, qt.Commentf("the records are kept"))

	back := start.Add(2 * time.Hour)
	c.Check(i.SetEvacuated(back, nil), qt.DeepEquals, []string{"s"})
	c.Check(eligibilityByID(i, back), qt.DeepEquals, map[string]Eligibility{"a": LastResort, "b": InService, "late": LastResort})
	for _, u := range i.ForService("s") {
		c.Check(u.ColdUntil().After(back), qt.Equals, u.DataCenter() == "z1", qt.Commentf("%s", u.ID()))
	}
	c.Check(eligibilityByID(i, back.Add(returnPeriod/2-1))["a"], qt.Equals, LastResort)
	c.Check(eligibilityByID(i, back.Add(returnPeriod/2))["a"], qt.Equals, InService)
	later := back.Add(returnPeriod)
	i.Update(later, specs)
	c.Check(eligibilityByID(i, later), qt.DeepEquals, map[string]Eligibility{"a": InService, "b": InService, "late": InService})
	c.Check(changedServices(i, later, specs), qt.HasLen, 0)
}

// TestEvacuationSurvivesCopyOfStore guards against evacuations that end because the store has
// come back from a copy which lacks their key. The operator writes the key again soon after.
func TestEvacuationSurvivesCopyOfStore(t *testing.T) {
	c := qt.New(t)
	i := New()
	i.Update(start, []UpstreamSpec{newSpecIn("a", "z1")})
	i.SetEvacuated(start, []string{"z1"})
	i.BeginEra(start)
	i.SetEvacuated(start, nil)
	c.Check(eligibilityByID(i, start), qt.DeepEquals, map[string]Eligibility{"a": Retired})
	i.SetEvacuated(start.Add(eraGracePeriod), nil)
	c.Check(i.Evacuated(), qt.HasLen, 0)
}

// TestColdPeriods checks which entries of one lifetime start, change and end a cold period:
// later ones, but none that was read before, that is older, or that states no time.
func TestColdPeriods(t *testing.T) {
	const period = 8 * time.Second
	type entry struct {
		after     time.Duration
		sequence  int64
		remaining time.Duration
		isMissing bool
	}
	for _, test := range []struct {
		name    string
		entries []entry
		// want is when the period ends, after the start.
		want time.Duration
	}{
		{"read again", []entry{{0, 5, period, false}, {time.Second, 5, period, false}}, period},
		{"written again", []entry{{0, 5, period, false}, {time.Second, 6, period - 2*time.Second, false}}, period - time.Second},
		{"without a time", []entry{{0, 5, period, false}, {time.Second, 6, 0, false}}, period},
		{"cold again", []entry{{0, 5, period, false}, {time.Minute, 90, period, false}}, time.Minute + period},
		{"cold later", []entry{{0, 5, 0, false}, {time.Minute, 90, period, false}}, time.Minute + period},
		{"late from another host", []entry{{0, 5, 0, false}, {time.Minute, 90, 0, false}, {time.Minute + time.Second, 40, period, false}}, 0},
		{"read again after an older one", []entry{{0, 9, period, false}, {time.Second, 8, 0, false}, {2 * time.Second, 9, period, false}}, period},
		{"entry away", []entry{{0, 9, period, false}, {time.Second, 0, 0, true}, {4 * time.Second, 0, 0, true}, {5 * time.Second, 9, period, false}}, period},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			i := New()
			for _, e := range test.entries {
				s := newSpec("a")
				s.Sequence, s.ColdRemaining = e.sequence, e.remaining
				list := []UpstreamSpec{s}
				if e.isMissing {
					list = nil
				}
				i.Update(start.Add(e.after), list)
			}
			c.Check(i.ForService("s")[0].ColdUntil().Sub(start), qt.Equals, test.want)
		})
	}
}
