package dispatch

// This file decides how a search begins while a crash alert holds: it runs at one upstream, its
// canary, before it goes to all its shards. The load that this answers: a few searches in a
// hundred crash each upstream that begins to run them, and take one replica of each shard with
// them if they go to all shards at once.

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// minAlertParts is how many parts of one search must have lost their upstream to raise an
	// alert. One upstream may end for any reason.
	minAlertParts = 2
	// maxCanaries is how many upstreams may run the canary of one search. The second one
	// keeps searches in time whose first canary is at a silent upstream.
	maxCanaries = 2
	// maxCanaryTries is how many upstreams are tried until one can be reached.
	maxCanaryTries = 6
	// silenceCheckTimeout is how long a search waits for the probe of a silent canary, as long as
	// such a probe may take. All that is known then is that no upstream has responded.
	silenceCheckTimeout = 450 * time.Millisecond
	// canaryRetryDelay is the RetryAfter of searches that found only the last upstreams of
	// services. Upstreams that have ended come back one after the other.
	canaryRetryDelay = 250 * time.Millisecond
	// relayedEndMargin is how much longer a canary through a dialling host is awaited, which finds
	// out by itself whether the upstream has ended.
	relayedEndMargin = 30 * time.Millisecond
)

// The results of a canary.
const (
	// CanaryAnswered canaries have a response of their upstream.
	CanaryAnswered CanaryResult = "answered"
	// CanaryEnded canaries have lost their upstream.
	CanaryEnded CanaryResult = "ended"
	// CanaryOverdue canaries had no response in the time within which nearly all attempts
	// respond, or their connection broke.
	CanaryOverdue CanaryResult = "overdue"
	// CanaryReserved canaries found only upstreams that are the last ones of their service.
	CanaryReserved CanaryResult = "reserved"
	// CanaryNotRun canaries found no upstream.
	CanaryNotRun CanaryResult = "not-run"
)

// A CanaryResult is how the canary of a search ended.
type CanaryResult string

// CrashAlerts tell which services have lost upstreams to single searches. They are safe for
// concurrent use.
type CrashAlerts interface {
	// Hold reports whether an alert holds for a service; with no service, whether any may.
	Hold(services ...string) bool
	// IsKnown reports whether a request was answered recently.
	IsKnown(fingerprint uint64) bool
	// RecordKnown records that a request was answered.
	RecordKnown(fingerprint uint64)
	// Raise raises an alert for the services of a search to which no upstream has responded,
	// and which has ended upstreams of several of them.
	Raise(fingerprint uint64, services []string)
	// RecordCanary records how the canary of a search ended at an upstream of a service; the
	// service is empty if it found none.
	RecordCanary(fingerprint uint64, service string, r CanaryResult)
}

// canarySites hold the upstreams at which canaries of this host run.
type canarySites struct {
	mu    sync.Mutex
	count map[string]int
}

func (s *canarySites) add(u inventory.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == nil {
		s.count = make(map[string]int)
	}
	s.count[u.ID()]++
}

func (s *canarySites) remove(u inventory.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count[u.ID()]--; s.count[u.ID()] <= 0 {
		delete(s.count, u.ID())
	}
}

func (s *canarySites) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.count {
		ids = append(ids, id)
	}
	return ids
}

// services returns the services of all parts.
func (f *inFlightRequest) services() []string {
	services := make([]string, 0, len(f.parts))
	for _, p := range f.parts {
		services = append(services, p.service)
	}
	return services
}

// raiseAlert raises an alert once upstreams of minAlertParts parts have ended and no upstream
// has responded.
func (f *inFlightRequest) raiseAlert() {
	if f.hasRaisedAlert || f.hasResponse || !f.route.Gathers() {
		return
	}
	ended := 0
	for _, p := range f.parts {
		if p.hasLostUpstream {
			ended++
		}
	}
	if ended >= minAlertParts {
		f.hasRaisedAlert = true
		f.dispatcher.Alerts.Raise(f.fingerprint, f.services())
	}
}

// isAlerted reports whether the request is a search and an alert holds for one of its services.
func (f *inFlightRequest) isAlerted() bool {
	alerts := f.dispatcher.Alerts
	return f.route.Gathers() && len(f.parts) > 1 && alerts.Hold() && alerts.Hold(f.services()...)
}

// needsCanary reports whether the request is a search that may crash upstreams. One that lacks the
// upstreams for an answer needs none: it is refused at once.
func (f *inFlightRequest) needsCanary() bool {
	if f.attempts > 0 || !f.isAlerted() || f.dispatcher.Alerts.IsKnown(f.fingerprint) {
		return false
	}
	now, available := time.Now(), 0
	for _, p := range f.parts {
		if p.pool.HasUpstream(now) {
			available++
		}
	}
	return available >= f.route.MinParts()
}

// awaitsFirstResponse reports whether the request makes no further attempts while one is in
// flight: an alert has been raised since it went to all shards, and no upstream has responded. Its
// attempts at upstreams that have just ended would otherwise be replaced by others that run it.
func (f *inFlightRequest) awaitsFirstResponse() bool {
	return !f.hasPassedCanary && !f.hasResponse && f.inFlightCount() > 0 && f.isAlerted() && !f.dispatcher.Alerts.IsKnown(f.fingerprint)
}

// runCanary runs the request at one upstream before it goes to all shards. It returns the answer
// and true if the request ends with that: the upstream has ended.
func (f *inFlightRequest) runCanary(ctx, attemptsCtx context.Context) (Answer, bool) {
	if !f.needsCanary() {
		return Answer{}, false
	}
	delay := f.latencyStats.HedgeDelay(0)
	service := ""
	for range maxCanaryTries {
		p, assignment, isReserved := f.assignCanary()
		for assignment == nil && f.attempts == 0 && time.Now().Before(f.startBy()) && ctx.Err() == nil {
			work.Sleep(ctx, placementRetryInterval)
			p, assignment, isReserved = f.assignCanary()
		}
		if isReserved && f.arrivedCount() == 0 {
			f.dispatcher.Alerts.RecordCanary(f.fingerprint, "", CanaryReserved)
			answer := f.failureAnswer(ReasonAwaitingCanary)
			answer.RetryAfter = canaryRetryDelay
			return answer, true
		}
		if assignment == nil {
			break
		}
		service = p.service
		f.dispatcher.canarySites.add(assignment.Upstream)
		defer f.dispatcher.canarySites.remove(assignment.Upstream)
		f.send(attemptsCtx, time.Now(), p, assignment, false)
		p.needsAttempt = false
		due := delay
		if assignment.Upstream.IsDiallingHost() {
			due += relayedEndMargin
		}
		f.awaitCanary(ctx, time.Now().Add(due), func() bool { return f.inFlightCount() > 0 })
		f.awaitCanary(ctx, time.Now().Add(endCheckTimeout), func() bool { return f.lostConnectionCount() > 0 })
		if f.hasResponse || f.endedUpstreams > 0 || ctx.Err() != nil || f.arrivedCount() >= maxCanaries {
			break
		}
		if f.inFlightCount() > 0 {
			// An upstream that responds to others is only slow.
			if f.probeSilentUpstreams(time.Now()); f.isUpstreamAlive {
				break
			}
		}
	}
	// The probe of a silent upstream tells whether it has ended. One that works has answered it
	// within a round trip.
	f.awaitCanary(ctx, time.Now().Add(silenceCheckTimeout), func() bool { return f.silenceProbed && !f.isUpstreamAlive && f.inFlightCount() > 0 })
	result := CanaryOverdue
	switch {
	case f.hasResponse:
		result = CanaryAnswered
	case f.endedUpstreams > 0:
		result = CanaryEnded
	case f.arrivedCount() == 0:
		result = CanaryNotRun
	}
	f.dispatcher.Alerts.RecordCanary(f.fingerprint, service, result)
	switch {
	case ctx.Err() != nil:
		return f.callerLeftAnswer(), true
	case result == CanaryEnded:
		return f.failureAnswer(ReasonCrashSuspected), true
	case result == CanaryNotRun:
		// Where no upstream takes one attempt, none takes all that an answer needs.
		return f.failureAnswer(ReasonBusy), true
	}
	f.hasPassedCanary = true
	return Answer{}, false
}

// assignCanary assigns the canary to the service with the most usable upstreams, to an upstream
// where no other canary of this host runs if there is one. It returns a nil assignment if none
// accepts it. isReserved is set if that is only because each service must keep its last upstream.
func (f *inFlightRequest) assignCanary() (p *part, a *pool.Assignment, isReserved bool) {
	now := time.Now()
	parts, reserved := f.canaryParts(now)
	for _, excluded := range [][]string{f.dispatcher.canarySites.ids(), nil} {
		for _, p := range parts {
			requirements := f.requirements(p, 0)
			requirements.TriedUpstreams = slices.Concat(p.tried, excluded)
			if assignment := p.pool.Assign(now, requirements); assignment != nil {
				return p, assignment, false
			}
		}
	}
	return nil, nil, reserved > 0
}

// canaryParts returns the parts that may run the canary, those whose service has the most usable
// upstreams first. A service that has just lost an upstream to a crash keeps its last one:
// otherwise no search could be answered until upstreams are back. The services that an answer can
// do without are excepted, the same ones on all hosts. Services that lack upstreams for other
// reasons are not reserved, as they may lack them for long.
func (f *inFlightRequest) canaryParts(now time.Time) (parts []*part, reserved int) {
	// Services with as many usable upstreams take turns.
	first := int(f.requestFraction() * float64(len(f.parts)))
	usable := make(map[*part]int, len(f.parts))
	var last []*part
	missing := 0
	for _, p := range slices.Concat(f.parts[first:], f.parts[:first]) {
		count, ended := p.pool.UsableCount(now)
		switch usable[p] = count; {
		case count == 0:
			missing++
		case p.isDone() || !p.needsAttempt:
		case count == 1 && ended > 0:
			last = append(last, p)
		default:
			parts = append(parts, p)
		}
	}
	slices.SortStableFunc(parts, func(a, b *part) int { return cmp.Compare(usable[b], usable[a]) })
	slices.SortFunc(last, func(a, b *part) int { return cmp.Compare(ServiceKey(a.service), ServiceKey(b.service)) })
	// At most one of them is used at a time, so that all hosts agree on it.
	if len(parts) == 0 && missing < len(f.parts)-f.route.MinParts() && len(last) > 0 {
		return last[:1], 0
	}
	return parts, len(last)
}

// awaitCanary waits while isPending reports true, until an upstream has responded or ended, a
// time, or the end of the context.
func (f *inFlightRequest) awaitCanary(ctx context.Context, until time.Time, isPending func() bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for isPending() && !f.hasResponse && f.endedUpstreams == 0 {
		select {
		case result := <-f.results:
			f.handleResult(result)
		case result := <-f.probeResults:
			f.handleProbeResult(result)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// arrivedCount returns the number of attempts that may have reached an upstream.
func (f *inFlightRequest) arrivedCount() int {
	count := 0
	for _, p := range f.parts {
		count += p.arrived
	}
	return count
}

// recordKnown records that the request was answered, for all parts that the answer has.
func (f *inFlightRequest) recordKnown(a Answer) {
	if a.Gathered && f.verdict.Decision == quarantine.Allowed {
		f.dispatcher.Alerts.RecordKnown(f.fingerprint)
	}
}
