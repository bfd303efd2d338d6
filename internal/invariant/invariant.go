// Package invariant asserts, inside the running program, the promises that
// must always hold, and counts what breaks them.
package invariant

import (
	"fmt"
	"sync"
)

// A Rule names one promise.
type Rule string

// The rules that the program asserts.
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

// A Violation is one broken promise.
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
	// violations keeps the first ones, at most maxKept.
	violations []Violation
	count      int
}

const maxKept = 100

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s: %s", v.Rule, v.Detail)
}

// Check records a violation unless ok.
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

// Count returns how many violations there were.
func (r *Recorder) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Violations returns the first violations.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

func (r *Recorder) add(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if len(r.violations) < maxKept {
		r.violations = append(r.violations, v)
	}
}
