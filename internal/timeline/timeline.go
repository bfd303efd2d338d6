// Package timeline records the events of a process with stamps that order the
// events of all processes.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// A Stamp is the time of a hybrid logical clock. Stamps are ordered by cause and
// effect, and differ from the wall clock by at most the clock skew of the fleet.
type Stamp struct {
	// Micros is the highest observed wall-clock time, in microseconds since 1970.
	Micros int64 `json:"micros"`
	// Count orders stamps with the same Micros.
	Count uint32 `json:"count"`
}

// An Event is one recorded event of a process.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Process string `json:"process"`
	Kind    string `json:"kind"`
	// Request is the id of the request that the event belongs to; empty if none.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// A Ring is a ring buffer of the newest events of a process. Its exported fields
// must be set before use. It is safe for concurrent use. On a nil Ring, Add and
// NextStamp return the zero Stamp and record nothing, and Observe does nothing.
type Ring struct {
	Host    string
	Process string
	// Capacity is the maximum number of events kept.
	Capacity int

	mu        sync.Mutex
	lastStamp Stamp
	events    []storedEvent
	// nextIndex is the index of the oldest event. Once the ring is full, the next
	// event replaces the oldest one.
	nextIndex int
}

// storedEvent is an event whose detail is formatted only when it is read.
type storedEvent struct {
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

// Add records an event and returns its stamp. The arguments are formatted later, so
// they must not be modified afterwards.
func (r *Ring) Add(kind, request, format string, args ...any) Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := r.tick()
	stored := storedEvent{event: Event{Stamp: stamp, Host: r.Host, Process: r.Process, Kind: kind, Request: request}, format: format, args: args}
	if len(r.events) < r.Capacity {
		r.events = append(r.events, stored)
		return stamp
	}
	r.events[r.nextIndex] = stored
	r.nextIndex = (r.nextIndex + 1) % r.Capacity
	return stamp
}

// Events returns the kept events of a request, or of all requests if it is "",
// oldest first.
func (r *Ring) Events(request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for i := range r.events {
		stored := r.events[(r.nextIndex+i)%len(r.events)]
		if request == "" || stored.event.Request == request {
			stored.event.Detail = fmt.Sprintf(stored.format, stored.args...)
			events = append(events, stored.event)
		}
	}
	return events
}

// NextStamp advances the clock and returns a stamp for a message to be sent.
func (r *Ring) NextStamp() Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Merge returns the events of several processes, sorted by their stamps.
func Merge(eventLists ...[]Event) []Event {
	merged := slices.Concat(eventLists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp.Micros, b.Stamp.Micros), cmp.Compare(a.Stamp.Count, b.Stamp.Count))
	})
	return merged
}

// Observe advances the clock to the stamp of a received message, so that later
// events get later stamps.
func (r *Ring) Observe(s Stamp) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastStamp.Before(s) {
		r.lastStamp = s
	}
}

func (r *Ring) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.lastStamp.Micros {
		r.lastStamp = Stamp{Micros: wall}
	} else {
		r.lastStamp.Count++
	}
	return r.lastStamp
}
