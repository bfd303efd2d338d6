package keyvalue

import (
	"context"
	"time"
)

// errNoProgress is the cause of the end of a context of WithProgress.
var errNoProgress = &noProgressError{}

type noProgressError struct{}

type progressKey struct{}

// WithProgress returns a context that ends when RecordProgress was not called for a time. A call
// of many steps may then take as long as it needs, and one whose connection is silent ends early.
// The caller calls cancel when the call has ended.
func WithProgress(parent context.Context, maxPause time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	timer := time.AfterFunc(maxPause, func() { cancelCause(errNoProgress) })
	ctx = context.WithValue(ctx, progressKey{}, func() { timer.Reset(maxPause) })
	return ctx, func() {
		timer.Stop()
		cancelCause(context.Canceled)
	}
}

// RecordProgress records that a step of a call has ended. It has no effect for a context without WithProgress.
func RecordProgress(ctx context.Context) {
	if record, ok := ctx.Value(progressKey{}).(func()); ok && ctx.Err() == nil {
		record()
	}
}

// Error implements error.
func (*noProgressError) Error() string { return "no progress" }

// Timeout reports that the error is a timeout.
func (*noProgressError) Timeout() bool { return true }
