// Package dispatch runs the requests of callers on upstreams: it places the
// first attempts, asks other upstreams for what is late or failed, and puts the
// answer together.
package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// The reasons of answers that are not an upstream's.
const (
	ReasonNone               Reason = ""
	ReasonDeadline           Reason = "deadline"
	ReasonNoUpstream         Reason = "no-upstream"
	ReasonBusy               Reason = "busy"
	ReasonFailed             Reason = "failed"
	ReasonExpectedLate       Reason = "late"
	ReasonQuarantined        Reason = "quarantined"
	ReasonCallerDisconnected Reason = "caller-gone"
	ReasonUnanswered         Reason = "unanswered"
	ReasonNotStarted         Reason = "not-started"
)

// A Reason explains an answer that no upstream gave.
type Reason string

// A Request is what a caller sent.
type Request struct {
	// ID is the caller's id of this attempt of its own.
	ID     string
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds the fields that are passed on, as upstream.HeaderText returns
	// them.
	Header []byte
	Body   []byte
	// Remaining is how long the caller waits; zero if it does not say.
	Remaining time.Duration
	// NewConnection is set if the caller made a connection for this request; its target
	// counts from before that.
	NewConnection bool
}

// An Answer is what the caller gets.
type Answer struct {
	Status int
	// Response is the one upstream's answer; nil if there is none to pass on.
	Response *upstream.Response
	// Gathered is set if the answer was put together from parts.
	Gathered bool
	// Signatures are those of the parts that are in the answer.
	Signatures []string
	// MissingParts is how many parts are not in the answer.
	MissingParts int
	Body         []byte
	// RetryAfter is when to come back; zero if it is not said.
	RetryAfter time.Duration
	Reason     Reason
}

// A Summary is one line about what became of a request.
type Summary struct {
	RequestID string
	Route     string
	Version   uint64
	Status    int
	Reason    Reason
	// Parts, Missing and Attempts count the shards asked, those not in the
	// answer, and all attempts.
	Parts, MissingParts, Attempts int
	// Hedges and Retried count the extra attempts for late and failed ones.
	Hedges, Retries int
	// MissingDetails names the first parts that are not in the answer, with why.
	MissingDetails []string
	// LastFailure is what went wrong last, with the upstream.
	LastFailure string
	Elapsed     time.Duration
}

func (r *Request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
