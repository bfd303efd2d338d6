package entry

// A StateDocument is the state of an entry, as served by its operations endpoint.
type StateDocument struct {
	Revision uint64 `json:"revision"`
	// NotReady is why the entry does not serve requests; empty if it does.
	NotReady  string   `json:"not-ready,omitempty"`
	Leaving   bool     `json:"leaving"`
	Addresses []string `json:"addresses"`
}

// State returns the state for the operations endpoint.
func (e *Entry) State() StateDocument {
	d := StateDocument{Revision: e.Catalog().Revision(), NotReady: e.NotReadyReason(), Addresses: e.Addresses(e.DataCenter).Addresses}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Leaving = e.leaving
	return d
}
