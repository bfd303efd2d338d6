package query

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A Status is how complete an answer is.
type Status string

// The statuses.
const (
	// Complete answers hold every planned shard.
	Complete Status = "complete"
	// Partial answers hold some of the planned shards.
	Partial Status = "partial"
	// NotRun requests were run nowhere, not even in part.
	NotRun Status = "not-run"
	// Failed requests brought nothing, but may have been run in part.
	Failed Status = "failed"
	// Unknown is Failed for requests that must not run twice.
	Unknown Status = "unknown"
)

// A Part is one planned shard.
type Part struct {
	Path   string
	Name   string
	Weight int
}

// A Plan is what a query is pinned to. Its fields are not changed after New.
type Plan struct {
	Version snapshot.Version
	Parts   []Part
	// Nonce names this run; replies to other runs are not accepted.
	Nonce string
}

// Spec are what holds for a query whatever its plan.
type Spec struct {
	Deadline   time.Time
	Goal       catalog.Goal
	Idempotent bool
	// UseCanary asks for one shard before all the others.
	UseCanary bool
	// CanaryIndex chooses the shard; any number will do.
	CanaryIndex uint64
}

// A Result is what one shard brought.
type Result struct {
	Part Part
	Body []byte
}

// An Answer is what the caller gets.
type Answer struct {
	Status  Status
	Version snapshot.Version
	// Coverage is the answered share of the planned weight, 0 to 1.
	Coverage float64
	// Results are in the order of the plan.
	Results []Result
	// Missing are the shards that did not answer, in the order of the plan.
	Missing []Part
	// Reason explains a status other than Complete.
	Reason     shard.Reason
	RetryAfter time.Duration
	Attempts   int
}

// An Event is something that happened to a Query.
type Event interface{ isEvent() }

// ShardReplied brings the end of one shard's part.
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

// GateLost says that a gate will not reply for these shards any more.
type GateLost struct {
	Nonce string
	Paths []string
	// Sent is false if the gate surely did not get the request.
	Sent bool
}

// Repinned brings a plan on another version; without parts there is none.
type Repinned struct{ Plan Plan }

// Wake is the passing of time alone.
type Wake struct{}

// CallerDisconnected says that nobody waits for the answer.
type CallerDisconnected struct{}

func (ShardReplied) isEvent()       {}
func (GateLost) isEvent()           {}
func (Repinned) isEvent()           {}
func (Wake) isEvent()               {}
func (CallerDisconnected) isEvent() {}

// An Action is what the driver must do.
type Action interface{ isAction() }

// Scatter sends the request to the gates that own these shards now; a gate that
// was lost, or refused because it is the wrong one, is passed over.
type Scatter struct {
	Plan  Plan
	Parts []Part
}

// Repin asks for a plan on a version other than Gone.
type Repin struct {
	UnavailableVersion snapshot.Version
	Path               string
}

// CancelRun gives up all that runs under a nonce.
type CancelRun struct{ Nonce string }

// Finish ends the query; there is exactly one.
type Finish struct{ Answer Answer }

func (Scatter) isAction()   {}
func (Repin) isAction()     {}
func (CancelRun) isAction() {}
func (Finish) isAction()    {}
