package host

// State is the state of a host that is shown to operators.
type State struct {
	// Version is the version of the active configuration; zero before the first one.
	Version uint64 `json:"version"`
	// Revision is the revision of the mirror, MirrorAgeMillis the time since the mirror
	// was last confirmed to be up to date.
	Revision        uint64   `json:"revision"`
	MirrorAgeMillis int64    `json:"age-milliseconds"`
	Upstreams       int      `json:"upstreams"`
	Members         []string `json:"members"`
	Stopping        bool     `json:"stopping"`
}

// State returns the current state for operators.
func (h *Host) State() State {
	s := State{Revision: h.follower.Revision(), MirrorAgeMillis: h.follower.Age().Milliseconds(), Members: []string{}}
	for _, m := range h.fleet.Members() {
		s.Members = append(s.Members, m.Host()+" "+string(m.State()))
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table != nil {
		s.Version = h.table.Version()
	}
	s.Upstreams, s.Stopping = h.inventory.Len(), h.stopping
	return s
}
