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

// A Group is the state of one group of shards at its owner. It is not safe for
// concurrent use.
type Group struct {
	definition *catalog.Group
	options    Options
	recorder   *invariant.Recorder
	random     *rand.Rand
	// replicas has one entry for each upstream of the definition, and for
	// removed ones while attempts still run there.
	replicas map[string]*replica
	// order holds the names of the replicas, sorted.
	order    []string
	jobs     map[JobID]*job
	attempts map[AttemptID]*attempt
	queue    queue
	extra    *budget.Budget
	latency  *latency.Tracker
	last     AttemptID
	starts   int
	// startShares is the recent share of each urgency in all starts.
	startShares [catalog.UrgencyCount]float64
	// fullFrom is when the former owner surely uses no slot any more.
	fullFrom time.Time
	actions  []Action
	// now is the time of the last Step.
	now time.Time
}

// job is a submitted Job that has not been completed.
type job struct {
	Job
	// tried holds the upstreams of all attempts so far.
	tried map[string]bool
	// running counts its attempts that are not aborted and not ended.
	running int
	started int
	// unrefuted counts the attempts that may have run: all started ones but
	// those of which it is sure that they were not run.
	unrefuted int
	// broken counts its attempts that broke an upstream.
	broken int
	// hedged is set once a hedge was queued.
	hedged bool
	// queued is true while it waits for its first attempt.
	queued bool
	done   bool
	// lastReason is why the last attempt did not answer.
	lastReason Reason
}

type attempt struct {
	id       AttemptID
	job      *job
	upstream string
	startAt  time.Time
	// hedgeAt is when a second replica is asked; zero for never.
	hedgeAt time.Time
	aborted bool
	suspect bool
}

// NewGroup returns the state of a group that has just been taken over.
func NewGroup(definition *catalog.Group, options Options, recorder *invariant.Recorder, now time.Time) *Group {
	g := &Group{
		options:  options,
		recorder: recorder,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		replicas: make(map[string]*replica),
		jobs:     make(map[JobID]*job),
		attempts: make(map[AttemptID]*attempt),
		extra:    budget.New(options.ExtraAttemptRatio, options.ExtraAttemptBurst),
		latency:  latency.NewTracker(1 - options.ExtraAttemptRatio*hedgeMargin),
	}
	g.reconfigure(now, definition)
	return g
}

// Idle reports whether no job and no attempt is left.
func (g *Group) Idle() bool {
	return len(g.jobs) == 0 && len(g.attempts) == 0
}

// NextWake returns when Step wants a Wake, or false if only other events
// matter.
func (g *Group) NextWake() (time.Time, bool) {
	var wake time.Time
	consider := func(t time.Time) {
		if t.After(g.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	queued := g.queueLength() > 0
	if queued {
		consider(g.queue.firstDeadline())
		consider(g.fullFrom)
	}
	for _, a := range g.attempts {
		if !a.job.hedged && !a.job.done {
			consider(a.hedgeAt)
		}
	}
	for _, r := range g.replicas {
		if r.state == replicaLost {
			consider(r.probeAt)
		}
		if queued {
			consider(g.nextRoom(r))
		}
	}
	return wake, !wake.IsZero()
}

// Step takes one event and returns what to do about it. The time must not go
// back between calls.
func (g *Group) Step(now time.Time, event Event) []Action {
	g.actions = nil
	g.now = now
	switch e := event.(type) {
	case Submit:
		g.submit(now, e.Job)
	case Withdraw:
		g.withdraw(e.Job)
	case AttemptEnded:
		g.attemptEnded(now, e)
	case UpstreamReported:
		g.reported(now, e)
	case ProbeEnded:
		g.probeEnded(now, e)
	case Quarantine:
		g.quarantine(e)
	case Reconfigure:
		g.reconfigure(now, e.Definition)
	case OwnershipChanged:
		g.fullFrom = e.FullSlotsAt
	case Wake:
	}
	g.wakeReplicas(now)
	g.wakeHedges(now)
	g.pump(now)
	return g.actions
}

// ReplicaCounts returns how many usable replicas of a shard hold each version.
func (g *Group) ReplicaCounts(now time.Time, shardPath string) map[snapshot.Version]int {
	count := make(map[snapshot.Version]int)
	for _, name := range g.definition.Replicas(shardPath) {
		r, ok := g.replicas[name]
		if !ok || !r.usable() {
			continue
		}
		for v := range r.versions {
			if r.serves(now, v) {
				count[v]++
			}
		}
	}
	return count
}

// EstimatedWait returns how long a new job of an urgency would wait for a slot.
func (g *Group) EstimatedWait(now time.Time, u catalog.Urgency) time.Duration {
	slots, running := g.load(now)
	if slots == 0 {
		return 0
	}
	before := g.queue.ahead(u) + running + 1 - slots
	if before <= 0 {
		return 0
	}
	share := max(minShare, 1-g.moreUrgentShare(u))
	return time.Duration(float64(g.latency.Average()) * float64(before) / float64(slots) / share)
}

// moreUrgentShare returns the share of recent starts that were more urgent: a
// queued job waits for those still to come as well.
func (g *Group) moreUrgentShare(u catalog.Urgency) float64 {
	share := 0.0
	for c := catalog.Urgent; c < u; c++ {
		share += g.startShares[c]
	}
	return share
}

// load returns the slots of the usable replicas and how many are taken.
func (g *Group) load(now time.Time) (slots, running int) {
	for _, r := range g.replicas {
		n := r.capacity(now, g.options.WarmupWindow)
		if now.Before(g.fullFrom) {
			n = min(n, 1)
		}
		slots += n
		running += r.running
	}
	return slots, running
}

// SilenceTimeout returns how long an attempt may run before its connection is
// checked.
func (g *Group) SilenceTimeout() time.Duration {
	return max(minSilence, silenceFactor*g.latency.HighQuantile())
}

func (g *Group) allowed(now time.Time, r *replica) int {
	n := r.allowed(now, g.options.WarmupWindow)
	if g.options.AdaptiveLimit {
		n = min(n, int(r.limit))
	}
	if now.Before(g.fullFrom) {
		n = min(n, 1)
	}
	return n
}

func (g *Group) emit(a Action) {
	g.actions = append(g.actions, a)
}

// nextRoom returns when a replica may get more slots without another event.
func (g *Group) nextRoom(r *replica) time.Time {
	switch {
	case !r.usable():
		return time.Time{}
	case r.pausedUntil.After(g.now):
		return r.pausedUntil
	case r.state == replicaWarming:
		return g.now.Add(g.options.WarmupWindow / time.Duration(r.spec.Slots))
	case r.running == 0:
		return r.slowUntil
	default:
		return time.Time{}
	}
}

func (g *Group) queueLength() int {
	n := len(g.queue.expedited)
	for c := range g.queue.classes {
		n += len(g.queue.classes[c])
	}
	return n
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
		r.hinted = false
		if r.running == 0 {
			delete(g.replicas, name)
		}
	}
	g.order = g.order[:0]
	for name := range g.replicas {
		g.order = append(g.order, name)
	}
	slices.Sort(g.order)
}

func (g *Group) reconfigureUpstream(now time.Time, spec catalog.UpstreamSpec) {
	r, ok := g.replicas[spec.Name]
	if !ok || (r.spec.Address != spec.Address && r.running == 0) {
		g.replicas[spec.Name] = newReplica(spec, now)
		return
	}
	drained := r.spec.Drain
	r.spec = spec
	switch {
	case spec.Drain:
		r.fire(now, "drain")
		r.hinted = false
	case drained:
		r.fire(now, "undrain")
	}
}

func (g *Group) submit(now time.Time, j Job) {
	s := &job{Job: j, tried: make(map[string]bool)}
	if j.Suspect {
		s.broken = 1
	}
	g.jobs[j.ID] = s
	if reason, after, refused := g.refuse(now, s); refused {
		g.complete(s, NotRun, reason, after)
		return
	}
	g.queue.push(s)
}

// refuse says why a new job cannot be done.
func (g *Group) refuse(now time.Time, j *job) (Reason, time.Duration, bool) {
	holders, live := 0, 0
	for _, name := range g.definition.Replicas(j.ShardPath) {
		r, ok := g.replicas[name]
		if !ok {
			continue
		}
		if r.usable() {
			live++
		}
		if g.mayHold(now, r, j) {
			holders++
		}
	}
	wait := g.EstimatedWait(now, j.Urgency)
	switch {
	case len(g.definition.Replicas(j.ShardPath)) == 0:
		return ReasonNotOwner, minRetryAfter, true
	case holders == 0 && live == 0:
		return ReasonNoReplica, probeMost, true
	case holders == 0:
		return ReasonVersionGone, minRetryAfter, true
	case !now.Before(j.Deadline):
		return ReasonDeadline, retryAfter(wait), true
	case !g.options.NoAdmission && now.Add(wait+g.latency.Average()).After(j.Deadline):
		return ReasonOverload, retryAfter(wait), true
	default:
		return "", 0, false
	}
}

func (g *Group) withdraw(id JobID) {
	j, ok := g.jobs[id]
	if !ok || (!j.Idempotent && j.running > 0) {
		// A booking under way is not cut off: its caller will ask again.
		return
	}
	g.giveUp(j, ReasonWithdrawn, 0)
}

// giveUp ends a job without an answer, with the outcome that is true.
func (g *Group) giveUp(j *job, reason Reason, after time.Duration) {
	if j.unrefuted > 0 {
		g.complete(j, Failed, reason, after)
		return
	}
	g.complete(j, NotRun, reason, after)
}

// complete ends a job and cancels what still runs for it.
func (g *Group) complete(j *job, outcome Outcome, reason Reason, after time.Duration) {
	g.recorder.Check(outcome != NotRun || j.unrefuted == 0, invariant.RefusedNotRun, "job %d of shard %s", j.ID, j.ShardPath)
	g.finish(j, Complete{Job: j.ID, Outcome: outcome, Reason: reason, RetryAfter: after, Attempts: j.started})
}

func (g *Group) finish(j *job, c Complete) {
	j.done = true
	g.queue.started(j)
	delete(g.jobs, j.ID)
	g.emit(c)
	for _, id := range g.attemptsOf(j) {
		if a := g.attempts[id]; !a.aborted {
			a.aborted = true
			g.emit(AbortAttempt{Attempt: id})
		}
	}
}

// attemptsOf returns the ids of the job's attempts in order.
func (g *Group) attemptsOf(j *job) []AttemptID {
	var ids []AttemptID
	for id, a := range g.attempts {
		if a.job == j {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (g *Group) quarantine(q Quarantine) {
	var ids []JobID
	for id, j := range g.jobs {
		if j.Fingerprint == q.Fingerprint {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g.giveUp(g.jobs[id], ReasonQuarantined, q.RetryAfter)
	}
}

func (g *Group) reported(now time.Time, e UpstreamReported) {
	r, ok := g.replicas[e.Upstream]
	if !ok {
		return
	}
	r.versions = make(map[snapshot.Version]bool)
	for _, v := range e.Versions {
		r.versions[v] = true
	}
	switch {
	case e.Draining && r.state != replicaDraining && g.othersUsable(now, r):
		r.fire(now, "drain")
		r.hinted = true
	case !e.Draining && r.hinted && !r.spec.Drain:
		r.hinted = false
		r.fire(now, "undrain")
	}
	if e.Cold && r.running == 0 {
		r.fire(now, "report-cold")
	}
}

// othersUsable reports whether the group can do without a replica; the last
// one is not given up on a mere hint.
func (g *Group) othersUsable(now time.Time, except *replica) bool {
	for _, r := range g.replicas {
		if r != except && g.allowed(now, r) > 0 {
			return true
		}
	}
	return false
}

func (g *Group) probeEnded(now time.Time, e ProbeEnded) {
	r, ok := g.replicas[e.Upstream]
	if !ok || r.state != replicaLost {
		return
	}
	if !e.Answered {
		r.probePause = min(2*r.probePause, probeMost)
		r.probeAt = now.Add(r.probePause)
		return
	}
	if !e.Cold && now.Sub(r.since) < blinkTime {
		// Only connections were lost: too short for a restart.
		r.fire(now, "resumed")
	} else {
		r.fire(now, "found")
		r.mean = 0
	}
	if r.spec.Drain {
		r.fire(now, "drain")
	}
}

func (g *Group) wakeReplicas(now time.Time) {
	for _, name := range g.order {
		r, ok := g.replicas[name]
		if !ok {
			continue
		}
		if r.state == replicaWarming && now.Sub(r.since) >= g.options.WarmupWindow {
			r.fire(now, "warmed")
		}
		if r.state == replicaLost && !r.probeAt.IsZero() && !now.Before(r.probeAt) {
			r.probeAt = time.Time{}
			g.emit(ProbeUpstream{Upstream: name})
		}
	}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
