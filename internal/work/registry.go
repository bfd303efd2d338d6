package work

import "sync"

// A Registry is a set of operations in flight. The zero value is ready to use. It is safe for
// concurrent use.
type Registry[T any] struct {
	inFlight InFlight

	mu         sync.Mutex
	operations map[*T]struct{}
	added      uint64
}

// Add adds an operation that is not in the set. The caller calls Remove once when the operation
// is done.
func (r *Registry[T]) Add(operation *T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight.Begin()
	if r.operations == nil {
		r.operations = make(map[*T]struct{})
	}
	r.operations[operation] = struct{}{}
	r.added++
}

// Counts returns how many operations were added so far, and how many are in the set.
func (r *Registry[T]) Counts() (added uint64, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added, len(r.operations)
}

// Idle returns a channel that is closed as soon as the set is empty; it is already closed if the
// set is empty now.
func (r *Registry[T]) Idle() <-chan struct{} { return r.inFlight.Idle() }

// List returns the operations in no order.
func (r *Registry[T]) List() []*T {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*T, 0, len(r.operations))
	for o := range r.operations {
		list = append(list, o)
	}
	return list
}

// Remove removes an operation.
func (r *Registry[T]) Remove(operation *T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.operations, operation)
	r.inFlight.end()
}
