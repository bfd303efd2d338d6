// Package reachability decides whether a host reaches the upstreams over its own
// connections. It does no I/O, reads no clock and starts no goroutine.
package reachability

import (
	"sync"
	"time"
)

// maxFailed bounds the upstreams that a Tracker remembers as failed.
const maxFailed = 4096

// A Tracker holds what the connections of one host have shown about its links to the
// upstreams. It identifies upstreams by the key of their lifetime. It is safe for concurrent
// use.
type Tracker struct {
	mu sync.Mutex
	// heardAt is when any upstream was last heard from: it responded or accepted a
	// connection.
	heardAt time.Time
	// failed holds the upstreams that have failed since heardAt: a connection could not be
	// made or was lost, or an attempt had no response in time.
	failed map[uint64]bool
}

// A Summary describes the links for logs and metrics.
type Summary struct {
	// HeardAgo is the time since any upstream was heard from; zero if none ever was.
	HeardAgo time.Duration
	// Failed is the number of upstreams that have failed since.
	Failed int
}

// RecordFailure records that an upstream could not be connected to, that a connection to it
// was lost, or that an attempt there ended without a response.
func (t *Tracker) RecordFailure(lifetime uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = make(map[uint64]bool)
	}
	if len(t.failed) < maxFailed {
		t.failed[lifetime] = true
	}
}

// RecordHeard records that an upstream has responded or accepted a connection.
func (t *Tracker) RecordHeard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = now
	clear(t.failed)
}

// Summary returns the current Summary.
func (t *Tracker) Summary(now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Failed: len(t.failed)}
	if !t.heardAt.IsZero() {
		s.HeardAgo = now.Sub(t.heardAt)
	}
	return s
}
