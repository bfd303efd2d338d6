package shard

// This file decides which jobs a group admits, and how long the others have to wait.

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// EstimatedWait returns how long a new job of an urgency is expected to wait
// for a slot; zero if there are no slots at all.
func (g *Group) EstimatedWait(now time.Time, u catalog.Urgency) time.Duration {
	slots, running := g.slotUsage(now)
	if slots == 0 {
		return 0
	}
	ahead := g.queue.countAhead(u) + running + 1 - slots
	if ahead <= 0 {
		return 0
	}
	ratio := max(minStartRatio, 1-g.moreUrgentRatio(u))
	return time.Duration(float64(g.latency.Average()) * float64(ahead) / float64(slots) / ratio)
}

// moreUrgentRatio returns the ratio of the recently started jobs that were more
// urgent than u. A queued job also waits for more urgent jobs that arrive after it.
func (g *Group) moreUrgentRatio(u catalog.Urgency) float64 {
	ratio := 0.0
	for c := catalog.Urgent; c < u; c++ {
		ratio += g.startRatios[c]
	}
	return ratio
}

// slotUsage returns how many slots the usable replicas have now, without regard to
// pausedUntil, and how many attempts are running.
func (g *Group) slotUsage(now time.Time) (slots, running int) {
	for _, r := range g.replicas {
		n := r.capacity(now, g.options.WarmupWindow)
		if now.Before(g.fullSlotsAt) {
			n = min(n, 1)
		}
		slots += n
		running += r.runningAttempts
	}
	return slots, running
}

func (g *Group) queueLength() int {
	n := len(g.queue.expedited)
	for c := range g.queue.classes {
		n += len(g.queue.classes[c])
	}
	return n
}

func (g *Group) submit(now time.Time, j Job) {
	s := &job{Job: j, triedUpstreams: make(map[string]bool)}
	if j.Suspect {
		s.crashes = 1
	}
	g.jobs[j.ID] = s
	if reason, retryAfter, refused := g.admissionRefusal(now, s); refused {
		g.complete(s, NotRun, reason, retryAfter)
		return
	}
	g.queue.push(s)
}

// admissionRefusal returns the reason for which a new job is refused, and the
// retry-after time for the caller. The last result is false if the job is admitted.
func (g *Group) admissionRefusal(now time.Time, j *job) (Reason, time.Duration, bool) {
	candidates, usable := 0, 0
	for _, name := range g.definition.ShardUpstreams(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok {
			continue
		}
		if r.isUsable() {
			usable++
		}
		if g.mayRun(now, r, j) {
			candidates++
		}
	}
	wait := g.EstimatedWait(now, j.Urgency)
	switch {
	case len(g.definition.ShardUpstreams(j.ShardPath)) == 0:
		return ReasonNotOwner, minRetryAfter, true
	case candidates == 0 && usable == 0:
		return ReasonNoReplica, maxProbeDelay, true
	case candidates == 0:
		return ReasonVersionGone, minRetryAfter, true
	case !now.Before(j.Deadline):
		return ReasonDeadline, clampRetryAfter(wait), true
	case !g.options.AdmissionDisabled && now.Add(wait+g.latency.Average()).After(j.Deadline):
		return ReasonOverload, clampRetryAfter(wait), true
	default:
		return "", 0, false
	}
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
