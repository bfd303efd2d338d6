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
	Direct upstream.Exchanger
	Hosts  peer.Hosts
}

var _ upstream.Exchanger = (*Exchanger)(nil)

// Exchange implements upstream.Exchanger.
func (e *Exchanger) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Ending {
	if a.Relay == nil {
		return e.Direct.Exchange(ctx, a)
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	reply, err := e.Hosts.Relay(ctx, a.Address, EncodeAttempt(a, time.Until(a.Deadline)))
	if err != nil {
		return failed(ctx, fmt.Errorf("ask host %s: %w", a.Address, err))
	}
	return DecodeEnding(reply)
}

// Forget implements upstream.Exchanger.
func (e *Exchanger) Forget(upstreamID string) { e.Direct.Forget(upstreamID) }

// Idle implements upstream.Exchanger.
func (e *Exchanger) Idle(upstreamID string) int { return e.Direct.Idle(upstreamID) }

// failed returns the ending of an attempt that the other host did not report on:
// once the host may have it, an upstream may have run it.
func failed(ctx context.Context, err error) upstream.Ending {
	var unreachable *peer.UnreachableError
	switch {
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return upstream.Ending{Result: upstream.Unreachable, Err: err}
	case ctx.Err() != nil:
		return upstream.Ending{Result: upstream.Aborted, Err: err}
	default:
		return upstream.Ending{Result: upstream.Broken, Err: err}
	}
}
