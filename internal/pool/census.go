package pool

import (
	"fmt"
	"strings"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// A Census counts the upstreams of a service by what keeps attempts from them. An upstream
// counts under the first condition that applies, in the order of the fields.
type Census struct {
	// retired upstreams get no attempts any more, down ones could not be reached, resting ones
	// have asked for rest, unlinked ones are not reached by this host, and limited ones have no
	// turn. full ones have as many attempts in flight as this host may have there.
	retired, down, resting, unlinked, limited, full int
	// free ones accept an attempt.
	free int
}

// Census counts the upstreams that an attempt with these requirements has to choose from,
// including those that the request has tried.
func (p *Pool) Census(now time.Time, r Requirements) Census {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c Census
	for _, m := range p.members {
		switch {
		case m.upstream.IsDetour() || m.upstream.IsColdSender():
		case m.upstream.Eligibility(now) == inventory.Retired:
			c.retired++
		case m.isDown(now):
			c.down++
		case m.isResting(now):
			c.resting++
		case !p.hasLink(now, m) || (now.Before(m.noDialUntil) && !p.hasConnection(m)):
			c.unlinked++
		case m.turnDelay(now, r.IsOptional) > 0:
			c.limited++
		case len(m.running) >= p.attemptLimit(now, m, r):
			c.full++
		default:
			c.free++
		}
	}
	return c
}

// String returns the counts that are not zero, for the log: "1 down, 2 full"; "none known" if
// there are no upstreams.
func (c Census) String() string {
	var texts []string
	for _, n := range []struct {
		count     int
		condition string
	}{
		{c.free, "free"},
		{c.full, "full"},
		{c.limited, "limited"},
		{c.unlinked, "unlinked"},
		{c.resting, "resting"},
		{c.down, "down"},
		{c.retired, "retired"},
	} {
		if n.count > 0 {
			texts = append(texts, fmt.Sprintf("%d %s", n.count, n.condition))
		}
	}
	if len(texts) == 0 {
		return "none known"
	}
	return strings.Join(texts, ", ")
}
