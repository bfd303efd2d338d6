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
	// retired counts the upstreams that have left or are evacuated.
	retired int
	// down counts those to which no connection could be made lately.
	down int
	// resting counts those that have asked for no requests for a time.
	resting int
	// unlinked counts those to which this host has no connection and may open none now.
	unlinked int
	// limited counts those whose limit on requests leaves this host no turn now.
	limited int
	// full counts those that have as many attempts in flight as this host may have there.
	full int
	// free counts those that accept an attempt.
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

// String returns the counts that are not zero, for example "2 full, 1 down", or "none known" if all
// are zero.
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
