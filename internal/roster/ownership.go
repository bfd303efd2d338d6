package roster

import (
	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of hash buckets that groups are mapped to. All groups of
// a bucket have the same owner.
const BucketCount = 16384

// An Ownership maps groups to hosts by rendezvous hashing over buckets. Adding
// or removing a host changes only the buckets that it wins or loses. It is not
// safe for concurrent use.
type Ownership struct {
	// hosts holds the hash of the name of each host.
	hosts map[string]uint64
	// owners and scores hold the host with the highest score of each bucket,
	// and that score.
	owners [BucketCount]string
	scores [BucketCount]uint64
}

// NewOwnership returns an Ownership without hosts.
func NewOwnership() *Ownership {
	return &Ownership{hosts: make(map[string]uint64)}
}

// Apply adds or removes the host of a member that has changed.
func (o *Ownership) Apply(m Member) {
	if m.CanOwn() {
		o.Add(m.host)
		return
	}
	o.Remove(m.host)
}

// Add gives a host the buckets in which it scores highest.
func (o *Ownership) Add(host string) {
	if _, ok := o.hosts[host]; ok {
		return
	}
	h := xxhash.Sum64String(host)
	o.hosts[host] = h
	for b := range o.owners {
		if s := RendezvousScore(h, b); o.owners[b] == "" || s > o.scores[b] {
			o.owners[b] = host
			o.scores[b] = s
		}
	}
}

// Len returns the number of hosts.
func (o *Ownership) Len() int { return len(o.hosts) }

// Owner returns the host that owns a group, or "" if there are no hosts.
func (o *Ownership) Owner(group string) string {
	return o.owners[bucketOf(group)]
}

// OwnerExcluding returns the host that would own a group without the excluded hosts,
// or "" if all hosts are excluded.
func (o *Ownership) OwnerExcluding(group string, excluded map[string]bool) string {
	best, bestScore := "", uint64(0)
	b := bucketOf(group)
	for host, h := range o.hosts {
		if s := RendezvousScore(h, b); !excluded[host] && (best == "" || s > bestScore) {
			best, bestScore = host, s
		}
	}
	return best
}

// Remove gives each bucket of a host to the host with the next highest score.
func (o *Ownership) Remove(host string) {
	if _, ok := o.hosts[host]; !ok {
		return
	}
	delete(o.hosts, host)
	for b := range o.owners {
		if o.owners[b] == host {
			o.assignBucket(b)
		}
	}
}

func (o *Ownership) assignBucket(b int) {
	o.owners[b], o.scores[b] = "", 0
	for host, h := range o.hosts {
		if s := RendezvousScore(h, b); o.owners[b] == "" || s > o.scores[b] {
			o.owners[b], o.scores[b] = host, s
		}
	}
}

func bucketOf(group string) int {
	return int(xxhash.Sum64String(group) % BucketCount)
}

// RendezvousScore returns the score of a host for a bucket (rendezvous
// hashing): it mixes the hash of the host with the bucket (the finalizer of
// SplitMix64).
func RendezvousScore(hostHash uint64, b int) uint64 {
	x := hostHash ^ (uint64(b)+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
