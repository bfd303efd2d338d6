package pool

import (
	"maps"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// endedPeriod is how long an upstream that has ended gets no attempts and is expected back, as
// another lifetime. Upstreams are back after 3 to 4 s; their entries vanish a little earlier.
const endedPeriod = 4 * time.Second

// RecordReportedEnd records that a lifetime of an upstream has ended at a time, as this or
// another host has found out. It has no effect if the upstream has responded to this host since.
func (p *Pool) RecordReportedEnd(now time.Time, lifetime uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.reportedEnds, func(_ uint64, at time.Time) bool { return now.Sub(at) >= endedPeriod })
	for _, m := range p.members {
		if m.upstream.LifetimeKey() != lifetime || m.upstream.IsDiallingHost() || m.respondedAt.After(at) {
			continue
		}
		if p.reportedEnds == nil {
			p.reportedEnds = make(map[uint64]time.Time)
		}
		p.reportedEnds[lifetime] = at
		if until := at.Add(endedPeriod); until.After(m.downUntil) {
			m.downUntil = until
		}
	}
}

// UsableCount returns the number of upstreams of the service that are in service and neither
// down nor resting, and the number of those that have ended within endedPeriod, also if their
// entries have vanished.
func (p *Pool) UsableCount(now time.Time) (usable, ended int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.upstream.IsDiallingHost() && m.isUsable(now) && m.upstream.Eligibility(now) == inventory.InService {
			usable++
		}
	}
	for _, at := range p.reportedEnds {
		if now.Sub(at) < endedPeriod {
			ended++
		}
	}
	return usable, ended
}
