package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// A Change is the write or the removal of one key.
type Change struct {
	key      string
	value    []byte
	revision Revision
	deleted  bool
}

// A Feed is a store whose keys can be listed and watched by prefix. It is safe for concurrent
// use.
type Feed interface {
	// List returns the last write of each key with a prefix, and the store's revision
	// when the first of these keys was read. Keys that are written while the list is
	// read may have a higher revision. With allowStale, the keys and the revision may be
	// some seconds old, but are consistent with each other. With a *PartialListError it
	// returns the keys that could be read. List calls RecordProgress after each part.
	List(ctx context.Context, prefix string, allowStale bool) ([]Change, Revision, error)
	// WatchPrefix waits up to wait for changes after a revision. It returns the
	// changes, possibly none, and the revision up to which they are complete. It
	// returns a *HistoryLostError if the store no longer has all changes after that
	// revision. The revision that it returns is of a later era if the store has come
	// back from a copy; the changes are then not complete.
	WatchPrefix(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// A LeaseStore is a store with keys that expire unless their lease is renewed. It is safe for
// concurrent use.
type LeaseStore interface {
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, timeToLive time.Duration) (lease uint64, err error)
	// RenewLease renews a lease. It reports false if the lease has expired.
	RenewLease(ctx context.Context, lease uint64) (bool, error)
	// PutLeased writes a key that is deleted when the lease expires.
	PutLeased(ctx context.Context, key string, value []byte, lease uint64) error
}

// A HistoryLostError means that the store has discarded changes after the revision
// After.
type HistoryLostError struct{ AfterRevision Revision }

// A PartialListError means that some keys of a list could not be read. They may exist or not.
type PartialListError struct {
	// Problem is that of the first of these keys.
	Problem string
}

// NewChange returns the Change that writes a key.
func NewChange(key string, value []byte, revision Revision) Change {
	return Change{key: key, value: value, revision: revision}
}

// NewRemoval returns the Change that removes a key.
func NewRemoval(key string, revision Revision) Change {
	return Change{key: key, revision: revision, deleted: true}
}

// Deleted reports whether the key was removed.
func (c Change) Deleted() bool { return c.deleted }

// Key returns the key.
func (c Change) Key() string { return c.key }

// Revision returns the revision of the store at which the key was changed.
func (c Change) Revision() Revision { return c.revision }

// Value returns the value; it must not be changed.
func (c Change) Value() []byte { return c.value }

// Error implements error.
func (e *PartialListError) Error() string {
	return "some keys of the list could not be read: " + e.Problem
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store has discarded the changes after revision %v", e.AfterRevision)
}
