package shard

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

// handleAttemptEnded frees the slot of the attempt, records its result and
// completes or retries the job.
func (g *Group) handleAttemptEnded(now time.Time, e AttemptEnded) {
	a, ok := g.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(g.attempts, e.Attempt)
	r := g.replicas[a.upstream]
	r.runningAttempts--
	if a.suspect {
		r.suspectAttempts--
	}
	a.job.runningAttempts--
	g.recordResult(now, a, r, e)
	g.deleteIfRemoved(r)
	if a.job.done {
		return
	}
	g.retryOrComplete(now, a, e)
}

// deleteIfRemoved deletes a replica that the definition no longer names, once no
// attempt is running there.
func (g *Group) deleteIfRemoved(r *replica) {
	if r.runningAttempts > 0 {
		return
	}
	for _, spec := range g.definition.Upstreams() {
		if spec.Name == r.spec.Name {
			return
		}
	}
	delete(g.replicas, r.spec.Name)
	g.replicaNames = slices.DeleteFunc(g.replicaNames, func(n string) bool { return n == r.spec.Name })
}

func (g *Group) recordResult(now time.Time, a *attempt, r *replica, e AttemptEnded) {
	elapsed := now.Sub(a.startedAt)
	switch e.Result {
	case ResultAnswered:
		g.latency.Add(now, elapsed)
		r.recordRunTime(elapsed, false)
		r.adjustLimit(elapsed)
		r.pausedUntil = time.Time{}
		g.handleResponseMetadata(now, r, e)
	case ResultAborted:
		r.recordRunTime(elapsed, true)
	case ResultRefused:
		g.handleRefusal(now, a, r, e)
	case ResultUnreachable:
		r.markLost(now)
	case ResultConnectionBroken:
		fingerprints := g.runningFingerprints(a)
		r.markLost(now)
		g.recordCrash(fingerprints)
		g.emit(ReportCrash{Upstream: a.upstream, Fingerprints: fingerprints})
	case ResultConnectionSilent:
		r.recordRunTime(elapsed, true)
		if e.UpstreamLost {
			r.markLost(now)
		}
	}
}

// handleResponseMetadata applies the state that an upstream reports about
// itself in the metadata of its responses.
func (g *Group) handleResponseMetadata(now time.Time, r *replica, e AttemptEnded) {
	switch {
	case e.Draining:
		r.fire(now, "drain")
		r.drainReported = true
	case r.state == replicaDraining && r.drainReported:
		r.drainReported = false
		r.fire(now, "undrain")
	}
	if e.Cold {
		r.fire(now, "report-cold")
	}
}

func (g *Group) handleRefusal(now time.Time, a *attempt, r *replica, e AttemptEnded) {
	switch e.Reason {
	case ReasonDraining:
		r.fire(now, "drain")
		r.drainReported = true
	case ReasonVersionGone:
		r.unavailableAt[a.job.Version] = now
		delete(r.versions, a.job.Version)
	default:
		pause := e.RetryAfter
		if pause <= 0 {
			pause = defaultShedPause
		}
		r.pausedUntil = now.Add(min(pause, maxRetryAfter))
	}
}

// runningFingerprints returns the distinct fingerprints of the requests that
// were running at the upstream when an attempt there lost its connection.
func (g *Group) runningFingerprints(ended *attempt) []uint64 {
	fingerprints := []uint64{ended.job.Fingerprint}
	for _, a := range g.attempts {
		if a.upstream == ended.upstream && !slices.Contains(fingerprints, a.job.Fingerprint) {
			fingerprints = append(fingerprints, a.job.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// recordCrash counts a crash for all jobs of the requests that were running at an
// upstream when it crashed. Any of these requests may have caused the crash.
func (g *Group) recordCrash(fingerprints []uint64) {
	for _, j := range g.jobs {
		if slices.Contains(fingerprints, j.Fingerprint) {
			j.crashes++
		}
	}
}

// retryOrComplete retries or completes the job of an attempt that has ended.
func (g *Group) retryOrComplete(now time.Time, a *attempt, e AttemptEnded) {
	j := a.job
	switch e.Result {
	case ResultAnswered:
		g.handleAnswer(now, a, e)
	case ResultRefused, ResultUnreachable:
		j.lastReason = e.Reason
		if e.Result == ResultUnreachable {
			j.lastReason = ReasonNoReplica
		}
		j.possibleRuns--
		g.retry(now, j, false)
	case ResultConnectionBroken:
		j.lastReason = ReasonConnectionBroken
		g.retry(now, j, true)
	case ResultConnectionSilent:
		j.lastReason = ReasonConnectionSilent
		g.retry(now, j, true)
	case ResultAborted:
		j.lastReason = ReasonDeadline
		if j.runningAttempts == 0 {
			g.completeWithoutAnswer(j, ReasonDeadline, clampRetryAfter(g.EstimatedWait(now, j.Urgency)))
		}
	}
}

func (g *Group) handleAnswer(now time.Time, a *attempt, e AttemptEnded) {
	j := a.job
	if !j.Version.IsZero() && e.Version != j.Version {
		j.lastReason = ReasonVersionMismatch
		g.retry(now, j, true)
		return
	}
	g.recorder.Check(j.Version.IsZero() || e.Version == j.Version, invariant.OneSnapshot, "job %d: requested version %s, answered from %s", j.ID, j.Version, e.Version)
	g.finish(j, Complete{Job: j.ID, Outcome: Answered, WinningAttempt: a.id, Version: e.Version, Attempts: j.startedAttempts})
}

// retry queues another attempt if the job may have one, and completes the job
// otherwise. It does nothing while another attempt of the job is running. A job may
// have maxAttempts attempts before its deadline, and no more after a second crash.
// Retrying an attempt that may have run takes a token of the extra attempt budget,
// and is not allowed for non-idempotent jobs.
func (g *Group) retry(now time.Time, j *job, mayHaveRun bool) {
	if j.runningAttempts > 0 {
		return
	}
	allowed := j.startedAttempts < maxAttempts && j.crashes < 2 && now.Before(j.Deadline) && g.anyReplicaMayRun(now, j)
	if mayHaveRun {
		allowed = allowed && j.Idempotent && g.extraBudget.Spend()
	}
	if !allowed {
		g.completeWithoutAnswer(j, j.lastReason, clampRetryAfter(g.EstimatedWait(now, j.Urgency)))
		return
	}
	g.queue.expedite(j, false)
}
