package admission

import (
	"slices"
	"time"
)

// maxLines bounds the queues of Lines. Configurations have some dozens of sets of services
// that share none. Above it, requests do not wait in order.
const maxLines = 1024

// Lines keeps one Queue for all requests that compete for resources, directly or through
// others. R identifies a resource (a service), K a flow. Use NewLines. Lines is not safe for
// concurrent use.
type Lines[R, K comparable, V any] struct {
	// byResource holds the line of each resource. Two lines are joined when a request needs
	// resources of both: the order of all of their requests must be one, or requests of
	// either line could wait for each other.
	byResource map[R]*line[R, K, V]
	lines      int
	sweptAt    time.Time
}

type line[R, K comparable, V any] struct {
	queue     *Queue[K, *Waiting[R, K, V]]
	resources []R
	// isMixed is set if some requests do not need all resources of the line.
	isMixed bool
}

// A Waiting is a request that waits for resources.
type Waiting[R, K comparable, V any] struct {
	Value  V
	ticket *Ticket[K, *Waiting[R, K, V]]
	line   *line[R, K, V]
	needs  []R
	// lacks holds the needed resources that had no capacity at the last try.
	lacks []R
}

// A Claim is what a request needs.
type Claim[R, K comparable] struct {
	Priority int
	Flow     K
	// Work is the expected work, in any unit that is the same for all requests.
	Work float64
	// Resources are all that the request needs, without duplicates.
	Resources []R
}

// NewLines returns Lines without any request.
func NewLines[R, K comparable, V any]() *Lines[R, K, V] {
	return &Lines[R, K, V]{byResource: make(map[R]*line[R, K, V])}
}

// Len returns the number of waiting requests.
func (l *Lines[R, K, V]) Len() int {
	count := 0
	counted := make(map[*line[R, K, V]]bool)
	for _, n := range l.byResource {
		if !counted[n] {
			counted[n] = true
			count += n.queue.Len()
		}
	}
	return count
}

// Arrive reports whether a new request may be tried at once. Otherwise it waits: w is its
// place, nil if too many requests wait already.
func (l *Lines[R, K, V]) Arrive(now time.Time, c Claim[R, K], value V) (w *Waiting[R, K, V], mayTry bool) {
	n := l.line(now, c.Resources)
	if n == nil || n.queue.Len() == 0 {
		return nil, true
	}
	w = &Waiting[R, K, V]{Value: value, line: n, needs: c.Resources}
	t, mustWait := n.queue.MustWait(now, c.Priority, c.Flow, c.Work, w, n.conflicts(w))
	if t == nil {
		return nil, false
	}
	w.ticket = t
	return w, !mustWait
}

// Wait adds a request that was tried and could not start because of the resources that it
// lacks. It returns nil if too many wait already.
func (l *Lines[R, K, V]) Wait(now time.Time, c Claim[R, K], lacks []R, value V) *Waiting[R, K, V] {
	n := l.line(now, c.Resources)
	if n == nil {
		return nil
	}
	w := &Waiting[R, K, V]{Value: value, line: n, needs: c.Resources, lacks: lacks}
	if w.ticket = n.queue.Join(now, c.Priority, c.Flow, c.Work, w); w.ticket == nil {
		return nil
	}
	return w
}

// MayTry reports whether a waiting request may be tried now.
func (l *Lines[R, K, V]) MayTry(now time.Time, w *Waiting[R, K, V]) bool {
	return w.line.queue.MayTry(now, w.ticket, w.line.conflicts(w))
}

// SetLacks records which resources had no capacity when a waiting request was tried.
func (l *Lines[R, K, V]) SetLacks(w *Waiting[R, K, V], lacks []R) { w.lacks = lacks }

// Leave removes a request that has ended without having started.
func (l *Lines[R, K, V]) Leave(now time.Time, w *Waiting[R, K, V]) {
	w.line.queue.Leave(now, w.ticket)
}

// Start removes a waiting request that has started.
func (l *Lines[R, K, V]) Start(now time.Time, w *Waiting[R, K, V]) {
	w.line.queue.Start(now, w.ticket)
}

// StartAtOnce counts a request that has started without waiting.
func (l *Lines[R, K, V]) StartAtOnce(now time.Time, c Claim[R, K]) {
	if n := l.line(now, c.Resources); n != nil {
		n.queue.Charge(now, c.Priority, c.Flow, c.Work)
	}
}

// First returns the request that is tried first when a resource gets capacity; ok is false
// if none waits for it.
func (l *Lines[R, K, V]) First(resource R) (value V, ok bool) {
	n := l.byResource[resource]
	if n == nil {
		return value, false
	}
	return n.first(resource)
}

// Next returns the request that is tried first after another one has started or left.
func (l *Lines[R, K, V]) Next(w *Waiting[R, K, V]) (value V, ok bool) {
	if t := w.line.queue.First(); t != nil {
		return t.Value.Value, true
	}
	return value, false
}

// Rank returns about how many requests are tried before a waiting one. ExpectedWait returns
// how long that takes, as Queue.ExpectedWait.
func (l *Lines[R, K, V]) Rank(w *Waiting[R, K, V]) int {
	count, _ := w.line.queue.Ahead(w.ticket)
	return count
}

// ExpectedWait returns how long a waiting request is expected to wait until it is the first
// one; isKnown is false if that cannot be told.
func (l *Lines[R, K, V]) ExpectedWait(now time.Time, w *Waiting[R, K, V]) (wait time.Duration, isKnown bool) {
	return w.line.queue.ExpectedWait(now, w.ticket)
}

// Waited returns for how long a request has waited.
func (w *Waiting[R, K, V]) Waited(now time.Time) time.Duration { return now.Sub(w.ticket.ArrivedAt()) }

// line returns the line of a set of resources. It creates or joins lines as needed. It
// returns nil if there are too many.
func (l *Lines[R, K, V]) line(now time.Time, resources []R) *line[R, K, V] {
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
	var n *line[R, K, V]
	for _, r := range resources {
		if n = l.byResource[r]; n != nil {
			break
		}
	}
	if n == nil {
		if l.lines >= maxLines || len(resources) == 0 {
			return nil
		}
		n = &line[R, K, V]{queue: NewQueue[K, *Waiting[R, K, V]]()}
		l.lines++
	}
	known := len(n.resources)
	for _, r := range resources {
		switch other := l.byResource[r]; other {
		case n:
		case nil:
			l.byResource[r] = n
			n.resources = append(n.resources, r)
			n.isMixed = n.isMixed || known > 0
		default:
			l.join(now, n, other)
		}
	}
	n.isMixed = n.isMixed || len(resources) < len(n.resources)
	return n
}

// join moves all requests and resources of a line to another one.
func (l *Lines[R, K, V]) join(now time.Time, n, other *line[R, K, V]) {
	n.isMixed = true
	for _, r := range other.resources {
		l.byResource[r] = n
	}
	n.resources = append(n.resources, other.resources...)
	l.lines--
	var tickets []*Ticket[K, *Waiting[R, K, V]]
	for t := range other.queue.All {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *Ticket[K, *Waiting[R, K, V]]) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for _, t := range tickets {
		t.Value.line = n
		n.queue.take(now, t)
	}
}

// take adds a ticket of another Queue.
func (q *Queue[K, V]) take(now time.Time, t *Ticket[K, V]) {
	f := q.flow(now, t.flow.level.priority, t.flow.key, t.work)
	q.sequence++
	t.sequence = q.sequence
	f.add(t)
	q.waiting++
}

// sweep removes the lines without flows.
func (l *Lines[R, K, V]) sweep(now time.Time) {
	l.sweptAt = now
	idle := make(map[*line[R, K, V]]bool)
	for r, n := range l.byResource {
		isIdle, ok := idle[n]
		if !ok {
			isIdle = n.queue.IsIdle(now)
			idle[n] = isIdle
			if isIdle {
				l.lines--
			}
		}
		if isIdle {
			delete(l.byResource, r)
		}
	}
}

// conflicts returns the function that tells whether a request must wait for another one of
// the line; nil if it must wait for all of them.
func (n *line[R, K, V]) conflicts(w *Waiting[R, K, V]) func(*Waiting[R, K, V]) bool {
	if !n.isMixed {
		return nil
	}
	return func(other *Waiting[R, K, V]) bool { return intersects(other.blocks(), w.needs) }
}

// blocks returns the resources that requests of a worse rank must leave: those that were
// lacking at the last try, or all that are needed before the first one.
func (w *Waiting[R, K, V]) blocks() []R {
	if w.lacks == nil {
		return w.needs
	}
	return w.lacks
}

// first returns the request with the best rank that waits for a resource.
func (n *line[R, K, V]) first(resource R) (value V, ok bool) {
	t := n.queue.First()
	if t == nil {
		return value, false
	}
	if !n.isMixed || slices.Contains(t.Value.needs, resource) {
		return t.Value.Value, true
	}
	var best *Waiting[R, K, V]
	for t := range n.queue.All {
		if slices.Contains(t.Value.needs, resource) && (best == nil || t.ranksBefore(best.ticket)) {
			best = t.Value
		}
	}
	if best == nil {
		return value, false
	}
	return best.Value, true
}

func intersects[R comparable](a, b []R) bool {
	return slices.ContainsFunc(a, func(r R) bool { return slices.Contains(b, r) })
}

// IsWithinShare reports whether the flow of a request has used less than its share of the
// resources that the request needs: its request would be served if all flows had their
// share.
func (l *Lines[R, K, V]) IsWithinShare(c Claim[R, K]) bool {
	return !slices.ContainsFunc(c.Resources, func(r R) bool {
		n := l.byResource[r]
		return n != nil && !n.queue.isWithinShare(c.Priority, c.Flow, c.Work)
	})
}

// IsOutranked reports whether requests of a better priority have competed for the resources
// lately.
func (l *Lines[R, K, V]) IsOutranked(c Claim[R, K]) bool {
	return slices.ContainsFunc(c.Resources, func(r R) bool {
		n := l.byResource[r]
		return n != nil && n.queue.hasBetter(c.Priority)
	})
}
