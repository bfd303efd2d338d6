package gate

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// claimSweepInterval is how often expired claims are deleted.
const claimSweepInterval = time.Hour

// deleteExpiredClaims periodically deletes expired claims if this gate watches the
// key-value service. Several gates may delete the same claims; deletion is
// idempotent.
func (g *Gate) deleteExpiredClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		work.Sleep(ctx, claimSweepInterval)
		if ctx.Err() != nil || !g.shouldWatchStore() {
			continue
		}
		for _, prefix := range booking.ExpiredPrefixes(time.Now()) {
			if err := g.Store.DeleteTree(ctx, prefix); err != nil {
				g.Log.WithError(err).Warn("old claims not deleted; trying again in an hour")
				break
			}
		}
	}
	return nil
}
