package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// idlePeriod is how long a host must have been without requests to be checked. Calls for tokens and
// reservations of turns end earlier.
const idlePeriod = 5 * time.Second

func (h *Host) newIdleCheck() *invariant.IdleCheck {
	return &invariant.IdleCheck{Recorder: h.Recorder, Period: idlePeriod, MaxGap: 3 * maintenanceInterval, Activity: h.activity, Holdings: h.holdings}
}

func (h *Host) activity() invariant.Activity {
	begun, inFlight := h.stop.requests.Counts()
	return invariant.Activity{Begun: begun, InFlight: inFlight + h.dispatcher.Running()}
}

// holdings returns all that this host takes for requests and gives back after them.
func (h *Host) holdings() []invariant.Holding {
	calls, waited := h.allowances.held()
	dials, bodyBytes := h.Upstreams.Held()
	h.mu.RLock()
	assignments := pool.HeldAssignments(h.pools)
	h.mu.RUnlock()
	return append(
		h.dispatcher.Holdings(), assignments,
		invariant.Holding{What: "reserved turns", Count: h.turns.Held()}, invariant.Holding{What: "permits for test runs", Count: h.guard.Permits()},
		invariant.Holding{What: "calls for tokens", Count: calls}, invariant.Holding{What: "accounts with waiting requests", Count: waited},
		invariant.Holding{What: "opening connections", Count: dials}, invariant.Holding{What: "bytes of long bodies", Count: int(bodyBytes)},
		invariant.Holding{What: "bytes of messages of long requests", Count: int(h.Budget.Reserved())},
	)
}
