package dispatch

import (
	"fmt"
	"net/http"
	"time"
)

// conclude returns the answer if it is time to give it.
func (f *flight) conclude(now time.Time) (Answer, bool) {
	if f.route.Gathers() {
		return f.concludeGather(now)
	}
	return f.concludeSingle(now)
}

func (f *flight) concludeSingle(now time.Time) (Answer, bool) {
	if len(f.parts) == 0 {
		return Answer{Status: http.StatusServiceUnavailable, Reason: ReasonNoUpstream, RetryAfter: retryLater}, true
	}
	p := f.parts[0]
	switch {
	case p.answer != nil:
		return Answer{Status: p.answer.Status, Response: p.answer}, true
	case p.reason != ReasonNone && p.failure != nil:
		return Answer{Status: p.failure.Status, Response: p.failure, Reason: p.reason}, true
	case p.reason != ReasonNone:
		return f.failed(p.reason), true
	case !now.Before(f.end):
		return f.failed(ReasonDeadline), true
	default:
		return Answer{}, false
	}
}

// concludeGather waits for all parts as long as the answer can be on time, and
// after that for as many as an answer needs.
func (f *flight) concludeGather(now time.Time) (Answer, bool) {
	answered, open := 0, 0
	reason := ReasonDeadline
	for _, p := range f.parts {
		switch {
		case p.answer != nil:
			answered++
		case p.reason != ReasonNone:
			reason = p.reason
		default:
			open++
		}
	}
	least := f.route.MinParts()
	switch {
	case answered >= least && (open == 0 || !now.Before(f.due)):
		return f.gathered(), true
	case answered+open < least && f.reviveLate(now, least-answered-open):
		return Answer{}, false
	case answered+open < least:
		return f.failed(reason), true
	case !now.Before(f.end):
		return f.failed(ReasonDeadline), true
	default:
		return Answer{}, false
	}
}

func (f *flight) gathered() Answer {
	answer := Answer{Status: http.StatusOK, Gathered: true}
	var bodies [][]byte
	for _, p := range f.parts {
		if p.answer == nil {
			answer.MissingParts++
			continue
		}
		answer.Signatures = append(answer.Signatures, p.answer.Signature)
		bodies = append(bodies, p.answer.Body)
	}
	answer.Body = merge(bodies, f.route.MaxRecords())
	return answer
}

// maxLacking bounds how many missing parts are named.
const maxLacking = 4

// lacking names the first parts without an answer, with why there is none.
func (f *flight) lacking() []string {
	var names []string
	for _, p := range f.parts {
		if p.answer != nil || len(names) == maxLacking {
			continue
		}
		reason := p.reason
		switch {
		case reason != ReasonNone:
		case p.running > 0:
			reason = ReasonUnanswered
		default:
			reason = ReasonNotStarted
		}
		names = append(names, fmt.Sprintf("%s: %s, tried %v", p.service, reason, p.tried))
	}
	return names
}

// failed returns the answer to a request that could not be served. Only what no
// upstream has run and none may still run is called not run.
func (f *flight) failed(reason Reason) Answer {
	ran := 0
	for _, p := range f.parts {
		ran += p.ran
	}
	answer := Answer{Status: http.StatusServiceUnavailable, Reason: reason, MissingParts: len(f.parts), RetryAfter: retrySoon}
	if reason == ReasonNoUpstream {
		answer.RetryAfter = retryLater
	}
	switch {
	case ran == 0:
	case reason == ReasonDeadline:
		answer.Status = http.StatusGatewayTimeout
	default:
		answer.Status = http.StatusBadGateway
	}
	return answer
}
