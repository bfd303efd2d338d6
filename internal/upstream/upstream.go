// Package upstream is the interface to the servers that hold the indexes.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A Call is one attempt.
type Call struct {
	// AttemptID is unique over all gates and time.
	AttemptID string
	RequestID string
	Service   string
	ShardPath string
	Kind      string
	Version   snapshot.Version
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Idempotent calls may use a connection that was used before.
	Idempotent bool
	Body       []byte
}

// A Reply is a whole answer.
type Reply struct {
	AttemptID string
	Version   snapshot.Version
	Body      []byte
	// Draining and Cold are what the upstream says of itself.
	Draining, Cold bool
}

// A Report is what the load endpoint says; it lags or misleads.
type Report struct {
	Versions       []snapshot.Version
	Draining, Cold bool
	// Running is how many attempts the upstream says it runs.
	Running int
}

// A Client talks to one upstream. It is safe for concurrent use.
type Client interface {
	// Run returns a reply or one of this package's errors.
	Run(ctx context.Context, call Call) (Reply, error)
	// Cancel tells the upstream that nobody waits for an attempt.
	Cancel(ctx context.Context, attemptID string) error
	// Report asks the load endpoint over a fresh connection.
	Report(ctx context.Context) (Report, error)
	// CloseIdleConnections gives up all idle connections.
	CloseIdleConnections()
	// Close gives up all connections.
	Close()
}

// A RefusedError says that the upstream did not run the call.
type RefusedError struct {
	// Reason is "overload", "draining" or "version-gone".
	Reason     string
	RetryAfter time.Duration
}

// An UnreachableError says that no byte of the call was sent.
type UnreachableError struct{ Err error }

// A BrokenError says that the connection was lost after bytes were sent.
type BrokenError struct{ Err error }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream did not run the call: %s, retry after %s", e.Reason, e.RetryAfter)
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream cannot be reached: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to upstream broke: %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
