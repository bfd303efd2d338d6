// Package admission decides in which order waiting requests are tried while upstreams lack
// capacity: by priority, then by fair shares of flows (one for each client account), then by
// arrival. It does no I/O, reads no clock and starts no goroutine.
//
// The load that it addresses: one flow sends many times its usual rate, and the requests of
// the others must not wait behind it.
package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// MaxUntried is the longest that a waiting request is not tried, whatever its rank. It
	// leaves 10 ms of the promised 500 ms to callers that poll MayTry.
	MaxUntried = 490 * time.Millisecond
	// maxWaiting bounds the waiting requests of a queue, and with them the cost of
	// ExpectedWait. Hosts start some hundred requests per second, and most requests wait
	// for less than a tenth of a second.
	maxWaiting = 512
	// maxFlows bounds the flows of a queue. Above it, flows without waiting requests are
	// forgotten: they get a little more than their share once.
	maxFlows = 8192
	// idleFlowPeriod is how long a flow without requests is kept; sweepInterval is how often
	// such flows are removed.
	idleFlowPeriod = 2 * time.Second
	sweepInterval  = time.Second
	// rateWindow is the time constant of the moving average of started work. minRateTime is
	// how long requests must have waited within it until the average counts.
	rateWindow  = time.Second
	minRateTime = 20 * time.Millisecond
)

// A Queue orders the waiting requests that compete for the same upstreams. K identifies a
// flow, V is what the user of the Queue keeps with a waiting request. Use NewQueue. A Queue
// is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	// levels are sorted by priority. A level stays as long as it has flows.
	levels  []*level[K, V]
	waiting int
	// sequence numbers the tickets in the order of their arrival.
	sequence uint64
	sweptAt  time.Time
	rate     startRate
}

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
	// finish is the virtual time at which the last started request ends, start the one at
	// which the next request starts: not before finish, and not more than the work of the
	// first waiting one before level.now as of its arrival. So it comes before requests of
	// flows that have used their share, whatever upstreams these are kept from.
	finish, start float64
	tickets       []*Ticket[K, V]
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

// NewQueue returns an empty Queue.
func NewQueue[K comparable, V any]() *Queue[K, V] { return &Queue[K, V]{} }

// ArrivedAt returns when the request began to wait.
func (t *Ticket[K, V]) ArrivedAt() time.Time { return t.arrivedAt }

// Len returns the number of waiting requests.
func (q *Queue[K, V]) Len() int { return q.waiting }

// IsIdle reports whether the Queue has no flows, so that it can be dropped.
func (q *Queue[K, V]) IsIdle(now time.Time) bool {
	q.sweep(now)
	return len(q.levels) == 0
}

// Join adds a request that could not start. work is its expected work. It returns nil if the
// Queue is full.
func (q *Queue[K, V]) Join(now time.Time, priority int, key K, work float64, value V) *Ticket[K, V] {
	if q.waiting >= maxWaiting {
		return nil
	}
	f := q.flow(now, priority, key, work)
	q.sequence++
	t := &Ticket[K, V]{Value: value, work: work, sequence: q.sequence, arrivedAt: now, triedAt: now}
	q.rate.advance(now, q.waiting > 0)
	f.add(t)
	q.waiting++
	return t
}

// Leave removes a request that ends without having started. Its flow is not charged.
func (q *Queue[K, V]) Leave(now time.Time, t *Ticket[K, V]) {
	q.rate.advance(now, q.waiting > 0)
	t.flow.remove(t)
	q.waiting--
}

// Start removes a request that has started and charges its flow with its work.
func (q *Queue[K, V]) Start(now time.Time, t *Ticket[K, V]) {
	f := t.flow
	q.Leave(now, t)
	q.charge(now, f, t.work)
}

// Charge charges a flow with the work of a request that has started without waiting.
func (q *Queue[K, V]) Charge(now time.Time, priority int, key K, work float64) {
	q.rate.advance(now, q.waiting > 0)
	q.charge(now, q.flow(now, priority, key, work), work)
}

func (q *Queue[K, V]) charge(now time.Time, f *flow[K, V], work float64) {
	f.level.now = max(f.level.now, f.start)
	f.start += work
	f.finish = f.start
	f.usedAt = now
	f.level.fix(f)
	q.rate.add(work)
	if now.Sub(q.sweptAt) >= sweepInterval {
		q.sweep(now)
	}
}

// MayTry reports whether a waiting request may be tried now: it is the first one, or has not
// been tried for MaxUntried. conflicts tells whether the request must wait for another one
// with a better rank; nil if it must wait for all of them.
func (q *Queue[K, V]) MayTry(now time.Time, t *Ticket[K, V], conflicts func(V) bool) bool {
	if now.Sub(t.triedAt) < MaxUntried && q.isBlocked(t, conflicts) {
		return false
	}
	t.triedAt = now
	return true
}

func (q *Queue[K, V]) isBlocked(t *Ticket[K, V], conflicts func(V) bool) bool {
	if q.First() == t {
		return false
	}
	if conflicts == nil {
		return true
	}
	position := t.virtualStart()
	for _, l := range q.levels {
		if l.priority > t.flow.level.priority {
			break
		}
		for _, f := range l.active {
			start := f.start
			for _, other := range f.tickets {
				if l == t.flow.level && cmp.Or(cmp.Compare(start, position), cmp.Compare(other.sequence, t.sequence)) >= 0 {
					break
				}
				if conflicts(other.Value) {
					return true
				}
				start += other.work
			}
		}
	}
	return false
}

// MustWait reports whether a request that arrives now must wait for those that wait already,
// and joins. conflicts is as in MayTry.
func (q *Queue[K, V]) MustWait(now time.Time, priority int, key K, work float64, value V, conflicts func(V) bool) (t *Ticket[K, V], mustWait bool) {
	if q.waiting == 0 {
		return nil, false
	}
	if t = q.Join(now, priority, key, work, value); t == nil {
		return nil, true
	}
	if q.isBlocked(t, conflicts) {
		return t, true
	}
	return t, false
}

// First returns the request to try first; nil if none waits.
func (q *Queue[K, V]) First() *Ticket[K, V] {
	for _, l := range q.levels {
		if len(l.active) > 0 {
			return l.active[0].tickets[0]
		}
	}
	return nil
}

// All calls yield for the waiting requests, in no particular order.
func (q *Queue[K, V]) All(yield func(*Ticket[K, V]) bool) {
	for _, l := range q.levels {
		for _, f := range l.active {
			for _, t := range f.tickets {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// Ahead returns about how many requests are tried before a waiting one, and their work, if
// no more arrive.
func (q *Queue[K, V]) Ahead(t *Ticket[K, V]) (count int, work float64) {
	position := t.virtualStart()
	for _, l := range q.levels {
		if l.priority >= t.flow.level.priority {
			break
		}
		work += l.work
		for _, f := range l.active {
			count += len(f.tickets)
		}
	}
	for _, f := range t.flow.level.active {
		if f == t.flow {
			count += slices.Index(f.tickets, t)
			work += position - f.start
			continue
		}
		head := f.tickets[0]
		if cmp.Or(cmp.Compare(f.start, position), cmp.Compare(head.sequence, t.sequence)) > 0 {
			continue
		}
		before := min(f.work, max(position-f.start, head.work))
		work += before
		if f.work > 0 {
			count += int(math.Ceil(before / f.work * float64(len(f.tickets))))
		}
	}
	return count, work
}

// ExpectedWait returns how long a waiting request is expected to wait until it is the first
// one; isKnown is false while too few requests have started in this Queue to tell.
func (q *Queue[K, V]) ExpectedWait(now time.Time, t *Ticket[K, V]) (wait time.Duration, isKnown bool) {
	_, work := q.Ahead(t)
	if work <= 0 {
		return 0, true
	}
	q.rate.advance(now, q.waiting > 0)
	return q.rate.duration(work)
}

// isWithinShare reports whether a flow has used less than its share: it has no waiting
// requests, and the flows that have not been idle are ahead of it by at least this work.
func (q *Queue[K, V]) isWithinShare(priority int, key K, work float64) bool {
	for _, l := range q.levels {
		if l.priority == priority {
			f := l.flows[key]
			return f == nil || (len(f.tickets) == 0 && f.finish+work <= l.now)
		}
	}
	return true
}

// hasBetter reports whether there are flows of a better priority.
func (q *Queue[K, V]) hasBetter(priority int) bool {
	return slices.ContainsFunc(q.levels, func(l *level[K, V]) bool { return l.priority < priority && len(l.flows) > 0 })
}

func (q *Queue[K, V]) flow(now time.Time, priority int, key K, work float64) *flow[K, V] {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level[K, V], priority int) int { return cmp.Compare(l.priority, priority) })
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level[K, V]{queue: q, priority: priority, flows: make(map[K]*flow[K, V])})
	}
	l := q.levels[i]
	f := l.flows[key]
	if f == nil {
		if len(l.flows) >= maxFlows {
			l.removeFlows(func(f *flow[K, V]) bool { return true })
		}
		f = &flow[K, V]{level: l, key: key, finish: l.now - work, index: -1}
		l.flows[key] = f
	}
	if len(f.tickets) == 0 {
		f.start = max(f.finish, l.now-work)
	}
	f.usedAt = now
	return f
}

// sweep removes flows without waiting requests that were not used for idleFlowPeriod.
func (q *Queue[K, V]) sweep(now time.Time) {
	q.sweptAt = now
	for _, l := range q.levels {
		l.removeFlows(func(f *flow[K, V]) bool { return now.Sub(f.usedAt) >= idleFlowPeriod })
	}
	q.levels = slices.DeleteFunc(q.levels, func(l *level[K, V]) bool { return len(l.flows) == 0 })
}

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

// A startRate is a moving average of the work started per second while requests waited.
type startRate struct {
	at time.Time
	// work is the work started in elapsed seconds of waiting; both lose weight with age.
	work, elapsed float64
}

// advance counts the time since the last event if requests waited in it.
func (r *startRate) advance(now time.Time, waited bool) {
	seconds := now.Sub(r.at).Seconds()
	if seconds <= 0 {
		return
	}
	r.at = now
	weight := math.Exp(-seconds / rateWindow.Seconds())
	r.work *= weight
	r.elapsed *= weight
	if waited {
		r.elapsed += seconds
	}
}

func (r *startRate) add(work float64) { r.work += work }

// duration returns how long it takes until an amount of work has started.
func (r *startRate) duration(work float64) (d time.Duration, isKnown bool) {
	if r.elapsed < minRateTime.Seconds() || r.work <= 0 {
		return 0, false
	}
	return time.Duration(min(work/r.work*r.elapsed, 60) * float64(time.Second)), true
}
