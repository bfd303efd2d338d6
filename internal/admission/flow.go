package admission

// This file holds the flows of a level in the order in which they are served.

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// A level holds the flows of one priority. They share capacity by start-time fair queueing:
// each flow has a virtual time at which its next request starts, which grows by the work of
// each started request. The flow with the lowest one is next.
type level[K comparable, V any] struct {
	queue    *Queue[K, V]
	priority int
	// now is the highest virtual start of the requests that have started. A flow that was idle
	// starts one request before it, so that it saves no more than that.
	now    float64
	flows  map[K]*flow[K, V]
	active activeFlows[K, V]
	// work is the sum of the work of the waiting requests.
	work float64
}

// A flow holds the waiting requests of one key at one priority.
type flow[K comparable, V any] struct {
	level *level[K, V]
	key   K
	// finish is the virtual time at which the last started request ends.
	finish float64
	// start is the virtual time at which the next request starts. It is not before finish. It is
	// at most the work of the first waiting request before level.now at the time of its arrival,
	// so that an idle flow saves up one request.
	start   float64
	tickets []*Ticket[K, V]
	// work is the sum of the work of tickets.
	work   float64
	usedAt time.Time
	// index is the position in level.active; -1 without tickets.
	index int
}

// A Ticket is the place of a waiting request in a Queue.
type Ticket[K comparable, V any] struct {
	Value     V
	flow      *flow[K, V]
	work      float64
	sequence  uint64
	arrivedAt time.Time
	triedAt   time.Time
}

// ArrivedAt returns when the request began to wait.
func (t *Ticket[K, V]) ArrivedAt() time.Time { return t.arrivedAt }

// removeFlows removes the flows without waiting requests for which isRemovable is true.
func (l *level[K, V]) removeFlows(isRemovable func(*flow[K, V]) bool) {
	for k, f := range l.flows {
		if len(f.tickets) == 0 && isRemovable(f) {
			delete(l.flows, k)
		}
	}
}

// fix moves a flow to its place among the active ones.
func (l *level[K, V]) fix(f *flow[K, V]) {
	if f.index >= 0 {
		heap.Fix(&l.active, f.index)
	}
}

func (f *flow[K, V]) add(t *Ticket[K, V]) {
	t.flow = f
	f.tickets = append(f.tickets, t)
	f.work += t.work
	f.level.work += t.work
	if len(f.tickets) == 1 {
		heap.Push(&f.level.active, f)
	}
}

func (f *flow[K, V]) remove(t *Ticket[K, V]) {
	i := slices.Index(f.tickets, t)
	f.tickets = slices.Delete(f.tickets, i, i+1)
	f.work -= t.work
	f.level.work -= t.work
	if len(f.tickets) == 0 {
		f.work = 0
		heap.Remove(&f.level.active, f.index)
		return
	}
	f.level.fix(f)
}

// virtualStart returns the virtual time at which the request starts if all of its flow that
// wait before it do.
func (t *Ticket[K, V]) virtualStart() float64 {
	start := t.flow.start
	for _, other := range t.flow.tickets {
		if other == t {
			break
		}
		start += other.work
	}
	return start
}

// ranksBefore reports whether a request of the same Queue is tried before another one.
func (t *Ticket[K, V]) ranksBefore(other *Ticket[K, V]) bool {
	return cmp.Or(
		cmp.Compare(t.flow.level.priority, other.flow.level.priority), cmp.Compare(t.virtualStart(), other.virtualStart()), cmp.Compare(t.sequence, other.sequence),
	) < 0
}

// activeFlows is a heap of the flows of a level that have waiting requests.
type activeFlows[K comparable, V any] []*flow[K, V]

var _ heap.Interface = (*activeFlows[int, int])(nil)

// Len implements heap.Interface.
func (a activeFlows[K, V]) Len() int { return len(a) }

// Less implements heap.Interface.
func (a activeFlows[K, V]) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].start, a[j].start), cmp.Compare(a[i].tickets[0].sequence, a[j].tickets[0].sequence)) < 0
}

// Swap implements heap.Interface.
func (a activeFlows[K, V]) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}

// Push implements heap.Interface.
func (a *activeFlows[K, V]) Push(x any) {
	f := x.(*flow[K, V])
	f.index = len(*a)
	*a = append(*a, f)
}

// Pop implements heap.Interface.
func (a *activeFlows[K, V]) Pop() any {
	last := len(*a) - 1
	f := (*a)[last]
	f.index = -1
	(*a)[last] = nil
	*a = (*a)[:last]
	return f
}
