package host

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// maxNewsPerMessage bounds the news in one message to another host.
	maxNewsPerMessage = 8
	// newsPeriod is how long news is sent to other hosts after this host has learned it.
	newsPeriod = 10 * time.Second
	// maxNewsAge bounds the age of news that other hosts send.
	maxNewsAge = 30 * time.Second
	// maxNews bounds the news that is kept.
	maxNews = 256
)

// An upstreamNews is what one lifetime of an upstream has stated about itself in a response
// to some host.
type upstreamNews struct {
	upstreamID string
	lifetime   uint64
	// leaving is set if the upstream leaves. Otherwise limit is its limit on requests, zero if
	// it has none any more.
	leaving bool
	limit   float64
	// at is when it was stated.
	at time.Time
}

// A newsKey identifies what news is about. Later news replaces earlier.
type newsKey struct {
	lifetime uint64
	leaving  bool
}

// A newsBoard holds what upstreams have recently stated, to be passed on to other hosts. It
// is safe for concurrent use.
type newsBoard struct {
	mu    sync.Mutex
	items map[newsKey]newsItem
}

type newsItem struct {
	upstreamNews
	// learnedAt is when this host learned it.
	learnedAt time.Time
}

// record adds news and reports whether it was unknown: none was known, or an older one with
// another limit.
func (b *newsBoard) record(now time.Time, n upstreamNews) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := newsKey{lifetime: n.lifetime, leaving: n.leaving}
	if known, ok := b.items[key]; ok && (known.limit == n.limit || !n.at.After(known.at)) {
		return false
	}
	if b.items == nil {
		b.items = make(map[newsKey]newsItem)
	}
	b.makeRoom(now)
	b.items[key] = newsItem{upstreamNews: n, learnedAt: now}
	return true
}

// recent returns the news that other hosts may not have yet.
func (b *newsBoard) recent(now time.Time) []upstreamNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []upstreamNews
	// The iteration order is random, so that news takes turns.
	for _, i := range b.items {
		if now.Sub(i.learnedAt) <= newsPeriod && len(list) < maxNewsPerMessage {
			list = append(list, i.upstreamNews)
		}
	}
	return list
}

// makeRoom removes news that is too old for other hosts and, if there is still too much, the
// oldest.
func (b *newsBoard) makeRoom(now time.Time) {
	if len(b.items) < maxNews {
		return
	}
	var kept []newsItem
	for _, i := range b.items {
		if now.Sub(i.at) <= maxNewsAge {
			kept = append(kept, i)
		}
	}
	slices.SortFunc(kept, func(a, b newsItem) int { return cmp.Compare(b.learnedAt.UnixNano(), a.learnedAt.UnixNano()) })
	clear(b.items)
	for _, i := range kept[:min(len(kept), maxNews-1)] {
		b.items[newsKey{lifetime: i.lifetime, leaving: i.leaving}] = i
	}
}

// news returns the news for a message to another host.
func (h *Host) news() []*wire.UpstreamNews {
	now := time.Now()
	var encoded []*wire.UpstreamNews
	for _, n := range h.newsBoard.recent(now) {
		encoded = append(encoded, &wire.UpstreamNews{
			Upstream: n.upstreamID, Lifetime: n.lifetime, Leaving: n.leaving, LimitStated: !n.leaving, Limit: n.limit, AgeMicros: now.Sub(n.at).Microseconds(),
		})
	}
	return encoded
}

// applyNews handles the news in a message of another host.
func (h *Host) applyNews(source string, list []*wire.UpstreamNews) {
	now := time.Now()
	for _, encoded := range list[:min(maxNewsPerMessage, len(list))] {
		age := time.Duration(encoded.GetAgeMicros()) * time.Microsecond
		n := upstreamNews{
			upstreamID: encoded.GetUpstream(), lifetime: encoded.GetLifetime(), leaving: encoded.GetLeaving(), limit: encoded.GetLimit(), at: now.Add(-age),
		}
		if age < 0 || age > maxNewsAge || n.leaving == encoded.GetLimitStated() || !upstream.IsPlausibleLimit(n.limit) {
			continue
		}
		u, ok := h.upstreamOf(n)
		if !ok || !h.newsBoard.record(now, n) {
			continue
		}
		if n.leaving {
			h.applyLeaving(u, source)
			continue
		}
		h.pool(u.Service()).RecordLimit(now, u, n.limit, n.at)
	}
}

// recordLimit records a change of the limit that an upstream has stated. err is set if it is an
// implausible one.
func (h *Host) recordLimit(u inventory.Upstream, limit float64, at time.Time, err error) {
	h.newsBoard.record(time.Now(), upstreamNews{upstreamID: u.ID(), lifetime: u.LifetimeKey(), limit: limit, at: at})
	h.requestLog.recordLimit(u, limit, err)
}

// upstreamOf returns the upstream that news is about, if this host knows its lifetime.
func (h *Host) upstreamOf(n upstreamNews) (inventory.Upstream, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	u, ok := h.inventory.Upstream(n.upstreamID)
	return u, ok && u.LifetimeKey() == n.lifetime
}
