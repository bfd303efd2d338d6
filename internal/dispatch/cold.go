package dispatch

// This file decides how requests use hosts that send attempts to cold upstreams for others. It
// answers the load right after all replicas of shards have become cold, when few hosts may send
// them requests.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
)

// hasColdRelay reports whether any of the parts that wait could run through another host because
// all upstreams are cold.
func (f *inFlightRequest) hasColdRelay(now time.Time, waiting []*part) bool {
	return slices.ContainsFunc(waiting, func(p *part) bool { return p.pool.HasColdRelay(now, f.requirements(p, 0)) })
}

// isUnstarted reports whether no attempt has been sent to an upstream: there were none, or other
// hosts had no turns for them.
func (f *inFlightRequest) isUnstarted() bool { return f.attempts == f.coldRefusals }

// awaitsSender reports whether a part, whose attempts other hosts have refused, waits until it is
// known whether the other parts were refused as well: all of them then go to the next host.
func (f *inFlightRequest) awaitsSender(p *part) bool {
	return !p.isAssigned() && p.coldRefusals > 0 && p.sent == p.coldRefusals && slices.ContainsFunc(f.parts, func(p *part) bool {
		return slices.ContainsFunc(p.inFlight, func(a *pool.Assignment) bool { return a.Upstream.IsColdSender() })
	})
}

// recordColdRefusal counts an attempt that reached no upstream through a host that sends to cold
// ones.
func (f *inFlightRequest) recordColdRefusal(result *attemptResult) {
	if result.assignment.Upstream.IsColdSender() {
		result.part.coldRefusals++
		f.coldRefusals++
	}
}
