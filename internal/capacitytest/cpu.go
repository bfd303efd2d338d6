// Package capacitytest measures what docs/CAPACITY.md is worked out from.
package capacitytest

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// leafs is how many upstreams a service of the target has.
const leafs = 70

// CPU reports the processor time of the whole process for each operation,
// which counts both sides of a call over loopback.
func CPU(b *testing.B) (stop func()) {
	b.Helper()
	before := used()
	return func() {
		b.ReportMetric(float64((used()-before).Microseconds())/float64(b.N), "cpu-us/op")
	}
}

// Heap returns the bytes in use after a collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func used() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Service returns a service of 70 leafs in shards of three.
func Service(b testing.TB, name string, slots int) *catalog.Service {
	spec := catalog.ServiceSpec{
		Name: name, Goal: "coverage", MinReplicas: 1, Canary: "never",
		Kinds:     []catalog.KindSpec{{Name: "search", Urgency: "urgent", Idempotent: true, Scatter: "all", DeadlineMilliseconds: 150}},
		ShardMaps: []catalog.ShardMapSpec{{Name: "m1"}},
	}
	for i := range leafs {
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
