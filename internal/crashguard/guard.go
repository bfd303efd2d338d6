// Package crashguard keeps requests that crash upstreams from running, with the other hosts: it
// exchanges evidence and alerts with them and has suspect requests tested once. What counts as
// evidence and what follows from it is decided in package quarantine.
package crashguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxRecentNotices and maxOtherNotices bound the notices in one message: those that
	// have changed recently, and the others, which take turns. A host that lacks notices
	// gets up to maxNotices.
	maxRecentNotices = 8
	maxOtherNotices  = 2
	maxNotices       = 256
	// maxCrashesPerNotice bounds the crashes in one notice. Four change every decision; more tell
	// other hosts which replicas a search has taken.
	maxCrashesPerNotice = 16
	// maxEvidenceAge bounds the age of crashes that other hosts report. No evidence counts
	// for longer.
	maxEvidenceAge = 20 * time.Minute
	// A host may lack notices for newcomerPeriod after its start, and after contactGap
	// without an answer of another host.
	newcomerPeriod = 5 * time.Second
	contactGap     = 2 * time.Second
	// pushDelay is the delay before strong evidence is sent to other hosts; what arrives
	// within it is sent together.
	pushDelay = 10 * time.Millisecond
	// testRunCallTimeout bounds a call about a test run, and maxExaminers how many hosts
	// are asked for permission. If none answers, this host decides itself.
	testRunCallTimeout = 250 * time.Millisecond
	maxExaminers       = 2
	// testRunSource is the source of evidence that came with a call about a test run.
	testRunSource = "test-run call"
	// alertExaminerKey stands for all requests of services with an alert.
	alertExaminerKey = 0
)

// Peers are the other hosts, one of which permits the test runs of a request. The error is not nil if
// the host at the address does not answer.
type Peers interface {
	TestRun(ctx context.Context, address string, r *wire.TestRunRequest) (*wire.TestRunReply, error)
}

// A Guard is the dispatch.CrashGuard of a host. It shares evidence with the other
// hosts. For each request, one host, its examiner, permits the test runs; the examiner is
// chosen by hash among the hosts that are alive. Its exported fields are set before use. It is safe
// for concurrent use.
type Guard struct {
	// Self is this host.
	Self   roster.Member
	Alerts *Alerts
	Peers  Peers
	// Members returns all hosts.
	Members func() []roster.Member
	// SendUpdates sends recent evidence to other hosts.
	SendUpdates func(ctx context.Context)
	// HasResponded reports whether a lifetime of an upstream has responded to an attempt of this
	// host that began after a time.
	HasResponded func(lifetime uint64, since time.Time) bool
	// OnEnds is called with upstreams of services with an alert that have ended, as this or another
	// host has found out.
	OnEnds  func([]quarantine.Crash)
	Tasks   *work.Group
	Log     logrus.FieldLogger
	Metrics *Metrics
	// AllowLine reports whether one more line about requests may be logged now. LinkFields returns
	// the state of the links to the upstreams as it is logged.
	AllowLine  func() bool
	LinkFields func(now time.Time) logrus.Fields

	// recordCount is the number of records, so that requests are checked without the lock
	// while there are none.
	recordCount atomic.Int64
	// permits counts the permits of this host's test runs that have not ended.
	permits atomic.Int64
	// pushing is set while strong evidence waits to be sent.
	pushing atomic.Bool

	mu       sync.Mutex
	records  *quarantine.CrashRecords
	testRuns *quarantine.TestRuns
	// contactAt is when another host last answered, and lacksUntil until when this host
	// asks for all notices.
	contactAt, lacksUntil time.Time
}

var _ dispatch.CrashGuard = (*Guard)(nil)

// NewGuard returns the guard of a host that starts now.
func NewGuard(now time.Time) *Guard {
	return &Guard{contactAt: now, lacksUntil: now.Add(newcomerPeriod), records: quarantine.NewCrashRecords(), testRuns: quarantine.NewTestRuns()}
}

// Check implements dispatch.CrashGuard.
func (g *Guard) Check(fingerprint uint64) quarantine.Verdict {
	if g.recordCount.Load() == 0 {
		return quarantine.Verdict{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.records.Check(time.Now(), fingerprint)
	if v.Decision == quarantine.Allowed {
		return v
	}
	g.records.Refute(fingerprint, g.isRefuted)
	return g.records.Check(time.Now(), fingerprint)
}

// isRefuted reports whether this host has heard from the upstream of a crash after its end.
func (g *Guard) isRefuted(c quarantine.Crash) bool {
	return g.HasResponded(c.Upstream, c.At)
}

// RecordAnswers implements dispatch.CrashGuard.
func (g *Guard) RecordAnswers(fingerprint uint64, services []string) {
	if g.recordCount.Load() == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range services {
		g.records.RecordAnswer(now, fingerprint, dispatch.ServiceKey(s))
	}
}

// RecordCrashes implements dispatch.CrashGuard.
func (g *Guard) RecordCrashes(crashes []pool.Crash) {
	now := time.Now()
	for _, c := range crashes {
		g.Metrics.upstreamCrashes.Inc()
		if g.AllowLine() {
			g.Log.WithFields(map[string]any{
				"fingerprint": quarantine.FormatFingerprint(c.Fingerprint), "upstream": c.Upstream.ID(), "service": c.Upstream.Service(), "test-run": c.TestRun,
			}).WithFields(g.LinkFields(now)).Info("upstream ended while it ran a request")
		}
		g.record(now, "", quarantine.Report{Fingerprint: c.Fingerprint, Crashes: []quarantine.Crash{{
			Upstream: c.Upstream.LifetimeKey(), Service: dispatch.ServiceKey(c.Upstream.Service()), At: now, TestRun: c.TestRun,
		}}})
	}
}

// ApplyNotices adds the evidence that another host has sent.
func (g *Guard) ApplyNotices(source string, notices []*wire.Notice) {
	for _, n := range notices {
		g.ApplyNotice(source, n)
	}
}

func (g *Guard) ApplyNotice(source string, n *wire.Notice) {
	now := time.Now()
	report := quarantine.Report{Fingerprint: n.GetFingerprint()}
	for _, c := range n.GetCrashes()[:min(maxCrashesPerNotice, len(n.GetCrashes()))] {
		// Huge numbers would overflow a duration.
		if c.GetAgeMicros() < 0 || c.GetAgeMicros() > maxEvidenceAge.Microseconds() {
			continue
		}
		age := time.Duration(c.GetAgeMicros()) * time.Microsecond
		crash := quarantine.Crash{Upstream: c.GetUpstream(), Service: c.GetService(), At: now.Add(-age), TestRun: c.GetTestRun()}
		if !g.isRefuted(crash) {
			report.Crashes = append(report.Crashes, crash)
		}
	}
	if len(report.Crashes) > 0 {
		g.record(now, source, report)
	}
}

// Permits returns the number of permits for test runs of this host that have not ended.
func (g *Guard) Permits() int { return int(g.permits.Load()) }

// LacksNotices reports whether this host may lack notices that the others have.
func (g *Guard) LacksNotices() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.lacksUntil) || now.Sub(g.contactAt) > contactGap
}

// Maintain removes expired records and updates the metrics.
func (g *Guard) Maintain(now time.Time) {
	g.mu.Lock()
	g.records.RemoveExpired(now)
	g.testRuns.RemoveExpired(now)
	g.recordCount.Store(int64(g.records.Len()))
	counts := g.records.Counts(now)
	g.mu.Unlock()
	for _, d := range []quarantine.Decision{quarantine.Suspect, quarantine.Quarantined} {
		g.Metrics.suspectRequests.WithLabelValues(d.String()).Set(float64(counts[d]))
	}
}

// Notice returns the evidence against one request as it is sent.
func (g *Guard) Notice(fingerprint uint64) *wire.Notice {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return encodeReport(now, g.records.Report(fingerprint))
}

// Notices returns the evidence for a message to another host.
func (g *Guard) Notices(all bool) []*wire.Notice {
	if g.recordCount.Load() == 0 {
		return nil
	}
	recent, other := maxRecentNotices, maxOtherNotices
	if all {
		recent, other = maxNotices/2, maxNotices/2
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*wire.Notice
	for _, r := range g.records.Reports(now, recent, other) {
		notices = append(notices, encodeReport(now, r))
	}
	return notices
}

// record adds evidence, logs a quarantine, and sends strong evidence to other hosts.
func (g *Guard) record(now time.Time, source string, report quarantine.Report) {
	g.mu.Lock()
	before := g.records.Check(now, report.Fingerprint)
	isStrong := g.records.Record(now, source, report)
	after := g.records.Check(now, report.Fingerprint)
	g.recordCount.Store(int64(g.records.Len()))
	g.mu.Unlock()
	if after.Decision == quarantine.Quarantined && before.Decision != quarantine.Quarantined {
		fields := after.LogFields()
		fields["fingerprint"] = quarantine.FormatFingerprint(report.Fingerprint)
		g.Log.WithFields(fields).Warn("request quarantined")
	}
	isAlert := after.Crashes > before.Crashes && g.Alerts.HoldsFor(after.Service)
	if isAlert {
		// The caller may hold a lock that OnEnds needs.
		g.Tasks.Go(func() { g.OnEnds(report.Crashes) })
	}
	if isStrong || isAlert {
		g.push()
	}
}

// push sends recent evidence to other hosts.
func (g *Guard) push() {
	if !g.pushing.CompareAndSwap(false, true) {
		return
	}
	started := g.Tasks.Go(func() {
		time.Sleep(pushDelay)
		g.pushing.Store(false)
		g.SendUpdates(context.Background())
	})
	if !started {
		g.pushing.Store(false)
	}
}

// RecordContact records that another host has answered. After a gap, this host asks for
// all notices for a while.
func (g *Guard) RecordContact() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.contactAt) > contactGap {
		g.lacksUntil = now.Add(newcomerPeriod)
	}
	g.contactAt = now
}

// RecordRelayed records what an attempt for another host tells of its upstream.
func (g *Guard) RecordRelayed(p *pool.Pool, assignment *pool.Assignment, o upstream.Outcome, testRun bool) {
	var crashes []pool.Crash
	switch {
	case o.LinkLost:
	case o.UpstreamEnded:
		crashes = []pool.Crash{{Upstream: assignment.Upstream, Fingerprint: assignment.Fingerprint(), TestRun: testRun}}
	case o.Result == upstream.Broken, o.Result == upstream.Aborted:
		crashes = p.RecordUnanswered(time.Now(), assignment, testRun)
	}
	if len(crashes) > 0 {
		g.RecordCrashes(crashes)
	}
}

func encodeReport(now time.Time, r quarantine.Report) *wire.Notice {
	n := &wire.Notice{Fingerprint: r.Fingerprint}
	for _, c := range r.Crashes[:min(maxCrashesPerNotice, len(r.Crashes))] {
		n.Crashes = append(n.Crashes, &wire.Crash{
			Upstream: c.Upstream, Service: c.Service, AgeMicros: now.Sub(c.At).Microseconds(), TestRun: c.TestRun,
		})
	}
	return n
}
