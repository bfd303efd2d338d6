package shard

import (
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

// attemptEnded frees the slot, learns from the result and ends or retries the
// job.
func (g *Group) attemptEnded(now time.Time, e AttemptEnded) {
	a, ok := g.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(g.attempts, e.Attempt)
	r := g.replicas[a.upstream]
	r.running--
	if a.suspect {
		r.suspects--
	}
	a.job.running--
	g.learn(now, a, r, e)
	g.forgetRemoved(r)
	if a.job.done {
		return
	}
	g.settle(now, a, e)
}

// forgetRemoved deletes a replica that the definition no longer names.
func (g *Group) forgetRemoved(r *replica) {
	if r.running > 0 {
		return
	}
	for _, spec := range g.definition.Upstreams() {
		if spec.Name == r.spec.Name {
			return
		}
	}
	delete(g.replicas, r.spec.Name)
	g.order = slices.DeleteFunc(g.order, func(n string) bool { return n == r.spec.Name })
}

func (g *Group) learn(now time.Time, a *attempt, r *replica, e AttemptEnded) {
	took := now.Sub(a.startAt)
	switch e.Result {
	case ResultAnswered:
		g.latency.Add(now, took)
		r.observe(took, false)
		r.adapt(took)
		r.pausedUntil = time.Time{}
		g.learnSigns(now, r, e)
	case ResultAborted:
		r.observe(took, true)
	case ResultRefused:
		g.learnRefusal(now, a, r, e)
	case ResultUnreachable:
		r.lose(now)
	case ResultConnectionBroken:
		fingerprints := g.fingerprintsAt(a)
		r.lose(now)
		g.suspect(fingerprints)
		g.emit(ReportCrash{Upstream: a.upstream, Fingerprints: fingerprints})
	case ResultConnectionSilent:
		r.observe(took, true)
		if e.UpstreamLost {
			r.lose(now)
		}
	}
}

// learnSigns believes what an upstream says of itself in its replies.
func (g *Group) learnSigns(now time.Time, r *replica, e AttemptEnded) {
	switch {
	case e.Draining:
		r.fire(now, "drain")
		r.hinted = true
	case r.state == replicaDraining && r.hinted:
		r.hinted = false
		r.fire(now, "undrain")
	}
	if e.Cold {
		r.fire(now, "report-cold")
	}
}

func (g *Group) learnRefusal(now time.Time, a *attempt, r *replica, e AttemptEnded) {
	switch e.Reason {
	case ReasonDraining:
		r.fire(now, "drain")
		r.hinted = true
	case ReasonVersionGone:
		r.gone[a.job.Version] = now
		delete(r.versions, a.job.Version)
	default:
		pause := e.RetryAfter
		if pause <= 0 {
			pause = shedPause
		}
		r.pausedUntil = now.Add(min(pause, maxRetryAfter))
	}
}

// fingerprintsAt returns the distinct requests that ran where a broke.
func (g *Group) fingerprintsAt(broken *attempt) []uint64 {
	fingerprints := []uint64{broken.job.Fingerprint}
	for _, a := range g.attempts {
		if a.upstream == broken.upstream && !slices.Contains(fingerprints, a.job.Fingerprint) {
			fingerprints = append(fingerprints, a.job.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// suspect notes, in all jobs of these requests, that an upstream broke while
// it ran one of them. The request that broke it is among them.
func (g *Group) suspect(fingerprints []uint64) {
	for _, j := range g.jobs {
		if slices.Contains(fingerprints, j.Fingerprint) {
			j.broken++
		}
	}
}

// settle decides what becomes of the job of an ended attempt.
func (g *Group) settle(now time.Time, a *attempt, e AttemptEnded) {
	j := a.job
	switch e.Result {
	case ResultAnswered:
		g.answered(now, a, e)
	case ResultRefused, ResultUnreachable:
		j.lastReason = e.Reason
		if e.Result == ResultUnreachable {
			j.lastReason = ReasonNoReplica
		}
		j.unrefuted--
		g.again(now, j, false)
	case ResultConnectionBroken:
		j.lastReason = ReasonConnectionBroken
		g.again(now, j, true)
	case ResultConnectionSilent:
		j.lastReason = ReasonConnectionSilent
		g.again(now, j, true)
	case ResultAborted:
		j.lastReason = ReasonDeadline
		if j.running == 0 {
			g.giveUp(j, ReasonDeadline, retryAfter(g.EstimatedWait(now, j.Urgency)))
		}
	}
}

func (g *Group) answered(now time.Time, a *attempt, e AttemptEnded) {
	j := a.job
	if !j.Version.IsZero() && e.Version != j.Version {
		j.lastReason = ReasonVersionMismatch
		g.again(now, j, true)
		return
	}
	g.recorder.Check(j.Version.IsZero() || e.Version == j.Version, invariant.OneSnapshot, "job %d: asked %s, got %s", j.ID, j.Version, e.Version)
	g.finish(j, Complete{Job: j.ID, Outcome: Answered, WinningAttempt: a.id, Version: e.Version, Attempts: j.started})
}

// again queues a further attempt if the job may have one. An attempt that may
// have run costs a token, and is not made for jobs that must not run twice.
func (g *Group) again(now time.Time, j *job, mayHaveRun bool) {
	if j.running > 0 {
		return
	}
	allowed := j.started < maxAttempts && j.broken < 2 && now.Before(j.Deadline) && g.anyHolder(now, j)
	if mayHaveRun {
		allowed = allowed && j.Idempotent && g.extra.Spend()
	}
	if !allowed {
		g.giveUp(j, j.lastReason, retryAfter(g.EstimatedWait(now, j.Urgency)))
		return
	}
	g.queue.expedite(j, false)
}
