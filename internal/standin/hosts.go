package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
)

// Hosts is a host list that lags. Its exported field is set before use.
type Hosts struct {
	// Lag is how long changes take to be seen.
	Lag time.Duration

	mu sync.Mutex
	// versions holds the lists with the times from which they are seen.
	versions []hostsVersion
	down     bool
}

type hostsVersion struct {
	from  time.Time
	hosts []hostlist.Host
}

var (
	errHostsDown = errors.New("the host list is down")

	_ hostlist.List = (*Hosts)(nil)
)

// Hosts implements hostlist.List.
func (h *Hosts) Hosts(context.Context) ([]hostlist.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, errHostsDown
	}
	now := time.Now()
	for _, v := range slices.Backward(h.versions) {
		if !v.from.After(now) {
			return v.hosts, nil
		}
	}
	return nil, nil
}

// Set replaces the list; the first one is seen at once.
func (h *Hosts) Set(hosts []hostlist.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := time.Now()
	if len(h.versions) > 0 {
		from = from.Add(h.Lag)
	}
	h.versions = append(h.versions, hostsVersion{from: from, hosts: hosts})
}

// SetDown makes calls fail.
func (h *Hosts) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}
