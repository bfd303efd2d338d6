// Package invariant checks, in the running program, conditions that must always
// hold, and counts violations.
package invariant

import (
	"fmt"
	"sync"
)

// A Rule names an invariant.
type Rule string

// The invariants that the program checks.
const (
	// OneSnapshot requires that all results of an answer are taken from the version
	// to which the request is pinned.
	OneSnapshot Rule = "one-snapshot"
	// TrueCoverage requires that an answer is complete exactly if no shard is missing.
	TrueCoverage Rule = "true-coverage"
	// OwnAnswer requires that a response is used only for the attempt or run that it
	// belongs to.
	OwnAnswer Rule = "own-answer"
	// ShardOnce requires that an answer has as many results and missing parts,
	// together, as parts were planned.
	ShardOnce Rule = "shard-once"
	// SlotLimit requires that no more attempts run on an upstream than it has slots.
	SlotLimit Rule = "slot-limit"
	// RefusedNotRun requires that no upstream may have run a job that is reported as
	// not run.
	RefusedNotRun Rule = "refused-not-run"
	// SingleAttempt requires that no attempt of a non-idempotent job starts if an
	// upstream may have run an earlier one.
	SingleAttempt Rule = "single-attempt"
	// RevisionMonotonic requires that a gate applies no catalog with a lower revision
	// than the catalog before.
	RevisionMonotonic Rule = "revision-monotonic"
	// StateChart requires that the state of a claim or query accepts each event of
	// its state chart that is fired.
	StateChart Rule = "state-chart"
	// IdleHoldsNothing requires that a process without requests holds nothing that it takes for
	// them.
	IdleHoldsNothing Rule = "idle-holds-nothing"
	// EndedOnce requires that what was taken for a request is given back once.
	EndedOnce Rule = "ended-once"
)

// A Violation is a failed check of an invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// A Recorder collects violations. The zero value is ready and safe for
// concurrent use.
type Recorder struct {
	// OnViolation, if set before use, is called for each violation, concurrently
	// if Check is.
	OnViolation func(Violation)

	mu sync.Mutex
	// violations holds the first violations, at most maxViolations.
	violations []Violation
	// count is the number of all violations.
	count int
}

const maxViolations = 100

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s: %s", v.Rule, v.Detail)
}

// Check records a violation unless ok is true. A nil Recorder records nothing.
func (r *Recorder) Check(ok bool, rule Rule, format string, args ...any) {
	if ok || r == nil {
		return
	}
	v := Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
	r.add(v)
	if r.OnViolation != nil {
		r.OnViolation(v)
	}
}

// Count returns the number of violations, which is not limited by maxViolations.
func (r *Recorder) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Violations returns the recorded violations, at most maxViolations.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

func (r *Recorder) add(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, v)
	}
}
