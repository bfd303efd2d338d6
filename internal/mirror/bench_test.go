package mirror

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// BenchmarkApplyAndRecords applies one change to a mirror of 49,000 upstreams and
// reads all records, as a host does after each change. It also reports the memory of
// the mirror per upstream.
func BenchmarkApplyAndRecords(b *testing.B) {
	const upstreams = 49_000
	value := `{"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":2,"state":"ready","sequence":4}`
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New()
	for i := range keyvalue.Revision(upstreams) {
		m.Apply([]keyvalue.Change{keyvalue.NewChange(fmt.Sprint("u/", i), []byte(value), i+1)}, i+1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	revision := keyvalue.Revision(upstreams)
	for b.Loop() {
		revision++
		m.Apply([]keyvalue.Change{keyvalue.NewChange(fmt.Sprint("u/", revision%upstreams), []byte(value), revision)}, revision)
		if len(m.Records()) < upstreams {
			b.Fatal("records are missing")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/upstreams, "B/upstream")
}
