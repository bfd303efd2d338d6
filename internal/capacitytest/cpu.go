// Package capacitytest measures what docs/CAPACITY.md is worked out from.
package capacitytest

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

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
