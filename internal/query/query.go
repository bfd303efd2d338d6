// Package query decides how one request is scattered over its shards and
// gathered into one answer. It does no I/O, reads no clock and starts no
// goroutine.
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
	stateCanary   chart.State = "canary"
	stateGather   chart.State = "gathering"
	stateRepin    chart.State = "repinning"
	stateFinished chart.State = "finished"
)

const (
	// patienceShare of the weight must have answered before a query with
	// the goal of latency stops to wait.
	patienceShare = 0.8
	// patienceFactor times the time that took is how long it waits in all.
	patienceFactor = 6
	// minPatience is the least time such a query waits.
	minPatience = 100 * time.Millisecond
	// maxRepins is how often a query starts anew on another version.
	maxRepins = 1
	// maxReroutes is how often one shard is sent to another gate.
	maxReroutes = 2
	// DefaultRetryAfter is told to callers when nothing better is known.
	DefaultRetryAfter = 50 * time.Millisecond
)

// A Query is the state of one request. It is not safe for concurrent use.
type Query struct {
	terms    Spec
	plan     Plan
	recorder *invariant.Recorder
	// state is a state of query.chart.json.
	state   chart.State
	startAt time.Time
	// index holds the position of each shard in the plan, by path.
	index map[string]int
	// outcomes has an entry for each shard of the plan that ended.
	outcomes map[string]ShardReplied
	// planned and answered are sums of weights.
	planned, answered int
	// reroutes counts, by shard, how often its gate was lost.
	reroutes map[string]int
	repins   int
	// ran is set once an upstream may have run a part, under any plan.
	ran bool
	// attempts counts those of former plans too.
	attempts int
	// enough is when enough weight had answered for the goal of latency.
	enough  time.Time
	actions []Action
}

// New returns a query and its first actions.
func New(now time.Time, terms Spec, plan Plan, recorder *invariant.Recorder) (*Query, []Action) {
	q := &Query{
		terms: terms, recorder: recorder, startAt: now, state: queryChart.Initial(),
		reroutes: make(map[string]int),
	}
	q.begin(plan)
	return q, q.actions
}

// NextWake returns when Step wants a Wake.
func (q *Query) NextWake() time.Time {
	if q.enough.IsZero() {
		return q.terms.Deadline
	}
	if patience := q.patienceEnd(); patience.Before(q.terms.Deadline) {
		return patience
	}
	return q.terms.Deadline
}

// Step takes one event and returns what to do about it.
func (q *Query) Step(now time.Time, event Event) []Action {
	q.actions = nil
	if q.state == stateFinished {
		return nil
	}
	switch e := event.(type) {
	case ShardReplied:
		q.replied(now, e)
	case GateLost:
		q.gateLost(now, e)
	case Repinned:
		q.repinned(e)
	case CallerDisconnected:
		q.finish(shard.ReasonWithdrawn)
	case Wake:
	}
	q.checkTime(now)
	return q.actions
}

func (q *Query) begin(plan Plan) {
	q.plan = plan
	q.index = make(map[string]int, len(plan.Parts))
	q.outcomes = make(map[string]ShardReplied, len(plan.Parts))
	q.planned, q.answered = 0, 0
	for i, p := range plan.Parts {
		q.index[p.Path] = i
		q.planned += p.Weight
	}
	q.enough = time.Time{}
	if q.terms.UseCanary && len(plan.Parts) > 1 && !q.ran {
		q.fire("begin-canary")
		first := plan.Parts[q.terms.CanaryIndex%uint64(len(plan.Parts))]
		q.emit(Scatter{Plan: plan, Parts: []Part{first}})
		return
	}
	q.fire("begin")
	q.emit(Scatter{Plan: plan, Parts: plan.Parts})
}

func (q *Query) checkTime(now time.Time) {
	if q.state == stateFinished {
		return
	}
	late := !now.Before(q.terms.Deadline)
	outOfPatience := !q.enough.IsZero() && !now.Before(q.patienceEnd())
	if late || outOfPatience {
		q.finish(shard.ReasonDeadline)
	}
}

func (q *Query) emit(a Action) { q.actions = append(q.actions, a) }

func (q *Query) fire(e chart.Event) {
	next, err := queryChart.Next(q.state, e)
	q.recorder.Check(err == nil, invariant.StateChart, "%v", err)
	q.state = next
}

func (q *Query) patienceEnd() time.Time {
	took := q.enough.Sub(q.startAt)
	return q.startAt.Add(max(patienceFactor*took, minPatience))
}

func (q *Query) part(path string) (Part, bool) {
	i, planned := q.index[path]
	if !planned {
		return Part{}, false
	}
	return q.plan.Parts[i], true
}

func (q *Query) replied(now time.Time, e ShardReplied) {
	part, planned := q.part(e.Path)
	_, twice := q.outcomes[e.Path]
	if e.Nonce != q.plan.Nonce || !planned || twice || q.state == stateRepin {
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
		q.answered += part.Weight
	}
	q.progress(now, e)
}

// progress goes on after one more shard ended.
func (q *Query) progress(now time.Time, e ShardReplied) {
	switch {
	case q.state == stateCanary && e.Outcome == shard.Answered:
		q.fire("canary-answered")
		q.emit(Scatter{Plan: q.plan, Parts: q.rest(e.Path)})
	case q.state == stateCanary:
		q.finish(e.Reason)
		return
	}
	if len(q.outcomes) == len(q.plan.Parts) {
		q.finish("")
		return
	}
	if q.terms.Goal == catalog.GoalLatency && q.enough.IsZero() && q.answeredShare() >= patienceShare {
		q.enough = now
	}
}

func (q *Query) rest(except string) []Part {
	return slices.DeleteFunc(slices.Clone(q.plan.Parts), func(p Part) bool { return p.Path == except })
}

func (q *Query) answeredShare() float64 {
	return float64(q.answered) / float64(q.planned)
}

func (q *Query) gateLost(now time.Time, e GateLost) {
	if e.Nonce != q.plan.Nonce || q.state == stateRepin {
		return
	}
	for _, path := range e.Paths {
		part, planned := q.part(path)
		if _, ended := q.outcomes[path]; !planned || ended || q.state == stateFinished {
			continue
		}
		if e.Sent {
			q.ran = true
		}
		if (q.terms.Idempotent || !e.Sent) && q.reroute(now, part) {
			continue
		}
		outcome := shard.NotRun
		if e.Sent {
			outcome = shard.Failed
		}
		lost := ShardReplied{Nonce: e.Nonce, Path: path, Outcome: outcome, Reason: shard.ReasonGateUnreachable}
		q.outcomes[path] = lost
		q.progress(now, lost)
	}
}

// reroute sends a shard to its next owner, if it may be sent again.
func (q *Query) reroute(now time.Time, p Part) bool {
	if q.reroutes[p.Path] >= maxReroutes || !now.Before(q.terms.Deadline) {
		return false
	}
	q.reroutes[p.Path]++
	q.emit(Scatter{Plan: q.plan, Parts: []Part{p}})
	return true
}

// repin starts anew on another version, since this one is gone.
func (q *Query) repin(e ShardReplied) {
	q.repins++
	for _, p := range q.sentParts() {
		o, ended := q.outcomes[p.Path]
		q.attempts += o.Attempts
		if p.Path != e.Path && (!ended || o.Outcome != shard.NotRun) {
			q.ran = true
		}
	}
	q.fire("version-gone")
	q.emit(CancelRun{Nonce: q.plan.Nonce})
	q.emit(Repin{UnavailableVersion: q.plan.Version, Path: e.Path})
}

func (q *Query) repinned(e Repinned) {
	if q.state != stateRepin {
		return
	}
	if len(e.Plan.Parts) == 0 {
		q.finish(shard.ReasonVersionGone)
		return
	}
	q.begin(e.Plan)
}
