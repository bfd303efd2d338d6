// Package keyvalue defines the interface of the platform's key-value service (the store) and
// implements an HTTP client for it.
package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// An Entry is a key with its value and revision.
type Entry struct {
	key   string
	value []byte
	// revision changes with each write of the key and is never zero.
	revision uint64
}

// A Store is the key-value service. It is safe for concurrent use. A write that returns
// an error may or may not have taken effect, except that it has not after a
// *NotFoundError or a *ReadOnlyError.
type Store interface {
	// Get returns the entry of a key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the key if it is still at the given revision; revision zero
	// means that the key must not exist. It reports whether the key was written.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error)
	// Delete removes the key if it is still at the given revision. It reports whether
	// the key was removed.
	Delete(ctx context.Context, key string, revision uint64) (bool, error)
	// DeleteTree removes all keys that start with a prefix.
	DeleteTree(ctx context.Context, prefix string) error
	// Watch returns the entry of a key as soon as its revision differs from
	// haveRevision, the revision of the caller's copy. When wait has elapsed, it
	// returns the unchanged entry, or a *NotFoundError if the key does not exist.
	Watch(ctx context.Context, key string, haveRevision uint64, wait time.Duration) (Entry, error)
}

// A NotFoundError means that a key does not exist.
type NotFoundError struct{ Key string }

// NewEntry returns an entry of a key at a revision.
func NewEntry(key string, value []byte, revision uint64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Revision returns the revision of the key, to be passed to CompareAndSwap, Delete
// and Watch.
func (e Entry) Revision() uint64 { return e.revision }

// Value returns the value; it must not be changed.
func (e Entry) Value() []byte { return e.value }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %q does not exist", e.Key)
}
