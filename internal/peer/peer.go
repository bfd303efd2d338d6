// Package peer carries the messages between entries and gates.
package peer

import (
	"context"
	"fmt"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// GateTransport reaches the gates of the fleet by address. It is safe for concurrent
// use.
type GateTransport interface {
	// Scatter runs a request and delivers a reply for each shard. After an
	// error, shards without a reply are accounted for by the error: see
	// UnreachableError.
	Scatter(ctx context.Context, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error
	Survey(ctx context.Context, address string, request *wire.SurveyRequest) (*wire.SurveyReply, error)
	Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Documents(ctx context.Context, address string, request *wire.DocumentsRequest) (*wire.DocumentsReply, error)
}

// A GateHandler is what a gate offers to its peers.
type GateHandler interface {
	Scatter(ctx context.Context, request *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error
	Survey(ctx context.Context, request *wire.SurveyRequest) (*wire.SurveyReply, error)
	Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Documents(ctx context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error)
}

// An UnreachableError says that a gate did not take or finish a request.
type UnreachableError struct {
	Address string
	// Sent is false if it is sure that the gate did not get the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("gate %s (request sent: %v): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
