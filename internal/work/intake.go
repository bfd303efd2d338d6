package work

import (
	"context"
	"sync"
	"time"
)

const (
	// DrainPeriod is how long accepted operations may go on once an Intake is closed.
	DrainPeriod = time.Minute
	// AnswerPeriod is how long operations may take to end after they are cut short.
	AnswerPeriod = 10 * time.Second
	// MaxDrainDuration is how long an entry or a gate that stops has requests in flight
	// once it accepts no more.
	MaxDrainDuration = DrainPeriod + AnswerPeriod
)

// An Intake counts the operations that a process accepts, and accepts none once it is
// closed. Begin counts an operation in any case. The zero value is ready to use.
type Intake struct {
	InFlight

	mu     sync.Mutex
	closed bool
}

// Accept counts one more operation in flight, unless the Intake is closed. The caller
// calls end once when an accepted operation is done.
func (i *Intake) Accept() (end func(), accepted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return func() {}, false
	}
	return i.Begin(), true
}

// Close ends the acceptance of operations.
func (i *Intake) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// Closed reports whether Close was called.
func (i *Intake) Closed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.closed
}

// Drain returns when no operation is in flight. After DrainPeriod it calls cut, which
// makes the operations end, and waits for at most AnswerPeriod more. It also returns when
// the context ends.
func (i *Intake) Drain(ctx context.Context, cut func()) {
	if !i.awaitIdle(ctx, DrainPeriod) {
		cut()
		i.awaitIdle(ctx, AnswerPeriod)
	}
}

// awaitIdle waits until no operation is in flight; it reports false if the time was too
// short.
func (i *Intake) awaitIdle(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-i.Idle():
		return true
	case <-ctx.Done():
		return false
	}
}
