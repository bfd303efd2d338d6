// Package dispatch runs the requests of callers on upstreams: it starts the first
// attempts, hedges slow ones and retries failed ones, and builds the answer.
package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// The reasons.
const (
	ReasonNone               Reason = ""
	ReasonDeadline           Reason = "deadline"
	ReasonNoUpstream         Reason = "no-upstream"
	ReasonBusy               Reason = "busy"
	ReasonFailed             Reason = "failed"
	ReasonQuarantined        Reason = "quarantined"
	ReasonAwaitingTest       Reason = "awaiting-test"
	ReasonCrashSuspected     Reason = "crash-suspected"
	ReasonAwaitingCanary     Reason = "awaiting-canary"
	ReasonAtLimit            Reason = "at-limit"
	ReasonAccountLimit       Reason = "account-limit"
	ReasonCallerDisconnected Reason = "caller-gone"
	ReasonUnanswered         Reason = "unanswered"
	ReasonNotStarted         Reason = "not-started"
	ReasonUnknownKey         Reason = "unknown-key"
	ReasonKeyUndecided       Reason = "key-undecided"
	ReasonStopping           Reason = "stopping"
	ReasonNoRoom             Reason = "no-room"
)

// A Reason says why a request failed, or why a part is missing in an answer.
type Reason string

// A Request is one request of a caller.
type Request struct {
	// ID is the id that the caller sent with this request. The request may repeat an
	// earlier request of the caller.
	ID     string
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds the fields that are forwarded to upstreams, as
	// upstream.EncodeHeader returns them.
	Header []byte
	Body   []byte
	// Account is the caller's client account; nil for none.
	Account *account.Account
	// Credential is what the caller has sent to identify its account. It is cleared once
	// Account is set.
	Credential account.Credential
	// Remaining is how much of the caller's timeout remains; zero if the caller sent no
	// timeout.
	Remaining time.Duration
	// ArrivedAt is when this host received the request; zero for the time of Dispatcher.Run. What
	// precedes Run, such as a call for tokens, is part of the time within which the answer is due.
	ArrivedAt time.Time
	// InFlight is what the host follows the request by; nil if it does not.
	InFlight *shutdown.Request
	// NewConnection is set if the caller opened a connection for this request; the
	// target then includes the time to connect.
	NewConnection bool
}

// An Answer is the response to a caller.
type Answer struct {
	Status int
	// Response is the response of one upstream; nil if there is none to forward.
	Response *upstream.Response
	// Gathered is set if Body was merged from the responses of the parts. This applies
	// to routes that gather, however many parts they have.
	Gathered bool
	// Signatures are the signatures of the parts in the answer.
	Signatures []string
	// MissingParts is the number of parts that are not in the answer; zero if the
	// request was quarantined or the caller disconnected.
	MissingParts int
	Body         []byte
	// RetryAfter is the delay after which the caller may retry; zero if the answer
	// gives no delay.
	RetryAfter time.Duration
	Reason     Reason
	// NotRun is set if no upstream has run the request and none may still run it.
	NotRun bool
}

// A Summary describes a finished request for the request log and the metrics.
type Summary struct {
	RequestID   string
	Fingerprint uint64
	// Account is the name of the caller's client account; empty for none.
	Account string
	Route   string
	Version uint64
	Status  int
	Reason  Reason
	// Parts is the number of parts of the request. MissingParts has the meaning of
	// Answer.MissingParts. Attempts is the number of all attempts.
	Parts, MissingParts, Attempts int
	// Hedges counts the extra attempts made because an attempt was slow, Retries those
	// made after a failed one.
	Hedges, Retries int
	// MissingDetails describes the first missing parts: service, reason and
	// upstreams tried.
	MissingDetails []string
	// LastFailure describes the last failure of an attempt.
	LastFailure string
	// Verdict is the last verdict on the request.
	Verdict quarantine.Verdict
	// Unanswered counts the attempts without a response whose upstream may still run,
	// EndedUpstreams those whose upstream is known to have ended. Probed is set if upstreams
	// were probed because none had responded.
	Unanswered, EndedUpstreams int
	Probed                     bool
	// Admission says how a request of a client account got its first attempts. Rank is
	// how many requests were last to be tried before it while it waited, Waited for how
	// long it waited.
	Admission Admission
	Rank      int
	Waited    time.Duration
	// StopEstimate is set for requests with an attempt due while the host stops.
	StopEstimate StopEstimate
	Elapsed      time.Duration
}

// Size returns the size of the body in bytes.
func (a *Answer) Size() int {
	if a.Response != nil {
		return len(a.Response.Body)
	}
	return len(a.Body)
}

// AccountName returns the name of the caller's client account; empty for none.
func (r *Request) AccountName() string {
	if r.Account == nil {
		return ""
	}
	return r.Account.Name()
}

// Fingerprint identifies the request and its repetitions. Equal requests of different client
// accounts have different fingerprints: evidence against the request of one account must not
// block another account.
func (r *Request) Fingerprint() uint64 {
	h := xxhash.New()
	if r.Account != nil {
		_, _ = h.WriteString(r.Account.Name())
		_, _ = h.Write([]byte{0})
	}
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
