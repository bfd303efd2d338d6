package pool

// This file decides how many attempts upstreams get that have stated how many requests
// they take from all hosts together. It answers load that such upstreams do not take: the
// attempts go to the other upstreams of the service, or are refused before they wait.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// limitMemory is how long the limit of an upstream without an entry is kept.
	limitMemory = time.Minute
	// limitBurst is how long turns accumulate while they are not used.
	limitBurst = time.Second
	// urgentLimitRatio is the part of the accumulated turns that optional attempts leave to
	// the others.
	urgentLimitRatio = 0.4
	// maxTurnDelay bounds the delay until a turn, which a host without a share never has.
	maxTurnDelay = time.Minute
	// maxPromiseDelay bounds the delay after which refused callers may come back, which is
	// when one more turn than were promised before is due.
	maxPromiseDelay = 2 * time.Second
)

// A requestLimit is the limit on requests that one lifetime of an upstream has stated, and
// this host's share of it as a token bucket. A turn is one token: each attempt takes one.
type requestLimit struct {
	// stated is in requests per second, from all hosts together; zero if the last response
	// stated an implausible limit.
	stated float64
	// oddity is the text of the last error of a response that stated an implausible limit.
	oddity string
	// statedAt is when the upstream last stated a limit.
	statedAt time.Time
	// rate is how many turns per second this host has; turns are those it had at updatedAt.
	rate, turns float64
	updatedAt   time.Time
	// burst is how many turns accumulate at most; zero for those of limitBurst.
	burst float64
}

// TurnDelay returns how long an attempt has to wait until an upstream takes it, if all
// upstreams that could run it have stated limits and take none now; zero otherwise.
func (p *Pool) TurnDelay(now time.Time, r Requirements) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turnDelay(now, r)
}

// PromiseTurn returns the delay after which a caller may come back whose request waited for
// a turn. Each call promises the next turn, so that callers do not all come back for the
// same one.
func (p *Pool) PromiseTurn(now time.Time, r Requirements) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now.Add(min(p.turnDelay(now, r), maxPromiseDelay))
	if p.promisedAt.After(at) {
		at = p.promisedAt
	}
	rate := 0.0
	for _, m := range p.members {
		if m.isUsable(now) {
			rate += m.turnRate(now)
		}
	}
	next := at.Add(maxPromiseDelay)
	if rate*maxPromiseDelay.Seconds() > 1 {
		next = at.Add(time.Duration(float64(time.Second) / rate))
	}
	if latest := now.Add(maxPromiseDelay); next.After(latest) {
		next = latest
	}
	p.promisedAt = next
	return at.Sub(now)
}

func (p *Pool) turnDelay(now time.Time, r Requirements) time.Duration {
	shortest := time.Duration(0)
	for _, m := range p.usableMembers(now, r) {
		if !m.isUsable(now) || r.excludes(m) {
			continue
		}
		delay := m.turnDelay(now, r.IsOptional)
		if delay == 0 {
			return 0
		}
		if shortest == 0 || delay < shortest {
			shortest = delay
		}
	}
	return shortest
}

// RecordLimit records what an upstream stated in a response to another host; zero for no
// limit. It has no effect if the upstream has responded to this host since.
func (p *Pool) RecordLimit(now time.Time, u inventory.Upstream, limit float64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.members, func(m *member) bool { return m.upstream.HasSameLifetime(u) })
	if i < 0 {
		return
	}
	if m := p.members[i]; !at.Before(m.respondedAt) && (m.limit == nil || at.After(m.limit.statedAt)) {
		p.setLimit(now, m, limit, at, nil)
	}
}

// recordLimit records what a response states about the limit of its upstream: a new one,
// or that the limit has ended.
func (p *Pool) recordLimit(now time.Time, m *member, o upstream.Outcome) {
	p.setLimit(now, m, o.Limit, now, o.LimitErr)
}

func (p *Pool) setLimit(now time.Time, m *member, limit float64, at time.Time, err error) {
	if limit == 0 && err == nil && m.limit == nil {
		return
	}
	if m.limit == nil {
		m.limit = &requestLimit{updatedAt: now, turns: p.phase()}
		p.limits[m.upstream.LifetimeKey()] = m.limit
	}
	l := m.limit
	oddity := ""
	if err != nil {
		oddity = err.Error()
	}
	isNews := l.stated != limit || (oddity != "" && l.oddity != oddity)
	l.oddity, l.statedAt = oddity, at
	l.set(now, limit, p.limitShare(m.upstream))
	if limit == 0 && err == nil {
		m.limit = nil
		delete(p.limits, m.upstream.LifetimeKey())
	}
	if isNews && p.OnLimit != nil {
		p.OnLimit(m.upstream, limit, at, err)
	}
}

// phase returns which part of a turn this host has when it first hears of a limit, 0 to 1. It
// differs between hosts: those with less than one turn in a window would otherwise all
// take theirs in the same one. It is the same for all upstreams, so that a request that
// gathers finds turns at all shards.
func (p *Pool) phase() float64 { return rand.New(rand.NewPCG(p.Seed, 0)).Float64() }

// limitShare returns the part of an upstream's limit that this host may use.
func (p *Pool) limitShare(u inventory.Upstream) float64 {
	if share, ok := p.policy.LimitShares[u.DataCenter()]; ok {
		return share
	}
	return p.policy.LoadShare
}

// set sets the stated limit, and the rate of turns from this host's share of it.
func (l *requestLimit) set(now time.Time, stated, share float64) {
	l.advance(now)
	l.stated, l.rate = stated, stated*share
	l.turns = min(l.turns, l.capacity())
}

// capacity returns how many turns accumulate at most.
func (l *requestLimit) capacity() float64 {
	if l.burst > 0 {
		return l.burst
	}
	return max(1, l.rate*limitBurst.Seconds())
}

func (l *requestLimit) advance(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.turns = min(l.capacity(), l.turns+l.rate*elapsed.Seconds())
		l.updatedAt = now
	}
}

// turnDelay returns how long an attempt waits for a turn; zero if there is one or no limit.
func (l *requestLimit) turnDelay(now time.Time, isOptional bool) time.Duration {
	if l == nil || l.stated == 0 {
		return 0
	}
	l.advance(now)
	needed := 1.0
	if isOptional {
		needed = max(needed, urgentLimitRatio*l.capacity()+1)
		needed = min(needed, l.capacity())
	}
	if l.turns >= needed {
		return 0
	}
	return min(maxTurnDelay, time.Duration((needed-l.turns)/max(l.rate, 1/maxTurnDelay.Seconds())*float64(time.Second))+time.Microsecond)
}

// take takes a turn for an attempt. It returns the limit, or nil if none applies.
func (l *requestLimit) take() *requestLimit {
	if l == nil || l.stated == 0 {
		return nil
	}
	l.turns--
	return l
}

// giveBack gives back the turn of an attempt that reached no upstream.
func (l *requestLimit) giveBack() {
	if l != nil && l.stated > 0 {
		l.turns = min(l.turns+1, l.capacity())
	}
}
