package routing

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

func TestMatch(t *testing.T) {
	table := NewTable(7, []RouteSpec{
		{Name: "short", Host: "A.example", Prefix: "/a/"},
		{Name: "long", Host: "a.example", Prefix: "/a/b/"},
		{Name: "other", Host: "b.example", Prefix: "/a/"},
	}, nil, Limits{})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/a/x", "short"},
		{"a.example", "/a/b/x", "long"},
		{"a.example", "/a/b", "short"},
		{"A.EXAMPLE", "/a/b/", "long"},
		{"b.example", "/a/b/x", "other"},
		{"b.example", "/a", ""},
		{"c.example", "/a/", ""},
		{"a.example", "", ""},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			name := ""
			if r := table.Match(test.host, test.path); r != nil {
				name = r.Name()
			}
			qt.New(t).Check(name, qt.Equals, test.want)
		})
	}
}

// TestWeights checks that each block of 100 requests follows the weights, and that a
// route with two destinations of weight zero has no service.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	r := NewTable(1, []RouteSpec{{Host: "h", Prefix: "/", Destinations: []Destination{{"a", 70}, {"b", 20}, {"c", 10}, {"d", 0}}}}, nil, Limits{}).Match("h", "/")
	for range 30 {
		count := make(map[string]int)
		for range 100 {
			count[r.NextServices()[0]]++
		}
		c.Check(fmt.Sprint(count), qt.Equals, "map[a:70 b:20 c:10]")
	}
	none := NewTable(1, []RouteSpec{{Host: "h", Prefix: "/", Destinations: []Destination{{"a", 0}, {"b", 0}}}}, nil, Limits{}).Match("h", "/")
	c.Check(none.NextServices(), qt.HasLen, 0)
}

func TestMinParts(t *testing.T) {
	for _, test := range []struct {
		shards int
		ratio  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {10, 0.75, 8}, {15, 0.89, 14}, {10, 0, 1}, {10, 1, 10}, {3, 2, 3}, {1, 0.5, 1}} {
		t.Run(fmt.Sprint(test.shards, test.ratio), func(t *testing.T) {
			r := Route{spec: RouteSpec{Shards: make([]string, test.shards), MinShardRatio: test.ratio}}
			qt.New(t).Check(r.MinParts(), qt.Equals, test.want)
		})
	}
}

func TestServices(t *testing.T) {
	table := NewTable(1, []RouteSpec{
		{Host: "h", Prefix: "/", Shards: []string{"s2", "s1"}},
		{Host: "i", Prefix: "/", Destinations: []Destination{{"s3", 1}, {"s1", 1}}},
	}, []ServiceSpec{{Name: "s1", MaxConnections: 9}}, Limits{})
	c := qt.New(t)
	c.Check(table.Services(), qt.DeepEquals, []string{"s1", "s2", "s3"})
	c.Check(table.Service("s1").MaxConnections, qt.Equals, 9)
	c.Check(table.Service("s9"), qt.Equals, ServiceSpec{})
}

// TestAccountsRankRequests guards against requests of urgent accounts that count as less urgent
// because of their route, and the other way round.
func TestAccountsRankRequests(t *testing.T) {
	urgent, late, plain := account.Spec{Name: "urgent", HasPriority: true}, account.Spec{Name: "late", HasPriority: true, Priority: 3}, account.Spec{Name: "plain"}
	for _, test := range []struct {
		name     string
		accounts []account.Spec
		public   bool
		// want are the accounts, "" for none, whose requests are outranked on the routes with
		// priority 1 and 2.
		want string
	}{
		{"no accounts", nil, false, "2:"},
		{"plain only", []account.Spec{plain}, false, "2:plain 2:"},
		{"all kinds", []account.Spec{urgent, late, plain}, false, "1:late 1:plain 1: 2:late 2:plain 2:"},
		{"late only", []account.Spec{late}, false, ""},
		{"late only, public", []account.Spec{late}, true, "1:late 2:late 2:"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d *account.Directory
			if test.accounts != nil {
				d = account.NewDirectory(test.accounts)
			}
			one := []Destination{{"s", 1}}
			table := NewTable(1, []RouteSpec{{Host: "h", Prefix: "/1", Priority: 1, Destinations: one, Public: test.public}, {Host: "h", Prefix: "/2", Priority: 2, Destinations: one}}, nil, Limits{}).WithAccounts(d)
			var outranked []string
			for _, path := range []string{"1", "2"} {
				for _, name := range []string{"urgent", "late", "plain", ""} {
					if a := d.ByName(name); (a != nil || name == "") && table.Match("h", "/"+path).IsOutranked(a) {
						outranked = append(outranked, path+":"+name)
					}
				}
			}
			qt.New(t).Check(strings.Join(outranked, " "), qt.Equals, test.want)
		})
	}
}
