package upstream

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

// A Result is how an exchange with an upstream ended.
type Result int

// The results of an exchange.
const (
	// Answered exchanges brought a whole answer.
	Answered Result = iota + 1
	// Refused exchanges were not run, as the upstream itself said.
	Refused
	// Misdirected exchanges reached another upstream, which did not run them.
	Misdirected
	// Unreachable exchanges never left: there was no connection.
	Unreachable
	// Broken exchanges may have been run; there is no whole answer.
	Broken
	// Aborted exchanges were given up by this host; they may have been run.
	Aborted
)

// An Attempt is one request to one upstream.
type Attempt struct {
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds all fields that are passed on, as HeaderText returns them; the
	// Protocol adds its own.
	Header []byte
	Body   []byte
	// RequestID is the caller's id of the request.
	RequestID string
	// UpstreamID is the upstream that may run the request.
	UpstreamID string
	Address    string
	// Deadline is when nobody waits any more.
	Deadline time.Time
	// RequireNewConnection attempts do not use a connection that was used before.
	RequireNewConnection bool
	// Relay is set if the attempt goes to another host, which chooses the
	// upstream; UpstreamID and Address are those of the host then.
	Relay *Relay
}

// A Relay is what another host needs to know to choose an upstream.
type Relay struct {
	Service string
	// Route, Target and Gathers name the class of requests whose times the
	// attempt tells of.
	Route         string
	LatencyTarget time.Duration
	Gathers       bool
	Fingerprint   uint64
	// TriedUpstreams holds the upstreams that have had the request.
	TriedUpstreams []string
	// IsLastAttempt is set if no other attempt may follow.
	IsLastAttempt bool
}

// A Load is what an upstream says of its load.
type Load struct {
	Running, Waiting int
}

// A Response is a whole answer of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the upstream's proof of the answer; empty if there is none.
	Signature string
}

// ResponseMetadata are what the fields of an answer say, decoded by a Protocol.
type ResponseMetadata struct {
	// RequestID is the request that the answer belongs to; empty if unsaid.
	RequestID string
	Signature string
	// NotRun is set if the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is set if another upstream has the address.
	Misdirected bool
	// Load is nil if the upstream does not tell it.
	Load *Load
}

// An Outcome is all that is known after an exchange.
type Outcome struct {
	Result   Result
	Response Response
	Load     *Load
	// ConnectDuration is how long a new connection took; zero if none was made.
	ConnectDuration time.Duration
	// ConnectionRefused is set if the address refused the connection: nobody listens.
	ConnectionRefused bool
	// AtConnectionLimit is set if a new connection was reset: the upstream has too many.
	AtConnectionLimit bool
	// ForwardedTo is the upstream that another host gave the attempt to; empty if it
	// gave it to none, or if no other host was asked.
	ForwardedTo string
	// NotForwarded is set if another host gave the attempt to no upstream.
	NotForwarded bool
	// ConnectionClosing is set if the upstream closes the connection after the answer.
	ConnectionClosing bool
	Err               error
}

// A Field is one field of a message; its value holds no line break.
type Field struct{ Name, Value string }

// A Protocol translates between this package and the fields of an upstream's
// HTTP messages.
type Protocol interface {
	// Encode returns the fields of an attempt.
	Encode(attempt *Attempt, left time.Duration) []Field
	// Decode reads the fields of an answer.
	Decode(response *http.Response) ResponseMetadata
}

// An Exchanger sends attempts to upstreams. It is safe for concurrent use.
type Exchanger interface {
	// Exchange ends at the latest with the context or the deadline.
	Exchange(ctx context.Context, attempt *Attempt) Outcome
	// IdleCount returns how many unused connections an upstream has.
	IdleCount(upstreamID string) int
	// CloseIdleConnections gives up the unused connections of an upstream.
	CloseIdleConnections(upstreamID string)
}

// EncodeHeader returns the fields that are passed on with every attempt.
func EncodeHeader(header http.Header) []byte {
	var b bytes.Buffer
	// A buffer takes all that is written.
	_ = header.Write(&b)
	return b.Bytes()
}
