package standin

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// ErrLeaseNotFound is returned for a lease that has expired or never existed.
var ErrLeaseNotFound = errors.New("the lease has expired or does not exist")

// Leases manages leases on keys of a Store. Registrations of hosts use leases, but
// claims use none, since the holder of a claim may be paused while its lease expires.
// Leases allows tests to demonstrate such an expiry. Its exported field is set before
// use.
type Leases struct {
	Store *Store

	mu sync.Mutex
	// leases holds the leases that have not expired, by id.
	leases map[string]*lease
	lastID int
}

// lease holds the keys to delete when the lease expires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  []string
}

// Acquire creates a key, attaches it to the lease with the id, and returns true. If the
// key exists, Acquire changes nothing and returns false. The key is deleted when the
// lease expires.
func (l *Leases) Acquire(ctx context.Context, id, key string, value []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.leases[id]
	if !ok {
		return false, ErrLeaseNotFound
	}
	written, err := l.Store.CompareAndSwap(ctx, key, value, 0)
	if written {
		found.keys = append(found.keys, key)
	}
	return written, err
}

// Grant creates a lease and returns its id.
func (l *Leases) Grant(ttl time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		l.leases = make(map[string]*lease)
	}
	l.lastID++
	id := strconv.Itoa(l.lastID)
	l.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { l.expire(id) })}
	return id
}

// Renew makes a lease expire after its full time to live from now.
func (l *Leases) Renew(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.leases[id]
	if !ok {
		return ErrLeaseNotFound
	}
	found.timer.Reset(found.ttl)
	return nil
}

// expire removes a lease and deletes its keys.
func (l *Leases) expire(id string) {
	l.mu.Lock()
	found, ok := l.leases[id]
	delete(l.leases, id)
	l.mu.Unlock()
	if !ok {
		return
	}
	for _, key := range found.keys {
		entry, err := l.Store.Get(context.Background(), key)
		if err == nil {
			_, _ = l.Store.Delete(context.Background(), key, entry.Revision())
		}
	}
}
