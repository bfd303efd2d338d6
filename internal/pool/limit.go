package pool

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// limitMemory is how long the limit of an upstream without an entry is kept.
const limitMemory = time.Minute

// A requestLimit is the limit on requests that one lifetime of an upstream has stated.
type requestLimit struct {
	// stated is in requests per second, from all hosts together.
	stated float64
	// oddity is the text of the last error of a response that stated an implausible limit.
	oddity string
	// statedAt is when the upstream last stated a limit.
	statedAt time.Time
}

// recordLimit records what a response states about the limit of its upstream: a new one,
// or that the limit has ended.
func (p *Pool) recordLimit(now time.Time, u inventory.Upstream, o upstream.Outcome) {
	key := u.LifetimeKey()
	l, isKnown := p.limits[key]
	if o.Limit == 0 && o.LimitErr == nil && !isKnown {
		return
	}
	if !isKnown {
		l = &requestLimit{}
		p.limits[key] = l
	}
	oddity := ""
	if o.LimitErr != nil {
		oddity = o.LimitErr.Error()
	}
	isNews := l.stated != o.Limit || (oddity != "" && l.oddity != oddity)
	l.stated, l.oddity, l.statedAt = o.Limit, oddity, now
	if o.Limit == 0 && o.LimitErr == nil {
		delete(p.limits, key)
	}
	if isNews && p.OnLimit != nil {
		p.OnLimit(u, o.Limit, o.LimitErr)
	}
}
