package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
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
