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
	OneSnapshot       Rule = "one-snapshot"
	TrueCoverage      Rule = "true-coverage"
	OwnAnswer         Rule = "own-answer"
	ShardOnce         Rule = "shard-once"
	SlotLimit         Rule = "slot-limit"
	RefusedNotRun     Rule = "refused-not-run"
	SingleAttempt     Rule = "single-attempt"
	RevisionMonotonic Rule = "revision-monotonic"
	StateChart        Rule = "state-chart"
)

// A Violation is a failed check of an invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// A Recorder collects violations. The zero value is ready and safe for
// concurrent use.
type Recorder struct {
	// OnViolation, if set before use, is called for each violation.
	OnViolation func(Violation)

	mu sync.Mutex
	// violations holds the first violations, at most maxViolations.
	violations []Violation
	count      int
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

// Count returns the number of violations.
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
