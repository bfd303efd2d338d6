// Package pool decides which upstream of a service runs an attempt and when
// another one is asked as well. It does no I/O, reads no clock and starts no
// goroutine.
package pool

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/budget"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// crossFactor and crossDelay are what an upstream of another data centre
	// must be faster by: bytes between data centres cost money, and a part that
	// is a little later is as good as long as the answer is on time. Where no near
	// upstream is sound, troubledFactor holds.
	crossFactor    = 2.8
	troubledFactor = 1.15
	crossDelay     = 2 * time.Millisecond
	// relayedFactor is what an upstream must be faster by than a host that runs
	// attempts at it for this one: its connections are for those that dial it.
	relayedFactor = 4.0
	// failureCost is the share of the target that a failed attempt costs while
	// all extra attempts are left; without any, or after the last attempt that a
	// request may have, it is a missing part, and costs scarceCost more.
	failureCost = 0.3
	scarceCost  = 1.2
	// connectCost is assumed for a new connection until one was made.
	connectCost = 3 * time.Millisecond
	// connectWeight is the weight of one connection in the average.
	connectWeight = 0.2
	// retryReserve is the share of the extra attempts that is kept for retries
	// after a failure; late attempts leave it alone.
	retryReserve = 0.15
	// soundFailures is the failure rate, and soundShare the share of the target
	// that an attempt may take, at an upstream that counts as sound.
	soundFailures = 0.15
	soundShare    = 0.4
	// fullFactor is how much longer an attempt takes at an upstream that runs all
	// it may.
	fullFactor = 2
	// suspectTime is how long a broken connection and a refused one may be
	// apart to tell of a crash.
	suspectTime = time.Second
)

// A Policy bounds what one host may do with the upstreams of a service.
type Policy struct {
	// ExtraRatio is the extra attempts for each request.
	ExtraRatio float64
	// ExtraSlack is the extra attempts besides in any window.
	ExtraSlack float64
	// Window is the length of the windows in which extra attempts are counted.
	Window time.Duration
	// MaxConcurrent is the most attempts at once at one upstream, but not at a host
	// that runs them for this one.
	MaxConcurrent int
}

// A Requirements is what an attempt asks of its upstream.
type Requirements struct {
	LatencyStats *LatencyStats
	// Fingerprint is the request, for telling which one crashes upstreams.
	Fingerprint uint64
	// TriedUpstreams holds the upstreams that have had the request.
	TriedUpstreams []string
	// MaxDuration is how long the attempt may be expected to take; zero for any time.
	MaxDuration time.Duration
	// IsLastAttempt is set if no other attempt may follow: what it fails is lost.
	IsLastAttempt bool
	// DirectOnly is set if the attempt must not go to another host.
	DirectOnly bool
}

// A Assignment is an attempt that was given to an upstream.
type Assignment struct {
	// Upstream is who runs the attempt.
	Upstream inventory.Upstream

	member  *member
	class   *LatencyStats
	usual   time.Duration
	started time.Time
	// fingerprint is the request, for telling which one crashes upstreams.
	fingerprint uint64
}

// A Crash says that an upstream was gone right after connections broke.
type Crash struct {
	Upstream     string
	Fingerprints []uint64
}

// A Pool is what this host knows of the upstreams of one service. It is safe
// for concurrent use.
type Pool struct {
	// DataCenter is the data centre of this host.
	DataCenter string
	// IdleCount returns how many unused connections an upstream has.
	IdleCount func(upstreamID string) int

	mu      sync.Mutex
	policy  Policy
	members []*member
	// relayed is set if other hosts run attempts at the upstreams for this one.
	relayed bool
	extra   *budget.Window
	// connecting is a moving average of how long new connections take.
	connecting time.Duration
	// broken holds the requests whose connections broke, by upstream.
	broken map[string]breakage
}

type breakage struct {
	at           time.Time
	fingerprints []uint64
}

// Configure takes the upstreams that the service has now and the bounds.
func (p *Pool) Configure(now time.Time, upstreams []inventory.Upstream, policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.extra == nil {
		p.extra = budget.NewWindow(now, policy.Window, policy.ExtraRatio, policy.ExtraSlack)
		p.connecting = connectCost
		p.broken = make(map[string]breakage)
	}
	p.extra.SetLimits(policy.ExtraRatio, policy.ExtraSlack)
	p.policy = policy
	p.relayed = slices.ContainsFunc(upstreams, inventory.Upstream.IsDiallingHost)
	old := p.members
	p.members = make([]*member, 0, len(upstreams))
	for _, u := range upstreams {
		i := slices.IndexFunc(old, func(m *member) bool { return m.upstream.SameLifetime(u) })
		if i < 0 {
			p.members = append(p.members, newMember(u))
			continue
		}
		old[i].upstream = u
		p.members = append(p.members, old[i])
	}
	maps.DeleteFunc(p.broken, func(_ string, b breakage) bool { return now.Sub(b.at) > suspectTime })
}

// RecordRequest notes a request for the service.
func (p *Pool) RecordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra.RecordRequest(now)
}

// RemainingExtraRatio returns the share of the extra attempts that is left, 0 to 1.
func (p *Pool) RemainingExtraRatio(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.RemainingRatio(now)
}

// HasCapacity reports whether an upstream takes an attempt now.
func (p *Pool) HasCapacity(now time.Time, c *LatencyStats) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := Requirements{LatencyStats: c}
	return p.best(now, n, inventory.InService) != nil || p.best(now, n, inventory.LastResort) != nil
}

// HasUpstream reports whether the service has any upstream that may take work.
func (p *Pool) HasUpstream(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return m.upstream.Eligibility(now) != inventory.Retired && !m.down(now)
	})
}

// SpendHedge takes an extra attempt for one that is late.
func (p *Pool) SpendHedge(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.RemainingRatio(now) > retryReserve && p.extra.Spend(now)
}

// SpendRetry takes an extra attempt for one that failed.
func (p *Pool) SpendRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.Spend(now)
}

// Refund gives back an extra attempt that never arrived.
func (p *Pool) Refund(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra.Refund(now)
}

// Assign gives an attempt to the best upstream that suits it; nil if there is none.
func (p *Pool) Assign(now time.Time, n Requirements) *Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := n.LatencyStats.TypicalLatency()
	best := p.best(now, n, inventory.InService)
	if best == nil {
		best = p.best(now, n, inventory.LastResort)
	}
	if best == nil || (n.MaxDuration > 0 && best.outlook(now, usual) > n.MaxDuration) {
		return nil
	}
	pick := &Assignment{Upstream: best.upstream, member: best, class: n.LatencyStats, usual: usual, started: now, fingerprint: n.Fingerprint}
	best.running = append(best.running, pick)
	return pick
}

// ExpectedLatency returns how long an attempt is likely to take at the quickest
// upstream. If none takes one now, it is how long the quickest would take after
// one of those under way; zero if there is no upstream at all.
func (p *Pool) ExpectedLatency(now time.Time, c *LatencyStats) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := c.TypicalLatency()
	quickest := time.Duration(0)
	for _, m := range p.members {
		if m.upstream.Eligibility(now) == inventory.Retired || m.down(now) {
			continue
		}
		o := m.outlook(now, usual)
		if len(m.running) >= p.limit(now, m) {
			o = fullFactor * max(o, c.target)
		}
		if quickest == 0 || o < quickest {
			quickest = o
		}
	}
	return quickest
}

// Done notes the end of an attempt. It returns a crash if the end tells of one.
func (p *Pool) Done(now time.Time, pick *Assignment, e upstream.Outcome) *Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := pick.member
	if i := slices.Index(m.running, pick); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
	if e.ConnectDuration > 0 {
		p.connecting += time.Duration(connectWeight * float64(e.ConnectDuration-p.connecting))
	}
	if e.Load != nil {
		m.load, m.loadAt = *e.Load, now
	}
	return p.learn(now, m, pick, e)
}

func (p *Pool) learn(now time.Time, m *member, pick *Assignment, e upstream.Outcome) *Crash {
	if e.AtConnectionLimit {
		m.crowded(now)
	}
	took := now.Sub(pick.started) - e.ConnectDuration
	relative := float64(took) / float64(max(pick.usual, time.Microsecond))
	switch e.Result {
	case upstream.Answered:
		m.reached()
		failed := e.Response.Status >= http.StatusInternalServerError
		if !failed {
			pick.class.observe(now, took)
		}
		m.sample(now, m.bounded(now, pick.started, relative), failed)
	case upstream.Refused:
		m.reached()
		m.sample(now, m.slow(now), true)
	case upstream.Misdirected:
		// The upstream is gone; its entry will follow.
		m.downUntil, m.downFor = now.Add(downMost), downMost
	case upstream.Unreachable:
		if !e.AtConnectionLimit {
			m.unreachable(now)
		}
		if e.ConnectionRefused {
			return p.crash(now, m)
		}
	case upstream.Broken:
		m.sample(now, max(min(relative, maxSample), m.slow(now)), true)
		p.noteBroken(now, m, pick.fingerprint)
	case upstream.Aborted:
		m.sample(now, max(m.bounded(now, pick.started, relative), m.slow(now)), false)
	}
	return nil
}

// best returns the member with the lowest expected time of a standing.
func (p *Pool) best(now time.Time, n Requirements, standing inventory.Eligibility) *member {
	var best *member
	lowest := 0.0
	factor := troubledFactor
	if slices.ContainsFunc(p.members, func(m *member) bool {
		return m.upstream.DataCenter() == p.DataCenter && p.free(now, m, n, standing) && m.sound(now, n.LatencyStats)
	}) {
		factor = crossFactor
	}
	for _, m := range p.members {
		if !p.free(now, m, n, standing) {
			continue
		}
		if s := p.expected(now, m, n, factor); best == nil || s < lowest {
			best, lowest = m, s
		}
	}
	return best
}

// free reports whether a member of this standing takes an attempt now.
func (p *Pool) free(now time.Time, m *member, n Requirements, standing inventory.Eligibility) bool {
	switch {
	case m.upstream.Eligibility(now) != standing || m.down(now) || slices.Contains(n.TriedUpstreams, m.upstream.ID()):
		return false
	case n.DirectOnly && m.upstream.IsDiallingHost():
		return false
	case len(m.running) >= p.limit(now, m):
		return false
	default:
		return !now.Before(m.noDialUntil) || p.connected(m)
	}
}

// limit returns how many attempts at once a member gets.
func (p *Pool) limit(now time.Time, m *member) int {
	if m.upstream.IsDiallingHost() {
		return m.upstream.Slots()
	}
	return m.limit(now, p.policy.MaxConcurrent)
}

// connected reports whether an attempt needs no new connection; those between
// hosts cost little.
func (p *Pool) connected(m *member) bool {
	return m.upstream.IsDiallingHost() || p.IdleCount(m.upstream.ID()) > 0
}

// expected returns how long an attempt would take, in nanoseconds, with what it
// costs besides.
func (p *Pool) expected(now time.Time, m *member, n Requirements, factor float64) float64 {
	cost := float64(m.outlook(now, n.LatencyStats.TypicalLatency()))
	if m.upstream.DataCenter() != p.DataCenter {
		cost = cost*factor + float64(crossDelay)
	}
	if p.relayed && !m.upstream.IsDiallingHost() {
		cost = cost*relayedFactor + float64(p.connecting)
	}
	scarcity := 1 - p.extra.RemainingRatio(now)
	if n.IsLastAttempt {
		scarcity = 1
	}
	cost += (failureCost + scarceCost*scarcity) * m.failureRate(now) * float64(n.LatencyStats.target)
	if !p.connected(m) {
		cost += float64(p.connecting)
	}
	return cost
}

// crash returns the requests that broke their connection to a member right
// before it refused another.
func (p *Pool) crash(now time.Time, m *member) *Crash {
	b, ok := p.broken[m.upstream.ID()]
	delete(p.broken, m.upstream.ID())
	if !ok || now.Sub(b.at) > suspectTime {
		return nil
	}
	return &Crash{Upstream: m.upstream.ID(), Fingerprints: b.fingerprints}
}

func (p *Pool) noteBroken(now time.Time, m *member, fingerprint uint64) {
	b := p.broken[m.upstream.ID()]
	if now.Sub(b.at) > suspectTime {
		b.fingerprints = nil
	}
	b.at = now
	if !slices.Contains(b.fingerprints, fingerprint) {
		b.fingerprints = append(b.fingerprints, fingerprint)
	}
	p.broken[m.upstream.ID()] = b
}
