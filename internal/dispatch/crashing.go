package dispatch

// This file decides what a request does while it may be one that crashes the upstreams
// that run it: it makes no further attempts while no upstream has responded, finds out
// whether upstreams have ended, and makes test runs of suspect requests.

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// maxUnansweredAttempts is how many attempts may be in flight or have lost their
	// upstream, while no upstream has responded to the request, before further attempts
	// wait for a response.
	maxUnansweredAttempts = 2
	// unansweredHedgeInterval is the time between two hedges of a request to which no upstream has
	// responded. It is longer than it takes to find out that an upstream has ended.
	unansweredHedgeInterval = 50 * time.Millisecond
	// endCheckTimeout bounds the check of an upstream after a lost connection, which delays
	// the next attempt. An upstream that has ended refuses connections in a round trip.
	endCheckTimeout = 80 * time.Millisecond
	// maxSilenceProbes is how many upstreams are probed for one request.
	maxSilenceProbes = 3
	// maxAlertProbes is how many are probed for one that has raised a crash alert. It has probably
	// ended them all, and other hosts must not use them.
	maxAlertProbes = 64
	// testRunTimeout bounds the test run of an idempotent request.
	testRunTimeout = 2 * time.Second
	// maxTestRunTries is how many upstreams are tried until one can be reached.
	maxTestRunTries = 6
	// maxTestRunRetryDelay is the longest RetryAfter during the test run of a request.
	// Most test runs end much earlier than they must.
	maxTestRunRetryDelay = time.Second
)

// A CrashGuard keeps requests that crash upstreams from running. It is safe for
// concurrent use.
type CrashGuard interface {
	// Check returns the verdict on a request.
	Check(fingerprint uint64) quarantine.Verdict
	// BeginTestRun asks for permission for a test run of a suspect request. It is granted if
	// the decision is Suspect; end must then be called once. The decision is Allowed if
	// the request turns out not to be suspect.
	BeginTestRun(ctx context.Context, fingerprint uint64) (v quarantine.Verdict, end func(quarantine.TestResult))
	// RecordAnswers records that upstreams of services responded to a request.
	RecordAnswers(fingerprint uint64, services []string)
	// RecordCrashes records upstreams that ended while they ran requests.
	RecordCrashes(crashes []pool.Crash)
}

// crashState is what a request knows of crashes during its attempts.
type crashState struct {
	// verdict is the last verdict on the request.
	verdict quarantine.Verdict
	// isTesting is set during a test run.
	isTesting bool
	// hasResponse is set once any upstream has responded, also with a failure.
	hasResponse bool
	// endedUpstreams counts the attempts whose upstream has ended.
	endedUpstreams int
	// silenceProbed is set once upstreams were probed because none had responded, and
	// isUpstreamAlive once one of them is known to work.
	silenceProbed, isUpstreamAlive bool
	// hasRaisedAlert is set once the request has raised a crash alert.
	hasRaisedAlert bool
	// hasPassedCanary is set once the request may go to all shards after its canary.
	hasPassedCanary bool
	probeResults    chan probeResult
}

// isBarred reports whether the request may make no further attempts, because of evidence
// that has arrived since it began.
func (f *inFlightRequest) isBarred() bool {
	f.verdict = f.dispatcher.Guard.Check(f.fingerprint)
	return f.verdict.Decision != quarantine.Allowed
}

// abandonUnstarted abandons all parts without an attempt in flight for a reason, and makes no
// more hedges.
func (f *inFlightRequest) abandonUnstarted(reason Reason) {
	for _, p := range f.parts {
		p.held.giveBack()
		if !p.isDone() && p.needsAttempt {
			p.abandon(reason)
		}
		p.hedgeAt = f.deadline
	}
}

// holdsBackAttempts reports whether a request makes no further attempts for now, because
// an upstream has ended and none has responded.
func (f *inFlightRequest) holdsBackAttempts() bool {
	return f.endedUpstreams > 0 && f.lacksResponses()
}

// holdsBackHedges reports whether a request makes no hedges for now, because no upstream
// has responded, and none is known to work or another hedge has just begun. A search that crashes
// upstreams would otherwise take a second replica of every shard before the first end is known.
func (f *inFlightRequest) holdsBackHedges() bool {
	isDoubtful := !f.isUpstreamAlive || f.lostConnectionCount() >= maxUnansweredAttempts || time.Since(f.hedgedAt) < unansweredHedgeInterval
	return isDoubtful && f.lacksResponses() && !f.dispatcher.Links.IsPartitioned()
}

// lostConnectionCount returns the number of attempts in flight whose connection is lost. Whether
// their upstreams have ended is being found out.
func (f *inFlightRequest) lostConnectionCount() int {
	count := 0
	for _, p := range f.parts {
		for _, a := range p.inFlight {
			if a.IsConnectionLost() {
				count++
			}
		}
	}
	return count
}

// lacksResponses reports whether several attempts are in flight or have lost their
// upstream, and no upstream has responded.
func (f *inFlightRequest) lacksResponses() bool {
	return !f.hasResponse && f.endedUpstreams+f.inFlightCount() >= maxUnansweredAttempts
}

// inFlightCount returns the number of attempts in flight, without those whose upstream is
// known to have ended.
func (f *inFlightRequest) inFlightCount() int {
	count := 0
	for _, p := range f.parts {
		count += len(p.inFlight)
	}
	return count
}

// unansweredCount returns the number of attempts without a response whose upstream is not
// known to have ended.
func (f *inFlightRequest) unansweredCount() int {
	count := f.inFlightCount()
	for _, p := range f.parts {
		count += len(p.unanswered)
	}
	return count
}

// recordAttemptEnd records what the end of an attempt tells of its upstream.
func (f *inFlightRequest) recordAttemptEnd(result *attemptResult) {
	p := result.part
	i := slices.Index(p.inFlight, result.assignment)
	if i < 0 {
		// A probe has shown earlier that the upstream had ended.
		return
	}
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	switch {
	case result.outcome.Result == upstream.Answered:
		f.hasResponse = true
	case result.outcome.UpstreamEnded:
		f.recordCrash(p, result.assignment)
	case result.outcome.LinkLost:
	case result.outcome.Result == upstream.Broken, result.outcome.Result == upstream.Aborted:
		p.unanswered = append(p.unanswered, result.assignment)
	}
}

// recordCrash records that the upstream of an attempt has ended. The host that relayed the
// attempt reports crashes of its upstreams itself.
func (f *inFlightRequest) recordCrash(p *part, assignment *pool.Assignment) {
	f.endedUpstreams++
	p.hasLostUpstream = true
	f.raiseAlert()
	if assignment.Upstream.IsDiallingHost() {
		return
	}
	p.crashes = append(p.crashes, pool.Crash{Upstream: assignment.Upstream, Fingerprint: f.fingerprint, TestRun: f.isTesting})
}

// ServiceKey identifies a service in evidence against requests.
func ServiceKey(service string) uint64 { return xxhash.Sum64String(service) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
