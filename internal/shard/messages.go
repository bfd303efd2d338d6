// Package shard decides how a gate handles the requests for one group of
// shards: their order, the replica of each attempt, hedges, retries, drops and
// cancellations. It does no I/O, reads no clock and starts no goroutine.
//
// The driver of a Group is the code that calls Step, performs the actions that Step
// returns, and reports the results to Step as events.
package shard

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A JobID identifies a job within one Group.
type JobID uint64

// An AttemptID identifies an attempt within one Group. IDs are never reused.
type AttemptID uint64

// An Outcome is the final state of a job.
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

// A Result is how an attempt ended, as seen by the driver.
type Result int

// The results of an attempt.
const (
	// ResultAnswered attempts received a complete response.
	ResultAnswered Result = iota + 1
	// ResultRefused attempts were not run, according to the upstream's
	// response.
	ResultRefused
	// ResultUnreachable attempts were not sent: no connection could be made.
	ResultUnreachable
	// ResultConnectionBroken attempts lost their connection after the first
	// byte was sent.
	ResultConnectionBroken
	// ResultConnectionSilent attempts got no response within SilenceTimeout, and
	// were cancelled after a check on a fresh connection.
	ResultConnectionSilent
	// ResultAborted attempts ended because of AbortAttempt or the deadline.
	ResultAborted
)

// A Job is the part of a request that is addressed to one shard.
type Job struct {
	ID        JobID
	ShardPath string
	Version   snapshot.Version
	Urgency   catalog.Urgency
	// Deadline is on the clock whose time is passed to Step.
	Deadline    time.Time
	Idempotent  bool
	Fingerprint uint64
	// Suspect is set if an upstream crashed earlier while it ran the request.
	Suspect bool
}

// An Event is something that happened to a Group.
type Event interface{ isEvent() }

// Submit adds a new job.
type Submit struct{ Job Job }

// Withdraw cancels a job whose answer is not needed any more. It does not cancel a
// running non-idempotent job.
type Withdraw struct{ Job JobID }

// AttemptEnded reports the end of an attempt. The slot of the attempt is in use
// until this event.
type AttemptEnded struct {
	Attempt AttemptID
	Result  Result
	// Version is the version that the answer is taken from.
	Version snapshot.Version
	// Reason is set with ResultRefused.
	Reason Reason
	// RetryAfter is set with ResultRefused, if the upstream gave a time.
	RetryAfter time.Duration
	// Draining and Cold are response metadata: the upstream's state according
	// to itself.
	Draining, Cold bool
	// UpstreamLost is set with ResultConnectionSilent, if the upstream did not
	// respond on a fresh connection either.
	UpstreamLost bool
}

// UpstreamReported is the response of a health or load endpoint. It is only a hint:
// a recent refusal takes precedence over a reported version, and a draining report
// does not take the last replica out of service.
type UpstreamReported struct {
	Upstream       string
	Versions       []snapshot.Version
	Draining, Cold bool
}

// ProbeEnded reports whether a lost upstream responded on a fresh connection.
type ProbeEnded struct {
	Upstream string
	Answered bool
	// Cold is set if the upstream reports that it is cold.
	Cold bool
}

// Quarantine ends all jobs of a crashing request.
type Quarantine struct {
	Fingerprint uint64
	RetryAfter  time.Duration
}

// Stop ends all jobs, because the gate stops.
type Stop struct{ RetryAfter time.Duration }

// Reconfigure replaces the definition of the group.
type Reconfigure struct{ Definition *catalog.Group }

// SlotsRestricted sets when the group may use all slots of its upstreams. Before
// that time another owner may still use them: the former one after a takeover, or
// one that took over during a pause of this process.
type SlotsRestricted struct{ FullSlotsAt time.Time }

// Wake reports that time has passed, without any other event.
type Wake struct{}

func (Submit) isEvent()           {}
func (Withdraw) isEvent()         {}
func (AttemptEnded) isEvent()     {}
func (UpstreamReported) isEvent() {}
func (ProbeEnded) isEvent()       {}
func (Quarantine) isEvent()       {}
func (Stop) isEvent()             {}
func (Reconfigure) isEvent()      {}
func (SlotsRestricted) isEvent()  {}
func (Wake) isEvent()             {}

// An Action is an operation that the driver must perform.
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

// AbortAttempt cancels an attempt. The driver still reports its end.
type AbortAttempt struct{ Attempt AttemptID }

// Complete ends a job. A Group emits exactly one Complete for each Submit.
type Complete struct {
	Job     JobID
	Outcome Outcome
	Reason  Reason
	// WinningAttempt is the attempt whose answer is used, if the job was
	// answered.
	WinningAttempt AttemptID
	Version        snapshot.Version
	RetryAfter     time.Duration
	// Attempts is the number of attempts that were started.
	Attempts int
}

// ProbeUpstream probes a lost upstream on a fresh connection. The driver
// reports ProbeEnded.
type ProbeUpstream struct{ Upstream string }

// ReportCrash reports that an upstream broke a connection, presumably by a crash,
// while it ran these requests.
type ReportCrash struct {
	Upstream     string
	Fingerprints []uint64
}

func (StartAttempt) isAction()  {}
func (AbortAttempt) isAction()  {}
func (Complete) isAction()      {}
func (ProbeUpstream) isAction() {}
func (ReportCrash) isAction()   {}

// CanRetryOnOtherGate reports whether the request may succeed at another gate.
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
