package work

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until the context ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
