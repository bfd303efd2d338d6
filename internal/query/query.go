// Package query decides how one request is scattered over its shards and
// gathered into one answer. It does no I/O, reads no clock and starts no
// goroutine.
//
// The driver of a Query is the code that calls New and Step, performs the actions that
// they return, and reports the results to Step as events.
package query

import (
	_ "embed"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
)

//go:embed query.chart.json
var queryChartFile []byte

var queryChart = chart.MustParse(queryChartFile)

const (
	stateCanary    chart.State = "canary"
	stateGathering chart.State = "gathering"
	stateRepinning chart.State = "repinning"
	stateFinished  chart.State = "finished"
)

const (
	// minAnsweredRatio is the ratio of the answered weight to the planned weight at
	// which a query with the goal of latency limits its wait for the other parts to
	// the gather period.
	minAnsweredRatio = 0.8
	// gatherPeriodFactor (times the time from the start of such a query until
	// minAnsweredRatio is reached) is how long the query lasts at most, or
	// minGatherPeriod if that is longer.
	gatherPeriodFactor = 6
	// minGatherPeriod is how long such a query lasts at least, unless all parts have
	// ended or the deadline passes.
	minGatherPeriod = 100 * time.Millisecond
	// maxRepins is how often a query restarts on another version.
	maxRepins = 1
	// maxReroutes is how often the part of one shard is sent to another gate.
	maxReroutes = 2
	// DefaultRetryAfter is the retry-after time for callers if no shard gave
	// one.
	DefaultRetryAfter = 50 * time.Millisecond
)

// A Query is the state of one request. It is not safe for concurrent use.
type Query struct {
	spec     Spec
	plan     Plan
	recorder *invariant.Recorder
	// state is a state of query.chart.json.
	state     chart.State
	startedAt time.Time
	// partIndex holds the position of each part in the plan, by shard path.
	partIndex map[string]int
	// outcomes holds the final outcome of each part that has ended, by shard path:
	// a reply, or the loss of the gate.
	outcomes map[string]ShardReplied
	// plannedWeight and answeredWeight are sums over the parts of the plan.
	plannedWeight, answeredWeight int
	// reroutes counts, by shard path, how often the part was sent to another
	// gate.
	reroutes map[string]int
	repins   int
	// mayHaveRun is set once an upstream may have run a part under a former plan or
	// for a lost gate. For the current plan, see planMayHaveRun.
	mayHaveRun bool
	// formerAttempts counts the attempts for the parts that ended under former
	// plans.
	formerAttempts int
	// enoughAnsweredAt is when minAnsweredRatio was reached, for queries with
	// the goal of latency; zero before.
	enoughAnsweredAt time.Time
	actions          []Action
}

// New returns a query and its first actions.
func New(now time.Time, spec Spec, plan Plan, recorder *invariant.Recorder) (*Query, []Action) {
	q := &Query{
		spec: spec, recorder: recorder, startedAt: now, state: queryChart.Initial(),
		reroutes: make(map[string]int),
	}
	q.begin(plan)
	return q, q.actions
}

// NextWake returns the time for the next Wake event: the deadline or, if the query has
// the goal of latency and has reached minAnsweredRatio, the end of the gather period if
// that is earlier.
func (q *Query) NextWake() time.Time {
	if q.enoughAnsweredAt.IsZero() {
		return q.spec.Deadline
	}
	if until := q.gatherUntil(); until.Before(q.spec.Deadline) {
		return until
	}
	return q.spec.Deadline
}

// Step handles one event and returns the actions to perform.
func (q *Query) Step(now time.Time, event Event) []Action {
	q.actions = nil
	if q.state == stateFinished {
		return nil
	}
	switch e := event.(type) {
	case ShardReplied:
		q.handleReply(now, e)
	case GateLost:
		q.handleGateLost(now, e)
	case Repinned:
		q.handleRepinned(e)
	case CallerDisconnected:
		q.finish(shard.ReasonWithdrawn)
	case Stopped:
		q.finish(shard.ReasonStopping)
	case Wake:
	}
	q.checkDeadlines(now)
	return q.actions
}

func (q *Query) begin(plan Plan) {
	q.plan = plan
	q.partIndex = make(map[string]int, len(plan.Parts))
	q.outcomes = make(map[string]ShardReplied, len(plan.Parts))
	q.plannedWeight, q.answeredWeight = 0, 0
	for i, p := range plan.Parts {
		q.partIndex[p.Path] = i
		q.plannedWeight += p.Weight
	}
	q.enoughAnsweredAt = time.Time{}
	if q.spec.UseCanary && len(plan.Parts) > 1 && !q.mayHaveRun {
		q.fire("begin-canary")
		canary := plan.Parts[q.spec.CanaryIndex%uint64(len(plan.Parts))]
		q.emit(Scatter{Plan: plan, Parts: []Part{canary}})
		return
	}
	q.fire("begin")
	q.emit(Scatter{Plan: plan, Parts: plan.Parts})
}

func (q *Query) checkDeadlines(now time.Time) {
	if q.state == stateFinished {
		return
	}
	pastDeadline := !now.Before(q.spec.Deadline)
	pastGatherPeriod := !q.enoughAnsweredAt.IsZero() && !now.Before(q.gatherUntil())
	if pastDeadline || pastGatherPeriod {
		q.finish(shard.ReasonDeadline)
	}
}

func (q *Query) emit(a Action) { q.actions = append(q.actions, a) }

func (q *Query) fire(e chart.Event) {
	next, err := queryChart.Next(q.state, e)
	q.recorder.Check(err == nil, invariant.StateChart, "%v", err)
	q.state = next
}

// gatherUntil returns when a query that has reached minAnsweredRatio stops waiting.
func (q *Query) gatherUntil() time.Time {
	elapsed := q.enoughAnsweredAt.Sub(q.startedAt)
	return q.startedAt.Add(max(gatherPeriodFactor*elapsed, minGatherPeriod))
}

func (q *Query) part(path string) (Part, bool) {
	i, planned := q.partIndex[path]
	if !planned {
		return Part{}, false
	}
	return q.plan.Parts[i], true
}

func (q *Query) handleReply(now time.Time, e ShardReplied) {
	part, planned := q.part(e.Path)
	_, isDuplicate := q.outcomes[e.Path]
	if e.Nonce != q.plan.Nonce || !planned || isDuplicate || q.state == stateRepinning {
		return
	}
	if e.Outcome == shard.NotRun && e.Reason == shard.ReasonVersionGone && q.repins < maxRepins {
		q.repin(e)
		return
	}
	if e.Outcome == shard.NotRun && e.Reason.CanRetryOnOtherGate() && q.reroute(now, part) {
		return
	}
	if e.Outcome == shard.Answered && e.Version != q.plan.Version {
		e.Outcome = shard.Failed
		e.Reason = shard.ReasonVersionMismatch
	}
	q.outcomes[e.Path] = e
	if e.Outcome == shard.Answered {
		q.answeredWeight += part.Weight
	}
	q.advance(now, e)
}

// advance continues the query after the outcome of one more shard is known.
func (q *Query) advance(now time.Time, e ShardReplied) {
	switch {
	case q.state == stateCanary && e.Outcome == shard.Answered:
		q.fire("canary-answered")
		q.emit(Scatter{Plan: q.plan, Parts: q.partsExcept(e.Path)})
	case q.state == stateCanary:
		q.finish(e.Reason)
		return
	}
	if len(q.outcomes) == len(q.plan.Parts) {
		q.finish("")
		return
	}
	if q.spec.Goal == catalog.GoalLatency && q.enoughAnsweredAt.IsZero() && q.answeredRatio() >= minAnsweredRatio {
		q.enoughAnsweredAt = now
	}
}

func (q *Query) partsExcept(excludedPath string) []Part {
	return slices.DeleteFunc(slices.Clone(q.plan.Parts), func(p Part) bool { return p.Path == excludedPath })
}

func (q *Query) answeredRatio() float64 {
	return float64(q.answeredWeight) / float64(q.plannedWeight)
}

func (q *Query) handleGateLost(now time.Time, e GateLost) {
	if e.Nonce != q.plan.Nonce || q.state == stateRepinning {
		return
	}
	for _, path := range e.Paths {
		part, planned := q.part(path)
		if _, ended := q.outcomes[path]; !planned || ended || q.state == stateFinished {
			continue
		}
		if e.MayHaveReceived {
			q.mayHaveRun = true
		}
		if (q.spec.Idempotent || !e.MayHaveReceived) && q.reroute(now, part) {
			continue
		}
		outcome := shard.NotRun
		if e.MayHaveReceived {
			outcome = shard.Failed
		}
		lost := ShardReplied{Nonce: e.Nonce, Path: path, Outcome: outcome, Reason: shard.ReasonGateUnreachable}
		q.outcomes[path] = lost
		q.advance(now, lost)
	}
}

// reroute sends a part to the next owner of its shard. It returns false if the part
// was sent again maxReroutes times already or the deadline has passed.
func (q *Query) reroute(now time.Time, p Part) bool {
	if q.reroutes[p.Path] >= maxReroutes || !now.Before(q.spec.Deadline) {
		return false
	}
	q.reroutes[p.Path]++
	q.emit(Scatter{Plan: q.plan, Parts: []Part{p}})
	return true
}

// repin restarts the query on another version, because its version is no longer
// available.
func (q *Query) repin(e ShardReplied) {
	q.repins++
	for _, p := range q.sentParts() {
		o, ended := q.outcomes[p.Path]
		q.formerAttempts += o.Attempts
		if p.Path != e.Path && (!ended || o.Outcome != shard.NotRun) {
			q.mayHaveRun = true
		}
	}
	q.fire("version-gone")
	q.emit(CancelRun{Nonce: q.plan.Nonce})
	q.emit(Repin{UnavailableVersion: q.plan.Version, Path: e.Path})
}

func (q *Query) handleRepinned(e Repinned) {
	if q.state != stateRepinning {
		return
	}
	if len(e.Plan.Parts) == 0 {
		q.finish(shard.ReasonVersionGone)
		return
	}
	q.begin(e.Plan)
}
