package quarantine

import "time"

const (
	// knownPeriod is the least time for which an answered request is known, unless
	// maxKnown others are answered meanwhile.
	knownPeriod = 30 * time.Second
	// maxKnown bounds each of the two generations of known requests: half a megabyte in all.
	maxKnown = 8192
)

// KnownRequests remember the requests that were answered recently, by fingerprint. They crash no
// upstreams. They are not safe for concurrent use.
type KnownRequests struct {
	recent, older map[uint64]struct{}
	// startedAt is when recent became the current generation.
	startedAt time.Time
}

// Add records that a request was answered.
func (k *KnownRequests) Add(now time.Time, fingerprint uint64) {
	if k.recent == nil || len(k.recent) >= maxKnown || now.Sub(k.startedAt) >= knownPeriod {
		k.older, k.recent, k.startedAt = k.recent, make(map[uint64]struct{}), now
	}
	k.recent[fingerprint] = struct{}{}
}

// Contains reports whether a request was answered recently.
func (k *KnownRequests) Contains(now time.Time, fingerprint uint64) bool {
	if now.Sub(k.startedAt) >= 2*knownPeriod {
		return false
	}
	_, isRecent := k.recent[fingerprint]
	_, isOlder := k.older[fingerprint]
	return isRecent || isOlder
}
