package pool

// This file records at which services requests wait for room. It answers a load that some shards
// of a gathered answer cannot run in time, while the answer may lack a part: requests that can
// do without a scarce service leave it to those that cannot.

import "time"

// scarcityMemory is for how long a service counts as scarce after a request that requires it
// found no room there. Requests that wait try again more often.
const scarcityMemory = 10 * time.Millisecond

// RecordLack records that a request that cannot be answered without the service found no
// upstream that accepts an attempt.
func (p *Pool) RecordLack(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lackedAt = now
}

// IsScarce reports whether a request that required the service found no room there within
// scarcityMemory.
func (p *Pool) IsScarce(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lackedAt.IsZero() && now.Sub(p.lackedAt) < scarcityMemory
}

// leavesSlot reports whether a member has one more free slot besides the one for an attempt with
// IsSpare. It is true for all other attempts.
func (p *Pool) leavesSlot(now time.Time, m *member, r Requirements) bool {
	return !r.IsSpare || len(m.running)+1 < p.attemptLimit(now, m, r)
}
