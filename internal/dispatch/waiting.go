package dispatch

// This file lets requests of client accounts wait in order while upstreams lack capacity:
// by priority, then by fair shares of accounts (package admission). The load: one account
// sends many times its usual rate, and the requests of others must not wait behind it.
// Requests without an account wait as they did before there were accounts: each tries on
// its own.

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/admission"
)

const (
	// A request is refused at once if its expected wait exceeds refusalMargin times the time
	// that it may wait. The expectation is a mean over one second, and refusing a request that
	// could have been served costs more than refusing one late.
	refusalMargin = 1.5
	// maxQueueRetryDelay bounds the RetryAfter of refusals because of the waiting requests.
	// The load of a later time is not known.
	maxQueueRetryDelay = 2 * time.Second
)

// The admissions.
const (
	AdmissionNone          Admission = ""
	AdmissionAtOnce        Admission = "at-once"
	AdmissionWaited        Admission = "waited"
	AdmissionRefusedAtOnce Admission = "refused-at-once"
	AdmissionRefused       Admission = "refused"
	AdmissionCallerLeft    Admission = "caller-gone"
)

// An Admission says how a request of a client account got its first attempts or why it got
// none; AdmissionNone for requests without an account.
type Admission string

type waitingRequest = admission.Waiting[string, string, chan struct{}]

// waitingRequests are the waiting requests of all services. The zero value is ready for use.
type waitingRequests struct {
	mu    sync.Mutex
	lines *admission.Lines[string, string, chan struct{}]
}

// waitState is what a request of a client account knows of its place among the waiting ones.
type waitState struct {
	// place is set while the request waits.
	place *waitingRequest
	// wake gets a value when the request may be tried. It is nil without an account.
	wake       chan struct{}
	hasArrived bool
	admission  Admission
	// rank is how many requests were to be tried before this one when it was last asked;
	// waited is for how long it has waited.
	rank   int
	waited time.Duration
	// queueDelay is how long the request was last expected to wait; zero if unknown.
	queueDelay time.Duration
	// isOutrankedByAccount is set if requests of a better priority were seen.
	isOutrankedByAccount bool
	// leavesRoom is set if the account had used its share when the request arrived, or if
	// the request is outranked.
	leavesRoom bool
}

// withLines calls do while no one else uses the lines.
func (w *waitingRequests) withLines(do func(*admission.Lines[string, string, chan struct{}])) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines == nil {
		w.lines = admission.NewLines[string, string, chan struct{}]()
	}
	do(w.lines)
}

// notify wakes the request that is first to be tried at a service that may have capacity.
func (w *waitingRequests) notify(service string) {
	w.withLines(func(l *admission.Lines[string, string, chan struct{}]) {
		if wake, ok := l.First(service); ok {
			signal(wake)
		}
	})
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// initWaiting prepares a request of a client account for waiting in order.
func (f *inFlightRequest) initWaiting() {
	if f.request.Account == nil {
		return
	}
	f.wake = make(chan struct{}, 1)
	f.dispatcher.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) {
		c := f.claim()
		f.isOutrankedByAccount = l.IsOutranked(c)
		f.leavesRoom = f.isOutranked() || !l.IsWithinShare(c)
	})
}

// isOrdered reports whether the request waits in order until its first attempts.
func (f *inFlightRequest) isOrdered() bool {
	return f.request.Account != nil && f.attempts == 0 && f.admission == AdmissionNone
}

// claim returns what the request needs. Its work is the time for which the parts that are not
// abandoned occupy upstreams. All services count as needed, so that requests of one route
// need the same ones and their order is found at once.
func (f *inFlightRequest) claim() admission.Claim[string, string] {
	c := admission.Claim[string, string]{Priority: f.request.Account.Priority(f.route.Priority()), Flow: f.request.Account.Name()}
	parts := 0
	for _, p := range f.parts {
		if !slices.Contains(c.Resources, p.service) {
			c.Resources = append(c.Resources, p.service)
		}
		if !p.isDone() {
			parts++
		}
	}
	c.Work = f.latencyStats.TypicalLatency().Seconds() * float64(max(1, parts))
	return c
}

// mayTryFirst reports whether the first attempts may be tried now. While others come first
// the request waits, and mayTryFirst abandons its parts if it cannot be served.
func (f *inFlightRequest) mayTryFirst(now time.Time) bool {
	if !f.isOrdered() {
		return true
	}
	mayTry, isFull := true, false
	f.dispatcher.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) {
		switch {
		case f.place != nil:
			mayTry = l.MayTry(now, f.place)
		case !f.hasArrived:
			f.hasArrived = true
			c := f.claim()
			f.place, mayTry = l.Arrive(now, c, f.wake)
			isFull = !mayTry && f.place == nil
			f.countWaiting()
		}
		if f.place != nil && !mayTry {
			f.rank, f.waited = l.Rank(f.place), f.place.Waited(now)
			f.queueDelay, _ = l.ExpectedWait(now, f.place)
		}
	})
	if mayTry {
		return true
	}
	latest := f.startBy()
	switch {
	case isFull:
		f.queueDelay = maxQueueRetryDelay
		f.refuse(AdmissionRefusedAtOnce)
	case !now.Before(latest):
		f.refuse(AdmissionRefused)
	case f.queueDelay > time.Duration(refusalMargin*float64(latest.Sub(now))):
		f.refuse(AdmissionRefusedAtOnce)
	default:
		for _, p := range f.parts {
			if reason := f.abandonReason(now, p); !p.isDone() && reason != ReasonNone {
				p.abandon(reason)
			}
		}
	}
	return false
}

// refuse abandons all parts, none of which has started.
func (f *inFlightRequest) refuse(a Admission) {
	f.admission = a
	for _, p := range f.parts {
		if !p.isDone() {
			p.abandon(ReasonBusy)
		}
	}
}

// recordFirstTry lets the request wait, or ends its wait, after its first attempts were
// tried.
func (f *inFlightRequest) recordFirstTry(now time.Time) {
	switch {
	case f.request.Account == nil || f.admission != AdmissionNone:
	case f.attempts > 0 && f.place == nil:
		f.admission = AdmissionAtOnce
		f.dispatcher.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) { l.StartAtOnce(now, f.claim()) })
	case f.attempts > 0:
		f.admission = AdmissionWaited
		f.endWait(now, (*admission.Lines[string, string, chan struct{}]).Start)
		if f.waited == 0 {
			f.admission = AdmissionAtOnce
		}
	default:
		f.waitForLacking(now)
	}
}

// waitForLacking lets a request wait for the services that had no capacity for it.
func (f *inFlightRequest) waitForLacking(now time.Time) {
	var lacking []string
	for _, p := range f.parts {
		if !p.isDone() && p.wasPassedOver {
			lacking = append(lacking, p.service)
		}
	}
	if len(lacking) == 0 {
		return
	}
	f.dispatcher.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) {
		if f.place != nil {
			l.SetLacks(f.place, lacking)
			return
		}
		f.place = l.Wait(now, f.claim(), lacking, f.wake)
		f.countWaiting()
	})
}

// countWaiting counts the request if it has just begun to wait.
func (f *inFlightRequest) countWaiting() {
	if f.place != nil && f.dispatcher.OnWaiting != nil {
		f.dispatcher.OnWaiting(1)
	}
}

// endWait removes the request from the waiting ones and wakes the one that is first now.
func (f *inFlightRequest) endWait(now time.Time, remove func(*admission.Lines[string, string, chan struct{}], time.Time, *waitingRequest)) {
	if f.place == nil {
		return
	}
	f.dispatcher.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) {
		f.waited = f.place.Waited(now)
		remove(l, now, f.place)
		if wake, ok := l.Next(f.place); ok {
			signal(wake)
		}
	})
	f.place = nil
	if f.dispatcher.OnWaiting != nil {
		f.dispatcher.OnWaiting(-1)
	}
}

// finishWaiting ends the wait of a request that has ended without having started.
func (f *inFlightRequest) finishWaiting(isCallerGone bool) {
	f.endWait(time.Now(), (*admission.Lines[string, string, chan struct{}]).Leave)
	if f.request.Account == nil || f.admission != AdmissionNone {
		return
	}
	switch {
	case f.attempts > 0:
		// A test run.
		f.admission = AdmissionAtOnce
	case isCallerGone:
		f.admission = AdmissionCallerLeft
	default:
		f.admission = AdmissionRefused
	}
}

// isOutranked reports whether more urgent requests than this one use the same services. The
// priority of an account takes precedence over that of its route.
func (f *inFlightRequest) isOutranked() bool {
	return f.isOutrankedByAccount || f.route.IsOutranked(f.request.Account)
}

// retryDelayInOrder returns when a caller may come back who was refused because other
// requests come first.
func (f *inFlightRequest) retryDelayInOrder() time.Duration {
	return min(max(failureRetryDelay, f.queueDelay), maxQueueRetryDelay)
}
