package shard

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

// startQueued starts attempts of queued jobs while replicas have free slots. It
// skips up to maxSkipped items that no replica can run now; these stay queued.
func (g *Group) startQueued(now time.Time) {
	g.dropExpired(now)
	var skipped []queueItem
	for len(skipped) < maxSkipped && g.hasFreeSlot(now) {
		leastUrgentFirst := g.options.LeastUrgentEvery > 0 && g.startCount%g.options.LeastUrgentEvery == g.options.LeastUrgentEvery-1
		item, ok := g.queue.pop(leastUrgentFirst)
		if !ok {
			break
		}
		if !g.tryStart(now, item) {
			skipped = append(skipped, item)
		}
	}
	g.queue.requeue(skipped)
}

// dropExpired completes the queued jobs without a running attempt whose deadline
// has passed. Unless AdmissionDisabled is set, it also completes those whose deadline
// is closer than the low latency quantile, since few attempts are faster.
func (g *Group) dropExpired(now time.Time) {
	until := now
	if !g.options.AdmissionDisabled {
		until = now.Add(g.latency.LowQuantile())
	}
	for _, j := range g.queue.takeExpired(until) {
		g.completeWithoutAnswer(j, ReasonDeadline, clampRetryAfter(g.EstimatedWait(now, j.Urgency)))
	}
}

func (g *Group) hasFreeSlot(now time.Time) bool {
	for _, r := range g.replicas {
		if r.runningAttempts < g.attemptLimit(now, r) {
			return true
		}
	}
	return false
}

// tryStart starts an attempt for a queue item. It returns false if no replica can
// take the job now, and the item has to stay in the queue. It drops the item if no
// replica may run the job any more; the job is completed then, unless an attempt is
// running. It also drops the item if another attempt of the job is running and the
// job was running during a crash or has had maxAttempts attempts.
func (g *Group) tryStart(now time.Time, item queueItem) bool {
	if item.job.runningAttempts > 0 && (item.job.crashes > 0 || item.job.startedAttempts >= maxAttempts) {
		return true
	}
	item.hedge = item.hedge && item.job.runningAttempts > 0
	if !g.anyReplicaMayRun(now, item.job) {
		g.completeWithoutReplica(item.job)
		return true
	}
	r := g.chooseReplica(now, item.job)
	if r == nil {
		return false
	}
	g.startAttempt(now, item, r)
	return true
}

// completeWithoutReplica completes a job that no replica can run any more,
// unless an attempt of the job is still running.
func (g *Group) completeWithoutReplica(j *job) {
	if j.runningAttempts > 0 {
		return
	}
	reason := j.lastReason
	if reason == "" {
		reason = ReasonNoReplica
	}
	g.completeWithoutAnswer(j, reason, minRetryAfter)
}

// anyReplicaMayRun reports whether mayRun is true for at least one replica of the
// job's shard.
func (g *Group) anyReplicaMayRun(now time.Time, j *job) bool {
	for _, name := range g.definition.ShardUpstreams(j.ShardPath) {
		if r, ok := g.replicas[name]; ok && g.mayRun(now, r, j) {
			return true
		}
	}
	return false
}

// canRun reports whether a replica is usable, holds the job's version and was not
// tried by the job. It does not consider free slots.
func (g *Group) canRun(now time.Time, r *replica, j *job) bool {
	return r.isUsable() && !j.triedUpstreams[r.spec.Name] && r.serves(now, j.Version)
}

// mayRun is like canRun, but also accepts a replica that was lost less than
// lostGracePeriod ago: jobs are admitted and stay queued for it, since it may be
// reachable again soon.
func (g *Group) mayRun(now time.Time, r *replica, j *job) bool {
	recentlyLost := r.state == replicaLost && now.Sub(r.stateSince) < lostGracePeriod
	return (recentlyLost || r.isUsable()) && !j.triedUpstreams[r.spec.Name] && r.serves(now, j.Version)
}

// isRequestRunning reports whether an attempt of a request with this
// fingerprint is running.
func (g *Group) isRequestRunning(fingerprint uint64) bool {
	for _, a := range g.attempts {
		if a.job.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// chooseReplica returns the replica with a free slot and the lowest score, or
// nil. It skips slow replicas, except those for which isSlowReplicaDue is true. A
// job that was running during a crash gets no replica that already runs such a job,
// and waits until no other attempt of the same request is running.
func (g *Group) chooseReplica(now time.Time, j *job) *replica {
	if j.crashes > 0 && g.isRequestRunning(j.Fingerprint) {
		return nil
	}
	best := g.lowestMeanMicros(now, j)
	var chosen *replica
	for _, name := range g.definition.ShardUpstreams(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok || !g.canRun(now, r, j) || r.runningAttempts >= g.attemptLimit(now, r) {
			continue
		}
		if j.crashes > 0 && r.suspectAttempts > 0 {
			continue
		}
		if r.meanMicros > slowReplicaFactor*best && !g.isSlowReplicaDue(now, r) {
			continue
		}
		if chosen == nil || r.score() < chosen.score() || (r.score() == chosen.score() && g.random.IntN(2) == 0) {
			chosen = r
		}
	}
	return chosen
}

// lowestMeanMicros returns the lowest mean run time, in microseconds, of the
// replicas that can run a job. If none of them has a mean yet, it returns
// maxRetryAfter in microseconds, and no replica counts as slow.
func (g *Group) lowestMeanMicros(now time.Time, j *job) float64 {
	best := 0.0
	for _, name := range g.definition.ShardUpstreams(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok || !g.canRun(now, r, j) || r.meanMicros == 0 {
			continue
		}
		if best == 0 || r.meanMicros < best {
			best = r.meanMicros
		}
	}
	if best == 0 {
		return float64(maxRetryAfter.Microseconds())
	}
	return best
}

// isSlowReplicaDue reports whether a slow replica may get a job. While no attempt is
// running there, it gets one job per slowReplicaInterval, so that its recovery is
// noticed.
func (g *Group) isSlowReplicaDue(now time.Time, r *replica) bool {
	return r.runningAttempts == 0 && !now.Before(r.nextSlowJobAt)
}

func (g *Group) startAttempt(now time.Time, item queueItem, r *replica) {
	j := item.job
	g.lastAttemptID++
	g.startCount++
	a := &attempt{id: g.lastAttemptID, job: j, upstream: r.spec.Name, startedAt: now, suspect: j.crashes > 0}
	g.recorder.Check(r.runningAttempts < r.spec.Slots, invariant.SlotLimit, "upstream %s: %d of %d slots", r.spec.Name, r.runningAttempts+1, r.spec.Slots)
	g.recorder.Check(j.Idempotent || j.possibleRuns == 0, invariant.SingleAttempt, "non-idempotent job %d of shard %s may have run before", j.ID, j.ShardPath)
	g.queue.markNotWaiting(j)
	if j.startedAttempts == 0 {
		g.extraBudget.Earn()
		g.recordStart(j.Urgency.OrBackground())
	}
	if delay, ok := g.hedgeDelay(); ok && j.Idempotent && !j.hedgeQueued && j.crashes == 0 {
		a.hedgeAt = now.Add(delay)
	}
	j.triedUpstreams[r.spec.Name] = true
	j.startedAttempts++
	j.runningAttempts++
	j.possibleRuns++
	r.runningAttempts++
	r.nextSlowJobAt = now.Add(slowReplicaInterval)
	if a.suspect {
		r.suspectAttempts++
	}
	g.attempts[a.id] = a
	g.emit(StartAttempt{
		Attempt: a.id, Job: j.ID, Upstream: r.spec.Name, Version: j.Version, Deadline: j.Deadline, Hedge: item.hedge,
	})
}

// recordStart updates startRatios when the first attempt of a job starts.
func (g *Group) recordStart(u catalog.Urgency) {
	for c := range g.startRatios {
		g.startRatios[c] *= 1 - startWeight
	}
	g.startRatios[u] += startWeight
}

// hedgeDelay returns how long an attempt runs before a hedge is queued: the high
// latency quantile or, until it is known, InitialHedgeDelay. The attempts above that
// quantile are hedgeBudgetRatio*ExtraAttemptRatio of all attempts, so the budget
// can pay for a hedge of each. The last result is false if hedges are disabled.
func (g *Group) hedgeDelay() (time.Duration, bool) {
	if g.options.Hedge == HedgeNever {
		return 0, false
	}
	if g.latency.HighQuantile() > 0 {
		return g.latency.HighQuantile(), true
	}
	return g.options.InitialHedgeDelay, true
}

// hedgeBudgetRatio is the expected ratio of hedges to the extra attempts that the
// budget allows. It sets the rank of the latency quantile after which a hedge is
// queued. The rest of the budget is left for retries, but not reserved for them.
const hedgeBudgetRatio = 0.8

// queueDueHedges queues a hedge for each attempt that has run for the hedge
// delay.
func (g *Group) queueDueHedges(now time.Time) {
	var due []*attempt
	for _, a := range g.attempts {
		isDue := !a.hedgeAt.IsZero() && !now.Before(a.hedgeAt)
		if isDue && !a.aborted && !a.job.done && !a.job.hedgeQueued {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *attempt) int { return int(a.id) - int(b.id) })
	for _, a := range due {
		g.queueHedge(now, a)
	}
}

func (g *Group) queueHedge(now time.Time, a *attempt) {
	a.hedgeAt = time.Time{}
	if !g.anyReplicaMayRun(now, a.job) {
		return
	}
	if g.options.Hedge == HedgeFreeSlot && g.chooseReplica(now, a.job) == nil {
		return
	}
	if !g.extraBudget.Spend() {
		// The budget has no token. The hedge is tried again after hedgeRetryDelay,
		// unless the attempt has ended by then, as most do.
		a.hedgeAt = now.Add(hedgeRetryDelay)
		return
	}
	a.job.hedgeQueued = true
	g.queue.expedite(a.job, true)
}
