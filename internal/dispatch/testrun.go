package dispatch

// This file makes the test run of a suspect request: it runs at a single upstream first, so that
// it can crash only that one.

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
)

// checkVerdict refuses a quarantined request and makes the test run of a suspect one. It
// returns the answer and true if the request ends with that.
func (f *inFlightRequest) checkVerdict(ctx, attemptsCtx context.Context) (Answer, bool) {
	f.verdict = f.dispatcher.Guard.Check(f.fingerprint)
	if f.verdict.Decision == quarantine.Allowed {
		return Answer{}, false
	}
	if f.verdict.Decision == quarantine.Quarantined {
		return barredAnswer(f.verdict), true
	}
	verdict, end := f.dispatcher.Guard.BeginTestRun(ctx, f.fingerprint)
	switch {
	case verdict.Decision == quarantine.Suspect && ctx.Err() != nil:
		end(quarantine.TestNotRun)
		return f.callerLeftAnswer(), true
	case verdict.Decision == quarantine.Suspect:
		return f.runTest(ctx, attemptsCtx, verdict, end)
	}
	return barredAnswer(verdict), verdict.Decision != quarantine.Allowed
}

// barredAnswer returns the answer to a request that must not run now.
func barredAnswer(v quarantine.Verdict) Answer {
	answer := Answer{Status: http.StatusServiceUnavailable, Reason: ReasonQuarantined, RetryAfter: v.Wait}
	if v.Decision == quarantine.AwaitingTest {
		answer.Reason, answer.RetryAfter = ReasonAwaitingTest, min(v.Wait, maxTestRunRetryDelay)
	}
	return answer
}

// runTest makes the test run: one attempt at one upstream. A new connection shows that the
// upstream works when the attempt begins. If the upstream responds, its response is used, the
// request goes on, and runTest returns false. Otherwise it returns the answer and true.
func (f *inFlightRequest) runTest(ctx, attemptsCtx context.Context, v quarantine.Verdict, end func(quarantine.TestResult)) (Answer, bool) {
	if !f.dispatcher.CanEndBeforeStop(time.Now(), f.route) {
		end(quarantine.TestNotRun)
		return f.failureAnswer(ReasonStopping), true
	}
	f.isTesting = true
	hasRun := false
	for range maxTestRunTries {
		p, assignment := f.assignTest(v.Service)
		if assignment == nil {
			break
		}
		f.send(attemptsCtx, time.Now(), p, assignment, false)
		p.needsAttempt = false
		f.awaitTest(ctx, p)
		hasRun = p.ran > 0
		// An upstream that cannot be reached says nothing about the request.
		if hasRun || p.arrived > 0 || ctx.Err() != nil || f.endsWithStop(time.Now()) {
			break
		}
	}
	switch {
	case f.hasResponse:
		f.isTesting = false
		end(quarantine.TestAnswered)
		return Answer{}, false
	case !hasRun:
		end(quarantine.TestNotRun)
		return f.failureAnswer(ReasonBusy), true
	}
	if f.endsWithStop(time.Now()) {
		// The stop of this host says nothing about the request.
		end(quarantine.TestNotRun)
		return f.failureAnswer(ReasonStopping), true
	}
	f.reportCrashes(ctx)
	end(quarantine.TestUnanswered)
	if ctx.Err() != nil {
		return f.callerLeftAnswer(), true
	}
	return f.failureAnswer(ReasonCrashSuspected), true
}

// assignTest assigns the test run to an upstream, of the service with this key if one of
// its upstreams accepts it, or to a detour if this host reaches no upstream. It returns a nil
// assignment if none accepts it.
func (f *inFlightRequest) assignTest(service uint64) (*part, *pool.Assignment) {
	now := time.Now()
	if f.isAlerted() {
		// Crashing requests are frequent, so that test runs spare the last upstreams as well.
		if _, reserved := f.canaryParts(now); 2*reserved > len(f.parts) {
			return nil, nil
		}
		p, assignment, _ := f.assignCanary()
		return p, assignment
	}
	parts := slices.Clone(f.parts)
	if i := slices.IndexFunc(parts, func(p *part) bool { return ServiceKey(p.service) == service }); i > 0 {
		parts[0], parts[i] = parts[i], parts[0]
	}
	for _, p := range parts {
		requirements := f.requirements(p, 0)
		requirements.DirectOnly = !f.dispatcher.Links.IsPartitioned()
		if assignment := p.pool.Assign(now, requirements); assignment != nil {
			return p, assignment
		}
	}
	return nil, nil
}

// awaitTest waits until the test run of a part has ended, its upstream is known to have
// ended, the caller has disconnected, or the host has to answer because it stops.
func (f *inFlightRequest) awaitTest(ctx context.Context, p *part) {
	timer := time.NewTimer(time.Until(f.answerDueAt))
	defer timer.Stop()
	deadline := time.NewTimer(time.Until(f.deadline))
	defer deadline.Stop()
	for p.running > 0 && f.endedUpstreams == 0 && !f.endsWithStop(time.Now()) {
		select {
		case <-f.stopBegun:
			f.limitToStop()
			deadline.Reset(time.Until(f.deadline))
		case <-deadline.C:
		case result := <-f.results:
			f.handleResult(result)
		case result := <-f.probeResults:
			f.handleProbeResult(result)
		case now := <-timer.C:
			f.probeSilentUpstreams(now)
		case <-ctx.Done():
			return
		}
	}
}
