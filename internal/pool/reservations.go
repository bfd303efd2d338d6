package pool

// This file reserves turns at cold upstreams for searches that other hosts forward shard by
// shard. If only some of the shards had a turn, the search would fail and these turns would be
// lost: under a load of three times the limit, 900 of 1,500 searches ended that way.

import (
	"sync"
	"time"
)

const (
	// reservationPeriod is how long after the first part of a search the other parts may
	// arrive. They are sent at the same moment.
	reservationPeriod = 50 * time.Millisecond
	// maxReservations bounds the searches that are remembered.
	maxReservations = 1024
)

// Reservations holds the turns reserved for searches. The zero value is ready to use. It is safe for
// concurrent use.
type Reservations struct {
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
	pool *Pool
	turn *ReservedTurn
}

// Take returns the turn for one part of the search with a key, at the pool of one of its shards, by
// service. With the first part, turns at all shards are reserved. ok is false if there are none for
// as many shards as the search requires.
func (t *Reservations) Take(now time.Time, key, service string, shards map[string]*Pool, required int, r Requirements) (turn *ReservedTurn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.searches[key]
	if s == nil {
		s = &reservation{until: now.Add(reservationPeriod)}
		r.TriedUpstreams = nil
		s.turns = reserveAll(now, shards, required, r)
		t.add(key, s)
	}
	reserved, ok := s.turns[service]
	delete(s.turns, service)
	return reserved.turn, ok
}

// Maintain gives back the turns of searches whose period has ended.
func (t *Reservations) Maintain(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

// Held returns how many turns are reserved.
func (t *Reservations) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := 0
	for _, s := range t.searches {
		held += len(s.turns)
	}
	return held
}

// reserveAll reserves turns at shards, or none if fewer than required have one.
func reserveAll(now time.Time, shards map[string]*Pool, required int, r Requirements) map[string]reservedTurn {
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
func (t *Reservations) add(key string, s *reservation) {
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
func (t *Reservations) expire(now time.Time) {
	for len(t.order) > 0 && now.After(t.searches[t.order[0]].until) {
		t.forgetOldest()
	}
}

func (t *Reservations) forgetOldest() {
	releaseAll(t.searches[t.order[0]].turns)
	delete(t.searches, t.order[0])
	t.order = t.order[1:]
}
