// Package admission decides in which order waiting requests are tried while upstreams lack
// capacity: by priority, then by fair shares of flows (one for each client account), then by
// arrival. It does no I/O, reads no clock and starts no goroutine.
//
// The load that it addresses: one flow sends many times its usual rate, and the requests of
// the others must not wait behind it.
package admission

import (
	"cmp"
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

// NewQueue returns an empty Queue.
func NewQueue[K comparable, V any]() *Queue[K, V] { return &Queue[K, V]{} }

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
