package dispatch

import (
	"slices"
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
	// coldRefusals counts the attempts that other hosts have not forwarded to cold upstreams.
	coldRefusals int
	// writtenOff holds the attempts in flight that were written off.
	writtenOff []*pool.Assignment
	// inFlight holds the assignments of the attempts in flight, without those whose upstream
	// is known to have ended.
	inFlight []*pool.Assignment
	// ownLinkSince is when the last attempt over a connection of this host began, and
	// ownLinkTo the data centre of its upstream; zero if there was none.
	ownLinkSince time.Time
	ownLinkTo    string
	// noRouteAt is when another host last stated that it reaches no upstream.
	noRouteAt time.Time
	// unanswered holds the assignments of attempts without a response whose upstream may
	// still run, crashes the attempts whose upstream has ended.
	unanswered []*pool.Assignment
	crashes    []pool.Crash
	// hasLostUpstream is set once the upstream of an attempt is known to have ended.
	hasLostUpstream bool
	// held is the assignment of the first attempt until it starts.
	held heldAssignment
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

func newPart(service string, p *pool.Pool) *part {
	return &part{service: service, pool: p, held: heldAssignment{pool: p}}
}

// abandon ends a part without a response.
func (p *part) abandon(reason Reason) {
	p.held.giveBack()
	p.reason = reason
	p.needsAttempt = false
}

// resume makes a part without any attempt need its first one, also if it was left out.
func (p *part) resume() {
	p.reason, p.needsAttempt = ReasonNone, true
}

// wasLeftOut reports whether the part was abandoned before any attempt because its service had
// no room.
func (p *part) wasLeftOut() bool { return p.reason == ReasonBusy && p.sent == 0 }

// writeOff gives up an attempt in flight over a link that is lost. It does not count as
// arrived. It still counts towards the attempts that the route allows: it may have run.
func (p *part) writeOff(a *pool.Assignment) {
	if i := slices.Index(p.inFlight, a); i >= 0 {
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
	}
	p.writtenOff = append(p.writtenOff, a)
	p.arrived--
}

// endWriteOff counts an attempt that has ended after it was written off as one that was not.
func (p *part) endWriteOff(a *pool.Assignment) {
	if i := slices.Index(p.writtenOff, a); i >= 0 {
		p.writtenOff = slices.Delete(p.writtenOff, i, i+1)
		p.arrived++
	}
}

// isAssigned reports whether the first attempt is assigned and has not started.
func (p *part) isAssigned() bool { return p.held.isAssigned() }

// isDone reports whether the part has a response or was abandoned.
func (p *part) isDone() bool {
	return p.response != nil || p.reason != ReasonNone
}
