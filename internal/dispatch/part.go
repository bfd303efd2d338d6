package dispatch

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// A part is what one service contributes to an answer.
type part struct {
	service string
	pool    *pool.Pool
	// tried holds the upstreams of all attempts so far.
	tried []string
	// sent counts all attempts, arrived those that may have reached an upstream, ran
	// those that an upstream may have run, and running those in flight.
	sent, arrived, ran, running int
	// inFlight holds the assignments of the attempts in flight, without those whose upstream
	// is known to have ended.
	inFlight []*pool.Assignment
	// unanswered holds the assignments of attempts without a response whose upstream may
	// still run, crashes the attempts whose upstream has ended.
	unanswered []*pool.Assignment
	crashes    []pool.Crash
	// assignment is set while the first attempt is assigned and has not started.
	assignment *pool.Assignment
	// wasPassedOver is set once no upstream accepted the first attempt.
	wasPassedOver bool
	// needsAttempt is set while the part needs an attempt and has none in flight.
	needsAttempt bool
	// hedgeAt is when a hedge to another upstream is due.
	hedgeAt time.Time
	// response is the response used for the answer; nil until there is one.
	response *upstream.Response
	// failureResponse is the last response that is a failure and whose status does not
	// imply that the request was not run; nil if there is none.
	failureResponse *upstream.Response
	// reason is why the part was abandoned; ReasonNone if it was not.
	reason Reason
}

// abandon ends a part without a response.
func (p *part) abandon(reason Reason) {
	p.reason = reason
	p.needsAttempt = false
}

// resume makes a part without any attempt need its first one, also if it was abandoned as
// ReasonExpectedLate.
func (p *part) resume() {
	p.reason, p.needsAttempt = ReasonNone, true
}

// isAssigned reports whether the first attempt is assigned and has not started.
func (p *part) isAssigned() bool { return p.assignment != nil }

// isDone reports whether the part has a response or was abandoned.
func (p *part) isDone() bool {
	return p.response != nil || p.reason != ReasonNone
}
