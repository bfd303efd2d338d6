package shard

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

// pump starts as many queued jobs as there is room for.
func (g *Group) pump(now time.Time) {
	g.dropLate(now)
	var skipped []entry
	for len(skipped) < maxSkipped && g.anyRoom(now) {
		leastFirst := g.options.LeastUrgentEvery > 0 && g.starts%g.options.LeastUrgentEvery == g.options.LeastUrgentEvery-1
		e, ok := g.queue.pop(leastFirst)
		if !ok {
			break
		}
		if !g.place(now, e) {
			skipped = append(skipped, e)
		}
	}
	g.queue.putBack(skipped)
}

// dropLate ends queued jobs that can no longer be done in time.
func (g *Group) dropLate(now time.Time) {
	limit := now
	if !g.options.NoAdmission {
		limit = now.Add(g.latency.LowQuantile())
	}
	for _, j := range g.queue.takeLate(limit) {
		g.giveUp(j, ReasonDeadline, retryAfter(g.EstimatedWait(now, j.Urgency)))
	}
}

func (g *Group) anyRoom(now time.Time) bool {
	for _, r := range g.replicas {
		if r.running < g.allowed(now, r) {
			return true
		}
	}
	return false
}

// place starts an attempt for an entry, or drops it, or returns false.
func (g *Group) place(now time.Time, e entry) bool {
	if e.job.running > 0 && (e.job.broken > 0 || e.job.started >= maxAttempts) {
		return true
	}
	e.hedge = e.hedge && e.job.running > 0
	if !g.anyHolder(now, e.job) {
		g.endWithoutHolder(e.job)
		return true
	}
	r := g.choose(now, e.job)
	if r == nil {
		return false
	}
	g.start(now, e, r)
	return true
}

// endWithoutHolder gives up a job that no replica is left for, unless an
// attempt of it still runs.
func (g *Group) endWithoutHolder(j *job) {
	if j.running > 0 {
		return
	}
	reason := j.lastReason
	if reason == "" {
		reason = ReasonNoReplica
	}
	g.giveUp(j, reason, minRetryAfter)
}

// anyHolder reports whether a replica that was not tried may ever run a job.
func (g *Group) anyHolder(now time.Time, j *job) bool {
	for _, name := range g.definition.Replicas(j.ShardPath) {
		if r, ok := g.replicas[name]; ok && g.mayHold(now, r, j) {
			return true
		}
	}
	return false
}

func (g *Group) holds(now time.Time, r *replica, j *job) bool {
	return r.usable() && !j.tried[r.spec.Name] && r.serves(now, j.Version)
}

// mayHold is holds, but counts replicas that were lost a moment ago.
func (g *Group) mayHold(now time.Time, r *replica, j *job) bool {
	hopeful := r.state == replicaLost && now.Sub(r.since) < hopeTime
	return (hopeful || r.usable()) && !j.tried[r.spec.Name] && r.serves(now, j.Version)
}

// sameRunning reports whether another attempt of the same request runs.
func (g *Group) sameRunning(fingerprint uint64) bool {
	for _, a := range g.attempts {
		if a.job.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// choose returns the best replica with a free slot, or nil.
func (g *Group) choose(now time.Time, j *job) *replica {
	if j.broken > 0 && g.sameRunning(j.Fingerprint) {
		return nil
	}
	best := g.bestMean(now, j)
	var chosen *replica
	for _, name := range g.definition.Replicas(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok || !g.holds(now, r, j) || r.running >= g.allowed(now, r) {
			continue
		}
		if j.broken > 0 && r.suspects > 0 {
			continue
		}
		if r.mean > slowFactor*best && !g.slowTurn(now, r) {
			continue
		}
		if chosen == nil || r.score() < chosen.score() || (r.score() == chosen.score() && g.random.IntN(2) == 0) {
			chosen = r
		}
	}
	return chosen
}

// bestMean returns the shortest average run time of the replicas of a job.
func (g *Group) bestMean(now time.Time, j *job) float64 {
	best := 0.0
	for _, name := range g.definition.Replicas(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok || !g.holds(now, r, j) || r.mean == 0 {
			continue
		}
		if best == 0 || r.mean < best {
			best = r.mean
		}
	}
	if best == 0 {
		return float64(maxRetryAfter.Microseconds())
	}
	return best
}

// slowTurn lets a slow replica have one job from time to time, so that its
// recovery is seen.
func (g *Group) slowTurn(now time.Time, r *replica) bool {
	return r.running == 0 && !now.Before(r.slowUntil)
}

func (g *Group) start(now time.Time, e entry, r *replica) {
	j := e.job
	g.last++
	g.starts++
	a := &attempt{id: g.last, job: j, upstream: r.spec.Name, startAt: now, suspect: j.broken > 0}
	g.recorder.Check(r.running < r.spec.Slots, invariant.SlotLimit, "upstream %s: %d of %d slots", r.spec.Name, r.running+1, r.spec.Slots)
	g.recorder.Check(j.Idempotent || j.unrefuted == 0, invariant.SingleAttempt, "job %d of shard %s", j.ID, j.ShardPath)
	g.queue.started(j)
	if j.started == 0 {
		g.extra.Earn()
		g.countStart(j.Urgency.OrBackground())
	}
	if delay, ok := g.hedgeDelay(); ok && j.Idempotent && !j.hedged && j.broken == 0 {
		a.hedgeAt = now.Add(delay)
	}
	j.tried[r.spec.Name] = true
	j.started++
	j.running++
	j.unrefuted++
	r.running++
	r.slowUntil = now.Add(slowProbeEvery)
	if a.suspect {
		r.suspects++
	}
	g.attempts[a.id] = a
	g.emit(StartAttempt{
		Attempt: a.id, Job: j.ID, Upstream: r.spec.Name, Version: j.Version, Deadline: j.Deadline, Hedge: e.hedge,
	})
}

// countStart keeps the shares of the urgencies in recent starts.
func (g *Group) countStart(u catalog.Urgency) {
	for c := range g.startShares {
		g.startShares[c] *= 1 - startWeight
	}
	g.startShares[u] += startWeight
}

// hedgeDelay returns how late an attempt is before a second one is wanted:
// the quantile that fewer attempts pass than the budget pays for.
func (g *Group) hedgeDelay() (time.Duration, bool) {
	if g.options.Hedge == HedgeNever {
		return 0, false
	}
	if g.latency.HighQuantile() > 0 {
		return g.latency.HighQuantile(), true
	}
	return g.options.InitialHedgeDelay, true
}

// hedgeMargin keeps part of the budget for retries.
const hedgeMargin = 0.8

// wakeHedges queues a second attempt for those that are late.
func (g *Group) wakeHedges(now time.Time) {
	var due []*attempt
	for _, a := range g.attempts {
		late := !a.hedgeAt.IsZero() && !now.Before(a.hedgeAt)
		if late && !a.aborted && !a.job.done && !a.job.hedged {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	for _, a := range due {
		g.hedge(now, a)
	}
}

func (g *Group) hedge(now time.Time, a *attempt) {
	a.hedgeAt = time.Time{}
	if !g.anyHolder(now, a.job) {
		return
	}
	if g.options.Hedge == HedgeFreeSlot && g.choose(now, a.job) == nil {
		return
	}
	if !g.extra.Spend() {
		// Most late attempts end soon; those that do not are tried again.
		a.hedgeAt = now.Add(hedgeRetry)
		return
	}
	a.job.hedged = true
	g.queue.expedite(a.job, true)
}
