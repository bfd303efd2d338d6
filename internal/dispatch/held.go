package dispatch

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// A heldAssignment owns the assignment of the first attempt of a part until the attempt starts. No
// second one replaces it, and the end of its part or its request gives it back.
type heldAssignment struct {
	pool       *pool.Pool
	assignment *pool.Assignment
}

// assign assigns the attempt to an upstream, unless it is assigned already. It reports whether the
// attempt is assigned now.
func (h *heldAssignment) assign(now time.Time, r pool.Requirements) bool {
	if h.assignment == nil {
		h.assignment = h.pool.Assign(now, r)
	}
	return h.assignment != nil
}

// isAssigned reports whether the attempt is assigned and has not started.
func (h *heldAssignment) isAssigned() bool { return h.assignment != nil }

// take returns the assignment, which the caller owns from then on; nil if there is none.
func (h *heldAssignment) take() *pool.Assignment {
	taken := h.assignment
	h.assignment = nil
	return taken
}

// giveBack ends the assignment if there is one.
func (h *heldAssignment) giveBack() {
	if a := h.take(); a != nil {
		h.pool.Unassign(a)
	}
}
