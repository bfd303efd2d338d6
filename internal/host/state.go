package host

import (
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

// State is the state of a host that is shown to operators.
type State struct {
	// Version is the version of the active configuration; zero before the first one.
	Version uint64 `json:"version"`
	// Revision is the revision of the mirror, Era the era of the store that it belongs to,
	// MirrorAgeMillis the time since the mirror
	// was last confirmed to be up to date.
	Revision        uint64   `json:"revision"`
	Era             uint64   `json:"era"`
	MirrorAgeMillis int64    `json:"age-milliseconds"`
	Upstreams       int      `json:"upstreams"`
	Members         []string `json:"members"`
	Stopping        bool     `json:"stopping"`
	// EvacuatedDataCenters are the data centres whose upstreams get no requests.
	EvacuatedDataCenters []string `json:"evacuated-data-centers,omitempty"`
}

// State returns the current state for operators.
func (h *Host) State() State {
	revision := h.follower.Revision()
	s := State{Revision: revision.Number(), Era: revision.Era(), MirrorAgeMillis: h.follower.Age().Milliseconds(), Members: []string{}}
	for _, m := range h.fleet.Members() {
		s.Members = append(s.Members, m.Host()+" "+string(m.State()))
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table != nil {
		s.Version = h.table.Version()
	}
	s.EvacuatedDataCenters = h.inventory.Evacuated()
	s.Upstreams, s.Stopping = h.inventory.Len(), h.Stopping()
	return s
}

// NotReadyReason returns why this host is not ready, or an empty string if it is.
func (h *Host) NotReadyReason() string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	switch {
	case h.Stopping():
		return "stopping"
	case h.table == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// Table returns the active configuration, or nil before the first one.
func (h *Host) Table() *routing.Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}
