// Package keyvalue is the interface to the platform's key-value service.
package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// An Entry is one key with its value.
type Entry struct {
	key   string
	value []byte
	// revision changes with every write of the key and is never zero.
	revision uint64
}

// A Store is the key-value service. Any error but *NotFoundError leaves open
// whether a write took effect. It is safe for concurrent use.
type Store interface {
	// Get returns the entry or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes if the key is still at this revision; revision
	// zero creates. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error)
	// Delete removes the key if it is still at this revision.
	Delete(ctx context.Context, key string, revision uint64) (bool, error)
	// DeleteTree removes all keys that start with a prefix.
	DeleteTree(ctx context.Context, prefix string) error
	// Watch returns the entry as soon as its revision is not the given one,
	// or unchanged when wait has passed.
	Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Entry, error)
}

// A NotFoundError says that a key does not exist.
type NotFoundError struct{ Key string }

// NewEntry returns an entry.
func NewEntry(key string, value []byte, revision uint64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Revision returns the revision for CompareAndSwap.
func (e Entry) Revision() uint64 { return e.revision }

// Value returns the value; it must not be changed.
func (e Entry) Value() []byte { return e.value }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %q does not exist", e.Key)
}
