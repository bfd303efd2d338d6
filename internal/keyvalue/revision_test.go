package keyvalue

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEras checks which era responses count in, and which statements are reported.
func TestEras(t *testing.T) {
	c := qt.New(t)
	var eras Eras
	for _, step := range []struct {
		stated string
		want   uint64
		isOdd  bool
	}{
		{"", 0, false},
		{"5000", 5000, false},
		{"", 5000, false},
		{"5001", 5001, false},
		{"5000", 5000, true},
		{"none", 5001, true},
		{"-1", 5001, true},
		{"5002.5", 5001, true},
		{"7000", 5001, true},
		{"99999999999999999999", 5001, true},
		{"5002", 5002, false},
	} {
		era, err := eras.Observe(step.stated)
		c.Check(era, qt.Equals, step.want, qt.Commentf("%q", step.stated))
		c.Check(err != nil, qt.Equals, step.isOdd, qt.Commentf("%q: %v", step.stated, err))
	}
}

// TestRevisionOrder checks that revisions are ordered by era first, and that an era and a
// number are kept.
func TestRevisionOrder(t *testing.T) {
	c := qt.New(t)
	c.Check(NewRevision(1, 100) < NewRevision(2, 80), qt.IsTrue)
	c.Check(NewRevision(2, 80) < NewRevision(2, 81), qt.IsTrue)
	r := NewRevision(7, 1<<40)
	c.Check(r.Era(), qt.Equals, uint64(7))
	c.Check(r.Number(), qt.Equals, uint64(1<<40))
	c.Check(r.String(), qt.Equals, "7/1099511627776")
	c.Check(NewRevision(0, 12).String(), qt.Equals, "12")
	c.Check(NewRevision(5000, 1).IsPlausibleAfter(NewRevision(1, 1)), qt.IsFalse)
	c.Check(NewRevision(5000, 1).IsPlausibleAfter(0), qt.IsTrue)
}
