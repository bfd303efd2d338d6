// Package timeline records what a process did, in an order that holds across
// processes.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// A Stamp is the time of a hybrid logical clock: never behind the wall clock
// by more than the skew of the fleet, and ordered by cause and effect.
type Stamp struct {
	// Micros is the highest wall clock seen, in microseconds since 1970.
	Micros int64 `json:"micros"`
	// Count orders stamps of the same microsecond.
	Count uint32 `json:"count"`
}

// An Event is one thing that happened.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Process string `json:"process"`
	Kind    string `json:"kind"`
	// Request is the id of the request, if the event belongs to one.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// A Ring keeps the newest events of a process. Its exported fields are set
// before use; it is safe for concurrent use.
type Ring struct {
	Host    string
	Process string
	// Capacity is how many events are kept.
	Capacity int

	mu     sync.Mutex
	last   Stamp
	events []entry
	// next is where the next event goes once the ring is full.
	next int
}

// entry is an event whose detail is put into words only when it is read.
type entry struct {
	event  Event
	format string
	args   []any
}

// Before reports whether s comes before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Micros != o.Micros {
		return s.Micros < o.Micros
	}
	return s.Count < o.Count
}

// Add records an event and returns its stamp. The arguments must not change
// afterwards.
func (r *Ring) Add(kind, request, format string, args ...any) Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := r.tick()
	e := entry{event: Event{Stamp: stamp, Host: r.Host, Process: r.Process, Kind: kind, Request: request}, format: format, args: args}
	if len(r.events) < r.Capacity {
		r.events = append(r.events, e)
		return stamp
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.Capacity
	return stamp
}

// Events returns the kept events of a request, or all if it is "", oldest
// first.
func (r *Ring) Events(request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if request == "" || e.event.Request == request {
			e.event.Detail = fmt.Sprintf(e.format, e.args...)
			events = append(events, e.event)
		}
	}
	return events
}

// Now returns a new stamp for a message.
func (r *Ring) Now() Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Merge puts the events of several processes in one order.
func Merge(parts ...[]Event) []Event {
	merged := slices.Concat(parts...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp.Micros, b.Stamp.Micros), cmp.Compare(a.Stamp.Count, b.Stamp.Count))
	})
	return merged
}

// Observe moves the clock past a stamp on a received message.
func (r *Ring) Observe(s Stamp) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

func (r *Ring) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.last.Micros {
		r.last = Stamp{Micros: wall}
	} else {
		r.last.Count++
	}
	return r.last
}
