package work

import "sync"

// InFlight counts operations in flight and lets callers wait until there are none.
// Unlike a Group, it accepts new operations while callers wait. The zero value is
// ready to use.
type InFlight struct {
	mu    sync.Mutex
	count int
	// idle is closed as soon as count is zero; nil while no caller waits.
	idle chan struct{}
}

// Begin counts one more operation in flight. The caller calls end once when the
// operation is done.
func (f *InFlight) Begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return f.end
}

// Idle returns a channel that is closed as soon as no operation is in flight; it is
// already closed if there is none now.
func (f *InFlight) Idle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.notifyIfIdle()
	return idle
}

func (f *InFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.notifyIfIdle()
}

// notifyIfIdle closes the channel of the waiting callers if no operation is in
// flight. The caller holds the lock.
func (f *InFlight) notifyIfIdle() {
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}
