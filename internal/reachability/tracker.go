// Package reachability decides whether a host reaches the upstreams over its own
// connections. It answers cuts between one host and the upstreams: a failed connection is
// evidence about the link between both, and only what an upstream has sent is evidence about
// the upstream. The package does no I/O, reads no clock and starts no goroutine.
package reachability

import (
	_ "embed"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
)

const (
	// minDialFailures is how many upstreams this host must fail to connect to, with no success
	// in between, before the links are checked.
	minDialFailures = 2
	// CheckInterval is the least time between the starts of two checks.
	CheckInterval = 200 * time.Millisecond
	// minProofs is how many checks in a row must reach an upstream before the links count as
	// connected again. The number doubles, up to maxProofs, each time the links are
	// lost again within relapsePeriod.
	minProofs     = 2
	maxProofs     = 16
	relapsePeriod = 10 * time.Second
	// returnSpread is the time in which a host makes its first new connections to different
	// upstreams after a cut.
	returnSpread = time.Second
	// responseMemory is how long the response of an upstream is remembered, and maxResponses
	// bounds the upstreams.
	responseMemory = 30 * time.Second
	maxResponses   = 8192
	// maxFailed bounds the upstreams that are remembered as failed.
	maxFailed = 4096
)

// The states of the links, as in link.chart.json.
const (
	// Connected hosts can make connections to upstreams.
	Connected chart.State = "connected"
	// Partitioned hosts cannot make connections to any upstream. Open connections may live on.
	Partitioned chart.State = "partitioned"
	// Returning hosts have reached upstreams again, but not for long.
	Returning chart.State = "returning"
)

//go:embed link.chart.json
var linkChartFile []byte

var linkChart = chart.MustParse(linkChartFile)

// A Check is the result of a check of the links: this host has tried to connect to several
// upstreams.
type Check struct {
	StartedAt time.Time
	// Reached is set if one of them has accepted a connection.
	Reached bool
}

// A Tracker holds what the connections of one host have shown about its links to the
// upstreams. It identifies upstreams by the key of their lifetime. It is safe for concurrent
// use.
type Tracker struct {
	// seed differs between hosts, so that they return to an upstream at different times after
	// a cut.
	seed uint64

	// isRestricted is false while all connections may be used and made, so that they are
	// allowed without the lock.
	isRestricted atomic.Bool

	mu    sync.Mutex
	state chart.State
	// heardAt is when any upstream was last heard from: it responded or accepted a
	// connection.
	heardAt time.Time
	// heardFrom holds the same by data centre.
	heardFrom map[string]time.Time
	// dialFailures holds the upstreams that have not accepted a connection since the last
	// one that was made.
	dialFailures map[uint64]bool
	// unresponsive holds the upstreams that have not responded over an open connection since
	// any upstream last has.
	unresponsive map[uint64]bool
	// failingSince is when the first of the current failures was seen; zero if there is none.
	failingSince time.Time
	// respondedTo holds the start of the last attempt that each upstream responded to. The
	// upstream was running at that time.
	respondedTo map[uint64]time.Time
	// checkedAt is when the last check began, and wasDialFailing whether new connections had
	// failed before.
	checkedAt      time.Time
	wasDialFailing bool
	// proofs counts the checks in a row that reached an upstream, requiredProofs is how many
	// it takes.
	proofs, requiredProofs int
	returnedAt             time.Time
}

// A Summary describes the links for logs and metrics.
type Summary struct {
	State chart.State
	// HeardAgo is the time since any upstream was heard from; zero if none ever was.
	HeardAgo time.Duration
	// Failed is the number of upstreams that have failed since.
	Failed int
}

// NewTracker returns the Tracker of a host that has just started.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{
		seed: seed, state: linkChart.Initial(), requiredProofs: minProofs, dialFailures: make(map[uint64]bool),
		unresponsive: make(map[uint64]bool), respondedTo: make(map[uint64]time.Time), heardFrom: make(map[string]time.Time),
	}
}

// AllowsConnection reports whether an attempt may use an open connection to an upstream.
// After the links were lost, it may not unless open connections live on: this one has
// worked since, or all that were used have.
func (t *Tracker) AllowsConnection(lifetime uint64) bool {
	if !t.isRestricted.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == Connected || len(t.unresponsive) == 0 || t.respondedTo[lifetime].After(t.failingSince)
}

// AllowsDial reports whether a new connection to an upstream may be made. After a cut,
// hosts return to each upstream at different times within returnSpread.
func (t *Tracker) AllowsDial(now time.Time, lifetime uint64) bool {
	if !t.isRestricted.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.state != Connected:
		return false
	case now.Sub(t.returnedAt) >= returnSpread:
		t.isRestricted.Store(false)
		return true
	default:
		phase := rand.New(rand.NewPCG(t.seed, lifetime)).Float64()
		return now.Sub(t.returnedAt) >= time.Duration(phase*float64(returnSpread))
	}
}

// BeginCheck reports whether the links must be checked now, and counts the check as begun.
func (t *Tracker) BeginCheck(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isDoubtful() || now.Sub(t.checkedAt) < CheckInterval {
		return false
	}
	t.checkedAt, t.wasDialFailing = now, len(t.dialFailures) >= minDialFailures
	return true
}

// EndCheck records the result of a check and reports whether the host has become
// Partitioned or Connected.
func (t *Tracker) EndCheck(now time.Time, c Check) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state
	switch {
	case c.Reached && before == Connected:
		clear(t.unresponsive)
		t.endFailures()
	case !c.Reached && before != Connected:
		t.proofs = 0
		t.state = linkChart.NextOrSame(t.state, "lost")
	case c.Reached:
		t.proofs++
		t.state = linkChart.NextOrSame(t.state, "reached")
		if t.proofs >= t.requiredProofs {
			t.state = linkChart.NextOrSame(t.state, "proved")
		}
	case !t.heardAt.After(c.StartedAt) || t.wasDialFailing:
		t.state = linkChart.NextOrSame(t.state, "lost")
	}
	switch {
	case before == Connected && t.state == Partitioned:
		t.proofs = 0
		t.requiredProofs = min(maxProofs, 2*t.requiredProofs)
		if t.returnedAt.IsZero() || now.Sub(t.returnedAt) > relapsePeriod {
			t.requiredProofs = minProofs
		}
		t.isRestricted.Store(true)
		return true
	case before != Connected && t.state == Connected:
		t.returnedAt, t.failingSince = now, time.Time{}
		clear(t.unresponsive)
		return true
	}
	return false
}

// FailingSince returns when the first of the current failures was seen; zero if there is
// none.
func (t *Tracker) FailingSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince
}

// HeardFromSince reports whether any upstream of a data centre was heard from after a time.
func (t *Tracker) HeardFromSince(dataCenter string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardFrom[dataCenter].After(at)
}

// HeardSince reports whether any upstream was heard from after a time.
func (t *Tracker) HeardSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardAt.After(at)
}

// IsDoubtful reports whether the links may be lost, so that a check is due.
func (t *Tracker) IsDoubtful() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isDoubtful()
}

// IsPartitioned reports whether this host cannot make connections to upstreams.
func (t *Tracker) IsPartitioned() bool {
	if !t.isRestricted.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state != Connected
}

// LastResponse returns when the last attempt began that an upstream responded to; zero if none
// is known.
func (t *Tracker) LastResponse(lifetime uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.respondedTo[lifetime]
}

// RecordConnected records that a connection to an upstream was made.
func (t *Tracker) RecordConnected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = now
	clear(t.dialFailures)
	t.endFailures()
}

// RecordDialFailure records that an upstream has not accepted a connection.
func (t *Tracker) RecordDialFailure(now time.Time, lifetime uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordFailure(now, t.dialFailures, lifetime)
}

// RecordHeard records that something has responded over an open connection, though perhaps not
// the upstream that was asked.
func (t *Tracker) RecordHeard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordHeard(now)
}

// RecordHeardFrom records that an upstream of a data centre has responded or accepted a
// connection.
func (t *Tracker) RecordHeardFrom(now time.Time, dataCenter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardFrom[dataCenter] = now
}

// RecordResponse records that an upstream has responded to an attempt.
func (t *Tracker) RecordResponse(now time.Time, lifetime uint64, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordHeard(now)
	if startedAt.After(t.respondedTo[lifetime]) {
		if len(t.respondedTo) >= maxResponses {
			maps.DeleteFunc(t.respondedTo, func(_ uint64, at time.Time) bool { return now.Sub(at) > responseMemory })
		}
		t.respondedTo[lifetime] = startedAt
	}
}

// RecordSilence records that an attempt got no response in time or lost its connection. It has
// no effect if any upstream was heard from since the attempt began: the links then work.
func (t *Tracker) RecordSilence(lifetime uint64, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.heardAt.After(startedAt) {
		t.recordFailure(startedAt, t.unresponsive, lifetime)
	}
}

// RespondedSince reports whether an upstream has responded to an attempt that began after a
// time: it was running then.
func (t *Tracker) RespondedSince(lifetime uint64, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.respondedTo[lifetime].After(at)
}

// Summary returns the current Summary.
func (t *Tracker) Summary(now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{State: t.state, Failed: max(len(t.dialFailures), len(t.unresponsive))}
	if !t.heardAt.IsZero() {
		s.HeardAgo = now.Sub(t.heardAt)
	}
	return s
}

// endFailures ends the time of failures once there are none. While the host is partitioned it
// goes on.
func (t *Tracker) endFailures() {
	if t.state == Connected && len(t.dialFailures) == 0 && len(t.unresponsive) == 0 {
		t.failingSince = time.Time{}
	}
}

func (t *Tracker) isDoubtful() bool {
	return t.state != Connected || len(t.dialFailures) >= minDialFailures || len(t.unresponsive) > 0
}

func (t *Tracker) recordFailure(at time.Time, failures map[uint64]bool, lifetime uint64) {
	if t.failingSince.IsZero() {
		t.failingSince = at
	}
	if len(failures) < maxFailed {
		failures[lifetime] = true
	}
}

func (t *Tracker) recordHeard(now time.Time) {
	t.heardAt = now
	clear(t.unresponsive)
	t.endFailures()
}
