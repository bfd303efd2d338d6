// Package snapshot identifies the index versions that answers are taken from.
package snapshot

import "fmt"

// A Version is one immutable state of the indexes of a service. Versions of
// different shard maps are never merged into one answer.
type Version struct {
	// number orders the versions of a service, under all shard maps. It is zero for
	// "no version".
	number uint64
	// shardMap names the shard map that partitions this version.
	shardMap string
}

// New returns the version with this number under this shard map.
func New(number uint64, shardMap string) Version {
	return Version{number: number, shardMap: shardMap}
}

// IsZero reports whether v is the zero Version, which means "no version".
func (v Version) IsZero() bool {
	return v == Version{}
}

// ShardMap returns the name of the shard map that partitions v.
func (v Version) ShardMap() string {
	return v.shardMap
}

// Newer reports whether v comes after o in the order of versions.
func (v Version) Newer(o Version) bool {
	return v.number > o.number
}

// Number returns the position of v in the order of versions.
func (v Version) Number() uint64 {
	return v.number
}

// String implements fmt.Stringer.
func (v Version) String() string {
	return fmt.Sprintf("%d@%s", v.number, v.shardMap)
}
