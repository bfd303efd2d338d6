// Package peer carries the calls between entries and gates, and between hosts, over
// drpc.
package peer

import (
	"context"
	"fmt"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// A GateTransport carries calls to gates, by address. It is safe for concurrent use.
type GateTransport interface {
	// Scatter runs a request. It calls deliver for each reply of the gate: one for
	// each shard, and heartbeats, which name no shard. On an error, some shards may
	// have no reply; CallError.Sent states whether these may have run.
	Scatter(ctx context.Context, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error
	Survey(ctx context.Context, address string, request *wire.SurveyRequest) (*wire.SurveyReply, error)
	Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Documents(ctx context.Context, address string, request *wire.DocumentsRequest) (*wire.DocumentsReply, error)
}

// A GateHandler handles the calls of peers on a gate.
type GateHandler interface {
	Scatter(ctx context.Context, request *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error
	Survey(ctx context.Context, request *wire.SurveyRequest) (*wire.SurveyReply, error)
	Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Documents(ctx context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error)
}

// A CallError means that a gate or host did not accept or complete a
// request.
type CallError struct {
	Address string
	// Sent is false only if the request was certainly not received.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s failed (request sent: %v): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }
