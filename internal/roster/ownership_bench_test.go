package roster

import (
	"fmt"
	"testing"
	"time"
)

// way is one way to map buckets to hosts.
type way interface {
	set(hosts int)
	owner(bucket int) int
}

// rendezvousWay is what Ownership does, over its own buckets.
type rendezvousWay struct {
	ownership *Ownership
	hosts     int
}

// moduloWay takes the remainder of the bucket.
type moduloWay struct{ hosts int }

// tableWay is the stored lookup table of MySQL Cluster: a change moves just as
// many entries as are needed for an even share.
type tableWay struct {
	table [Buckets]int
	hosts int
}

func (w *rendezvousWay) set(hosts int) {
	for ; w.hosts < hosts; w.hosts++ {
		w.ownership.Add(fmt.Sprintf("host-%d", w.hosts))
	}
	for ; w.hosts > hosts; w.hosts-- {
		w.ownership.Remove(fmt.Sprintf("host-%d", w.hosts-1))
	}
}

func (w *rendezvousWay) owner(b int) int {
	var n int
	_, _ = fmt.Sscanf(w.ownership.owners[b], "host-%d", &n)
	return n
}

func (w *moduloWay) set(hosts int) { w.hosts = hosts }

func (w *moduloWay) owner(b int) int { return b % w.hosts }

func (w *tableWay) set(hosts int) {
	count := make([]int, max(hosts, w.hosts, 1))
	for _, h := range w.table {
		count[h]++
	}
	room := func(h int) int {
		quota := Buckets / hosts
		if h < Buckets%hosts {
			quota++
		}
		return quota - count[h]
	}
	target := 0
	for b, h := range w.table {
		if h < hosts && room(h) >= 0 {
			continue
		}
		for room(target) <= 0 {
			target++
		}
		count[h]--
		count[target]++
		w.table[b] = target
	}
	w.hosts = hosts
}

func (w *tableWay) owner(b int) int { return w.table[b] }

// BenchmarkOwnershipWays compares the ways: what share of the buckets moves, how
// uneven the shares are, and how long a change takes.
func BenchmarkOwnershipWays(b *testing.B) {
	ways := []struct {
		name string
		make func() way
	}{
		{"rendezvous", func() way { return &rendezvousWay{ownership: NewOwnership()} }},
		{"modulo", func() way { return &moduloWay{} }},
		{"table", func() way { return &tableWay{} }},
	}
	for _, w := range ways {
		for _, change := range [][2]int{{4, 6}, {6, 8}, {7, 6}, {2400, 2401}, {2400, 2399}} {
			b.Run(fmt.Sprintf("%s/%d-to-%d", w.name, change[0], change[1]), func(b *testing.B) {
				var took time.Duration
				var moved, uneven float64
				for b.Loop() {
					it := w.make()
					it.set(change[0])
					before := make([]int, Buckets)
					for i := range before {
						before[i] = it.owner(i)
					}
					startAt := time.Now()
					it.set(change[1])
					took += time.Since(startAt)
					moved, uneven = compare(it, before, change[1])
				}
				b.ReportMetric(100*moved, "%moved")
				b.ReportMetric(uneven, "most/mean")
				b.ReportMetric(float64(took.Microseconds())/float64(b.N), "us/change")
			})
		}
	}
}

func compare(w way, before []int, hosts int) (moved, uneven float64) {
	count := make([]int, hosts)
	for i, old := range before {
		now := w.owner(i)
		count[now]++
		if now != old {
			moved++
		}
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return moved / Buckets, float64(most) * float64(hosts) / Buckets
}

// BenchmarkGroupShares shows how unevenly groups fall on hosts: the 27 groups of
// Velkaneuvo today, and those of 49,000 leafs in threes.
func BenchmarkGroupShares(b *testing.B) {
	for _, size := range []struct{ hosts, groups int }{{7, 27}, {2400, 16333}} {
		b.Run(fmt.Sprintf("%d-hosts", size.hosts), func(b *testing.B) {
			o := NewOwnership()
			for i := range size.hosts {
				o.Add(fmt.Sprintf("host-%d", i))
			}
			most := 0
			for b.Loop() {
				count := make(map[string]int)
				most = 0
				for g := range size.groups {
					h := o.Owner(fmt.Sprintf("service-%d/u%d", g/24, g%24))
					count[h]++
					most = max(most, count[h])
				}
			}
			b.ReportMetric(float64(most), "most-groups")
			b.ReportMetric(float64(size.groups)/float64(size.hosts), "mean-groups")
		})
	}
}
