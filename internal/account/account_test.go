package account

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAuthenticate(t *testing.T) {
	d := NewDirectory([]Spec{{Name: "a", Keys: []string{"k"}}})
	known, unknown := NewCredential("k"), NewCredential("u")
	const fresh, old = minCertainAge, minCertainAge + 1
	for _, test := range []struct {
		name       string
		directory  *Directory
		credential Credential
		isPublic   bool
		copyAge    time.Duration
		want       Verdict
		account    string
		usualAge   time.Duration
	}{
		{"known key", d, known, false, fresh, Serve, "a", 0},
		{"known key, old copy", d, known, false, old, Serve, "a", 0},
		{"known key, public", d, known, true, fresh, Serve, "a", 0},
		{"unknown key", d, unknown, false, fresh, UnknownKey, "", 0},
		{"unknown key, old copy", d, unknown, false, old, Undecided, "", 0},
		{"unknown key, public", d, unknown, true, old, Serve, "", 0},
		{"no key", d, Credential{}, false, fresh, UnknownKey, "", 0},
		{"no key, old copy", d, Credential{}, false, old, UnknownKey, "", 0},
		{"no key, public", d, Credential{}, true, fresh, Serve, "", 0},
		{"unusable", d, UnusableCredential(), false, old, UnknownKey, "", 0},
		{"unusable, public", d, UnusableCredential(), true, fresh, Serve, "", 0},
		{"unknown key, large fleet", d, unknown, false, old, UnknownKey, "", old},
		{"unknown key, old copy in large fleet", d, unknown, false, maxCertainAge + 1, Undecided, "", time.Minute},
		{"no accounts", nil, unknown, false, old, Serve, "", 0},
		{"no usable account", NewDirectory([]Spec{{}}), unknown, false, fresh, UnknownKey, "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			verdict, a := test.directory.Authenticate(test.credential, test.isPublic, test.copyAge, test.usualAge)
			c.Check(verdict, qt.Equals, test.want)
			name := ""
			if a != nil {
				name = a.Name()
			}
			c.Check(name, qt.Equals, test.account)
		})
	}
}

// TestProblems guards against a mistake in one entry that loses another one, or that gives a
// key to the wrong account.
func TestProblems(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory([]Spec{
		{Name: "a", Keys: []string{"k1", "k1"}, Limit: Limit{RatePerSecond: 5}, HasPriority: true, Priority: 1},
		{Name: "b", Keys: []string{"k1", "", "k2"}, Limit: Limit{RatePerSecond: -1}, HasPriority: true, Priority: -1},
		{Name: "a", Keys: []string{"k3"}, Limit: Limit{RatePerSecond: 9}},
		{Name: " ", Keys: []string{"k4"}},
		{Name: "x\r\nY: z", Keys: []string{"k5"}},
		{Name: "n", Limit: Limit{RatePerSecond: math.Inf(1)}},
		{Name: "m", Keys: []string{"k6"}, Limit: Limit{RatePerSecond: 1, Burst: math.NaN()}},
	})
	var kinds []string
	for _, p := range d.Problems() {
		kinds = append(kinds, fmt.Sprint(p.Kind(), " ", p.Account(), " ", p.Owner()))
		c.Check(p.String(), qt.Not(qt.Matches), `.*k[1-6].*`)
	}
	c.Check(kinds, qt.DeepEquals, []string{
		"invalid-rate b ", "invalid-priority b ", "duplicate-key b a", "empty-key b ", "duplicate-name a ", "empty-name  ", "invalid-name  ",
		"invalid-rate n ", "invalid-burst m ", "no-keys n ",
	})
	var owners []string
	for _, k := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		if a := d.ByKey(k); a != nil {
			owners = append(owners, k+" "+a.Name())
		}
	}
	c.Check(owners, qt.DeepEquals, []string{"k1 a", "k2 b", "k3 a", "k6 m"})
	c.Check(d.ByName("a").Limit().RatePerSecond, qt.Equals, 5.0)
	c.Check([]int{d.ByName("a").Priority(7), d.ByName("b").Priority(7)}, qt.DeepEquals, []int{1, 7})
	for _, name := range []string{"b", "n", "m"} {
		c.Check(d.ByName(name).Limit().IsUnlimited(), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// FuzzAuthenticate checks the decision against the sentences of the requirements: a request is
// served without an account only on a public route, a known key is always served, and only an
// unknown key can be undecided.
func FuzzAuthenticate(f *testing.F) {
	f.Add("k1", "k1", 1, false, int64(time.Second), int64(0))
	f.Add("k1", "k2", 2, false, int64(3*time.Second), int64(2500*time.Millisecond))
	f.Fuzz(func(t *testing.T, configured, sent string, kind int, isPublic bool, age, usualAge int64) {
		d := NewDirectory([]Spec{{Name: "a", Keys: []string{configured}}})
		credential := []Credential{{}, UnusableCredential(), NewCredential(sent)}[uint(kind)%3]
		verdict, a := d.Authenticate(credential, isPublic, time.Duration(age), time.Duration(usualAge))
		isKnown := credential.kind == keyCredential && sent == configured && configured != ""
		want := UnknownKey
		switch {
		case isKnown, isPublic:
			want = Serve
		case credential.kind == keyCredential && age > int64(minCertainAge) && (age > usualAge || age > int64(maxCertainAge)):
			want = Undecided
		}
		if verdict != want || (a != nil) != isKnown {
			t.Errorf("got %v %v, want %v and an account: %v", verdict, a, want, isKnown)
		}
	})
}
