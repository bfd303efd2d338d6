// Package shard decides what a gate does with the requests for one group of
// shards: their order, the replica that runs each, hedges, retries, drops and
// cancellations. It does no I/O, reads no clock and starts no goroutine.
package shard

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A JobID names a job within one Group.
type JobID uint64

// An AttemptID names an attempt within one Group; ids are never used again.
type AttemptID uint64

// An Outcome is how a job ended.
type Outcome int

// The outcomes of a job.
const (
	// Answered jobs have exactly one winning attempt.
	Answered Outcome = iota + 1
	// NotRun jobs were run by no upstream, not even in part.
	NotRun
	// Failed jobs may have been run by an upstream.
	Failed
)

// A Reason explains an outcome other than Answered.
type Reason string

// The reasons.
const (
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonVersionGone      Reason = "version-gone"
	ReasonNoReplica        Reason = "no-replica"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspect          Reason = "suspect"
	ReasonWithdrawn        Reason = "withdrawn"
	ReasonConnectionBroken Reason = "connection-broken"
	ReasonConnectionSilent Reason = "connection-silent"
	ReasonVersionMismatch  Reason = "version-mismatch"
	ReasonNotOwner         Reason = "not-owner"
	ReasonGateUnreachable  Reason = "gate-unreachable"
	ReasonStopping         Reason = "stopping"
	ReasonCutOff           Reason = "cut-off"
)

// A Result is how an attempt ended, as the driver saw it.
type Result int

// The results of an attempt.
const (
	// ResultAnswered attempts brought a whole answer.
	ResultAnswered Result = iota + 1
	// ResultRefused attempts were not run, as the upstream itself said.
	ResultRefused
	// ResultUnreachable attempts never left: no connection could be made.
	ResultUnreachable
	// ResultConnectionBroken attempts lost their connection after the first byte.
	ResultConnectionBroken
	// ResultConnectionSilent attempts ran on a connection found to be silent.
	ResultConnectionSilent
	// ResultAborted attempts ended because of AbortAttempt or the deadline.
	ResultAborted
)

// A Job is one request for one shard.
type Job struct {
	ID        JobID
	ShardPath string
	Version   snapshot.Version
	Urgency   catalog.Urgency
	// Deadline is on the clock of the caller of Step.
	Deadline    time.Time
	Idempotent  bool
	Fingerprint uint64
	// Suspect jobs already crashed one upstream.
	Suspect bool
}

// An Event is something that happened to a Group.
type Event interface{ isEvent() }

// Submit brings a new job.
type Submit struct{ Job Job }

// Withdraw says that nobody waits for a job any more.
type Withdraw struct{ Job JobID }

// AttemptEnded reports the end of an attempt; only then its slot is free.
type AttemptEnded struct {
	Attempt AttemptID
	Result  Result
	// Version is the version that the answer was taken from.
	Version snapshot.Version
	// Reason is set with ResultRefused.
	Reason Reason
	// RetryAfter is set with ResultRefused, if the upstream gave it.
	RetryAfter time.Duration
	// Draining and Cold are signs on the upstream's own reply.
	Draining, Cold bool
	// UpstreamLost is set if a fresh connection was not answered either.
	UpstreamLost bool
}

// UpstreamReported is what a health or load endpoint said: a hint only.
type UpstreamReported struct {
	Upstream       string
	Versions       []snapshot.Version
	Draining, Cold bool
}

// ProbeEnded reports whether a fresh connection to a lost upstream answered.
type ProbeEnded struct {
	Upstream string
	Answered bool
	// Cold is what the upstream says of itself.
	Cold bool
}

// Quarantine ends all jobs of a request that crashes upstreams.
type Quarantine struct {
	Fingerprint uint64
	RetryAfter  time.Duration
}

// Reconfigure replaces the definition of the group.
type Reconfigure struct{ Definition *catalog.Group }

// OwnershipChanged says from when the group may use all slots of its upstreams; before,
// the former owner may still use them.
type OwnershipChanged struct{ FullSlotsAt time.Time }

// Wake is the passing of time alone.
type Wake struct{}

func (Submit) isEvent()           {}
func (Withdraw) isEvent()         {}
func (AttemptEnded) isEvent()     {}
func (UpstreamReported) isEvent() {}
func (ProbeEnded) isEvent()       {}
func (Quarantine) isEvent()       {}
func (Reconfigure) isEvent()      {}
func (OwnershipChanged) isEvent() {}
func (Wake) isEvent()             {}

// An Action is what the driver must do.
type Action interface{ isAction() }

// StartAttempt sends a job to an upstream.
type StartAttempt struct {
	Attempt  AttemptID
	Job      JobID
	Upstream string
	Version  snapshot.Version
	Deadline time.Time
	Hedge    bool
}

// AbortAttempt cancels an attempt; its end is still reported.
type AbortAttempt struct{ Attempt AttemptID }

// Complete ends a job; there is exactly one for each Submit.
type Complete struct {
	Job     JobID
	Outcome Outcome
	Reason  Reason
	// WinningAttempt is the attempt whose answer counts, with Answered.
	WinningAttempt AttemptID
	Version        snapshot.Version
	RetryAfter     time.Duration
	// Attempts is how many attempts were started.
	Attempts int
}

// ProbeUpstream asks for a try with a fresh connection.
type ProbeUpstream struct{ Upstream string }

// ReportCrash says that an upstream broke while it ran these requests.
type ReportCrash struct {
	Upstream     string
	Fingerprints []uint64
}

func (StartAttempt) isAction()  {}
func (AbortAttempt) isAction()  {}
func (Complete) isAction()      {}
func (ProbeUpstream) isAction() {}
func (ReportCrash) isAction()   {}

// CanRetryOnOtherGate reports whether another gate may be of use.
func (r Reason) CanRetryOnOtherGate() bool {
	return r == ReasonNotOwner || r == ReasonStopping || r == ReasonCutOff
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// String implements fmt.Stringer.
func (r Result) String() string {
	names := []string{"none", "answered", "refused", "unreachable", "broken", "silent", "aborted"}
	if r < 0 || int(r) >= len(names) {
		return "none"
	}
	return names[r]
}
