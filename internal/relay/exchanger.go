// Package relay carries attempts to hosts that dial the upstreams of a service
// for others: where hosts outnumber the connections that an upstream takes, only
// some dial it.
package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// An Exchanger sends attempts with a Relay to another host and all others to
// Direct. Its exported fields are set before use.
type Exchanger struct {
	Direct        upstream.Exchanger
	HostTransport peer.HostTransport
}

var _ upstream.Exchanger = (*Exchanger)(nil)

// Exchange implements upstream.Exchanger.
func (e *Exchanger) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Outcome {
	if a.Relay == nil {
		return e.Direct.Exchange(ctx, a)
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	reply, err := e.HostTransport.Relay(ctx, a.Address, EncodeAttempt(a, time.Until(a.Deadline)))
	if err != nil {
		return failed(ctx, fmt.Errorf("ask host %s: %w", a.Address, err))
	}
	return DecodeOutcome(reply)
}

// CloseIdleConnections implements upstream.Exchanger.
func (e *Exchanger) CloseIdleConnections(upstreamID string) {
	e.Direct.CloseIdleConnections(upstreamID)
}

// IdleCount implements upstream.Exchanger.
func (e *Exchanger) IdleCount(upstreamID string) int { return e.Direct.IdleCount(upstreamID) }

// failed returns the ending of an attempt that the other host did not report on:
// once the host may have it, an upstream may have run it.
func failed(ctx context.Context, err error) upstream.Outcome {
	var unreachable *peer.UnreachableError
	switch {
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return upstream.Outcome{Result: upstream.Unreachable, Err: err}
	case ctx.Err() != nil:
		return upstream.Outcome{Result: upstream.Aborted, Err: err}
	default:
		return upstream.Outcome{Result: upstream.Broken, Err: err}
	}
}
