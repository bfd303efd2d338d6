// Package claims reads and finalizes the claims of non-idempotent requests in
// the key-value service, for entries and gates.
package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

const (
	// OperationTimeout bounds one operation on a claim: a read, a write, or one attempt
	// of Finalize, which reads and writes.
	OperationTimeout = 500 * time.Millisecond
	// finalizeAttempts and finalizeRetryDelay bound how long Finalize tries: 20 s
	// if its attempts fail at once, 40 s if they time out.
	finalizeAttempts   = 40
	finalizeRetryDelay = 500 * time.Millisecond
)

// Read returns a stored claim and its revision, which is zero if there is no
// claim.
func Read(ctx context.Context, store keyvalue.Store, key string) (booking.Record, uint64, error) {
	entry, err := store.Get(ctx, key)
	var missing *keyvalue.NotFoundError
	if errors.As(err, &missing) {
		return booking.Record{}, 0, nil
	}
	if err != nil {
		return booking.Record{}, 0, fmt.Errorf("read claim: %w", err)
	}
	record, err := booking.ParseRecord(entry.Value())
	return record, entry.Revision(), err
}

// Finalize advances the claim of a key to a record with a later phase. It retries
// an attempt that fails, and returns false if all finalizeAttempts have failed.
func Finalize(store keyvalue.Store, key string, record booking.Record) bool {
	for range finalizeAttempts {
		if TryFinalize(store, key, record, OperationTimeout) {
			return true
		}
		time.Sleep(finalizeRetryDelay)
	}
	return false
}

// TryFinalize tries once to advance the claim of a key to a record with a later
// phase; a claim that is not stored is created. It returns true if the claim needs
// no more writes: it was advanced, it already had the record's phase or one that
// says more about the run, or it belongs to another run.
func TryFinalize(store keyvalue.Store, key string, record booking.Record, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stored, revision, err := Read(ctx, store, key)
	if err != nil {
		return false
	}
	if revision != 0 && (stored.Nonce != record.Nonce || !record.Phase.Supersedes(stored.Phase)) {
		return true
	}
	written, err := store.CompareAndSwap(ctx, key, record.Encode(), revision)
	return err == nil && written
}
