package work

import "sync"

// A InFlight counts what is in flight, also while somebody waits for its end. The
// zero value is ready.
type InFlight struct {
	mu    sync.Mutex
	count int
	// idle is closed as soon as count is zero; nil while nobody waits.
	idle chan struct{}
}

// Begin notes that one more is in flight, and returns how to note its end.
func (f *InFlight) Begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return f.end
}

// Idle returns a channel that is closed at the next moment when nothing is in
// flight, which may be now.
func (f *InFlight) Idle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.settle()
	return idle
}

func (f *InFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.settle()
}

// settle tells those who wait; the caller holds the lock.
func (f *InFlight) settle() {
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}
