package shard

import (
	"container/heap"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// queueItem is one attempt of a job that waits for a slot: the first, a retry or a
// hedge.
type queueItem struct {
	job   *job
	hedge bool
	// sequence orders items with equal deadlines; zero for expedited items.
	sequence uint64
}

// queue orders items: first the expedited items, which are retries and hedges, then
// the others by urgency and deadline. Items of completed jobs are dropped when they
// reach the head.
type queue struct {
	expedited []queueItem
	classes   [catalog.UrgencyCount]itemHeap
	sequence  uint64
	// waitingJobs counts, for each urgency, the jobs that wait for their first
	// attempt.
	waitingJobs [catalog.UrgencyCount]int
}

type itemHeap []queueItem

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if !h[i].job.Deadline.Equal(h[j].job.Deadline) {
		return h[i].job.Deadline.Before(h[j].job.Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = queueItem{}
	*h = (*h)[:last]
	return item
}

func (h *itemHeap) Push(x any) { *h = append(*h, x.(queueItem)) }

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// countAhead returns how many queued items may start before a new job of this
// urgency.
func (q *queue) countAhead(u catalog.Urgency) int {
	n := len(q.expedited)
	for c := catalog.Urgent; c <= u; c++ {
		n += q.waitingJobs[c]
	}
	return n
}

// expedite queues a retry or hedge.
func (q *queue) expedite(j *job, hedge bool) {
	q.expedited = append(q.expedited, queueItem{job: j, hedge: hedge})
}

// earliestDeadline returns the earliest deadline of a queued job without a running
// attempt, or the zero time if there is no such job. Jobs with a running attempt
// need no check, because their attempts end at the deadline.
func (q *queue) earliestDeadline() time.Time {
	var earliest time.Time
	for c := range q.classes {
		q.dropDone(c)
		if len(q.classes[c]) == 0 {
			continue
		}
		if d := q.classes[c][0].job.Deadline; earliest.IsZero() || d.Before(earliest) {
			earliest = d
		}
	}
	for _, item := range q.expedited {
		if item.job.done || item.job.runningAttempts > 0 {
			continue
		}
		if d := item.job.Deadline; earliest.IsZero() || d.Before(earliest) {
			earliest = d
		}
	}
	return earliest
}

// classOrder returns the urgency classes in the order in which they are served.
func (q *queue) classOrder(leastUrgentFirst bool) [catalog.UrgencyCount]int {
	var order [catalog.UrgencyCount]int
	for i := range order {
		order[i] = i
		if leastUrgentFirst {
			order[i] = catalog.UrgencyCount - 1 - i
		}
	}
	return order
}

// pop takes the next item of a job that is not done. With leastUrgentFirst, the
// classes are served in reverse order and before the expedited items. The last
// result is false if there is no such item.
func (q *queue) pop(leastUrgentFirst bool) (queueItem, bool) {
	for len(q.expedited) > 0 && !leastUrgentFirst {
		item := q.expedited[0]
		q.expedited = q.expedited[1:]
		if !item.job.done {
			return item, true
		}
	}
	for _, c := range q.classOrder(leastUrgentFirst) {
		q.dropDone(c)
		if len(q.classes[c]) > 0 {
			return heap.Pop(&q.classes[c]).(queueItem), true
		}
	}
	if leastUrgentFirst {
		return q.pop(false)
	}
	return queueItem{}, false
}

func (q *queue) push(j *job) {
	q.sequence++
	c := j.Urgency.OrBackground()
	heap.Push(&q.classes[c], queueItem{job: j, sequence: q.sequence})
	q.waitingJobs[c]++
	j.waiting = true
}

// requeue puts back items that could not be started. Their order is kept.
func (q *queue) requeue(items []queueItem) {
	var expedited []queueItem
	for _, item := range items {
		if item.sequence == 0 {
			expedited = append(expedited, item)
			continue
		}
		heap.Push(&q.classes[item.job.Urgency.OrBackground()], item)
	}
	if len(expedited) > 0 {
		q.expedited = append(expedited, q.expedited...)
	}
}

// markNotWaiting records that a job no longer waits for its first attempt.
func (q *queue) markNotWaiting(j *job) {
	if j.waiting {
		j.waiting = false
		q.waitingJobs[j.Urgency.OrBackground()]--
	}
}

// takeExpired returns the jobs without a running attempt whose deadline is not
// after until, and removes them from their classes. Expedited items of such
// jobs are dropped by pop once the jobs are done.
func (q *queue) takeExpired(until time.Time) []*job {
	var expired []*job
	for c := range q.classes {
		for q.dropDone(c); len(q.classes[c]) > 0 && !q.classes[c][0].job.Deadline.After(until); q.dropDone(c) {
			expired = append(expired, heap.Pop(&q.classes[c]).(queueItem).job)
		}
	}
	for _, item := range q.expedited {
		if !item.job.done && item.job.runningAttempts == 0 && !item.job.Deadline.After(until) && !slices.Contains(expired, item.job) {
			expired = append(expired, item.job)
		}
	}
	return expired
}

func (q *queue) dropDone(c int) {
	for len(q.classes[c]) > 0 && q.classes[c][0].job.done {
		heap.Pop(&q.classes[c])
	}
}
