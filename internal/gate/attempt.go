package gate

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

var (
	errSilent = errors.New("connection is silent")
	errLost   = errors.New("upstream does not answer")
)

// runAttempt runs one attempt and reports its end, after the upstream was told
// to stop if nobody waits any more.
func (o *owner) runAttempt(ctx context.Context, a shard.StartAttempt, call upstream.Call, client upstream.Client, silence time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, call.Remaining)
	defer stop()
	if call.Idempotent {
		check := time.AfterFunc(silence, func() {
			o.gate.group.Go(func() { o.checkSilence(ctx, cancel, client) })
		})
		defer check.Stop()
	}
	startAt := time.Now()
	reply, err := client.Run(ctx, call)
	o.gate.Recorder.Check(err != nil || reply.AttemptID == call.AttemptID, invariant.OwnAnswer, "attempt %s got the answer to %s", call.AttemptID, reply.AttemptID)
	ended := classify(ctx, a, reply, err)
	if ended.Result == shard.ResultAborted || ended.Result == shard.ResultConnectionSilent {
		tellUpstream(client, call.AttemptID)
		if time.Since(startAt) > silence {
			client.CloseIdleConnections()
		}
	}
	o.ended(ended, reply)
}

// checkSilence tries a fresh connection for an attempt that got no answer.
func (o *owner) checkSilence(ctx context.Context, cancel context.CancelCauseFunc, client upstream.Client) {
	probe, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	_, err := client.Report(probe)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		cancel(errLost)
	default:
		client.CloseIdleConnections()
		cancel(errSilent)
	}
}

func (o *owner) ended(e shard.AttemptEnded, reply upstream.Reply) {
	o.mu.Lock()
	r, ok := o.running[e.Attempt]
	delete(o.running, e.Attempt)
	if ok {
		r.cancel(nil)
	}
	if e.Result == shard.ResultAnswered && ok && !r.aborted {
		o.bodies[e.Attempt] = reply.Body
	}
	o.mu.Unlock()
	o.step(e)
	o.mu.Lock()
	delete(o.bodies, e.Attempt)
	o.mu.Unlock()
}

// classify turns what the client returned into a result.
func classify(ctx context.Context, a shard.StartAttempt, reply upstream.Reply, err error) shard.AttemptEnded {
	e := shard.AttemptEnded{Attempt: a.Attempt}
	var refused *upstream.RefusedError
	var unreachable *upstream.UnreachableError
	switch {
	case err == nil:
		e.Result = shard.ResultAnswered
		e.Version = reply.Version
		e.Draining, e.Cold = reply.Draining, reply.Cold
	case errors.As(err, &refused):
		e.Result = shard.ResultRefused
		e.Reason = shard.Reason(refused.Reason)
		e.RetryAfter = refused.RetryAfter
	case errors.Is(context.Cause(ctx), errSilent):
		e.Result = shard.ResultConnectionSilent
	case errors.Is(context.Cause(ctx), errLost):
		e.Result = shard.ResultConnectionSilent
		e.UpstreamLost = true
	case ctx.Err() != nil:
		e.Result = shard.ResultAborted
	case errors.As(err, &unreachable):
		e.Result = shard.ResultUnreachable
	default:
		e.Result = shard.ResultConnectionBroken
	}
	return e
}

// tellUpstream cancels an attempt, so that no upstream works for nobody.
func tellUpstream(client upstream.Client, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = client.Cancel(ctx, attemptID)
}
