package entry

// A StateDocument is what the operations endpoint of an entry shows.
type StateDocument struct {
	Revision uint64 `json:"revision"`
	// NotReady is why the entry does not serve, or empty.
	NotReady  string   `json:"not-ready,omitempty"`
	Leaving   bool     `json:"leaving"`
	Addresses []string `json:"addresses"`
}

// State returns what the operations endpoint shows.
func (e *Entry) State() StateDocument {
	d := StateDocument{Revision: e.Catalog().Revision(), NotReady: e.NotReadyReason(), Addresses: e.Addresses(e.DataCenter).Addresses}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Leaving = e.leaving
	return d
}
