package pool

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

const (
	// unansweredWindow is the maximum time between the start of an attempt and the news that
	// its upstream has ended. An entry outlasts its upstream by three of the upstream's
	// reports, a few seconds.
	unansweredWindow = 12 * time.Second
	// maxUnansweredPerUpstream bounds the attempts that are kept for one upstream.
	maxUnansweredPerUpstream = 32
)

// unansweredAttempts are the attempts without a response, by lifetime of the upstream. Some
// upstreams end in silence, and that they have ended is known only seconds later.
type unansweredAttempts struct {
	byLifetime map[uint64]*unansweredLifetime
}

// An unansweredLifetime holds the attempts at one lifetime of an upstream.
type unansweredLifetime struct {
	attempts []unansweredAttempt
	// endedAt is when the end of the upstream became known; zero if it runs.
	endedAt time.Time
	// changedAt is when an attempt was last added, or endedAt.
	changedAt time.Time
}

type unansweredAttempt struct {
	fingerprint uint64
	startedAt   time.Time
	testRun     bool
}

// ForgetUnanswered discards the attempts that began after a time and were reported to
// RecordUnanswered, because the link to their upstream was lost.
func (p *Pool) ForgetUnanswered(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered.forget(since)
}

// HasUnanswered reports whether RecordEnd would return attempts at an upstream.
func (p *Pool) HasUnanswered(u inventory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.unanswered.byLifetime[u.LifetimeKey()]
	return ok && len(l.attempts) > 0
}

// record adds an attempt, or returns it as a crash if the upstream has ended.
func (u *unansweredAttempts) record(now time.Time, a *Assignment, testRun bool) []Crash {
	if a.Upstream.IsDiallingHost() {
		return nil
	}
	l := u.lifetime(a.Upstream)
	if !l.endedAt.IsZero() {
		if a.startedAt.After(l.endedAt) {
			return nil
		}
		return []Crash{{Upstream: a.Upstream, Fingerprint: a.fingerprint, TestRun: testRun}}
	}
	if len(l.attempts) == maxUnansweredPerUpstream {
		l.attempts = slices.Delete(l.attempts, 0, 1)
	}
	l.attempts = append(l.attempts, unansweredAttempt{fingerprint: a.fingerprint, startedAt: a.startedAt, testRun: testRun})
	l.changedAt = now
	return nil
}

// answer discards an attempt that has been answered after its request was over.
func (u *unansweredAttempts) answer(a *Assignment) {
	if l, ok := u.byLifetime[a.Upstream.LifetimeKey()]; ok {
		l.attempts = slices.DeleteFunc(l.attempts, func(o unansweredAttempt) bool {
			return o.fingerprint == a.fingerprint && o.startedAt.Equal(a.startedAt)
		})
	}
}

// end records the end of an upstream and returns the recent attempts there.
func (u *unansweredAttempts) end(now time.Time, ended inventory.Upstream) []Crash {
	l := u.lifetime(ended)
	if l.endedAt.IsZero() {
		l.endedAt, l.changedAt = now, now
	}
	var crashes []Crash
	for _, a := range l.attempts {
		if now.Sub(a.startedAt) <= unansweredWindow {
			crashes = append(crashes, Crash{Upstream: ended, Fingerprint: a.fingerprint, TestRun: a.testRun})
		}
	}
	l.attempts = nil
	return crashes
}

// forget discards the attempts that began after a time.
func (u *unansweredAttempts) forget(since time.Time) {
	for _, l := range u.byLifetime {
		l.attempts = slices.DeleteFunc(l.attempts, func(a unansweredAttempt) bool { return !a.startedAt.Before(since) })
	}
}

func (u *unansweredAttempts) removeExpired(now time.Time) {
	for key, l := range u.byLifetime {
		if now.Sub(l.changedAt) > unansweredWindow {
			delete(u.byLifetime, key)
		}
	}
}

// lifetime returns the record of an upstream's lifetime and adds it if it is missing.
func (u *unansweredAttempts) lifetime(of inventory.Upstream) *unansweredLifetime {
	if u.byLifetime == nil {
		u.byLifetime = make(map[uint64]*unansweredLifetime)
	}
	key := of.LifetimeKey()
	l, ok := u.byLifetime[key]
	if !ok {
		l = &unansweredLifetime{}
		u.byLifetime[key] = l
	}
	return l
}
