// Package shutdown decides what a stopping host still does, and follows the requests in flight.
package shutdown

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// The phases.
const (
	// Reading requests have not been read whole.
	Reading Phase = iota
	// Running requests have been read, and have no answer.
	Running
	// Answering requests have an answer that is not written whole.
	Answering
	phaseCount
)

// A Phase is how far a request in flight has come.
type Phase int32

// A Request is a request of a caller in flight. It is safe for concurrent use.
type Request struct {
	id        string
	arrivedAt time.Time
	phase     atomic.Int32
	// route is nil until the request is routed.
	route atomic.Pointer[routing.Route]

	mu sync.Mutex
	// waits return how long its attempts have waited at their upstreams.
	waits []func(now time.Time) time.Duration
}

// Counts counts requests by phase.
type Counts [phaseCount]int

// NewRequest returns a request in the phase Reading. The id is the one that its caller has sent;
// it may be empty.
func NewRequest(id string, arrivedAt time.Time) *Request {
	return &Request{id: id, arrivedAt: arrivedAt}
}

// ArrivedAt returns when the host began to read the request.
func (r *Request) ArrivedAt() time.Time { return r.arrivedAt }

// AddWait adds a function that returns how long an attempt has waited at its upstream.
func (r *Request) AddWait(wait func(now time.Time) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits = append(r.waits, wait)
}

// age returns for how long the request has been in flight, without its longest wait at an upstream.
func (r *Request) age(now time.Time) time.Duration {
	r.mu.Lock()
	waits := r.waits
	r.mu.Unlock()
	longest := time.Duration(0)
	for _, wait := range waits {
		longest = max(longest, wait(now))
	}
	return now.Sub(r.arrivedAt) - longest
}

// ID returns the id that the caller has sent; it may be empty.
func (r *Request) ID() string { return r.id }

// Phase returns how far the request has come.
func (r *Request) Phase() Phase { return Phase(r.phase.Load()) }

// SetPhase sets how far the request has come.
func (r *Request) SetPhase(p Phase) { r.phase.Store(int32(p)) }

// SetRoute sets the route of the request.
func (r *Request) SetRoute(route *routing.Route) { r.route.Store(route) }

// Count counts requests by phase.
func Count(requests []*Request) Counts {
	var c Counts
	for _, r := range requests {
		c[r.Phase()]++
	}
	return c
}

// Overdue returns how many requests of a route have been in flight for longer than expected, without
// waits at upstreams, and for how long the oldest one has; zero if none has.
func Overdue(now time.Time, requests []*Request, route *routing.Route, expected time.Duration) (count int, oldest time.Duration) {
	for _, r := range requests {
		o := r.route.Load()
		if o == nil || o.Name() != route.Name() {
			continue
		}
		if age := r.age(now); age > expected {
			count++
			oldest = max(oldest, age)
		}
	}
	return count, oldest
}

// String returns the name of the phase, as it is logged.
func (p Phase) String() string {
	return [phaseCount]string{"reading", "running", "answering"}[p]
}
