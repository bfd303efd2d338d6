package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// reserveTurn returns the turn at cold upstreams for one part of a search that another host
// forwards. ok is false if this host has no turns for enough of its shards.
func (h *Host) reserveTurn(now time.Time, r *wire.RelayRequest, requirements pool.Requirements) (turn *pool.ReservedTurn, ok bool) {
	shards, required := h.coldShards(now, r)
	if len(shards) == 0 {
		return nil, true
	}
	// Callers choose the ids of their requests, so that different searches may share one.
	key := quarantine.FormatFingerprint(r.GetFingerprint()) + " " + r.GetRequestId()
	return h.turns.Take(now, key, r.GetService(), shards, required, requirements)
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
