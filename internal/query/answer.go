package query

import (
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
)

// finish ends the query with an answer built from the shards that have
// answered.
func (q *Query) finish(reason shard.Reason) {
	answer := q.buildAnswer(reason)
	q.fire("finish")
	if len(q.outcomes) < len(q.plan.Parts) {
		q.emit(CancelRun{Nonce: q.plan.Nonce})
	}
	q.emit(Finish{Answer: answer})
}

func (q *Query) buildAnswer(reason shard.Reason) Answer {
	a := Answer{Version: q.plan.Version, Reason: reason, Attempts: q.formerAttempts}
	plannedWeight, answeredWeight := 0, 0
	for _, p := range q.plan.Parts {
		plannedWeight += p.Weight
		o, ended := q.outcomes[p.Path]
		a.Attempts += o.Attempts
		if !ended || o.Outcome != shard.Answered {
			a.Missing = append(a.Missing, p)
			q.mergeReason(&a, o, ended)
			continue
		}
		answeredWeight += p.Weight
		a.Results = append(a.Results, Result{Part: p, Body: o.Body})
		q.recorder.Check(o.Nonce == q.plan.Nonce, invariant.OwnAnswer, "shard %s: answer to run %s merged into run %s", p.Path, o.Nonce, q.plan.Nonce)
		q.recorder.Check(o.Version == q.plan.Version, invariant.OneSnapshot, "shard %s answered from %s, the query is pinned to %s", p.Path, o.Version, q.plan.Version)
	}
	if plannedWeight > 0 {
		a.Coverage = float64(answeredWeight) / float64(plannedWeight)
	}
	a.Status = q.status(a)
	if a.Status == Complete {
		a.Reason, a.RetryAfter = "", 0
	}
	if a.Status != Complete && a.RetryAfter == 0 {
		a.RetryAfter = DefaultRetryAfter
	}
	q.recorder.Check((a.Status == Complete) == (len(a.Missing) == 0), invariant.TrueCoverage, "status %s with %d shards missing", a.Status, len(a.Missing))
	q.recorder.Check(len(a.Results)+len(a.Missing) == len(q.plan.Parts), invariant.ShardOnce, "%d results and %d missing parts of %d planned", len(a.Results), len(a.Missing), len(q.plan.Parts))
	return a
}

// mergeReason updates the reason and the retry-after time of the answer from a part
// without a result. The first reason other than the deadline and the longest
// retry-after time are kept. A part that has not ended changes nothing.
func (q *Query) mergeReason(a *Answer, o ShardReplied, ended bool) {
	if !ended {
		return
	}
	if a.Reason == "" || a.Reason == shard.ReasonDeadline {
		a.Reason = o.Reason
	}
	a.RetryAfter = max(a.RetryAfter, o.RetryAfter)
}

func (q *Query) status(a Answer) Status {
	mayHaveRun := q.mayHaveRun || q.planMayHaveRun()
	switch {
	case len(a.Missing) == 0:
		return Complete
	case len(a.Results) > 0:
		return Partial
	case !mayHaveRun:
		return NotRun
	case q.spec.Idempotent:
		return Failed
	default:
		return Unknown
	}
}

// planMayHaveRun reports whether an upstream may have run a part of the current
// plan. It returns false while repinning, since repin has already set mayHaveRun if
// an upstream may have run a part of the plan.
func (q *Query) planMayHaveRun() bool {
	if q.state == stateRepinning {
		return false
	}
	for _, p := range q.sentParts() {
		if o, ended := q.outcomes[p.Path]; !ended || o.Outcome != shard.NotRun {
			return true
		}
	}
	return false
}

// sentParts returns the parts of the current plan that were sent to gates.
func (q *Query) sentParts() []Part {
	if q.state == stateCanary {
		return []Part{q.plan.Parts[q.spec.CanaryIndex%uint64(len(q.plan.Parts))]}
	}
	return q.plan.Parts
}
