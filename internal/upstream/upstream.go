// Package upstream sends attempts to upstreams, the servers that hold the shards'
// indexes. Gates use a Client with its Call and Reply; hosts that run entry and gate
// in one process use an Exchanger with its Attempt and Outcome.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A Call is one attempt to run a request on one upstream.
type Call struct {
	// AttemptID is unique across all gates and their restarts.
	AttemptID string
	RequestID string
	Service   string
	ShardPath string
	Kind      string
	Version   snapshot.Version
	// Remaining is the time that remains to the deadline.
	Remaining time.Duration
	// Idempotent is set if the request may be run more than once. Only idempotent
	// calls reuse a connection.
	Idempotent bool
	Body       []byte
}

// A Reply is a complete response to a call.
type Reply struct {
	AttemptID string
	Version   snapshot.Version
	Body      []byte
	// Draining and Cold are as reported by the upstream.
	Draining, Cold bool
}

// A Report is the response of an upstream's load endpoint. It may be out of date
// or wrong.
type Report struct {
	Versions       []snapshot.Version
	Draining, Cold bool
	// Running is the number of running attempts as reported by the upstream.
	Running int
}

// A Client sends calls to one upstream. It is safe for concurrent use.
type Client interface {
	// Run runs a call and returns its reply, the context's error, or one of this
	// package's errors.
	Run(ctx context.Context, call Call) (Reply, error)
	// Cancel tells the upstream to stop an attempt whose result is not needed.
	Cancel(ctx context.Context, attemptID string) error
	// FetchReport requests a load report over a new connection.
	FetchReport(ctx context.Context) (Report, error)
	// CloseIdleConnections closes the idle connections that Run uses.
	CloseIdleConnections()
	// Close closes all idle connections.
	Close()
}

// A RefusedError means that the upstream responded that it did not run the call.
type RefusedError struct {
	// Reason is "overload", "draining" or "version-gone".
	Reason     string
	RetryAfter time.Duration
}

// An UnreachableError means that no byte of the call was sent. From Client.FetchReport,
// it means that no response arrived, although the request may have been sent.
type UnreachableError struct{ Err error }

// A BrokenError means that there is no valid response although the call may have
// been sent: the connection was lost, or the response was invalid.
type BrokenError struct{ Err error }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream did not run the call: %s, retry after %s", e.Reason, e.RetryAfter)
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream cannot be reached: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("no valid response from upstream: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }
