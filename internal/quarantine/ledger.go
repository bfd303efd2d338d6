// Package quarantine decides which requests are no longer run because they
// crash the upstreams that run them.
package quarantine

import "time"

const (
	// fewCrashes is how often one request may crash an upstream if a canary runs
	// before the others and its upstream was surely lost with it.
	fewCrashes = 2
	// manyCrashes is the same where requests run on several upstreams at once: two
	// upstreams that a request ran on may be lost by chance in a mass restart.
	manyCrashes = 3
	// suspicionTime is how long a first crash is remembered.
	suspicionTime = 10 * time.Minute
	// quarantineTime is how long a request stays quarantined.
	quarantineTime = 10 * time.Minute
	// trialTime is how long a further try may keep others waiting.
	trialTime = 2 * time.Second
	// massWindow and massUpstreams tell a lost network or rack.
	massWindow    = 2 * time.Second
	massUpstreams = 5
	// massRequests is how many different requests a mass loss hits; a request
	// that crashes upstreams takes a few others with it.
	massRequests = 6
	// crashGap is the time within which the attempts of one caller's request end.
	crashGap = time.Second
	// maxSuspects bounds the memory of a Ledger.
	maxSuspects = 10_000
)

// A Decision says whether a request may run.
type Decision int

// The verdicts.
const (
	// Allowed requests may run.
	Allowed Decision = iota
	// Suspect requests crashed one upstream and may be tried once more.
	Suspect
	// AwaitingTest requests are suspect, and their one more try is running.
	AwaitingTest
	// Quarantined requests may not run.
	Quarantined
)

// A Notice tells another host about a quarantined request.
type Notice struct {
	Fingerprint uint64
	Remaining   time.Duration
}

// A Tracker counts, by fingerprint, the upstreams that died while running a
// request. It is not safe for concurrent use.
type Tracker struct {
	// crashes is how often one request may crash an upstream.
	crashes int
	// gap is the time within which crashes of one request count once: a request
	// that runs on several upstreams at once is held for one event.
	gap time.Duration
	// byRequests tells a mass loss by the different requests that it hit, not by
	// the upstreams, of which one request may crash several.
	byRequests bool
	// hit holds when each request was last hit, within massWindow.
	hit      map[uint64]time.Time
	suspects map[uint64]*suspect
	// broke holds when each upstream broke last, within massWindow.
	broke map[string]time.Time
}

type suspect struct {
	// crashes counts how often an upstream died running the request. The same
	// upstream counts again: it may have been restarted in between.
	crashes int
	// crashedAt is when crashes last grew.
	crashedAt time.Time
	// trialUntil is in the future while one further try may be running.
	trialUntil time.Time
	// until is when the entry is forgotten.
	until time.Time
	// quarantined entries may not run until then.
	quarantined bool
}

// NewTracker returns an empty Ledger for requests that run on one upstream before
// the others.
func NewTracker() *Tracker {
	return &Tracker{crashes: fewCrashes, suspects: make(map[uint64]*suspect), broke: make(map[string]time.Time)}
}

// NewScatterTracker returns an empty Ledger for requests that run on several
// upstreams at once.
func NewScatterTracker() *Tracker {
	l := NewTracker()
	l.crashes, l.gap, l.byRequests, l.hit = manyCrashes, crashGap, true, make(map[uint64]time.Time)
	return l
}

// ApplyNotice takes a notice from another host; it reports whether it was news.
func (l *Tracker) ApplyNotice(now time.Time, n Notice) bool {
	if n.Remaining <= 0 || n.Remaining > quarantineTime {
		return false
	}
	s := l.suspect(now, n.Fingerprint)
	if s == nil || s.quarantined {
		return false
	}
	s.quarantined = true
	s.until = now.Add(n.Remaining)
	return true
}

// RecordCrash notes that an upstream died while it ran these requests, and
// returns those that are quarantined from now on.
func (l *Tracker) RecordCrash(now time.Time, upstream string, fingerprints []uint64) []uint64 {
	var news []uint64
	mass := l.massLoss(now, upstream, fingerprints)
	for _, f := range fingerprints {
		s := l.suspect(now, f)
		if s == nil {
			continue
		}
		s.trialUntil = now.Add(trialTime)
		recent := s.crashes > 0 && now.Sub(s.crashedAt) < l.gap
		if recent || (mass && s.crashes > 0) {
			continue
		}
		s.crashes++
		s.crashedAt = now
		if s.crashes < l.crashes || s.quarantined {
			continue
		}
		s.quarantined = true
		s.until = now.Add(quarantineTime)
		news = append(news, f)
	}
	return news
}

// RecordFinish notes that an attempt of a request ended without a crash; answered
// clears the suspicion.
func (l *Tracker) RecordFinish(fingerprint uint64, answered bool) {
	s, ok := l.suspects[fingerprint]
	if !ok || s.quarantined {
		return
	}
	s.trialUntil = time.Time{}
	if answered {
		delete(l.suspects, fingerprint)
	}
}

// Check returns whether a new attempt of a request may start, and when to ask
// again if not.
func (l *Tracker) Check(now time.Time, fingerprint uint64) (Decision, time.Duration) {
	s, ok := l.suspects[fingerprint]
	if !ok {
		return Allowed, 0
	}
	left := s.until.Sub(now)
	switch {
	case left <= 0:
		delete(l.suspects, fingerprint)
		return Allowed, 0
	case s.quarantined:
		return Quarantined, left
	case s.trialUntil.After(now):
		return AwaitingTest, s.trialUntil.Sub(now)
	default:
		return Suspect, 0
	}
}

// Notices returns the quarantined requests, at most limit of them.
func (l *Tracker) Notices(now time.Time, limit int) []Notice {
	var notices []Notice
	for f, s := range l.suspects {
		if len(notices) == limit {
			break
		}
		if s.quarantined && s.until.After(now) {
			notices = append(notices, Notice{Fingerprint: f, Remaining: s.until.Sub(now)})
		}
	}
	return notices
}

// BeginTestRun notes that the one further try of a suspect request starts.
func (l *Tracker) BeginTestRun(now time.Time, fingerprint uint64) {
	if s, ok := l.suspects[fingerprint]; ok {
		s.trialUntil = now.Add(trialTime)
	}
}

// massLoss reports whether so many upstreams broke at about the same time
// that the network or a rack is a likelier cause than any one request.
func (l *Tracker) massLoss(now time.Time, upstream string, fingerprints []uint64) bool {
	if l.byRequests {
		return l.manyHit(now, fingerprints)
	}
	l.broke[upstream] = now
	for u, at := range l.broke {
		if now.Sub(at) > massWindow {
			delete(l.broke, u)
		}
	}
	return len(l.broke) >= massUpstreams
}

func (l *Tracker) suspect(now time.Time, fingerprint uint64) *suspect {
	if s, ok := l.suspects[fingerprint]; ok {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.forget(now)
	}
	if len(l.suspects) >= maxSuspects {
		return nil
	}
	s := &suspect{until: now.Add(suspicionTime)}
	l.suspects[fingerprint] = s
	return s
}

func (l *Tracker) forget(now time.Time) {
	for f, s := range l.suspects {
		if !s.until.After(now) {
			delete(l.suspects, f)
		}
	}
}

// manyHit notes which requests were hit and reports whether they are many.
func (l *Tracker) manyHit(now time.Time, fingerprints []uint64) bool {
	for _, f := range fingerprints {
		l.hit[f] = now
	}
	for f, at := range l.hit {
		if now.Sub(at) > massWindow {
			delete(l.hit, f)
		}
	}
	return len(l.hit) >= massRequests
}
