package crashguard

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxAlertsPerMessage bounds the alerts in one message to another host.
	maxAlertsPerMessage = 16
	// alertFanOut is how many hosts a host tells of a new alert at once. Each of them tells as
	// many, so that the alert reaches 300 hosts in two or three hops.
	alertFanOut = 16
	// alertCallTimeout bounds the call that tells another host.
	alertCallTimeout = 250 * time.Millisecond
)

// Alerts are the dispatch.CrashAlerts of a host, which it shares with the other hosts. Its exported
// fields are set before use. It is safe for concurrent use.
type Alerts struct {
	// Self is this host.
	Self roster.Member
	// Members returns all hosts.
	Members func() []roster.Member
	// Tell exchanges messages, which hold the alerts, with the host at an address.
	Tell    func(ctx context.Context, address string) error
	Tasks   *work.Group
	Log     logrus.FieldLogger
	Metrics *Metrics
	// AllowLine reports whether one more line about requests may be logged now.
	AllowLine func() bool

	// alertCount is the number of alerts, so that requests are checked without the lock while
	// there are none.
	alertCount atomic.Int64

	mu     sync.Mutex
	alerts *quarantine.Alerts
	known  quarantine.KnownRequests
}

var _ dispatch.CrashAlerts = (*Alerts)(nil)

// NewAlerts returns Alerts that hold no alert yet.
func NewAlerts() *Alerts { return &Alerts{alerts: quarantine.NewAlerts()} }

// Hold implements dispatch.CrashAlerts.
func (a *Alerts) Hold(services ...string) bool {
	if a.alertCount.Load() == 0 || len(services) == 0 {
		return a.alertCount.Load() > 0
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range services {
		if a.alerts.Holds(now, dispatch.ServiceKey(s)) {
			return true
		}
	}
	return false
}

// HoldsFor reports whether an alert holds for the service with a key.
func (a *Alerts) HoldsFor(service uint64) bool {
	if a.alertCount.Load() == 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.alerts.Holds(time.Now(), service)
}

// IsKnown implements dispatch.CrashAlerts.
func (a *Alerts) IsKnown(fingerprint uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known.Contains(time.Now(), fingerprint)
}

// RecordKnown implements dispatch.CrashAlerts.
func (a *Alerts) RecordKnown(fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known.Add(time.Now(), fingerprint)
}

// Raise implements dispatch.CrashAlerts.
func (a *Alerts) Raise(fingerprint uint64, services []string) {
	now := time.Now()
	list := make([]quarantine.Alert, 0, len(services))
	for _, s := range services {
		list = append(list, quarantine.Alert{Service: dispatch.ServiceKey(s), At: now})
	}
	if a.raise(list, "own", map[string]any{"fingerprint": quarantine.FormatFingerprint(fingerprint)}) {
		a.send()
	}
}

// RecordCanary implements dispatch.CrashAlerts. A canary that has ended its upstream prolongs the
// alert of the service.
func (a *Alerts) RecordCanary(fingerprint uint64, service string, r dispatch.CanaryResult) {
	a.Metrics.canaries.WithLabelValues(string(r)).Inc()
	if r != dispatch.CanaryAnswered && a.AllowLine() {
		a.Log.WithFields(map[string]any{"fingerprint": quarantine.FormatFingerprint(fingerprint), "service": service, "result": string(r)}).Info("canary of a search had no response")
	}
	if r == dispatch.CanaryEnded {
		a.mu.Lock()
		a.alerts.Raise(time.Now(), dispatch.ServiceKey(service), time.Now())
		a.alertCount.Store(int64(a.alerts.Len()))
		a.mu.Unlock()
	}
}

// Apply handles the alerts in a message of another host. Alerts that were unknown are passed on
// at once.
func (a *Alerts) Apply(source string, list []*wire.CrashAlert) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	var decoded []quarantine.Alert
	for _, e := range list[:min(maxAlertsPerMessage, len(list))] {
		// Huge numbers would overflow a duration.
		micros := e.GetAgeMicros()
		if e == nil || micros < 0 || micros >= quarantine.AlertPeriod.Microseconds() {
			continue
		}
		decoded = append(decoded, quarantine.Alert{Service: e.GetService(), At: now.Add(-time.Duration(micros) * time.Microsecond)})
	}
	if a.raise(decoded, source, nil) {
		a.send()
	}
}

// Encode returns the alerts for a message to another host.
func (a *Alerts) Encode() []*wire.CrashAlert {
	if a.alertCount.Load() == 0 {
		return nil
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []*wire.CrashAlert
	for _, r := range a.alerts.Recent(now, maxAlertsPerMessage) {
		list = append(list, &wire.CrashAlert{Service: r.Service, AgeMicros: now.Sub(r.At).Microseconds()})
	}
	return list
}

// Maintain removes the alerts that have ended.
func (a *Alerts) Maintain(now time.Time) {
	if a.alertCount.Load() == 0 {
		return
	}
	a.mu.Lock()
	a.alerts.RemoveExpired(now)
	hasEnded := a.alerts.Len() == 0
	a.alertCount.Store(int64(a.alerts.Len()))
	a.mu.Unlock()
	if hasEnded {
		a.Log.Info("crash alerts ended")
	}
}

// permitTestRun permits a test run during an alert and returns zero, or returns how long to wait
// before the next one may be permitted.
func (a *Alerts) permitTestRun(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.alerts.PermitTestRun(now)
}

// raise records alerts. It reports whether any of them must be sent to other hosts; these are logged
// and counted.
func (a *Alerts) raise(list []quarantine.Alert, source string, fields map[string]any) bool {
	now := time.Now()
	raised := 0
	a.mu.Lock()
	for _, r := range list {
		if a.alerts.Raise(now, r.Service, r.At) {
			raised++
		}
	}
	a.alertCount.Store(int64(a.alerts.Len()))
	a.mu.Unlock()
	if raised == 0 {
		return false
	}
	a.Metrics.crashAlerts.Inc()
	if a.AllowLine() {
		a.Log.WithFields(fields).WithFields(map[string]any{"source": source, "services": raised, "age-ms": now.Sub(list[0].At).Milliseconds()}).Warn("crash alert: searches begin with a canary")
	}
	return true
}

// send sends the alerts to alertFanOut other hosts, drawn at random, at once.
func (a *Alerts) send() {
	var others []roster.Member
	for _, m := range a.Members() {
		if m.State() == roster.Alive && m.Host() != a.Self.Host() {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(alertFanOut, len(others))] {
		a.Tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), alertCallTimeout)
			defer cancel()
			// A host that is not reached learns of the alert from another one.
			_ = a.Tell(ctx, m.GateAddress())
		})
	}
}
