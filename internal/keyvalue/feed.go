package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// A Change is one key as it was written or removed.
type Change struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
}

// A Feed is a store that is read by prefix and tells what changes. It is safe
// for concurrent use.
type Feed interface {
	// List returns all keys with a prefix and the store's revision from before
	// the first of them was read.
	List(ctx context.Context, prefix string) ([]Change, uint64, error)
	// WatchPrefix returns the changes after a revision and the revision up to
	// which they are complete; none when wait has passed. A *HistoryLostError
	// says that the changes are not known any more.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// A LeaseStore is a store that keeps keys for as long as a lease is renewed. It
// is safe for concurrent use.
type LeaseStore interface {
	// GrantLease opens a lease.
	GrantLease(ctx context.Context, timeToLive time.Duration) (lease uint64, err error)
	// RenewLease keeps a lease; it reports false if the lease has ended.
	RenewLease(ctx context.Context, lease uint64) (bool, error)
	// PutLeased writes a key that lasts as long as the lease.
	PutLeased(ctx context.Context, key string, value []byte, lease uint64) error
}

// A HistoryLostError says that the changes after a revision were discarded.
type HistoryLostError struct{ After uint64 }

// NewChange returns a written key.
func NewChange(key string, value []byte, revision uint64) Change {
	return Change{key: key, value: value, revision: revision}
}

// NewRemoval returns a removed key.
func NewRemoval(key string, revision uint64) Change {
	return Change{key: key, revision: revision, deleted: true}
}

// Deleted reports whether the key was removed.
func (c Change) Deleted() bool { return c.deleted }

// Key returns the key.
func (c Change) Key() string { return c.key }

// Revision returns the store's revision of the change.
func (c Change) Revision() uint64 { return c.revision }

// Value returns the value; it must not be changed.
func (c Change) Value() []byte { return c.value }

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the changes after revision %d are not known any more", e.After)
}
