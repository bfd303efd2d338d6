// Package quarantine decides which requests may no longer run because they crash
// the upstreams that run them.
package quarantine

import "time"

const (
	// crashLimit is the number of crashes at which a Tracker quarantines a request. A
	// canary runs before its other attempts, and the canary's upstream is known to have
	// crashed.
	crashLimit = 2
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
	// maxSuspects bounds the memory of Trackers, CrashRecords and TestRuns.
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

// String returns the decision as it is logged and counted.
func (d Decision) String() string {
	switch d {
	case Allowed:
		return "allowed"
	case Suspect:
		return "suspect"
	case AwaitingTest:
		return "awaiting-test"
	case Quarantined:
		return "quarantined"
	default:
		return "unknown"
	}
}

// A Notice informs another host about a quarantined request.
type Notice struct {
	Fingerprint uint64
	// Remaining is how much longer the request stays quarantined.
	Remaining time.Duration
}

// A Tracker counts for each request the crashes of upstreams that ran it, if each
// request runs on one upstream before the others. It identifies requests by
// fingerprint. It is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspect
	// lostAt is when each upstream was last lost, for the upstreams lost within
	// massLossWindow.
	lostAt map[string]time.Time
}

// A suspect is the record of a request that crashed an upstream or is quarantined.
type suspect struct {
	// crashes counts the crashes of upstreams that ran the request. The same upstream
	// counts again, because it may have been restarted in between.
	crashes int
	// No attempt starts before testRunUntil: a test run may be in progress, or an
	// upstream crashed less than testRunTimeout ago. RecordFinish resets it.
	testRunUntil time.Time
	// expiresAt is when the suspicion or the quarantine ends.
	expiresAt     time.Time
	isQuarantined bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: make(map[uint64]*suspect), lostAt: make(map[string]time.Time)}
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
	isMassLoss := t.recordLoss(now, upstream)
	for _, f := range fingerprints {
		s := t.findOrAdd(now, f)
		if s == nil {
			continue
		}
		s.testRunUntil = now.Add(testRunTimeout)
		if isMassLoss && s.crashes > 0 {
			continue
		}
		s.crashes++
		if s.crashes < crashLimit || s.isQuarantined {
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

// recordLoss records a lost upstream. It reports whether the loss is part of a mass loss,
// of which a failed network or rack is a likelier cause than any single request.
func (t *Tracker) recordLoss(now time.Time, upstream string) bool {
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
