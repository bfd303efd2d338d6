package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// AlertPeriod is how long an alert holds after its last event. It covers the time until
	// lost upstreams are back, 3 to 4 s, and the next crashing search of a kind of which one in
	// a hundred requests crashes upstreams.
	AlertPeriod = 10 * time.Second
	// minAlertAdvance is how much later than the known event another one must be to replace it.
	// Messages state the age of an event without their own delay, so that each exchange makes
	// it look slightly later. Without a minimum, hosts would keep each other's alerts alive.
	minAlertAdvance = time.Second
	// maxAlerts bounds the services with an alert.
	maxAlerts = 1024
	// While alerts hold, one test run is permitted in each alertTestInterval: most suspect requests
	// are then crashing ones, and each of their test runs costs a replica.
	alertTestInterval = 5 * time.Second
)

// Alerts hold the services of which one search has ended several upstreams. The load that they
// answer: a few searches in a hundred crash each upstream that begins to run them, and a search
// goes to all its shards at once. Events are merged by the latest time, so that neither the
// order of messages nor duplicates matter. Alerts are not safe for concurrent use.
type Alerts struct {
	// raisedAt is when the last event of a service happened.
	raisedAt map[uint64]time.Time
	// testRunAt is when the next test run may be permitted.
	testRunAt time.Time
}

// An Alert is the last event of one service.
type Alert struct {
	Service uint64
	At      time.Time
}

// NewAlerts returns empty Alerts.
func NewAlerts() *Alerts { return &Alerts{raisedAt: make(map[uint64]time.Time)} }

// Raise records an event of a service. It reports whether the event is news that other hosts
// should learn at once: no alert held for the service.
func (a *Alerts) Raise(now time.Time, service uint64, at time.Time) bool {
	if at.After(now) {
		at = now
	}
	known, ok := a.raisedAt[service]
	if now.Sub(at) >= AlertPeriod || (ok && at.Sub(known) < minAlertAdvance) {
		return false
	}
	if !ok && len(a.raisedAt) >= maxAlerts {
		a.RemoveExpired(now)
	}
	if !ok && len(a.raisedAt) >= maxAlerts {
		return false
	}
	a.raisedAt[service] = at
	return !ok || now.Sub(known) >= AlertPeriod
}

// Holds reports whether an alert holds for a service.
func (a *Alerts) Holds(now time.Time, service uint64) bool {
	at, ok := a.raisedAt[service]
	return ok && now.Sub(at) < AlertPeriod
}

// Len returns the number of services with an event that was not removed.
func (a *Alerts) Len() int { return len(a.raisedAt) }

// Recent returns up to count alerts that hold, the latest first.
func (a *Alerts) Recent(now time.Time, count int) []Alert {
	var list []Alert
	for s, at := range a.raisedAt {
		if now.Sub(at) < AlertPeriod {
			list = append(list, Alert{Service: s, At: at})
		}
	}
	slices.SortFunc(list, func(a, b Alert) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Service, b.Service)) })
	return list[:min(count, len(list))]
}

// RemoveExpired removes the alerts that have ended.
func (a *Alerts) RemoveExpired(now time.Time) {
	maps.DeleteFunc(a.raisedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= AlertPeriod })
}

// PermitTestRun returns zero if it permits a test run during an alert. Otherwise it returns the
// time until the next one can be permitted.
func (a *Alerts) PermitTestRun(now time.Time) time.Duration {
	if wait := a.testRunAt.Sub(now); wait > 0 {
		return wait
	}
	a.testRunAt = now.Add(alertTestInterval)
	return 0
}
