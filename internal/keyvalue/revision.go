package keyvalue

import (
	"fmt"
	"strconv"
	"sync"
)

const (
	// numberBits is the size of the number in a Revision. The rest is for the era.
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
	// maxEraStep is the greatest plausible rise of the era from one response to a later one.
	maxEraStep = 1000
)

// A Revision is a position in the history of a store: an era, and the number of a change
// in it. A store that comes back from a copy begins a new era and gives out the numbers
// after the copy again. Revisions are ordered by era first, so that the operators for
// integers compare them.
type Revision uint64

// NewRevision returns a revision. An era and a number that are too large are bounded. A
// store that does not state its era has era zero.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, maxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number in the era, as the store counts it.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns the revision as it is logged.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}

// Eras follow the era that a store states in its responses. The zero value is ready to
// use. They are safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	current uint64
	known   bool
}

// An EraError means that a store states an era that is no number, or that cannot follow
// the last one.
type EraError struct {
	Stated  string
	Current uint64
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("store states era %q after era %d", e.Stated, e.Current)
}

// Observe returns the era of a response that states an era; empty if it states none. An
// implausible statement is ignored with an *EraError, so that the response still counts.
// A response of an earlier era is late and keeps its era, also with an *EraError.
func (e *Eras) Observe(stated string) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stated == "" {
		return e.current, nil
	}
	era, err := strconv.ParseUint(stated, 10, 64)
	switch {
	case err != nil, era > maxEra, e.known && era > e.current+maxEraStep:
		return e.current, &EraError{Stated: stated, Current: e.current}
	case era < e.current:
		return era, &EraError{Stated: stated, Current: e.current}
	}
	e.current, e.known = era, true
	return era, nil
}

// IsPlausibleAfter reports whether a revision of another host can follow one of this host.
func (r Revision) IsPlausibleAfter(own Revision) bool {
	return own.Era() == 0 || r.Era() <= own.Era()+maxEraStep
}
