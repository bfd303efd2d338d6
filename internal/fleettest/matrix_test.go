package fleettest

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
)

var allPairs = flag.Bool("pairs", false, "run every pair of faults in the matrix")

// pairStride makes the matrix run about 1 in pairStride pairs of faults, or all pairs if
// -pairs is set.
const pairStride = 16

// recoveryPeriod is how long a fleet may take after the last fault until it serves
// as before.
const recoveryPeriod = 8 * time.Second

// injectionPoint is a moment of a request or an operation at which faults are injected.
type injectionPoint struct {
	name string
	// offset is the time from the start of the request or operation to the injection. If
	// it is negative, the injection precedes the start.
	offset time.Duration
}

// requestPoints are the injection points of a request. The offsets fit a search with
// DefaultOptions: the run of the canary takes 15 to 24 ms, and then the runs on all other
// shards take 15 to 24 ms.
var requestPoints = []injectionPoint{
	{"before", -20 * time.Millisecond},
	{"admitted", 700 * time.Microsecond},
	{"canary-runs", 8 * time.Millisecond},
	{"scattered", 27 * time.Millisecond},
	{"gathering", 42 * time.Millisecond},
	{"answered", 90 * time.Millisecond},
}

// TestFaultMatrix injects each fault, and the pairs of faults that pairStride selects,
// at each point of a search and of a booking. Each answer must satisfy the invariants
// of Caller. Under a single fault, the request must be complete after at most 10 more
// sendings, or have an unknown outcome where mayStayUnknown allows it. The first
// search that is sent recoveryPeriod after the faults have been healed must be
// complete, and the checks of checkUpstreamLimits and CheckFinalState must pass. The
// results of single faults must equal testdata/matrix.golden.
func TestFaultMatrix(t *testing.T) {
	faults := Faults()
	var mu sync.Mutex
	results := make(map[string]string)
	t.Run("cells", func(t *testing.T) {
		for _, kind := range []string{SearchKind, BookingKind} {
			for _, point := range requestPoints {
				for i, fault := range faults {
					cell := fmt.Sprintf("%s/%s/%s", kind, point.name, fault.Name)
					t.Run(cell, func(t *testing.T) {
						t.Parallel()
						failed := runCell(t, kind, point, fault)
						mu.Lock()
						defer mu.Unlock()
						results[cell] = "held"
						if failed {
							results[cell] = "BROKEN"
						}
					})
					runPairs(t, cell, kind, point, i, faults)
				}
			}
		}
	})
	if !t.Failed() {
		goldie.New(t).Assert(t, "matrix", []byte(formatMatrix(faults, results)))
	}
}

func runPairs(t *testing.T, cell, kind string, point injectionPoint, i int, faults []Fault) {
	for j := i + 1; j < len(faults); j++ {
		if !*allPairs && (i*len(faults)+j)%pairStride != 0 {
			continue
		}
		t.Run(cell+"+"+faults[j].Name, func(t *testing.T) {
			t.Parallel()
			runCell(t, kind, point, faults[i], faults[j])
		})
	}
}

// runCell injects faults at a point of one request, runs the checks of TestFaultMatrix
// and reports whether any check failed.
func runCell(t *testing.T, kind string, point injectionPoint, faults ...Fault) bool {
	synctest.Test(t, func(t *testing.T) {
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		caller := f.NewCaller()
		d := entry.RequestDocument{RequestID: "request-1", Kind: kind, Key: "a", Query: []byte(`{}`)}
		receiver := f.FirstHostNotOwningShard0()
		if point.offset < 0 {
			inject(f, faults)
			time.Sleep(-point.offset)
		} else {
			f.Go(func() {
				time.Sleep(point.offset)
				inject(f, faults)
			})
		}
		first := caller.Send(receiver, d)
		time.Sleep(100 * time.Millisecond)
		last := caller.SendUntilComplete(d, 10)
		t.Logf("first response: lost %v, %s %s; last response: lost %v, %s %s", first.NoAnswer, first.Answer.Status, first.Answer.Reason, last.NoAnswer, last.Answer.Status, last.Answer.Reason)
		allowed := last.Answer.Status == "complete" || last.Answer.Status == "unknown" && mayStayUnknown(kind, faults[0])
		if len(faults) == 1 && !allowed {
			caller.addViolation("no permitted outcome after sending the request 10 times: %s %s", last.Answer.Status, last.Answer.Reason)
		}
		for _, fault := range faults {
			if fault.Heal != nil {
				fault.Heal(f)
			}
		}
		time.Sleep(recoveryPeriod)
		after := caller.SendUntilComplete(entry.RequestDocument{RequestID: "after-1", Kind: SearchKind, Query: []byte(`{"after":1}`)}, 1)
		if after.Answer.Status != "complete" {
			caller.addViolation("request after the faults: %s %s, missing %v", after.Answer.Status, after.Answer.Reason, after.Answer.Missing)
		}
		checkUpstreamLimits(f, caller)
		var bookings []string
		if kind == BookingKind {
			bookings = append(bookings, d.RequestID)
		}
		caller.CheckFinalState(bookings)
		for _, v := range caller.Violations {
			t.Error(v)
		}
	})
	return t.Failed()
}

// mayStayUnknown reports whether the outcome of a request may stay unknown under a
// fault. The outcome of a search may not. The outcome of a booking may under faults of
// the key-value service, since its claim may be unreadable, and under faults of the gate
// or host that owns shard 0 and upstream-cuts-after-run, since its only run may be lost
// together with its gate or its connection.
func mayStayUnknown(kind string, f Fault) bool {
	if kind != BookingKind {
		return false
	}
	return strings.HasPrefix(f.Name, "store-") || strings.HasPrefix(f.Name, "gate-") || f.Name == "host-cut-off" || f.Name == "upstream-cuts-after-run"
}

// checkUpstreamLimits checks that no upstream admitted more runs at once than it has
// slots, plus one for each host but the first, including stopped hosts: each of their
// gates may briefly consider itself the owner. It also checks that at most two runs
// crashed their upstream, since all crashing requests of a test have the same query.
func checkUpstreamLimits(f *Fleet, caller *Caller) {
	crashes := 0
	for _, u := range f.Upstreams {
		crashes += u.CrashCount()
		if bound := f.Options.Slots + len(f.hosts) - 1; u.MaxConcurrentRuns() > bound {
			caller.addViolation("upstream %s: %d runs admitted at once with %d slots", u.Name, u.MaxConcurrentRuns(), u.Slots)
		}
	}
	if crashes > 2 {
		caller.addViolation("%d runs of requests with the same query crashed their upstream, at most 2 are allowed", crashes)
	}
}

func inject(f *Fleet, faults []Fault) {
	for _, fault := range faults {
		fault.Inject(f)
	}
}

func formatMatrix(faults []Fault, results map[string]string) string {
	var b strings.Builder
	for _, kind := range []string{SearchKind, BookingKind} {
		fmt.Fprintf(&b, "%s\n%-24s", kind, "")
		for _, point := range requestPoints {
			fmt.Fprintf(&b, " %-12s", point.name)
		}
		b.WriteString("\n")
		for _, f := range faults {
			fmt.Fprintf(&b, "%-24s", f.Name)
			for _, point := range requestPoints {
				fmt.Fprintf(&b, " %-12s", results[fmt.Sprintf("%s/%s/%s", kind, point.name, f.Name)])
			}
			b.WriteString("\n")
		}
	}
	return strings.ReplaceAll(b.String(), " \n", "\n")
}

func TestFaultNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, f := range Faults() {
		qt.New(t).Check(seen[f.Name], qt.IsFalse, qt.Commentf(f.Name))
		seen[f.Name] = true
	}
}
