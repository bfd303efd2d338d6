// Package quarantine decides which requests may no longer run because they crash
// the upstreams that run them.
package quarantine

import "time"

const (
	// crashLimit is the number of crashes at which a request is quarantined, if a
	// canary runs before its other attempts and the canary's upstream is known to
	// have crashed.
	crashLimit = 2
	// scatterCrashLimit is the crashLimit for requests that run on several upstreams
	// at once. It is higher because a mass restart may happen to take down two
	// upstreams that run the same request.
	scatterCrashLimit = 3
	// suspicionPeriod is how long a request stays suspect after its first crash.
	suspicionPeriod = 10 * time.Minute
	// quarantinePeriod is how long a request stays quarantined.
	quarantinePeriod = 10 * time.Minute
	// testRunTimeout bounds how long the other attempts of a suspect request wait for
	// its test run.
	testRunTimeout = 2 * time.Second
	// If at least minMassLossUpstreams upstreams are lost within massLossWindow, this
	// is a mass loss: a network or a rack is assumed to have failed.
	massLossWindow       = 2 * time.Second
	minMassLossUpstreams = 5
	// A Tracker that counts requests instead of upstreams assumes a mass loss if at
	// least minMassLossRequests different requests ran on the upstreams lost within
	// massLossWindow. A single request that crashes upstreams stays below this number,
	// because only a few other requests run on these upstreams.
	minMassLossRequests = 6
	// scatterCrashWindow is the crashWindow for requests that run on several
	// upstreams at once. All attempts of one caller's request end within it, so that
	// the upstreams that they crash count as one crash.
	scatterCrashWindow = time.Second
	// maxSuspects bounds the memory of a Tracker.
	maxSuspects = 10_000
)

// A Decision says whether a request may run.
type Decision int

// The decisions.
const (
	// Allowed requests may run.
	Allowed Decision = iota
	// Suspect requests crashed an upstream and may have one test run at a time.
	Suspect
	// AwaitingTest requests are suspect and wait for a test run in progress.
	AwaitingTest
	// Quarantined requests must not run.
	Quarantined
)

// A Notice informs another host about a quarantined request.
type Notice struct {
	Fingerprint uint64
	// Remaining is how much longer the request stays quarantined.
	Remaining time.Duration
}

// A Tracker counts for each request the crashes of upstreams that ran it. It
// identifies requests by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	// crashLimit is the number of crashes at which a request is quarantined.
	crashLimit int
	// crashWindow is the time within which several crashes during one request count
	// as one: a request that runs on several upstreams at once may crash all of them.
	crashWindow time.Duration
	// countsRequests is set if a mass loss is recognized by the number of different
	// requests affected instead of the number of upstreams, of which one request
	// may crash several.
	countsRequests bool
	// affectedAt holds, by fingerprint of the request, when an upstream that ran the
	// request last crashed, for the requests affected within massLossWindow. It is
	// used only if countsRequests is set.
	affectedAt map[uint64]time.Time
	suspects   map[uint64]*suspect
	// lostAt is when each upstream was last lost, for the upstreams lost within
	// massLossWindow.
	lostAt map[string]time.Time
}

// A suspect is the record of a request that crashed an upstream or is quarantined.
type suspect struct {
	// crashes counts the crashes of upstreams that ran the request; those within
	// crashWindow count as one. The same upstream counts again, because it may have
	// been restarted in between.
	crashes int
	// crashedAt is when crashes was last increased.
	crashedAt time.Time
	// No attempt starts before testRunUntil: a test run may be in progress, or an
	// upstream crashed less than testRunTimeout ago. RecordFinish resets it.
	testRunUntil time.Time
	// expiresAt is when the suspicion or the quarantine ends.
	expiresAt     time.Time
	isQuarantined bool
}

// NewTracker returns an empty Tracker for requests that run on one upstream before
// the others.
func NewTracker() *Tracker {
	return &Tracker{crashLimit: crashLimit, suspects: make(map[uint64]*suspect), lostAt: make(map[string]time.Time)}
}

// NewScatterTracker returns an empty Tracker for requests that run on several
// upstreams at once.
func NewScatterTracker() *Tracker {
	t := NewTracker()
	t.crashLimit, t.crashWindow, t.countsRequests, t.affectedAt = scatterCrashLimit, scatterCrashWindow, true, make(map[uint64]time.Time)
	return t
}

// ApplyNotice quarantines the request of another host's notice. It reports whether
// the request is newly quarantined. A notice is ignored if its remaining time is not
// positive or longer than quarantinePeriod.
func (t *Tracker) ApplyNotice(now time.Time, n Notice) bool {
	if n.Remaining <= 0 || n.Remaining > quarantinePeriod {
		return false
	}
	s := t.findOrAdd(now, n.Fingerprint)
	if s == nil || s.isQuarantined {
		return false
	}
	s.isQuarantined = true
	s.expiresAt = now.Add(n.Remaining)
	return true
}

// RecordCrash records that an upstream crashed while it ran these requests, and
// returns the requests that are newly quarantined. In a mass loss, a crash counts
// only for requests that had none before.
func (t *Tracker) RecordCrash(now time.Time, upstream string, fingerprints []uint64) []uint64 {
	var quarantined []uint64
	isMassLoss := t.recordLoss(now, upstream, fingerprints)
	for _, f := range fingerprints {
		s := t.findOrAdd(now, f)
		if s == nil {
			continue
		}
		s.testRunUntil = now.Add(testRunTimeout)
		isSameCrash := s.crashes > 0 && now.Sub(s.crashedAt) < t.crashWindow
		if isSameCrash || (isMassLoss && s.crashes > 0) {
			continue
		}
		s.crashes++
		s.crashedAt = now
		if s.crashes < t.crashLimit || s.isQuarantined {
			continue
		}
		s.isQuarantined = true
		s.expiresAt = now.Add(quarantinePeriod)
		quarantined = append(quarantined, f)
	}
	return quarantined
}

// RecordFinish records that an attempt of a request ended without a crash. If the
// request is suspect, an answered attempt clears the suspicion, and after any other
// attempt the next test run may start at once. A quarantined request stays quarantined.
func (t *Tracker) RecordFinish(fingerprint uint64, answered bool) {
	s, ok := t.suspects[fingerprint]
	if !ok || s.isQuarantined {
		return
	}
	s.testRunUntil = time.Time{}
	if answered {
		delete(t.suspects, fingerprint)
	}
}

// Check returns the decision on a new attempt of a request, and for AwaitingTest and
// Quarantined the delay until the next check.
func (t *Tracker) Check(now time.Time, fingerprint uint64) (Decision, time.Duration) {
	s, ok := t.suspects[fingerprint]
	if !ok {
		return Allowed, 0
	}
	remaining := s.expiresAt.Sub(now)
	switch {
	case remaining <= 0:
		delete(t.suspects, fingerprint)
		return Allowed, 0
	case s.isQuarantined:
		return Quarantined, remaining
	case s.testRunUntil.After(now):
		return AwaitingTest, s.testRunUntil.Sub(now)
	default:
		return Suspect, 0
	}
}

// Counts returns the number of requests by decision, those without a record excluded.
func (t *Tracker) Counts(now time.Time) map[Decision]int {
	counts := make(map[Decision]int)
	for f := range t.suspects {
		decision, _ := t.Check(now, f)
		counts[decision]++
	}
	return counts
}

// Notices returns notices of the quarantined requests, at most limit of them.
func (t *Tracker) Notices(now time.Time, limit int) []Notice {
	var notices []Notice
	for f, s := range t.suspects {
		if len(notices) == limit {
			break
		}
		if s.isQuarantined && s.expiresAt.After(now) {
			notices = append(notices, Notice{Fingerprint: f, Remaining: s.expiresAt.Sub(now)})
		}
	}
	return notices
}

// BeginTestRun records that the test run of a suspect request starts.
func (t *Tracker) BeginTestRun(now time.Time, fingerprint uint64) {
	if s, ok := t.suspects[fingerprint]; ok {
		s.testRunUntil = now.Add(testRunTimeout)
	}
}

// recordLoss records a lost upstream or, with countsRequests, the requests that ran
// on it. It reports whether the loss is part of a mass loss, of which a failed network
// or rack is a likelier cause than any single request.
func (t *Tracker) recordLoss(now time.Time, upstream string, fingerprints []uint64) bool {
	if t.countsRequests {
		return t.recordAffected(now, fingerprints)
	}
	t.lostAt[upstream] = now
	for u, at := range t.lostAt {
		if now.Sub(at) > massLossWindow {
			delete(t.lostAt, u)
		}
	}
	return len(t.lostAt) >= minMassLossUpstreams
}

// findOrAdd returns the suspect with a fingerprint and adds it if it is missing. It
// returns nil if the Tracker is full.
func (t *Tracker) findOrAdd(now time.Time, fingerprint uint64) *suspect {
	if s, ok := t.suspects[fingerprint]; ok {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.removeExpired(now)
	}
	if len(t.suspects) >= maxSuspects {
		return nil
	}
	s := &suspect{expiresAt: now.Add(suspicionPeriod)}
	t.suspects[fingerprint] = s
	return s
}

func (t *Tracker) removeExpired(now time.Time) {
	for f, s := range t.suspects {
		if !s.expiresAt.After(now) {
			delete(t.suspects, f)
		}
	}
}

// recordAffected records the requests on a crashed upstream. It reports whether at
// least minMassLossRequests requests were affected within massLossWindow.
func (t *Tracker) recordAffected(now time.Time, fingerprints []uint64) bool {
	for _, f := range fingerprints {
		t.affectedAt[f] = now
	}
	for f, at := range t.affectedAt {
		if now.Sub(at) > massLossWindow {
			delete(t.affectedAt, f)
		}
	}
	return len(t.affectedAt) >= minMassLossRequests
}
