package pool

// This file estimates how long an attempt waits at an upstream before the upstream begins it. The load:
// all slots of a service are in use, and whoever sends a request has to know whether it can still end
// in time.

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
)

// workWeight is the weight of one attempt in the moving average of the work of a class of requests.
const workWeight = 0.1

// A job occupies one slot of an upstream.
type job struct {
	// earliestBegin is when it was sent, or later if it is known to have waited then.
	earliestBegin time.Time
	work          time.Duration
	// isInFlight is set if the job is known not to have ended.
	isInFlight bool
}

// ExpectedWait returns how long an attempt would wait at least until an upstream begins it, whatever
// its BeginBy; zero if no upstream accepts the attempt.
func (p *Pool) ExpectedWait(now time.Time, r Requirements) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.BeginBy = time.Time{}
	shortest, found := time.Duration(0), false
	for _, m := range p.usableMembers(now, r) {
		if !p.acceptsAttempt(now, m, r, inventory.InService) {
			continue
		}
		if wait := m.queueWait(now, r.LatencyStats); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

// WaitSoFar returns how long an attempt in flight has waited for a slot.
func (p *Pool) WaitSoFar(now time.Time, a *Assignment) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := now.Sub(a.startedAt)
	if slices.Index(a.member.running, a) >= a.member.slots() {
		return age
	}
	return min(age, a.Wait())
}

// Wait returns how long the attempt has waited for a slot, as far as it is known: from what was expected when it
// was assigned, and from attempts before it that have ended since. Call it once the attempt has ended.
func (a *Assignment) Wait() time.Duration {
	return max(a.expectedWait, a.earliestBegin.Sub(a.startedAt))
}

// slots returns how many attempts the upstream runs at a time, at least one.
func (m *member) slots() int { return max(1, m.upstream.Slots()) }

// beginsInTime reports whether a member begins an attempt soon enough.
func (m *member) beginsInTime(now time.Time, r Requirements) bool {
	return r.BeginBy.IsZero() || !now.Add(m.queueWait(now, r.LatencyStats)).After(r.BeginBy)
}

// queueWait returns how long an attempt that is sent now waits for a slot. Attempts of other hosts
// are known from the last response; they are expected to take as long as those of the class s.
func (m *member) queueWait(now time.Time, s *LatencyStats) time.Duration {
	slots := m.slots()
	if len(m.running)+m.foreignLoad < slots {
		return 0
	}
	jobs := make([]job, 0, len(m.running)+m.foreignLoad)
	for _, a := range m.running {
		jobs = append(jobs, job{earliestBegin: a.earliestBegin, work: a.latencyStats.Work(), isInFlight: true})
	}
	foreignWork := s.Work()
	for range m.foreignLoad {
		jobs = append(jobs, job{earliestBegin: m.loadAt, work: foreignWork})
	}
	return freeSlotDelay(now, jobs, slots)
}

// recordFreeSlot records that one of the attempts in flight ends now: those that were waiting for a slot
// have not begun before.
func (m *member) recordFreeSlot(now time.Time) {
	for i := m.slots(); i < len(m.running); i++ {
		m.running[i].earliestBegin = now
	}
}

// freeSlotDelay returns in how long one of the slots is free after jobs that begin in the order of
// their earliest begin.
func freeSlotDelay(now time.Time, jobs []job, slots int) time.Duration {
	slices.SortStableFunc(jobs, func(a, b job) int { return a.earliestBegin.Compare(b.earliestBegin) })
	freeAt := make([]time.Time, slots)
	for _, j := range jobs {
		first := 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[first]) {
				first = i
			}
		}
		begin := j.earliestBegin
		if freeAt[first].After(begin) {
			begin = freeAt[first]
		}
		freeAt[first] = j.endAfter(now, begin)
	}
	return max(0, slices.MinFunc(freeAt, time.Time.Compare).Sub(now))
}

// endAfter returns when a job that has begun ends. One in flight that is overdue is about to end; if
// it is long overdue, it is expected to take as long again.
func (j job) endAfter(now, begin time.Time) time.Time {
	end, age := begin.Add(j.work), now.Sub(begin)
	switch {
	case !j.isInFlight || end.After(now):
		return end
	case float64(age) < stuckFactor*float64(j.work):
		return now
	default:
		return now.Add(age)
	}
}

// Work returns how long an upstream works on an attempt, without its wait for a slot.
func (s *LatencyStats) Work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work > 0 {
		return s.work
	}
	return s.typicalLatency()
}

// recordWork adds an attempt that has waited for a slot. The caller holds s.mu.
func (s *LatencyStats) recordWork(elapsed, wait time.Duration) {
	sample := s.workWithin(elapsed, wait)
	if s.work == 0 {
		s.work = sample
		return
	}
	s.work += time.Duration(workWeight * float64(sample-s.work))
}

// workWithin returns how much of the time until a response was work. The wait is an estimate, and may
// have been shorter: the usual work counts if there was time for it.
func (s *LatencyStats) workWithin(elapsed, wait time.Duration) time.Duration {
	return max(elapsed-wait, min(elapsed, s.work))
}
