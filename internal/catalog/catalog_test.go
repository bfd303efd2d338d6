package catalog

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"velkaneuvo", "syndesmos"} {
		file := "../../examples/" + name + ".jsonc"
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		services, err := ParseBundle(file, data)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, services, qt.HasLen, 4)
	}
}

// TestGroupsJoinShardsThatShareUpstreams checks that shards of different maps are in
// one group if they share upstreams, directly or through another shard.
func TestGroupsJoinShardsThatShareUpstreams(t *testing.T) {
	c := qt.New(t)
	upstream := func(name string) UpstreamSpec {
		return UpstreamSpec{Name: name, Address: "127.0.0.1:1", DataCenter: "d", Slots: 1, Connections: 4}
	}
	s, err := CompileService(ServiceSpec{
		Name: "s", Goal: "coverage", MinReplicas: 1, Canary: "never",
		Kinds:     []KindSpec{{Name: "k", Urgency: "urgent", Idempotent: true, Scatter: "all", DefaultTimeoutMilliseconds: 1}},
		Upstreams: []UpstreamSpec{upstream("a"), upstream("b"), upstream("c"), upstream("d")},
		ShardMaps: []ShardMapSpec{
			{Name: "m1", Shards: []ShardSpec{{Name: "x", Weight: 1, Upstreams: []string{"a"}}, {Name: "y", Weight: 1, Upstreams: []string{"b"}}, {Name: "z", Weight: 1, Upstreams: []string{"c", "d"}}}},
			{Name: "m2", Shards: []ShardSpec{{Name: "xy", Weight: 2, Upstreams: []string{"a", "b"}}, {Name: "z", Weight: 1, Upstreams: []string{"c"}}}},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Groups(), qt.HasLen, 2)
	c.Check(s.Groups()[0].ShardPaths(), qt.DeepEquals, []string{"m1/x", "m1/y", "m2/xy"})
	c.Check(s.Groups()[1].ShardPaths(), qt.DeepEquals, []string{"m1/z", "m2/z"})
}

func FuzzParseService(f *testing.F) {
	f.Add([]byte(`{"name":"s","goal":"coverage","min-replicas":1,"canary":"never","kinds":[],"upstreams":[],"maps":[{"name":"m","shards":[]}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = ParseService("f", data) })
}

func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"services":{"a":"b"},"changes":["c"]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = ParseHead(data) })
}
