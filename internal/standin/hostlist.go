package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
)

// HostList is a host list whose changes become visible after a delay. Its exported
// field is set before use.
type HostList struct {
	// PropagationDelay is the delay until a change becomes visible.
	PropagationDelay time.Duration

	mu sync.Mutex
	// versions holds all lists that were set, oldest first.
	versions []hostListVersion
	down     bool
}

// hostListVersion is a list and the time from which it is visible.
type hostListVersion struct {
	visibleAt time.Time
	hosts     []hostlist.Host
}

var (
	errHostListDown = errors.New("the host list is down")

	_ hostlist.List = (*HostList)(nil)
)

// Hosts implements hostlist.List.
func (h *HostList) Hosts(context.Context) ([]hostlist.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, errHostListDown
	}
	now := time.Now()
	for _, v := range slices.Backward(h.versions) {
		if !v.visibleAt.After(now) {
			return v.hosts, nil
		}
	}
	return nil, nil
}

// Set replaces the list. The first list is visible immediately.
func (h *HostList) Set(hosts []hostlist.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	visibleAt := time.Now()
	if len(h.versions) > 0 {
		visibleAt = visibleAt.Add(h.PropagationDelay)
	}
	h.versions = append(h.versions, hostListVersion{visibleAt: visibleAt, hosts: hosts})
}

// SetDown sets whether calls of Hosts fail.
func (h *HostList) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}
