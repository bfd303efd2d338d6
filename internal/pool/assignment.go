package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// Requirements are the constraints on the upstream of an attempt.
type Requirements struct {
	LatencyStats *LatencyStats
	// Fingerprint identifies the request, to find requests that crash upstreams.
	Fingerprint uint64
	// TriedUpstreams holds the ids of upstreams that are excluded, because an attempt
	// of the request has already been assigned to them.
	TriedUpstreams []string
	// MaxDuration bounds the expected duration of the attempt; zero for no bound.
	MaxDuration time.Duration
	// BeginBy is when the upstream has to begin the attempt at the latest; zero for no bound.
	BeginBy time.Time
	// IsLastAttempt is set if no other attempt may follow: a failure is then a missing
	// part, whatever remains of the budget.
	IsLastAttempt bool
	// DirectOnly is set if the attempt must not be relayed to another host.
	DirectOnly bool
	// AvoidsOwnLinks is set if the attempt goes through another host if there is one, because
	// this host may not reach the upstreams.
	AvoidsOwnLinks bool
	// AvoidedDataCenter is the data centre whose upstreams get the attempt last, because this
	// host may not reach them; empty for none.
	AvoidedDataCenter string
	// IsOptional is set for hedges and for requests that are less urgent than others of the
	// service. At upstreams with a limit on requests they leave some turns to the others.
	IsOptional bool
	// IsSpare is set if the answer does not require the attempt while other requests wait for
	// room at the service. The attempt is then accepted only where one more slot is free.
	IsSpare bool
	// WaitsInOrder is set for requests that wait at this host in the order of priorities and
	// shares. They must not wait at upstreams, which know neither.
	WaitsInOrder bool
	// LeavesRoom is set for requests with WaitsInOrder whose client account has used its share or
	// that are less urgent than others. They get fewer concurrent attempts at each upstream.
	LeavesRoom bool
	// ColdRelay says whether another host may send the attempt, if all upstreams that this
	// host reaches are cold.
	ColdRelay ColdRelay
	// Reserved is the turn that was reserved for the attempt; nil for none.
	Reserved *ReservedTurn
}

// ColdRelay says when other hosts send attempts to cold upstreams for this one.
type ColdRelay int

// The values of ColdRelay.
const (
	// IfNoTurn has other hosts send attempts if this host has no turn.
	IfNoTurn ColdRelay = iota
	// Never has this host send all attempts itself.
	Never
	// Always has other hosts send all attempts at cold upstreams.
	Always
)

// excludes reports whether the attempt must not be assigned to a member.
func (r Requirements) excludes(m *member) bool {
	return (r.DirectOnly && m.upstream.IsDiallingHost()) || slices.Contains(r.TriedUpstreams, m.upstream.ID())
}

// An Assignment is an attempt that was assigned to an upstream.
type Assignment struct {
	// Upstream runs the attempt, or is a dialling host that forwards it to an
	// upstream.
	Upstream inventory.Upstream

	member       *member
	latencyStats *LatencyStats
	// typicalLatency is as of startedAt.
	typicalLatency time.Duration
	startedAt      time.Time
	// expectedWait is how long the attempt was expected to wait for a slot of the upstream (zero for
	// gathered answers, where nothing depends on it), and
	// earliestBegin is before when it has not got one. The latter is not before startedAt.
	expectedWait  time.Duration
	earliestBegin time.Time
	// fingerprint identifies the request, to find requests that crash upstreams.
	fingerprint  uint64
	waitsInOrder bool
	turn         turn
	// hasEnded is set once the assignment was given back.
	hasEnded bool
	// isConnectionLost is set once the connection of the attempt is lost.
	isConnectionLost atomic.Bool
}

// IsConnectionLost reports whether the connection of the attempt is lost, also while it is being
// found out whether its upstream has ended.
func (a *Assignment) IsConnectionLost() bool { return a.isConnectionLost.Load() }

// RecordConnectionLoss records that the connection of the attempt is lost.
func (a *Assignment) RecordConnectionLoss() { a.isConnectionLost.Store(true) }

// Fingerprint identifies the request of the attempt.
func (a *Assignment) Fingerprint() uint64 { return a.fingerprint }

// StartedAt returns when the attempt was assigned.
func (a *Assignment) StartedAt() time.Time { return a.startedAt }

// A Crash reports an attempt that got no response from an upstream that has ended.
type Crash struct {
	Upstream    inventory.Upstream
	Fingerprint uint64
	// TestRun is set if the attempt was a test run.
	TestRun bool
}
