package inventory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MaxNewsPerMessage bounds the news in one message to another host.
	MaxNewsPerMessage = 8
	// newsPeriod is how long news is sent to other hosts after this host has learned it.
	newsPeriod = 10 * time.Second
	// MaxNewsAge bounds the age of news that other hosts send.
	MaxNewsAge = 30 * time.Second
	// maxNews bounds the news that is kept.
	maxNews = 256
)

// News is what one lifetime of an upstream has stated about itself in a response
// to some host.
type News struct {
	upstreamID string
	lifetime   uint64
	// leaving is set if the upstream leaves. Otherwise limit is its limit on requests, zero if
	// it has none any more.
	leaving bool
	limit   float64
	// at is when it was stated.
	at time.Time
}

// NewLeavingNews returns the news that an upstream has stated at a time that it leaves.
func NewLeavingNews(u Upstream, at time.Time) News {
	return News{upstreamID: u.ID(), lifetime: u.LifetimeKey(), leaving: true, at: at}
}

// NewLimitNews returns the news that an upstream has stated a limit, in requests per second, at a
// time; zero if it has none any more.
func NewLimitNews(u Upstream, limit float64, at time.Time) News {
	return News{upstreamID: u.ID(), lifetime: u.LifetimeKey(), limit: limit, at: at}
}

// At returns when it was stated.
func (n News) At() time.Time { return n.at }

// IsLeaving reports whether the upstream leaves. Otherwise the news is about its limit.
func (n News) IsLeaving() bool { return n.leaving }

// Lifetime returns the key of the lifetime that has stated it.
func (n News) Lifetime() uint64 { return n.lifetime }

// Limit returns the limit in requests per second; zero if the upstream has none any more.
func (n News) Limit() float64 { return n.limit }

// UpstreamID returns the ID of the upstream.
func (n News) UpstreamID() string { return n.upstreamID }

// A newsKey identifies what news is about. Later news replaces earlier.
type newsKey struct {
	lifetime uint64
	leaving  bool
}

// A NewsBoard holds what upstreams have recently stated, to be passed on to other hosts. It
// is safe for concurrent use.
type NewsBoard struct {
	mu    sync.Mutex
	items map[newsKey]newsItem
}

type newsItem struct {
	News
	// learnedAt is when this host learned it.
	learnedAt time.Time
}

// Record adds news and reports whether it was unknown: none was known, or an older one with
// another limit.
func (b *NewsBoard) Record(now time.Time, n News) bool {
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
	b.items[key] = newsItem{News: n, learnedAt: now}
	return true
}

// Recent returns the news that other hosts may not have yet.
func (b *NewsBoard) Recent(now time.Time) []News {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []News
	// The iteration order is random, so that news takes turns.
	for _, i := range b.items {
		if now.Sub(i.learnedAt) <= newsPeriod && len(list) < MaxNewsPerMessage {
			list = append(list, i.News)
		}
	}
	return list
}

// makeRoom removes news that is too old for other hosts and, if there is still too much, the
// oldest.
func (b *NewsBoard) makeRoom(now time.Time) {
	if len(b.items) < maxNews {
		return
	}
	var kept []newsItem
	for _, i := range b.items {
		if now.Sub(i.at) <= MaxNewsAge {
			kept = append(kept, i)
		}
	}
	slices.SortFunc(kept, func(a, b newsItem) int { return cmp.Compare(b.learnedAt.UnixNano(), a.learnedAt.UnixNano()) })
	clear(b.items)
	for _, i := range kept[:min(len(kept), maxNews-1)] {
		b.items[newsKey{lifetime: i.lifetime, leaving: i.leaving}] = i
	}
}
