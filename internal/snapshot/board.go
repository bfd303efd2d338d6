package snapshot

import "time"

// A VersionCache remembers which versions each shard can serve and chooses the one
// that a new query is pinned to. It is not safe for concurrent use.
type VersionCache struct {
	// shards holds the newest report of each shard, by shard name.
	shards map[string]report
}

type report struct {
	at       time.Time
	replicas map[Version]int
}

// NewVersionCache returns an empty Board.
func NewVersionCache() *VersionCache {
	return &VersionCache{shards: make(map[string]report)}
}

// Choose returns the newest version that every shard named by shardsOf can
// serve on at least minReplicas replicas; failing that, on one replica. The
// result is false if no version can be served by all.
func (b *VersionCache) Choose(shardsOf func(shardMap string) []string, minReplicas int) (Version, bool) {
	candidates := b.candidates()
	for _, need := range []int{minReplicas, 1} {
		best := newest(candidates, func(v Version) bool { return b.served(v, shardsOf(v.ShardMap()), need) })
		if !best.IsZero() {
			return best, true
		}
	}
	return Version{}, false
}

// IsFresh reports whether all these shards were reported within maxAge of now.
func (b *VersionCache) IsFresh(now time.Time, maxAge time.Duration, shards []string) bool {
	for _, s := range shards {
		r, ok := b.shards[s]
		if !ok || now.Sub(r.at) > maxAge {
			return false
		}
	}
	return true
}

// MarkUnavailable notes that a shard said it no longer serves a version.
func (b *VersionCache) MarkUnavailable(shard string, v Version) {
	if r, ok := b.shards[shard]; ok {
		delete(r.replicas, v)
	}
}

// Update replaces what is known of a shard.
func (b *VersionCache) Update(now time.Time, shard string, replicas map[Version]int) {
	b.shards[shard] = report{at: now, replicas: replicas}
}

func (b *VersionCache) candidates() map[Version]bool {
	set := make(map[Version]bool)
	for _, r := range b.shards {
		for v := range r.replicas {
			set[v] = true
		}
	}
	return set
}

func (b *VersionCache) served(v Version, shards []string, need int) bool {
	if len(shards) == 0 {
		return false
	}
	for _, s := range shards {
		if b.shards[s].replicas[v] < need {
			return false
		}
	}
	return true
}

func newest(candidates map[Version]bool, accept func(Version) bool) Version {
	best := Version{}
	for v := range candidates {
		if v.Newer(best) && accept(v) {
			best = v
		}
	}
	return best
}
