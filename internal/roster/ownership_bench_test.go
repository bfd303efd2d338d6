package roster

import (
	"fmt"
	"testing"
	"time"
)

// bucketMapper is a method of mapping buckets to hosts.
type bucketMapper interface {
	setHosts(hosts int)
	owner(bucket int) int
}

// rendezvousMapper uses the buckets of an Ownership.
type rendezvousMapper struct {
	ownership *Ownership
	hosts     int
}

// moduloMapper uses the remainder of the bucket number divided by the number of
// hosts.
type moduloMapper struct{ hosts int }

// tableMapper uses a stored lookup table, as MySQL Cluster does. A change moves
// only as many entries as an even distribution needs.
type tableMapper struct {
	table [BucketCount]int
	hosts int
}

func (m *rendezvousMapper) setHosts(hosts int) {
	for ; m.hosts < hosts; m.hosts++ {
		m.ownership.Add(fmt.Sprintf("host-%d", m.hosts))
	}
	for ; m.hosts > hosts; m.hosts-- {
		m.ownership.Remove(fmt.Sprintf("host-%d", m.hosts-1))
	}
}

func (m *rendezvousMapper) owner(b int) int {
	var n int
	_, _ = fmt.Sscanf(m.ownership.owners[b], "host-%d", &n)
	return n
}

func (m *moduloMapper) setHosts(hosts int) { m.hosts = hosts }

func (m *moduloMapper) owner(b int) int { return b % m.hosts }

func (m *tableMapper) setHosts(hosts int) {
	count := make([]int, max(hosts, m.hosts, 1))
	for _, h := range m.table {
		count[h]++
	}
	remainingQuota := func(h int) int {
		quota := BucketCount / hosts
		if h < BucketCount%hosts {
			quota++
		}
		return quota - count[h]
	}
	target := 0
	for b, h := range m.table {
		if h < hosts && remainingQuota(h) >= 0 {
			continue
		}
		for remainingQuota(target) <= 0 {
			target++
		}
		count[h]--
		count[target]++
		m.table[b] = target
	}
	m.hosts = hosts
}

func (m *tableMapper) owner(b int) int { return m.table[b] }

// BenchmarkBucketMappers compares the mappers at a change of the number of hosts: the
// ratio of the moved to all buckets, the largest number of buckets of a host
// relative to the mean, and the duration of the change.
func BenchmarkBucketMappers(b *testing.B) {
	mappers := []struct {
		name string
		make func() bucketMapper
	}{
		{"rendezvous", func() bucketMapper { return &rendezvousMapper{ownership: NewOwnership()} }},
		{"modulo", func() bucketMapper { return &moduloMapper{} }},
		{"table", func() bucketMapper { return &tableMapper{} }},
	}
	for _, m := range mappers {
		for _, change := range [][2]int{{4, 6}, {6, 8}, {7, 6}, {2400, 2401}, {2400, 2399}} {
			b.Run(fmt.Sprintf("%s/%d-to-%d", m.name, change[0], change[1]), func(b *testing.B) {
				var elapsed time.Duration
				var movedRatio, imbalance float64
				for b.Loop() {
					mapper := m.make()
					mapper.setHosts(change[0])
					before := make([]int, BucketCount)
					for i := range before {
						before[i] = mapper.owner(i)
					}
					startedAt := time.Now()
					mapper.setHosts(change[1])
					elapsed += time.Since(startedAt)
					movedRatio, imbalance = compare(mapper, before, change[1])
				}
				b.ReportMetric(100*movedRatio, "%moved")
				b.ReportMetric(imbalance, "most/mean")
				b.ReportMetric(float64(elapsed.Microseconds())/float64(b.N), "us/change")
			})
		}
	}
}

// compare returns the ratio of the buckets that have another owner than before, and
// the largest number of buckets of a host relative to the mean.
func compare(m bucketMapper, before []int, hosts int) (movedRatio, imbalance float64) {
	count := make([]int, hosts)
	for i, old := range before {
		now := m.owner(i)
		count[now]++
		if now != old {
			movedRatio++
		}
	}
	largest := 0
	for _, n := range count {
		largest = max(largest, n)
	}
	return movedRatio / BucketCount, float64(largest) * float64(hosts) / BucketCount
}

// BenchmarkGroupShares measures how unevenly groups are distributed over hosts: the
// 27 groups of Velkaneuvo over 7 hosts, and 49,000 upstreams in groups of three over
// 2400 hosts.
func BenchmarkGroupShares(b *testing.B) {
	for _, size := range []struct{ hosts, groups int }{{7, 27}, {2400, 16333}} {
		b.Run(fmt.Sprintf("%d-hosts", size.hosts), func(b *testing.B) {
			o := NewOwnership()
			for i := range size.hosts {
				o.Add(fmt.Sprintf("host-%d", i))
			}
			largest := 0
			for b.Loop() {
				count := make(map[string]int)
				largest = 0
				for g := range size.groups {
					h := o.Owner(fmt.Sprintf("service-%d/u%d", g/24, g%24))
					count[h]++
					largest = max(largest, count[h])
				}
			}
			b.ReportMetric(float64(largest), "most-groups")
			b.ReportMetric(float64(size.groups)/float64(size.hosts), "mean-groups")
		})
	}
}
