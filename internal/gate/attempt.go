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
	errConnectionSilent = errors.New("connection is silent, but the upstream answers on a new one")
	errUpstreamLost     = errors.New("upstream does not answer on a new connection")
)

// runAttempt runs one attempt on an upstream and passes its result to the group. If
// this gate ended the attempt, because the group aborted it, its deadline passed or
// its connection was silent, the attempt is first cancelled on the upstream. If such
// an attempt ran for longer than silenceTimeout, the client's idle connections are
// closed too.
func (gr *groupRunner) runAttempt(ctx context.Context, a shard.StartAttempt, call upstream.Call, client upstream.Client, silenceTimeout time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelDeadline := context.WithTimeout(ctx, call.Remaining)
	defer cancelDeadline()
	if call.Idempotent {
		silenceTimer := time.AfterFunc(silenceTimeout, func() {
			gr.gate.tasks.Go(func() { gr.checkConnection(ctx, cancel, client) })
		})
		defer silenceTimer.Stop()
	}
	startedAt := time.Now()
	reply, err := client.Run(ctx, call)
	gr.gate.Recorder.Check(err != nil || reply.AttemptID == call.AttemptID, invariant.OwnAnswer, "attempt %s received the response to attempt %s", call.AttemptID, reply.AttemptID)
	ended := classifyResult(ctx, a, reply, err)
	if ended.Result == shard.ResultAborted || ended.Result == shard.ResultConnectionSilent {
		cancelOnUpstream(client, call.AttemptID)
		if time.Since(startedAt) > silenceTimeout {
			client.CloseIdleConnections()
		}
	}
	gr.handleAttemptEnded(ended, reply)
}

// checkConnection cancels an attempt that has had no response for the silence
// timeout. A request for a load report over a new connection decides the cause: if
// the report arrives, the attempt's connection is silent, and idle connections are
// closed as well; otherwise the upstream is lost. If the attempt ends before that,
// checkConnection does nothing.
func (gr *groupRunner) checkConnection(ctx context.Context, cancelAttempt context.CancelCauseFunc, client upstream.Client) {
	probeCtx, cancelProbe := context.WithTimeout(ctx, reportTimeout)
	defer cancelProbe()
	_, err := client.FetchReport(probeCtx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		cancelAttempt(errUpstreamLost)
	default:
		client.CloseIdleConnections()
		cancelAttempt(errConnectionSilent)
	}
}

func (gr *groupRunner) handleAttemptEnded(e shard.AttemptEnded, reply upstream.Reply) {
	gr.mu.Lock()
	r, ok := gr.runningAttempts[e.Attempt]
	delete(gr.runningAttempts, e.Attempt)
	if ok {
		r.cancel(nil)
	}
	if e.Result == shard.ResultAnswered && ok && !r.aborted {
		gr.responseBodies[e.Attempt] = reply.Body
	}
	gr.mu.Unlock()
	gr.step(e)
	gr.mu.Lock()
	delete(gr.responseBodies, e.Attempt)
	gr.mu.Unlock()
}

// classifyResult returns how an attempt ended, from the client's reply or error and
// the cause for which its context was cancelled.
func classifyResult(ctx context.Context, a shard.StartAttempt, reply upstream.Reply, err error) shard.AttemptEnded {
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
	case errors.Is(context.Cause(ctx), errConnectionSilent):
		e.Result = shard.ResultConnectionSilent
	case errors.Is(context.Cause(ctx), errUpstreamLost):
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

// cancelOnUpstream cancels an attempt on the upstream, so that the upstream does
// not go on with work whose result is not used.
func cancelOnUpstream(client upstream.Client, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = client.Cancel(ctx, attemptID)
}
