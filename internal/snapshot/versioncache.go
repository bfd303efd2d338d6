package snapshot

import "time"

// A VersionCache caches, for each shard, which versions can be served and on how
// many replicas, and chooses the version that a new query is pinned to. It is not
// safe for concurrent use.
type VersionCache struct {
	// shards holds the most recent report of each shard, by shard path.
	shards map[string]replicaReport
}

type replicaReport struct {
	receivedAt time.Time
	// replicas holds, by version, how many replicas can serve it.
	replicas map[Version]int
}

// NewVersionCache returns an empty VersionCache.
func NewVersionCache() *VersionCache {
	return &VersionCache{shards: make(map[string]replicaReport)}
}

// Choose returns the newest version that every shard of its shard map can serve on
// at least minReplicas replicas or, if there is none, on at least one replica. The
// function shardPathsOf returns the shard paths of a shard map. The last result is false
// if no version can be served by all its shards.
func (c *VersionCache) Choose(shardPathsOf func(shardMap string) []string, minReplicas int) (Version, bool) {
	candidates := c.candidates()
	for _, replicas := range []int{minReplicas, 1} {
		best := newest(candidates, func(v Version) bool { return c.isServed(v, shardPathsOf(v.ShardMap()), replicas) })
		if !best.IsZero() {
			return best, true
		}
	}
	return Version{}, false
}

// IsFresh reports whether each of these shards has a report that is at most maxAge
// old.
func (c *VersionCache) IsFresh(now time.Time, maxAge time.Duration, shardPaths []string) bool {
	for _, s := range shardPaths {
		r, ok := c.shards[s]
		if !ok || now.Sub(r.receivedAt) > maxAge {
			return false
		}
	}
	return true
}

// MarkUnavailable removes a version from the report of a shard, because the shard
// refused a request for it. The next Update may add the version again.
func (c *VersionCache) MarkUnavailable(shardPath string, v Version) {
	if r, ok := c.shards[shardPath]; ok {
		delete(r.replicas, v)
	}
}

// Update replaces the report of a shard.
func (c *VersionCache) Update(now time.Time, shardPath string, replicas map[Version]int) {
	c.shards[shardPath] = replicaReport{receivedAt: now, replicas: replicas}
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

func (c *VersionCache) isServed(v Version, shardPaths []string, minReplicas int) bool {
	if len(shardPaths) == 0 {
		return false
	}
	for _, s := range shardPaths {
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
