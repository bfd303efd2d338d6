package shard

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/budget"
	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/latency"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// A Group is the state of one group of shards at one gate. It is not safe for
// concurrent use.
type Group struct {
	definition *catalog.Group
	options    Options
	recorder   *invariant.Recorder
	random     *rand.Rand
	// replicas has an entry for each upstream of the definition, and for
	// removed upstreams while attempts are still running there.
	replicas map[string]*replica
	// replicaNames holds the names of the replicas, sorted.
	replicaNames  []string
	jobs          map[JobID]*job
	attempts      map[AttemptID]*attempt
	queue         queue
	extraBudget   *budget.Budget
	latency       *latency.Tracker
	lastAttemptID AttemptID
	startCount    int
	// startRatios holds, by urgency, the ratio of the recently started jobs that had
	// this urgency, 0 to 1.
	startRatios [catalog.UrgencyCount]float64
	// fullSlotsAt is when every other owner has certainly stopped using slots.
	// Until then each upstream is limited to one slot.
	fullSlotsAt time.Time
	actions     []Action
	// now is the time of the last Step.
	now time.Time
}

// NewGroup returns a Group without jobs. It may use all slots of its upstreams until
// a SlotsRestricted event.
func NewGroup(definition *catalog.Group, options Options, recorder *invariant.Recorder, now time.Time) *Group {
	g := &Group{
		options:     options,
		recorder:    recorder,
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		replicas:    make(map[string]*replica),
		jobs:        make(map[JobID]*job),
		attempts:    make(map[AttemptID]*attempt),
		extraBudget: budget.New(options.ExtraAttemptRatio, options.ExtraAttemptBurst),
		latency:     latency.NewTracker(1 - options.ExtraAttemptRatio*hedgeBudgetRatio),
	}
	g.reconfigure(now, definition)
	return g
}

// IsIdle reports whether the group has neither jobs nor attempts.
func (g *Group) IsIdle() bool {
	return len(g.jobs) == 0 && len(g.attempts) == 0
}

// NextWake returns the time for the next Wake event. It returns false if only
// other events can change the state.
func (g *Group) NextWake() (time.Time, bool) {
	var wake time.Time
	consider := func(t time.Time) {
		if t.After(g.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	queued := g.queueLength() > 0
	if queued {
		consider(g.queue.earliestDeadline())
		consider(g.fullSlotsAt)
	}
	for _, a := range g.attempts {
		if !a.job.hedgeQueued && !a.job.done {
			consider(a.hedgeAt)
		}
	}
	for _, r := range g.replicas {
		if r.state == replicaLost {
			consider(r.nextProbeAt)
		}
		if queued {
			consider(g.nextSlotAt(r))
		}
	}
	return wake, !wake.IsZero()
}

// Step handles one event and returns the actions to perform. The time must not
// go back between calls.
func (g *Group) Step(now time.Time, event Event) []Action {
	g.actions = nil
	g.now = now
	switch e := event.(type) {
	case Submit:
		g.submit(now, e.Job)
	case Withdraw:
		g.withdraw(e.Job)
	case AttemptEnded:
		g.handleAttemptEnded(now, e)
	case UpstreamReported:
		g.handleReport(now, e)
	case ProbeEnded:
		g.handleProbeEnded(now, e)
	case Quarantine:
		g.endJobs(ReasonQuarantined, e.RetryAfter, func(j *job) bool { return j.Fingerprint == e.Fingerprint })
	case Stop:
		g.endJobs(ReasonStopping, e.RetryAfter, func(*job) bool { return true })
	case Reconfigure:
		g.reconfigure(now, e.Definition)
	case SlotsRestricted:
		g.fullSlotsAt = e.FullSlotsAt
	case Wake:
	}
	g.updateReplicas(now)
	g.queueDueHedges(now)
	g.startQueued(now)
	return g.actions
}

// ReplicaCounts returns, for each version, how many usable replicas of a shard
// hold it.
func (g *Group) ReplicaCounts(now time.Time, shardPath string) map[snapshot.Version]int {
	counts := make(map[snapshot.Version]int)
	for _, name := range g.definition.ShardUpstreams(shardPath) {
		r, ok := g.replicas[name]
		if !ok || !r.isUsable() {
			continue
		}
		for v := range r.versions {
			if r.serves(now, v) {
				counts[v]++
			}
		}
	}
	return counts
}

// SilenceTimeout returns how long an attempt may run without a response before its
// connection is checked.
func (g *Group) SilenceTimeout() time.Duration {
	return max(minSilenceTimeout, silenceFactor*g.latency.HighQuantile())
}

// attemptLimit returns how many attempts may run on a replica now, after its own
// limit, the adaptive limit and the one-slot limit before fullSlotsAt.
func (g *Group) attemptLimit(now time.Time, r *replica) int {
	n := r.attemptLimit(now, g.options.WarmupWindow)
	if g.options.UseAdaptiveLimit {
		n = min(n, int(r.adaptiveLimit))
	}
	if now.Before(g.fullSlotsAt) {
		n = min(n, 1)
	}
	return n
}

func (g *Group) emit(a Action) {
	g.actions = append(g.actions, a)
}

// nextSlotAt returns when a replica may accept another attempt without any other
// event: after a pause, with the next slot of its warm-up, or when a job is due
// for it while it is slow. It returns the zero time if only another event can free
// a slot.
func (g *Group) nextSlotAt(r *replica) time.Time {
	switch {
	case !r.isUsable():
		return time.Time{}
	case r.pausedUntil.After(g.now):
		return r.pausedUntil
	case r.state == replicaWarming:
		return g.now.Add(g.options.WarmupWindow / time.Duration(r.spec.Slots))
	case r.runningAttempts == 0:
		return r.nextSlowJobAt
	default:
		return time.Time{}
	}
}

func (g *Group) reconfigure(now time.Time, definition *catalog.Group) {
	g.definition = definition
	listed := make(map[string]bool)
	for _, spec := range definition.Upstreams() {
		listed[spec.Name] = true
		g.reconfigureUpstream(now, spec)
	}
	for name, r := range g.replicas {
		if listed[name] {
			continue
		}
		r.fire(now, "drain")
		r.drainReported = false
		if r.runningAttempts == 0 {
			delete(g.replicas, name)
		}
	}
	g.replicaNames = g.replicaNames[:0]
	for name := range g.replicas {
		g.replicaNames = append(g.replicaNames, name)
	}
	slices.Sort(g.replicaNames)
}

func (g *Group) reconfigureUpstream(now time.Time, spec catalog.UpstreamSpec) {
	r, ok := g.replicas[spec.Name]
	if !ok || (r.spec.Address != spec.Address && r.runningAttempts == 0) {
		g.replicas[spec.Name] = newReplica(spec, now)
		return
	}
	wasDrained := r.spec.Drain
	r.spec = spec
	switch {
	case spec.Drain:
		r.fire(now, "drain")
		r.drainReported = false
	case wasDrained:
		r.fire(now, "undrain")
	}
}

func (g *Group) withdraw(id JobID) {
	j, ok := g.jobs[id]
	if !ok || (!j.Idempotent && j.runningAttempts > 0) {
		// A running non-idempotent job is not cancelled, because its outcome is
		// needed if the caller sends the request again.
		return
	}
	g.completeWithoutAnswer(j, ReasonWithdrawn, 0)
}

// completeWithoutAnswer completes a job as NotRun if no upstream can have run
// it, and as Failed otherwise.
func (g *Group) completeWithoutAnswer(j *job, reason Reason, retryAfter time.Duration) {
	if j.possibleRuns > 0 {
		g.complete(j, Failed, reason, retryAfter)
		return
	}
	g.complete(j, NotRun, reason, retryAfter)
}

// complete completes a job that has no answer and cancels its running attempts.
func (g *Group) complete(j *job, outcome Outcome, reason Reason, retryAfter time.Duration) {
	g.recorder.Check(outcome != NotRun || j.possibleRuns == 0, invariant.RefusedNotRun, "job %d of shard %s is completed as not run, but may have run", j.ID, j.ShardPath)
	g.finish(j, Complete{Job: j.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Attempts: j.startedAttempts})
}

func (g *Group) finish(j *job, c Complete) {
	j.done = true
	g.queue.markNotWaiting(j)
	delete(g.jobs, j.ID)
	g.emit(c)
	for _, id := range g.attemptIDs(j) {
		if a := g.attempts[id]; !a.aborted {
			a.aborted = true
			g.emit(AbortAttempt{Attempt: id})
		}
	}
}

// attemptIDs returns the ids of a job's attempts, sorted.
func (g *Group) attemptIDs(j *job) []AttemptID {
	var ids []AttemptID
	for id, a := range g.attempts {
		if a.job == j {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// endJobs completes the selected jobs without an answer.
func (g *Group) endJobs(reason Reason, retryAfter time.Duration, selects func(*job) bool) {
	var ids []JobID
	for id, j := range g.jobs {
		if selects(j) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g.completeWithoutAnswer(g.jobs[id], reason, retryAfter)
	}
}

func (g *Group) handleReport(now time.Time, e UpstreamReported) {
	r, ok := g.replicas[e.Upstream]
	if !ok {
		return
	}
	r.versions = make(map[snapshot.Version]bool)
	for _, v := range e.Versions {
		r.versions[v] = true
	}
	switch {
	case e.Draining && r.state != replicaDraining && g.hasOtherUsable(now, r):
		r.fire(now, "drain")
		r.drainReported = true
	case !e.Draining && r.drainReported && !r.spec.Drain:
		r.drainReported = false
		r.fire(now, "undrain")
	}
	if e.Cold && r.runningAttempts == 0 {
		r.fire(now, "report-cold")
	}
}

// hasOtherUsable reports whether the attempt limit of another replica is above
// zero. A draining report is only a hint, so it must not take the last such replica
// out of service.
func (g *Group) hasOtherUsable(now time.Time, excluded *replica) bool {
	for _, r := range g.replicas {
		if r != excluded && g.attemptLimit(now, r) > 0 {
			return true
		}
	}
	return false
}

func (g *Group) handleProbeEnded(now time.Time, e ProbeEnded) {
	r, ok := g.replicas[e.Upstream]
	if !ok || r.state != replicaLost {
		return
	}
	if !e.Answered {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.nextProbeAt = now.Add(r.probeDelay)
		return
	}
	if !e.Cold && now.Sub(r.stateSince) < maxWarmOutage {
		// The outage was too short for a restart: only connections were lost,
		// and the upstream is still warm.
		r.fire(now, "resumed")
	} else {
		r.fire(now, "found")
		r.meanMicros = 0
	}
	if r.spec.Drain {
		r.fire(now, "drain")
	}
}

func (g *Group) updateReplicas(now time.Time) {
	for _, name := range g.replicaNames {
		r, ok := g.replicas[name]
		if !ok {
			continue
		}
		if r.state == replicaWarming && now.Sub(r.stateSince) >= g.options.WarmupWindow {
			r.fire(now, "warmed")
		}
		if r.state == replicaLost && !r.nextProbeAt.IsZero() && !now.Before(r.nextProbeAt) {
			r.nextProbeAt = time.Time{}
			g.emit(ProbeUpstream{Upstream: name})
		}
	}
}
