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
	// CallTimeout bounds one call to the key-value service for a claim.
	CallTimeout = 500 * time.Millisecond
	// finalizeAttempts and finalizeRetryDelay bound how long Finalize tries.
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

// Finalize advances a claim to a later phase, and retries while the service is
// unavailable. It returns false if it gave up.
func Finalize(store keyvalue.Store, key string, record booking.Record) bool {
	for range finalizeAttempts {
		if TryFinalize(store, key, record, CallTimeout) {
			return true
		}
		time.Sleep(finalizeRetryDelay)
	}
	return false
}

// TryFinalize tries once to advance a claim to a later phase. It returns true
// if the claim needs no more writes: it was advanced, already had a phase that
// says as much about the run, or belongs to another run.
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
