package host

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

const (
	// idlePeriod is how long a host must have been without requests to be checked. Calls for tokens
	// and reservations of turns end earlier.
	idlePeriod = 5 * time.Second
	// maxHeldServices bounds the services that are named in a violation.
	maxHeldServices = 8
)

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
	return append(
		h.dispatcher.Holdings(), h.assignments(),
		invariant.Holding{What: "reserved turns", Count: h.turns.Held()}, invariant.Holding{What: "permits for test runs", Count: h.guard.Permits()},
		invariant.Holding{What: "calls for tokens", Count: calls}, invariant.Holding{What: "accounts with waiting requests", Count: waited},
		invariant.Holding{What: "opening connections", Count: dials}, invariant.Holding{What: "bytes of long bodies", Count: int(bodyBytes)},
	)
}

// assignments returns the assignments of all pools.
func (h *Host) assignments() invariant.Holding {
	h.mu.RLock()
	defer h.mu.RUnlock()
	held := invariant.Holding{What: "assignments"}
	var services []string
	for s, p := range h.pools {
		if count := p.Held(); count > 0 {
			held.Count += count
			services = append(services, fmt.Sprintf("%s: %d", s, count))
		}
	}
	slices.Sort(services)
	held.Detail = strings.Join(services[:min(len(services), maxHeldServices)], ", ")
	return held
}
