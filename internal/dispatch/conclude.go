package dispatch

import (
	"fmt"
	"net/http"
	"time"
)

// tryAnswer returns the answer and true if the request can be answered now.
func (f *inFlightRequest) tryAnswer(now time.Time) (Answer, bool) {
	if f.route.Gathers() {
		return f.tryGatherAnswer(now)
	}
	return f.trySingleAnswer(now)
}

func (f *inFlightRequest) trySingleAnswer(now time.Time) (Answer, bool) {
	if len(f.parts) == 0 {
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetryDelay}, true
	}
	p := f.parts[0]
	switch {
	case p.response != nil:
		return Answer{Status: p.response.Status, Response: p.response}, true
	case p.reason != ReasonNone && p.failureResponse != nil:
		return Answer{Status: p.failureResponse.Status, Response: p.failureResponse, Reason: p.reason}, true
	case p.reason != ReasonNone:
		return f.failureAnswer(p.reason), true
	case !now.Before(f.deadline):
		return f.failureAnswer(f.deadlineReason()), true
	default:
		return Answer{}, false
	}
}

// tryGatherAnswer returns the answer and true if the request can be answered now:
//
//   - with the merged answer, if at least MinParts parts have a response, and no part is pending or
//     answerDueAt has passed;
//   - with a failure, if fewer than MinParts parts can still have a response, or the deadline has
//     passed.
//
// Before it fails a request that has started, it resumes parts that were left out. From answerDueAt
// on it also does so while parts are pending, because these may never respond. A request that has not
// started by then runs late, and its parts were left out together.
func (f *inFlightRequest) tryGatherAnswer(now time.Time) (Answer, bool) {
	answered, pending := 0, 0
	reason := f.deadlineReason()
	for _, p := range f.parts {
		switch {
		case p.response != nil:
			answered++
		case p.reason != ReasonNone:
			if reason != ReasonAtLimit {
				reason = p.reason
			}
		default:
			pending++
		}
	}
	required := f.route.MinParts()
	switch {
	case answered >= required && (pending == 0 || !now.Before(f.answerDueAt)):
		return f.mergedAnswer(), true
	case answered+pending < required && f.attempts > 0 && f.resumeLeftOut(now, required-answered-pending):
		return Answer{}, false
	case f.attempts > 0 && answered < required && !now.Before(f.answerDueAt) && f.resumeLeftOut(now, 1):
		return Answer{}, false
	case answered+pending < required:
		return f.failureAnswer(reason), true
	case !now.Before(f.deadline):
		return f.failureAnswer(f.deadlineReason()), true
	default:
		return Answer{}, false
	}
}

func (f *inFlightRequest) mergedAnswer() Answer {
	answer := Answer{Status: http.StatusOK, Gathered: true}
	var bodies [][]byte
	for _, p := range f.parts {
		if p.response == nil {
			answer.MissingParts++
			continue
		}
		answer.Signatures = append(answer.Signatures, p.response.Signature)
		bodies = append(bodies, p.response.Body)
	}
	answer.Body = merge(bodies, f.route.MaxRecords())
	return answer
}

// maxMissingDetails bounds the missing parts that a Summary describes.
const maxMissingDetails = 4

// missingDetails describes parts without a response: service, reason, upstreams tried, and for
// parts that are not waiting for a response, the upstreams that there are. Parts that were
// abandoned come first, because the others may be missing only because of them.
func (f *inFlightRequest) missingDetails() []string {
	var missing, pending []*part
	for _, p := range f.parts {
		switch {
		case p.response != nil:
		case p.reason != ReasonNone:
			missing = append(missing, p)
		default:
			pending = append(pending, p)
		}
	}
	missing = append(missing, pending...)
	now := time.Now()
	var details []string
	for _, p := range missing[:min(len(missing), maxMissingDetails)] {
		reason := p.reason
		switch {
		case reason != ReasonNone:
		case p.running > 0:
			reason = ReasonUnanswered
		default:
			reason = ReasonNotStarted
		}
		detail := fmt.Sprintf("%s: %s, tried %v", p.service, reason, p.tried)
		if p.running == 0 {
			detail += fmt.Sprintf(", upstreams: %s", p.pool.Census(now, f.requirements(p, 0)))
		}
		details = append(details, detail)
	}
	return details
}

// retryDelayWithoutUpstream returns when a caller may come back who was refused because a
// service has no upstream: if upstreams rest, after the first rest at all of them, and up
// to maxRestSpread later, so that not all callers come back at once.
func (f *inFlightRequest) retryDelayWithoutUpstream() time.Duration {
	now := time.Now()
	var longest time.Duration
	for _, p := range f.parts {
		if p.reason != ReasonNoUpstream {
			continue
		}
		if until := p.pool.RestingUntil(now); until.Sub(now) > longest {
			longest = until.Sub(now)
		}
	}
	if longest == 0 {
		return noUpstreamRetryDelay
	}
	spread := min(maxRestSpread, time.Duration(restSpreadRatio*float64(longest)))
	return longest + time.Duration(f.requestFraction()*float64(spread))
}

// retryDelayAtLimit returns when a caller may come back who was refused because upstreams
// take no more requests: when all of these services have a turn.
func (f *inFlightRequest) retryDelayAtLimit() time.Duration {
	now := time.Now()
	longest := failureRetryDelay
	for _, p := range f.parts {
		if p.reason == ReasonAtLimit {
			longest = max(longest, p.pool.PromiseTurn(now, f.requirements(p, 0)))
		}
	}
	return longest
}

const (
	// Callers that were refused because upstreams rest come back within restSpreadRatio of
	// the remaining rest after its end, and within maxRestSpread.
	restSpreadRatio = 0.25
	maxRestSpread   = 500 * time.Millisecond
)

// failureAnswer returns the answer to a request that could not be served. Its status
// implies that the request was not run only if no upstream has run it and none may
// still run it.
func (f *inFlightRequest) failureAnswer(reason Reason) Answer {
	answer := Answer{Status: http.StatusServiceUnavailable, Reason: reason, MissingParts: len(f.parts), RetryAfter: failureRetryDelay}
	switch {
	case reason == ReasonNoUpstream:
		answer.RetryAfter = f.retryDelayWithoutUpstream()
	case reason == ReasonAtLimit:
		answer.RetryAfter = f.retryDelayAtLimit()
	case reason == ReasonQuarantined && f.verdict.Wait > 0:
		answer.RetryAfter = f.verdict.Wait
	case f.queueDelay > 0 && f.attempts == 0:
		answer.RetryAfter = f.retryDelayInOrder()
	}
	switch {
	case f.ranCount() == 0:
		answer.NotRun = true
	case reason == ReasonDeadline, reason == ReasonStopping:
		answer.Status = http.StatusGatewayTimeout
	default:
		answer.Status = http.StatusBadGateway
	}
	return answer
}

// callerLeftAnswer returns the answer to a request whose caller has left, which no one reads.
func (f *inFlightRequest) callerLeftAnswer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonCallerDisconnected, NotRun: f.ranCount() == 0}
}

// ranCount returns the number of attempts that an upstream may have run.
func (f *inFlightRequest) ranCount() int {
	ran := 0
	for _, p := range f.parts {
		ran += p.ran
	}
	return ran
}
