package budget

import (
	"math"
	"time"
)

const (
	// borrowableRatio is the part of a budget that all may use, whoever earned it. An account
	// whose requests fail all the time then leaves three quarters to the others.
	borrowableRatio = 0.25
	// maxSharers bounds the keys of Shares; more are not counted, and may only use what all
	// may.
	maxSharers = 16_384
	// A key is forgotten once its counts have decayed below negligibleCount.
	negligibleCount = 0.01
)

// Shares divides a budget for extra attempts among those who earn it by their requests. The
// load that it addresses: most requests of one account fail, or it sends many times its
// usual rate, and its retries and hedges use up the extra attempts of all. K identifies an
// account. Counts decay over a window. Use NewShares. Shares is not safe for concurrent use.
type Shares[K comparable] struct {
	window  time.Duration
	byKey   map[K]*share
	sweptAt time.Time
}

// A share holds the decayed counts of one key as of at.
type share struct {
	requests, extras float64
	at               time.Time
}

// NewShares returns Shares that count over about a window.
func NewShares[K comparable](window time.Duration) *Shares[K] {
	return &Shares[K]{window: window, byKey: make(map[K]*share)}
}

// RecordRequests counts requests of a key.
func (s *Shares[K]) RecordRequests(now time.Time, key K, count int) {
	if h := s.share(now, key); h != nil {
		h.requests += float64(count)
	}
}

// RecordExtra counts an extra attempt of a key, or with -1 that one was not made.
func (s *Shares[K]) RecordExtra(now time.Time, key K, count int) {
	if h := s.share(now, key); h != nil {
		h.extras = max(0, h.extras+float64(count))
	}
}

// MaySpend reports whether a key may use one more extra attempt: it has earned it at a ratio
// of extra attempts to requests, or so much of the budget remains that all may use it. One
// more than it has earned is allowed, for keys with few requests.
func (s *Shares[K]) MaySpend(now time.Time, key K, ratio, remainingRatio float64) bool {
	if remainingRatio > 1-borrowableRatio {
		return true
	}
	h := s.share(now, key)
	return h != nil && h.extras <= ratio*h.requests
}

// share returns the counts of a key, decayed until now; nil if there are too many keys.
func (s *Shares[K]) share(now time.Time, key K) *share {
	if now.Sub(s.sweptAt) > s.window {
		s.sweep(now)
	}
	h := s.byKey[key]
	if h == nil {
		if len(s.byKey) >= maxSharers {
			return nil
		}
		h = &share{at: now}
		s.byKey[key] = h
	}
	h.decay(now, s.window)
	return h
}

func (s *Shares[K]) sweep(now time.Time) {
	s.sweptAt = now
	for k, h := range s.byKey {
		if h.decay(now, s.window); h.requests < negligibleCount && h.extras < negligibleCount {
			delete(s.byKey, k)
		}
	}
}

func (h *share) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(h.at); elapsed > 0 {
		weight := math.Exp(-float64(elapsed) / float64(window))
		h.requests *= weight
		h.extras *= weight
		h.at = now
	}
}
