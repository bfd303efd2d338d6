package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParseRest(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		stated string
		want   time.Duration
		isOdd  bool
	}{
		{"2", 2 * time.Second, false},
		{"0.25", 250 * time.Millisecond, false},
		{"0", 0, false},
		{"-3", 0, true},
		{"3600", maxRest, true},
		{"1e300", maxRest, true},
		{"NaN", unclearRest, true},
		{"soon", unclearRest, true},
		{"Wed, 21 Oct 2026 07:28:00 GMT", unclearRest, true},
	} {
		got, err := ParseRest(test.stated)
		c.Check(got, qt.Equals, test.want, qt.Commentf("%q", test.stated))
		c.Check(err != nil, qt.Equals, test.isOdd, qt.Commentf("%q", test.stated))
	}
}
