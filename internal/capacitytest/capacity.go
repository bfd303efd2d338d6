// Package capacitytest has helpers for benchmarks. Its own tests are the benchmarks on
// which docs/CAPACITY.md is based.
package capacitytest

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// upstreamCount is the number of upstreams of a service in the target deployment.
// BenchmarkScatter and BenchmarkQuery also use it as their largest number of shards.
const upstreamCount = 70

// StartCPUTimer starts to measure the processor time of the process. stop reports the
// time since then, in microseconds per operation. It includes both sides of a call over
// loopback, since both run in this process.
func StartCPUTimer(b *testing.B) (stop func()) {
	b.Helper()
	before := processCPUTime()
	return func() {
		b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
	}
}

// HeapBytes returns the size of the live heap after two garbage collections.
func HeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// NewService returns a service of 70 upstreams and 23 shards. Each shard has three
// upstreams, and the last upstream belongs to no shard.
func NewService(b testing.TB, name string, slots int) *catalog.Service {
	spec := catalog.ServiceSpec{
		Name: name, Goal: "coverage", MinReplicas: 1, Canary: "never",
		Kinds:     []catalog.KindSpec{{Name: "search", Urgency: "urgent", Idempotent: true, Scatter: "all", DefaultTimeoutMilliseconds: 150}},
		ShardMaps: []catalog.ShardMapSpec{{Name: "m1"}},
	}
	for i := range upstreamCount {
		u := catalog.UpstreamSpec{Name: fmt.Sprintf("u%02d", i), Address: fmt.Sprintf("10.0.0.%d:8080", i), DataCenter: "attiki-1", Slots: slots, Connections: 50}
		spec.Upstreams = append(spec.Upstreams, u)
		if i%3 == 2 {
			names := []string{spec.Upstreams[i-2].Name, spec.Upstreams[i-1].Name, u.Name}
			spec.ShardMaps[0].Shards = append(spec.ShardMaps[0].Shards, catalog.ShardSpec{Name: fmt.Sprintf("s%02d", i/3), Weight: 1, Upstreams: names})
		}
	}
	s, err := catalog.CompileService(spec)
	if err != nil {
		b.Fatal(err)
	}
	return s
}
