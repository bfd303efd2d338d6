package snapshot

import "time"

// A VersionCache caches which versions each shard can serve, and chooses the
// version that a new query is pinned to. It is not safe for concurrent use.
type VersionCache struct {
	// shards holds the most recent report of each shard, by shard name.
	shards map[string]replicaReport
}

type replicaReport struct {
	receivedAt time.Time
	replicas   map[Version]int
}

// NewVersionCache returns an empty VersionCache.
func NewVersionCache() *VersionCache {
	return &VersionCache{shards: make(map[string]replicaReport)}
}

// Choose returns the newest version that every shard named by shardsOf can
// serve on at least minReplicas replicas or, if there is none, on one replica.
// The result is false if no version can be served by all shards.
func (c *VersionCache) Choose(shardsOf func(shardMap string) []string, minReplicas int) (Version, bool) {
	candidates := c.candidates()
	for _, replicas := range []int{minReplicas, 1} {
		best := newest(candidates, func(v Version) bool { return c.isServed(v, shardsOf(v.ShardMap()), replicas) })
		if !best.IsZero() {
			return best, true
		}
	}
	return Version{}, false
}

// IsFresh reports whether all these shards were reported within maxAge of now.
func (c *VersionCache) IsFresh(now time.Time, maxAge time.Duration, shards []string) bool {
	for _, s := range shards {
		r, ok := c.shards[s]
		if !ok || now.Sub(r.receivedAt) > maxAge {
			return false
		}
	}
	return true
}

// MarkUnavailable records that a shard reported a version as no longer served.
func (c *VersionCache) MarkUnavailable(shard string, v Version) {
	if r, ok := c.shards[shard]; ok {
		delete(r.replicas, v)
	}
}

// Update replaces the report of a shard.
func (c *VersionCache) Update(now time.Time, shard string, replicas map[Version]int) {
	c.shards[shard] = replicaReport{receivedAt: now, replicas: replicas}
}

func (c *VersionCache) candidates() map[Version]bool {
	set := make(map[Version]bool)
	for _, r := range c.shards {
		for v := range r.replicas {
			set[v] = true
		}
	}
	return set
}

func (c *VersionCache) isServed(v Version, shards []string, minReplicas int) bool {
	if len(shards) == 0 {
		return false
	}
	for _, s := range shards {
		if c.shards[s].replicas[v] < minReplicas {
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
