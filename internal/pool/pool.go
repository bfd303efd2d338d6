// Package pool decides which upstream of a service runs an attempt and when it is
// hedged. It does no I/O, reads no clock and starts no goroutine.
package pool

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/budget"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// initialConnectDuration is the assumed duration of opening a connection until
	// the first one has been opened.
	initialConnectDuration = 3 * time.Millisecond
	// connectWeight is the weight of one connection in the moving average.
	connectWeight = 0.2
	// retryReserveRatio is the ratio of the allowed extra attempts that hedges leave
	// for retries after failures.
	retryReserveRatio = 0.15
)

// A Policy bounds how one host uses the upstreams of a service.
type Policy struct {
	// ExtraRatio is the number of extra attempts allowed for each request.
	ExtraRatio float64
	// ExtraSlack is the number of extra attempts allowed in each window in addition to
	// those that ExtraRatio allows. It takes effect gradually during the first window
	// after the first Configure.
	ExtraSlack float64
	// Window is the length of the sliding window in which extra attempts are
	// counted.
	Window time.Duration
	// LoadShare is the part of the service's load that this host carries, 0 to 1. That
	// part of an upstream's slots is always available to this host.
	LoadShare float64
	// LimitShares is the part of the limits on requests that upstreams of a data centre state
	// which this host may use, 0 to 1; LoadShare applies to other data centres.
	LimitShares map[string]float64
	// ColdLimit bounds this host's requests at each cold upstream; nil for no bound.
	ColdLimit *ColdLimit
	// MaxConcurrent bounds the concurrent attempts at one upstream; it does not
	// apply to dialling hosts.
	MaxConcurrent int
}

// A Pool holds this host's records of the upstreams of one service and assigns
// attempts to them. It is safe for concurrent use.
type Pool struct {
	// DataCenter is the data centre of this host.
	DataCenter string
	// Seed differs between hosts. The phase of their turns at upstreams with a limit on
	// requests is derived from it.
	Seed uint64
	// IdleCount returns how many unused connections an upstream has.
	IdleCount func(upstreamID string) int
	// Links may be nil: all connections work.
	Links Links
	// OnLimit is called when another limit on requests of an upstream becomes known than
	// before, in requests per second, with the time at which it was stated; zero if it states
	// none any more or, with an error, an implausible one. It must not call methods of the
	// Pool. It may be nil.
	OnLimit func(u inventory.Upstream, limit float64, at time.Time, err error)
	// Recorder records assignments that are ended twice. It may be nil.
	Recorder *invariant.Recorder

	mu     sync.Mutex
	policy Policy
	// held counts the assignments that have not ended, also those at upstreams that are gone.
	held int
	// members are the upstreams and the dialling hosts, followed by the detours and the hosts
	// that send to cold upstreams.
	members                  []*member
	detourCount, senderCount int
	// hasDiallingHosts is set if dialling hosts run attempts at the upstreams for
	// this host.
	hasDiallingHosts bool
	// hasEvacuated is set if any upstream is in an evacuated data centre.
	hasEvacuated bool
	extra        *budget.Window
	// connectDuration is a moving average of the duration of connecting.
	connectDuration time.Duration
	unanswered      unansweredAttempts
	// reportedEnds holds when upstreams have ended, by lifetime, as this or another host has found
	// out.
	reportedEnds map[uint64]time.Time
	// restUntil holds until when upstreams want no requests, by lifetime, so that an
	// upstream whose entry was away rests on.
	restUntil map[uint64]time.Time
	// limits holds the limits that upstreams have stated, by lifetime, so that an upstream
	// whose entry was away keeps its limit.
	limits map[uint64]*requestLimit
	// lackedAt is when a request that required the service last found no room; zero if none has.
	lackedAt time.Time
	// promisedAt is the next turn that was not promised to a refused caller.
	promisedAt time.Time
}

// Configure sets the current upstreams of the service and the policy. An upstream of
// the same lifetime as before keeps its record.
func (p *Pool) Configure(now time.Time, upstreams []inventory.Upstream, policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.extra == nil {
		p.extra = budget.NewWindow(now, policy.Window, policy.ExtraRatio, policy.ExtraSlack)
		p.connectDuration = initialConnectDuration
		p.restUntil = make(map[uint64]time.Time)
		p.limits = make(map[uint64]*requestLimit)
	}
	p.extra.SetLimits(policy.ExtraRatio, policy.ExtraSlack)
	p.policy = policy
	p.hasEvacuated = slices.ContainsFunc(upstreams, inventory.Upstream.IsEvacuated)
	p.hasDiallingHosts = slices.ContainsFunc(upstreams, func(u inventory.Upstream) bool { return u.IsDiallingHost() && !u.IsDetour() && !u.IsColdSender() })
	old := p.members
	p.members = make([]*member, 0, len(upstreams))
	for _, u := range upstreams {
		i := slices.IndexFunc(old, func(m *member) bool { return m.upstream.HasSameLifetime(u) })
		if i < 0 {
			m := newMember(u)
			m.restUntil, m.limit = p.restUntil[u.LifetimeKey()], p.limits[u.LifetimeKey()]
			p.members = append(p.members, m)
			p.limitCold(now, m, false)
			continue
		}
		wasCold := old[i].isCold(now)
		old[i].upstream = u
		p.limitCold(now, old[i], wasCold)
		p.members = append(p.members, old[i])
	}
	p.linkOwners()
	p.detourCount, p.senderCount = 0, 0
	for _, m := range p.members {
		if m.upstream.IsColdSender() {
			p.senderCount++
		}
		if m.upstream.IsDetour() {
			p.detourCount++
		}
		if m.limit != nil {
			m.limit.set(now, m.limit.stated, p.limitShare(m.upstream))
		}
	}
	p.unanswered.removeExpired(now)
	maps.DeleteFunc(p.restUntil, func(_ uint64, until time.Time) bool { return !until.After(now) })
	maps.DeleteFunc(p.limits, func(key uint64, l *requestLimit) bool {
		return now.Sub(l.statedAt) > limitMemory && !slices.ContainsFunc(upstreams, func(u inventory.Upstream) bool { return u.LifetimeKey() == key })
	})
}

// RecordRequest counts a request for the service, which raises the budget for extra
// attempts.
func (p *Pool) RecordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra.RecordRequest(now)
}

// RemainingExtraRatio returns the number of extra attempts that remain, divided by the
// number allowed: 0 to 1.
func (p *Pool) RemainingExtraRatio(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.RemainingRatio(now)
}

// RestingUntil returns when the first of the upstreams that rest may be used again; zero if
// none rests.
func (p *Pool) RestingUntil(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, m := range p.members {
		if m.isResting(now) && m.upstream.Eligibility(now) != inventory.Retired && (first.IsZero() || m.restUntil.Before(first)) {
			first = m.restUntil
		}
	}
	return first
}

// IsUpstreamResponding reports whether the upstream of an assignment has responded to any
// attempt in the second half of the time since the assignment.
func (p *Pool) IsUpstreamResponding(now time.Time, a *Assignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.member.respondedAt.After(a.startedAt.Add(now.Sub(a.startedAt) / 2))
}

// HasUpstream reports whether any upstream of the service is neither retired nor down nor
// resting, and this host or another one reaches it.
func (p *Pool) HasUpstream(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.usableMembers(now, Requirements{}), func(m *member) bool { return m.isUsable(now) && p.hasLink(now, m) })
}

// SpendHedge counts an extra attempt for a hedge and reports true, unless only the
// reserve for retries remains.
func (p *Pool) SpendHedge(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.RemainingRatio(now) > retryReserveRatio && p.extra.Spend(now)
}

// SpendRetry counts an extra attempt for a retry and reports true, unless none remains.
func (p *Pool) SpendRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.Spend(now)
}

// Refund removes an extra attempt that was counted at spentAt, but reached no upstream.
func (p *Pool) Refund(now, spentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra.Refund(now, spentAt)
}

// Assign assigns an attempt to the upstream with the lowest expected cost. It returns
// nil if no upstream accepts the attempt, or if MaxDuration is below the expected
// latency at that upstream. The caller ends the assignment once, with Unassign or RecordOutcome.
func (p *Pool) Assign(now time.Time, r Requirements) *Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Reserved.release()
	typical := r.LatencyStats.TypicalLatency()
	best := p.selectMember(now, r)
	if best == nil || (r.MaxDuration > 0 && best.expectedLatency(now, typical) > r.MaxDuration) {
		return nil
	}
	assignment := &Assignment{
		Upstream: best.upstream, member: best, latencyStats: r.LatencyStats, typicalLatency: typical, startedAt: now, earliestBegin: now, fingerprint: r.Fingerprint, waitsInOrder: r.WaitsInOrder,
	}
	if !r.LatencyStats.isGather {
		assignment.expectedWait = best.queueWait(now, r.LatencyStats)
	}
	best.running = append(best.running, assignment)
	assignment.turn = best.takeTurn(now)
	p.held++
	return assignment
}

// Held returns the number of assignments that have not ended.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// end ends an assignment. It reports false if the assignment has ended before. The caller holds p.mu.
func (p *Pool) end(a *Assignment) bool {
	if a.hasEnded {
		return false
	}
	a.hasEnded = true
	p.held--
	a.member.remove(a)
	return true
}

// Unassign cancels an assignment whose attempt has not started.
func (p *Pool) Unassign(assignment *Assignment) {
	p.mu.Lock()
	isFirst := p.end(assignment)
	if isFirst {
		assignment.turn.giveBack()
	}
	p.mu.Unlock()
	p.checkEnd(assignment, isFirst)
}

// checkEnd records a violation if an assignment had ended before. The caller does not hold p.mu: the
// Recorder may block.
func (p *Pool) checkEnd(a *Assignment, isFirst bool) {
	if isFirst {
		return
	}
	p.Recorder.Check(false, invariant.EndedOnce, "assignment at upstream %s", a.Upstream.ID())
}

// RecordEnd records that an upstream has ended without notice. It returns the recent
// attempts there that were reported to RecordUnanswered.
func (p *Pool) RecordEnd(now time.Time, u inventory.Upstream) []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered.end(now, u)
}

// RecordUnanswered records an attempt without a response, of a request to which no other
// upstream of the service has responded. It returns the attempt as a crash if the upstream
// has ended since; otherwise RecordEnd or RecordOutcome will return it if the upstream ends
// within unansweredWindow.
func (p *Pool) RecordUnanswered(now time.Time, a *Assignment, testRun bool) []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered.record(now, a, testRun)
}

// RecordOutcome records the outcome of an attempt. If the outcome states that the
// upstream has ended, it returns the same as RecordEnd.
func (p *Pool) RecordOutcome(now time.Time, assignment *Assignment, o upstream.Outcome) []Crash {
	p.mu.Lock()
	if !assignment.hasEnded {
		assignment.member.recordFreeSlot(now)
	}
	isFirst := p.end(assignment)
	var crashes []Crash
	if isFirst {
		crashes = p.recordOutcome(now, assignment, o)
	}
	p.mu.Unlock()
	p.checkEnd(assignment, isFirst)
	return crashes
}

func (p *Pool) recordOutcome(now time.Time, assignment *Assignment, o upstream.Outcome) []Crash {
	m := assignment.member
	if o.ConnectDuration > 0 {
		p.connectDuration += time.Duration(connectWeight * float64(o.ConnectDuration-p.connectDuration))
	}
	if o.Load != nil {
		m.load, m.loadAt = *o.Load, now
		// The upstream counts this attempt as well.
		m.foreignLoad = max(0, o.Load.Running+o.Load.Waiting-len(m.running)-1)
	}
	if !o.RestUntil.IsZero() {
		p.recordRest(m, o)
	}
	if (o.Result == upstream.Answered || o.Result == upstream.Refused) && !m.upstream.IsDiallingHost() {
		p.recordLimit(now, m, o)
	}
	return p.updateMember(now, m, assignment, o)
}

// recordRest records until when an upstream wants no requests: the member's, or the one to
// which another host forwarded the attempt.
func (p *Pool) recordRest(m *member, o upstream.Outcome) {
	if o.ForwardedTo != "" {
		i := slices.IndexFunc(p.members, func(m *member) bool { return m.upstream.ID() == o.ForwardedTo })
		if i < 0 {
			return
		}
		m = p.members[i]
	}
	if o.RestUntil.After(m.restUntil) {
		m.restUntil = o.RestUntil
		p.restUntil[m.upstream.LifetimeKey()] = o.RestUntil
	}
}

// updateMember updates a member with the outcome of an attempt and returns the result
// of RecordOutcome.
func (p *Pool) updateMember(now time.Time, m *member, assignment *Assignment, o upstream.Outcome) []Crash {
	if o.AtConnectionLimit {
		m.recordConnectionLimit(now)
	}
	elapsed := now.Sub(assignment.startedAt) - o.ConnectDuration
	slowness := float64(elapsed) / float64(max(assignment.typicalLatency, time.Microsecond))
	if stats := assignment.latencyStats; stats.isGather && (o.Result == upstream.Answered || o.Result == upstream.Aborted) {
		m.lateness.record(now, assignment.startedAt.Add(o.ConnectDuration), stats.target, len(m.running), p.slotShare(m), p.connectionLimit(now, m))
	}
	p.recordPace(now, m, assignment, o)
	p.recordColdRefusal(now, m, assignment.startedAt, o)
	switch o.Result {
	case upstream.Answered:
		p.unanswered.answer(assignment)
		p.setOwnsAddress(m, true)
		m.recordReachable(now)
		failed := o.Response.Status >= http.StatusInternalServerError
		if !failed {
			assignment.latencyStats.record(now, elapsed, assignment.Wait())
		}
		m.addSample(now, m.boundSlowness(now, assignment.startedAt, slowness), failed)
	case upstream.Refused:
		if o.NoRoute {
			m.recordUnreachable(now)
			break
		}
		p.setOwnsAddress(m, true)
		m.recordReachable(now)
		m.addSample(now, m.currentSlowness(now), true)
	case upstream.Misdirected:
		// Another upstream has the address now, and the entry of this upstream will be
		// removed unless it was never right.
		p.recordMisdirected(now, m)
		if !m.upstream.IsDraining() {
			return p.unanswered.end(now, m.upstream)
		}
	case upstream.Unreachable:
		assignment.turn.giveBack()
		if !o.AtConnectionLimit && !o.ConnectAborted && !m.isUnreachable {
			m.recordUnreachable(now)
		}
	case upstream.Broken:
		m.addSample(now, max(min(slowness, maxUnconfirmedSlowness), m.currentSlowness(now)), true)
		if o.UpstreamEnded && !m.upstream.IsDiallingHost() {
			m.recordUnreachable(now)
			return p.unanswered.end(now, m.upstream)
		}
	case upstream.Aborted:
		m.addSample(now, max(m.boundSlowness(now, assignment.startedAt, slowness), m.currentSlowness(now)), false)
	}
	return nil
}
