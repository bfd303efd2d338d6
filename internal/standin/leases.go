package standin

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// ErrLeaseGone says that a lease has lapsed or never was.
var ErrLeaseGone = errors.New("the lease is gone")

// Leases are the leases of a Store. The product holds none, since a holder may
// be paused while its lease lapses; they are here for those who want to show
// that. Its exported field is set before use.
type Leases struct {
	Store *Store

	mu sync.Mutex
	// leases holds each lease that has not lapsed.
	leases map[string]*lease
	last   int
}

// lease is a promise that its keys go when it lapses.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  []string
}

// Acquire writes a key that nobody holds, to be deleted with the lease.
func (l *Leases) Acquire(ctx context.Context, id, key string, value []byte) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.leases[id]
	if !ok {
		return false, ErrLeaseGone
	}
	written, err := l.Store.CompareAndSwap(ctx, key, value, 0)
	if written {
		held.keys = append(held.keys, key)
	}
	return written, err
}

// Create returns the id of a new lease.
func (l *Leases) Create(ttl time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		l.leases = make(map[string]*lease)
	}
	l.last++
	id := strconv.Itoa(l.last)
	l.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { l.lapse(id) })}
	return id
}

// Renew lets a lease last for its time again.
func (l *Leases) Renew(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.leases[id]
	if !ok {
		return ErrLeaseGone
	}
	held.timer.Reset(held.ttl)
	return nil
}

// lapse ends a lease and deletes its keys.
func (l *Leases) lapse(id string) {
	l.mu.Lock()
	held, ok := l.leases[id]
	delete(l.leases, id)
	l.mu.Unlock()
	if !ok {
		return
	}
	for _, key := range held.keys {
		entry, err := l.Store.Get(context.Background(), key)
		if err == nil {
			_, _ = l.Store.Delete(context.Background(), key, entry.Revision())
		}
	}
}
