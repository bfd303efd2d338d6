package shard

import (
	"container/heap"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// entry is one wish for an attempt of a job.
type entry struct {
	job   *job
	hedge bool
	// sequence orders entries with equal deadlines.
	sequence uint64
}

// queue orders entries: expedited ones first, then by urgency and deadline.
// Entries of jobs that ended are dropped when they come to the head.
type queue struct {
	expedited []entry
	classes   [catalog.UrgencyCount]entryHeap
	sequence  uint64
	// waiting counts the jobs that wait for their first attempt.
	waiting [catalog.UrgencyCount]int
}

type entryHeap []entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if !h[i].job.Deadline.Equal(h[j].job.Deadline) {
		return h[i].job.Deadline.Before(h[j].job.Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return e
}

func (h *entryHeap) Push(x any) { *h = append(*h, x.(entry)) }

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// ahead counts the jobs that go before a new one of this urgency.
func (q *queue) ahead(u catalog.Urgency) int {
	n := len(q.expedited)
	for c := catalog.Urgent; c <= u; c++ {
		n += q.waiting[c]
	}
	return n
}

func (q *queue) expedite(j *job, hedge bool) {
	q.expedited = append(q.expedited, entry{job: j, hedge: hedge})
}

// firstDeadline returns the earliest deadline of a queued job that no attempt
// runs for; the deadlines of others are watched with their attempts.
func (q *queue) firstDeadline() time.Time {
	var first time.Time
	for c := range q.classes {
		q.trim(c)
		if len(q.classes[c]) == 0 {
			continue
		}
		if d := q.classes[c][0].job.Deadline; first.IsZero() || d.Before(first) {
			first = d
		}
	}
	for _, e := range q.expedited {
		if e.job.done || e.job.running > 0 {
			continue
		}
		if d := e.job.Deadline; first.IsZero() || d.Before(first) {
			first = d
		}
	}
	return first
}

// popOrder returns the classes in the order in which they are served.
func (q *queue) popOrder(leastFirst bool) [catalog.UrgencyCount]int {
	var order [catalog.UrgencyCount]int
	for i := range order {
		order[i] = i
		if leastFirst {
			order[i] = catalog.UrgencyCount - 1 - i
		}
	}
	return order
}

// pop takes the next entry of a live job.
func (q *queue) pop(leastFirst bool) (entry, bool) {
	for len(q.expedited) > 0 && !leastFirst {
		e := q.expedited[0]
		q.expedited = q.expedited[1:]
		if !e.job.done {
			return e, true
		}
	}
	for _, c := range q.popOrder(leastFirst) {
		q.trim(c)
		if len(q.classes[c]) > 0 {
			return heap.Pop(&q.classes[c]).(entry), true
		}
	}
	if leastFirst {
		return q.pop(false)
	}
	return entry{}, false
}

func (q *queue) push(j *job) {
	q.sequence++
	c := j.Urgency.OrBackground()
	heap.Push(&q.classes[c], entry{job: j, sequence: q.sequence})
	q.waiting[c]++
	j.queued = true
}

// putBack returns entries that could not be placed; their order is kept.
func (q *queue) putBack(entries []entry) {
	var expedited []entry
	for _, e := range entries {
		if e.sequence == 0 {
			expedited = append(expedited, e)
			continue
		}
		heap.Push(&q.classes[e.job.Urgency.OrBackground()], e)
	}
	if len(expedited) > 0 {
		q.expedited = append(expedited, q.expedited...)
	}
}

// started notes that a job no longer waits for its first attempt.
func (q *queue) started(j *job) {
	if j.queued {
		j.queued = false
		q.waiting[j.Urgency.OrBackground()]--
	}
}

// takeLate removes the jobs whose deadline is not after limit and that have no
// running attempt.
func (q *queue) takeLate(limit time.Time) []*job {
	var late []*job
	for c := range q.classes {
		for q.trim(c); len(q.classes[c]) > 0 && !q.classes[c][0].job.Deadline.After(limit); q.trim(c) {
			late = append(late, heap.Pop(&q.classes[c]).(entry).job)
		}
	}
	for _, e := range q.expedited {
		if !e.job.done && e.job.running == 0 && !e.job.Deadline.After(limit) && !slices.Contains(late, e.job) {
			late = append(late, e.job)
		}
	}
	return late
}

func (q *queue) trim(c int) {
	for len(q.classes[c]) > 0 && q.classes[c][0].job.done {
		heap.Pop(&q.classes[c])
	}
}
