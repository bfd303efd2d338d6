package dispatch

import "sync"

// fakeAlerts are CrashAlerts whose alert holds for all services or none.
type fakeAlerts struct {
	holds, known bool

	mu       sync.Mutex
	raised   int
	recorded []uint64
	results  []CanaryResult
}

func (a *fakeAlerts) Hold(...string) bool { return a.holds }

func (a *fakeAlerts) IsKnown(uint64) bool { return a.known }

func (a *fakeAlerts) RecordKnown(fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recorded = append(a.recorded, fingerprint)
}

func (a *fakeAlerts) Raise(uint64, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.raised++
}

func (a *fakeAlerts) RecordCanary(_ uint64, _ string, r CanaryResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
}
