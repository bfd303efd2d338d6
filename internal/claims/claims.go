// Package claims reads and settles the claims of bookings in the key-value
// service, for entries and gates.
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
	// CallTimeout bounds one call to the service for a claim.
	CallTimeout = 500 * time.Millisecond
	// settleTries and settlePause bound how long a claim is settled.
	settleTries = 40
	settlePause = 500 * time.Millisecond
)

// Read returns a claim, with revision zero if there is none.
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

// Finalize brings a claim to a later phase, however long the service is away. It
// reports false if it gave up.
func Finalize(store keyvalue.Store, key string, record booking.Record) bool {
	for range settleTries {
		if TryFinalize(store, key, record, CallTimeout) {
			return true
		}
		time.Sleep(settlePause)
	}
	return false
}

// TryFinalize reports whether the claim needs no more care: it was brought to the
// phase, or stands at one that says as much, or belongs to another run.
func TryFinalize(store keyvalue.Store, key string, record booking.Record, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	standing, revision, err := Read(ctx, store, key)
	if err != nil {
		return false
	}
	if revision != 0 && (standing.Nonce != record.Nonce || !record.Phase.Supersedes(standing.Phase)) {
		return true
	}
	written, err := store.CompareAndSwap(ctx, key, record.Encode(), revision)
	return err == nil && written
}
