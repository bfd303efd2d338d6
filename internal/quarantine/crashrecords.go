package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashed upstreams from which one crash in a test run
	// quarantines a request. maxTestRunCrashes crashes in test runs do so alone.
	minCrashes        = 3
	maxTestRunCrashes = 2
	// firstQuarantinePeriod is how long a request stays quarantined after one crash in a
	// test run. It is short because another failure may have ended that upstream.
	firstQuarantinePeriod = time.Minute
	// maxCrashes bounds the crashes in one record. Four decide every verdict; the others tell
	// other hosts which replicas a search has taken.
	maxCrashes = 16
	// recentPeriod is how long a changed record counts as news for other hosts.
	recentPeriod = 5 * time.Second
	// newsPeriod is how long a changed record is sent before all others: it takes hundreds of
	// milliseconds until it has reached all hosts.
	newsPeriod = 500 * time.Millisecond
	// evictionSample is the number of records among which the weakest is evicted when
	// there are maxSuspects.
	evictionSample = 32
)

// A Crash is evidence that a request crashes upstreams: an upstream ended while it ran
// the request. One crash proves little, because another failure may have ended the
// upstream.
type Crash struct {
	// Upstream identifies the lifetime of the upstream, Service its service.
	Upstream, Service uint64
	// At is when the end was noticed.
	At time.Time
	// TestRun is set if the request was running alone, in a test run, and the upstream was
	// known to work when it began.
	TestRun bool
}

// A Report is the evidence against one request.
type Report struct {
	Fingerprint uint64
	Crashes     []Crash
}

// A Verdict is the decision on a request with its reasons.
type Verdict struct {
	Decision Decision
	// Wait is how long the request must wait; zero if Decision is Allowed or Suspect.
	Wait time.Duration
	// Crashes counts the upstreams that the request crashed, TestRuns those of them that
	// ran it in a test run. Age is the age of the newest crash, and Source the host that
	// reported it; empty if it was this one.
	Crashes, TestRuns int
	Age               time.Duration
	Source            string
	// Service is the service of most of the crashes.
	Service uint64
}

// CrashRecords hold the evidence against requests, which they identify by fingerprint.
// Evidence of several hosts is merged as a set, so that neither the order of messages
// nor duplicates matter. Requests are never quarantined for crashes in ordinary runs
// alone: when a rack or a network fails, many requests lose several upstreams at once.
// They are not safe for concurrent use.
type CrashRecords struct {
	records map[uint64]*crashRecord
}

// A crashRecord is the evidence against one request.
type crashRecord struct {
	// crashes are of different upstreams, those in test runs first, then the oldest first.
	crashes []Crash
	// answeredAt is when an upstream of a service last answered the request, clearedAt when
	// a test run was last answered. Earlier crashes do not count.
	answeredAt map[uint64]time.Time
	clearedAt  time.Time
	// changedAt is when crashes last changed, and source who reported this change.
	changedAt time.Time
	source    string
}

// NewCrashRecords returns empty CrashRecords.
func NewCrashRecords() *CrashRecords {
	return &CrashRecords{records: make(map[uint64]*crashRecord)}
}

// Check returns the verdict on a request.
func (r *CrashRecords) Check(now time.Time, fingerprint uint64) Verdict {
	record, ok := r.records[fingerprint]
	if !ok {
		return Verdict{}
	}
	record.removeExpired(now)
	return record.verdict(now)
}

// Clear discards the evidence against a request after an upstream has answered a test
// run.
func (r *CrashRecords) Clear(now time.Time, fingerprint uint64) {
	if record, ok := r.records[fingerprint]; ok {
		record.clearedAt = now
		record.crashes = nil
	}
}

// Counts returns the number of requests by decision, those that are allowed excluded.
func (r *CrashRecords) Counts(now time.Time) map[Decision]int {
	counts := make(map[Decision]int)
	for f := range r.records {
		if v := r.Check(now, f); v.Decision != Allowed {
			counts[v.Decision]++
		}
	}
	return counts
}

// Len returns the number of requests with a record.
func (r *CrashRecords) Len() int { return len(r.records) }

// Record adds the crashes of a report from a source. It reports whether the evidence has
// become so much stronger that other hosts should learn of it at once.
func (r *CrashRecords) Record(now time.Time, source string, report Report) bool {
	record, ok := r.records[report.Fingerprint]
	if !ok {
		record = &crashRecord{}
	}
	before := record.verdict(now)
	for _, c := range report.Crashes {
		record.add(now, source, c)
	}
	if len(record.crashes) == 0 {
		return false
	}
	if !ok {
		r.makeRoom(now)
		r.records[report.Fingerprint] = record
	}
	after := record.verdict(now)
	return after.TestRuns > before.TestRuns || (after.Crashes >= minCrashes && before.Crashes < minCrashes)
}

// RecordAnswer discards the crashes of a service's upstreams after one of them has
// answered the request.
func (r *CrashRecords) RecordAnswer(now time.Time, fingerprint, service uint64) {
	record, ok := r.records[fingerprint]
	if !ok {
		return
	}
	if record.answeredAt == nil {
		record.answeredAt = make(map[uint64]time.Time)
	}
	record.answeredAt[service] = now
	record.crashes = slices.DeleteFunc(record.crashes, func(c Crash) bool { return c.Service == service && !c.TestRun })
}

// Refute discards the crashes of a request that isRefuted reports: their upstream has not
// ended.
func (r *CrashRecords) Refute(fingerprint uint64, isRefuted func(Crash) bool) {
	if record, ok := r.records[fingerprint]; ok {
		record.crashes = slices.DeleteFunc(record.crashes, isRefuted)
	}
}

// RemoveExpired removes the records whose crashes have all expired.
func (r *CrashRecords) RemoveExpired(now time.Time) {
	for f, record := range r.records {
		record.removeExpired(now)
		if len(record.crashes) == 0 && now.Sub(record.changedAt) > suspicionPeriod {
			delete(r.records, f)
		}
	}
}

// Report returns the evidence against one request.
func (r *CrashRecords) Report(fingerprint uint64) Report {
	report := Report{Fingerprint: fingerprint}
	if record, ok := r.records[fingerprint]; ok {
		report.Crashes = slices.Clone(record.crashes)
	}
	return report
}

// Reports returns the evidence for other hosts: up to recent records that have changed
// within recentPeriod and up to other records that have not, the strongest first.
func (r *CrashRecords) Reports(now time.Time, recent, other int) []Report {
	if len(r.records) == 0 {
		return nil
	}
	var changed, rest []uint64
	for f, record := range r.records {
		record.removeExpired(now)
		switch {
		case len(record.crashes) == 0:
		case now.Sub(record.changedAt) <= recentPeriod:
			changed = append(changed, f)
		default:
			rest = append(rest, f)
		}
	}
	// The iteration order is random, so that records of the same strength take turns.
	strongestFirst := func(a, b uint64) int { return cmp.Compare(r.records[b].strength(), r.records[a].strength()) }
	// Evidence that has just changed goes first: many requests may lose upstreams at once.
	newestFirst := func(a, b uint64) int {
		isNews := func(f uint64) bool { return now.Sub(r.records[f].changedAt) <= newsPeriod }
		if isNews(a) != isNews(b) {
			if isNews(a) {
				return -1
			}
			return 1
		}
		return strongestFirst(a, b)
	}
	slices.SortStableFunc(changed, newestFirst)
	slices.SortStableFunc(rest, strongestFirst)
	var reports []Report
	for _, f := range slices.Concat(changed[:min(recent, len(changed))], rest[:min(other, len(rest))]) {
		reports = append(reports, r.Report(f))
	}
	return reports
}

// makeRoom evicts one of the weakest records if there are maxSuspects.
func (r *CrashRecords) makeRoom(now time.Time) {
	if len(r.records) < maxSuspects {
		return
	}
	var weakest uint64
	lowest, sampled := 0, 0
	for f, record := range r.records {
		record.removeExpired(now)
		if s := record.strength(); sampled == 0 || s < lowest {
			weakest, lowest = f, s
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	delete(r.records, weakest)
}

// add adds a crash unless it is expired or refuted by an answer. Of two reports about the
// same upstream, the earlier time and a test run count.
func (r *crashRecord) add(now time.Time, source string, c Crash) {
	if c.At.After(now) {
		c.At = now
	}
	if c.isExpired(now) || !c.At.After(r.clearedAt) || (!c.TestRun && !c.At.After(r.answeredAt[c.Service])) {
		return
	}
	if i := slices.IndexFunc(r.crashes, func(o Crash) bool { return o.Upstream == c.Upstream }); i >= 0 {
		known := &r.crashes[i]
		if c.At.Before(known.At) {
			known.At = c.At
		}
		if !c.TestRun || known.TestRun {
			return
		}
		known.TestRun = true
	} else {
		r.crashes = append(r.crashes, c)
	}
	r.changedAt, r.source = now, source
	slices.SortFunc(r.crashes, func(a, b Crash) int {
		if a.TestRun != b.TestRun {
			if a.TestRun {
				return -1
			}
			return 1
		}
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	r.crashes = r.crashes[:min(maxCrashes, len(r.crashes))]
}

func (r *crashRecord) removeExpired(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.isExpired(now) })
}

// strength orders records by the weight of their evidence.
func (r *crashRecord) strength() int {
	strength := len(r.crashes)
	for _, c := range r.crashes {
		if c.TestRun {
			strength += maxCrashes
		}
	}
	return strength
}

func (r *crashRecord) verdict(now time.Time) Verdict {
	v := Verdict{Crashes: len(r.crashes), Source: r.source}
	if len(r.crashes) == 0 {
		return Verdict{}
	}
	var newest, newestTestRun time.Time
	byService := make(map[uint64]int)
	for _, c := range r.crashes {
		if c.At.After(newest) {
			newest = c.At
		}
		if c.TestRun {
			v.TestRuns++
			newestTestRun = c.At
		}
		byService[c.Service]++
		if byService[c.Service] > byService[v.Service] {
			v.Service = c.Service
		}
	}
	v.Age = now.Sub(newest)
	v.Decision = Suspect
	until := now
	switch {
	case v.TestRuns >= maxTestRunCrashes:
		until = newestTestRun.Add(quarantinePeriod)
	case v.TestRuns > 0 && v.Crashes >= minCrashes:
		until = newestTestRun.Add(firstQuarantinePeriod)
	}
	if until.After(now) {
		v.Decision, v.Wait = Quarantined, until.Sub(now)
	}
	return v
}

// isExpired reports whether the crash no longer counts. A crash in a test run still makes
// a request suspect after its quarantine.
func (c Crash) isExpired(now time.Time) bool {
	if c.TestRun {
		return now.Sub(c.At) > suspicionPeriod+quarantinePeriod
	}
	return now.Sub(c.At) > suspicionPeriod
}
