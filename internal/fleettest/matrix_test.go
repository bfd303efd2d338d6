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

// pairStride is which share of the pairs runs without the flag.
const pairStride = 16

// recoveryTime is how long a fleet may take until it serves as before.
const recoveryTime = 8 * time.Second

// step is a moment in the course of a request.
type step struct {
	name string
	at   time.Duration
}

// steps are moments of a request on a fleet with runs of 15 to 25 ms: the
// canary runs first, then all other shards.
var steps = []step{
	{"before", -20 * time.Millisecond},
	{"admitted", 700 * time.Microsecond},
	{"canary-runs", 8 * time.Millisecond},
	{"scattered", 27 * time.Millisecond},
	{"gathering", 42 * time.Millisecond},
	{"answered", 90 * time.Millisecond},
}

func TestFaultMatrix(t *testing.T) {
	faults := Faults()
	var mu sync.Mutex
	verdicts := make(map[string]string)
	t.Run("cells", func(t *testing.T) {
		for _, kind := range []string{Search, Booking} {
			for _, s := range steps {
				for i, a := range faults {
					cell := fmt.Sprintf("%s/%s/%s", kind, s.name, a.Name)
					t.Run(cell, func(t *testing.T) {
						t.Parallel()
						broken := runCell(t, kind, s, a)
						mu.Lock()
						defer mu.Unlock()
						verdicts[cell] = "held"
						if broken {
							verdicts[cell] = "BROKEN"
						}
					})
					runPairs(t, cell, kind, s, i, faults)
				}
			}
		}
	})
	if !t.Failed() {
		goldie.New(t).Assert(t, "matrix", []byte(table(faults, verdicts)))
	}
}

func runPairs(t *testing.T, cell, kind string, s step, i int, faults []Fault) {
	for j := i + 1; j < len(faults); j++ {
		if !*allPairs && (i*len(faults)+j)%pairStride != 0 {
			continue
		}
		t.Run(cell+"+"+faults[j].Name, func(t *testing.T) {
			t.Parallel()
			runCell(t, kind, s, faults[i], faults[j])
		})
	}
}

// runCell brings about faults at a step of one request and reports whether a
// promise was broken.
func runCell(t *testing.T, kind string, s step, faults ...Fault) bool {
	synctest.Test(t, func(t *testing.T) {
		f := New(DefaultOptions())
		f.Start()
		defer f.Stop()
		time.Sleep(startTime)
		caller := f.NewCaller()
		d := entry.RequestDocument{RequestID: "request-1", Kind: kind, Key: "a", Query: []byte(`{}`)}
		asked := f.Asked()
		if s.at < 0 {
			inject(f, faults)
			time.Sleep(-s.at)
		} else {
			f.Go(func() {
				time.Sleep(s.at)
				inject(f, faults)
			})
		}
		first := caller.Ask(asked, d)
		time.Sleep(100 * time.Millisecond)
		last := caller.Book(d, 10)
		t.Logf("first: lost %v, %s %s; last: lost %v, %s %s", first.Lost, first.Answer.Status, first.Answer.Reason, last.Lost, last.Answer.Status, last.Answer.Reason)
		allowed := last.Answer.Status == "complete" || last.Answer.Status == "unknown" && excused(kind, faults[0])
		if len(faults) == 1 && !allowed {
			caller.broke("sent ten times: %s %s", last.Answer.Status, last.Answer.Reason)
		}
		for _, fault := range faults {
			if fault.Heal != nil {
				fault.Heal(f)
			}
		}
		time.Sleep(recoveryTime)
		again := caller.Book(entry.RequestDocument{RequestID: "after-1", Kind: Search, Query: []byte(`{"after":1}`)}, 1)
		if again.Answer.Status != "complete" {
			caller.broke("after the faults: %s %s, missing %v", again.Answer.Status, again.Answer.Reason, again.Answer.Missing)
		}
		checkUpstreams(f, caller)
		var bookings []string
		if kind == Booking {
			bookings = append(bookings, d.RequestID)
		}
		caller.CheckEnd(bookings)
		for _, b := range caller.Broken {
			t.Error(b)
		}
	})
	return t.Failed()
}

// excused reports whether the outcome of a request may stay unknown under a
// fault: of a booking while its claims cannot be read, or after its one run was
// lost together with the gate that ran it.
func excused(kind string, f Fault) bool {
	if kind != Booking {
		return false
	}
	return strings.HasPrefix(f.Name, "store-") || strings.HasPrefix(f.Name, "gate-") || f.Name == "host-cut-off" || f.Name == "upstream-cuts-after-run"
}

// checkUpstreams asserts the bound on slots: an upstream's own slots and one
// for each other gate that may hold it to be its own for a moment.
func checkUpstreams(f *Fleet, caller *Caller) {
	crashes := 0
	for _, u := range f.Upstreams {
		crashes += u.Crashes()
		if bound := f.Options.Slots + len(f.nodes) - 1; u.MostRunning() > bound {
			caller.broke("upstream %s: %d at once, %d slots", u.Name, u.MostRunning(), u.Slots)
		}
	}
	if crashes > 2 {
		caller.broke("one request crashed %d upstreams", crashes)
	}
}

func inject(f *Fleet, faults []Fault) {
	for _, fault := range faults {
		fault.Inject(f)
	}
}

func table(faults []Fault, verdicts map[string]string) string {
	var b strings.Builder
	for _, kind := range []string{Search, Booking} {
		fmt.Fprintf(&b, "%s\n%-24s", kind, "")
		for _, s := range steps {
			fmt.Fprintf(&b, " %-12s", s.name)
		}
		b.WriteString("\n")
		for _, f := range faults {
			fmt.Fprintf(&b, "%-24s", f.Name)
			for _, s := range steps {
				fmt.Fprintf(&b, " %-12s", verdicts[fmt.Sprintf("%s/%s/%s", kind, s.name, f.Name)])
			}
			b.WriteString("\n")
		}
	}
	return strings.ReplaceAll(b.String(), " \n", "\n")
}

func TestMatrixNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, f := range Faults() {
		qt.New(t).Check(seen[f.Name], qt.IsFalse, qt.Commentf(f.Name))
		seen[f.Name] = true
	}
}
