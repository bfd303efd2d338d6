// Package relay forwards attempts to dialling hosts, which dial the upstreams of a
// service for other hosts. If an upstream accepts fewer connections than there are
// hosts, only some of the hosts can dial it.
package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// An Exchanger forwards an attempt to a dialling host if the attempt's Relay field is
// set, and sends it through Direct otherwise. Its exported fields are set before use.
type Exchanger struct {
	Direct        upstream.Exchanger
	HostTransport peer.HostTransport
	// Budget bounds the messages of long requests; nil for no bound.
	Budget *footprint.Budget
	// OnNotice is called with the evidence for which another host did not run a request.
	OnNotice func(sender string, n *wire.Notice)
	// OnPartitioned is called with a dialling host that states that it reaches no upstream.
	OnPartitioned func(m *wire.Member)
}

var _ upstream.Exchanger = (*Exchanger)(nil)

// Exchange implements upstream.Exchanger.
func (e *Exchanger) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Outcome {
	if a.Relay == nil {
		return e.Direct.Exchange(ctx, a)
	}
	release, ok := e.Budget.Reserve(int64(len(a.Target) + len(a.Header) + len(a.Body)))
	if !ok {
		return upstream.Outcome{Result: upstream.Refused, NotForwarded: true, Err: fmt.Errorf("relay attempt to host %s: %w", a.Address, footprint.ErrNoRoom)}
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	reply, err := e.HostTransport.Relay(ctx, a.Address, EncodeAttempt(a, time.Until(a.Deadline)))
	if err != nil {
		return failureOutcome(ctx, fmt.Errorf("relay attempt to host %s: %w", a.Address, err))
	}
	if n := reply.GetNotice(); n != nil && e.OnNotice != nil {
		e.OnNotice(a.Address, n)
	}
	if m := reply.GetSender(); m != nil && e.OnPartitioned != nil {
		e.OnPartitioned(m)
	}
	return DecodeOutcome(reply)
}

// CloseIdleConnections implements upstream.Exchanger.
func (e *Exchanger) CloseIdleConnections(upstreamID string) {
	e.Direct.CloseIdleConnections(upstreamID)
}

// IdleCount implements upstream.Exchanger.
func (e *Exchanger) IdleCount(upstreamID string) int { return e.Direct.IdleCount(upstreamID) }

// Probe implements upstream.Exchanger.
func (e *Exchanger) Probe(ctx context.Context, address string) upstream.Reachability {
	return e.Direct.Probe(ctx, address)
}

// failureOutcome returns the outcome of an attempt for which the dialling host sent no
// reply. The outcome is Unreachable only if the host certainly did not receive the
// attempt. Otherwise an upstream may have run it, and the outcome is Aborted if the
// context of the attempt has ended, Broken if not.
func failureOutcome(ctx context.Context, err error) upstream.Outcome {
	var unreachable *peer.CallError
	switch {
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return upstream.Outcome{Result: upstream.Unreachable, Err: err}
	case ctx.Err() != nil:
		return upstream.Outcome{Result: upstream.Aborted, Err: err}
	default:
		return upstream.Outcome{Result: upstream.Broken, Err: err}
	}
}
