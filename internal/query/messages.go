package query

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A Status is how complete an answer is or, if it has no results, whether the
// request may have been run.
type Status string

// The statuses.
const (
	// Complete answers hold the results of all planned shards.
	Complete Status = "complete"
	// Partial answers hold the results of some of the planned shards.
	Partial Status = "partial"
	// NotRun requests were run by no upstream, not even in part.
	NotRun Status = "not-run"
	// Failed requests have no results, but may have been run in part.
	Failed Status = "failed"
	// Unknown is Failed for non-idempotent requests.
	Unknown Status = "unknown"
)

// A Part is the part of a request that is planned for one shard.
type Part struct {
	Path   string
	Name   string
	Weight int
}

// A Plan is the version and the shards that a query is pinned to. It must not be
// changed once it is passed to the query.
type Plan struct {
	Version snapshot.Version
	Parts   []Part
	// Nonce identifies this run of the query. Replies to other runs are
	// dropped.
	Nonce string
}

// A Spec holds the properties of a query that do not depend on its plan.
type Spec struct {
	Deadline   time.Time
	Goal       catalog.Goal
	Idempotent bool
	// UseCanary sends the request to one shard before all others.
	UseCanary bool
	// CanaryIndex selects the canary shard, modulo the number of shards.
	CanaryIndex uint64
}

// A Result is the answer of one shard.
type Result struct {
	Part Part
	Body []byte
}

// An Answer is the answer to the caller.
type Answer struct {
	Status  Status
	Version snapshot.Version
	// Coverage is the ratio of the answered to the planned weight, from 0 to 1.
	Coverage float64
	// Results are in the order of the plan.
	Results []Result
	// Missing holds the parts that were not answered, in the order of the plan.
	Missing []Part
	// Reason explains a status other than Complete.
	Reason shard.Reason
	// RetryAfter is above zero unless Status is Complete.
	RetryAfter time.Duration
	Attempts   int
}

// An Event is something that happened to a Query.
type Event interface{ isEvent() }

// ShardReplied reports the reply of a gate for one shard.
type ShardReplied struct {
	Nonce      string
	Path       string
	Outcome    shard.Outcome
	Reason     shard.Reason
	Version    snapshot.Version
	Body       []byte
	RetryAfter time.Duration
	Attempts   int
}

// GateLost reports that a gate will send no more replies for these shards.
type GateLost struct {
	Nonce string
	Paths []string
	// MayHaveReceived is false if the gate certainly did not receive the request.
	MayHaveReceived bool
}

// Repinned brings a plan for another version. A plan without parts means that
// no other version is available.
type Repinned struct{ Plan Plan }

// Wake reports that time has passed, without any other event.
type Wake struct{}

// CallerDisconnected reports that the caller no longer waits for the answer.
type CallerDisconnected struct{}

// Stopped reports that the process stops and the query must end now.
type Stopped struct{}

func (ShardReplied) isEvent()       {}
func (GateLost) isEvent()           {}
func (Repinned) isEvent()           {}
func (Wake) isEvent()               {}
func (CallerDisconnected) isEvent() {}
func (Stopped) isEvent()            {}

// An Action is an operation that the driver must perform.
type Action interface{ isAction() }

// Scatter sends these parts of the request to the gates that own their shards now.
// The driver excludes for a while each gate that was lost, or that refused a part
// for a reason for which CanRetryOnOtherGate is true; the next owner gets its parts.
type Scatter struct {
	Plan  Plan
	Parts []Part
}

// Repin requests a plan for a version other than UnavailableVersion. The driver
// reports Repinned.
type Repin struct {
	UnavailableVersion snapshot.Version
	// Path is the path of the shard that does not serve that version any more.
	Path string
}

// CancelRun cancels everything that runs under a nonce.
type CancelRun struct{ Nonce string }

// Finish ends the query. Each Query emits exactly one Finish, as its last action.
type Finish struct{ Answer Answer }

func (Scatter) isAction()   {}
func (Repin) isAction()     {}
func (CancelRun) isAction() {}
func (Finish) isAction()    {}
