package gate

import (
	"context"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// sweepPeriod is how often claims that cannot be used any more are deleted.
const sweepPeriod = time.Hour

// sweepClaims deletes old claims, on the gates that watch the service. It does
// no harm if several do it.
func (g *Gate) sweepClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		work.Sleep(ctx, sweepPeriod)
		if ctx.Err() != nil || !g.watches() {
			continue
		}
		for _, prefix := range booking.ExpiredPrefixes(time.Now()) {
			if err := g.Store.DeleteTree(ctx, prefix); err != nil {
				g.Log.WithError(err).Warn("old claims not deleted; tried again in an hour")
				break
			}
		}
	}
	return nil
}
