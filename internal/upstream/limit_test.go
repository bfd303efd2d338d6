package upstream

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseLimit(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stated string
		want   float64
		isOdd  bool
	}{
		{"30", 30, false},
		{"36.25", 36.25, false},
		{"1e2", 100, false},
		{"0.1", 0.1, false},
		{"0", minLimit, true},
		{"0.0001", minLimit, true},
		{"-3", 0, true},
		{"1e300", 0, true},
		{"1e999", 0, true},
		{"Inf", 0, true},
		{"-Inf", 0, true},
		{"NaN", 0, true},
		{"many", 0, true},
		{"3, 4", 0, true},
	} {
		got, err := ParseLimit(test.stated)
		c.Check(got, qt.Equals, test.want, qt.Commentf("%q", test.stated))
		c.Check(err != nil, qt.Equals, test.isOdd, qt.Commentf("%q", test.stated))
	}
}
