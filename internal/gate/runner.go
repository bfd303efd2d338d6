package gate

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	cancelTimeout = 300 * time.Millisecond
	reportTimeout = 250 * time.Millisecond
	// allReportsTimeout bounds the wait for load reports from all upstreams of a
	// group.
	allReportsTimeout = 100 * time.Millisecond
	// neverDelay is a delay that does not pass during the life of a process. It is
	// used for a timer that must not fire, and for a group that this gate does not
	// own, which must not use all slots.
	neverDelay = 100 * 365 * 24 * time.Hour
)

// groupRunner performs the I/O for one shard.Group.
type groupRunner struct {
	gate    *Gate
	name    string
	service string

	mu              sync.Mutex
	group           *shard.Group
	definition      *catalog.Group
	clients         map[string]upstream.Client
	jobs            map[shard.JobID]*pendingJob
	runningAttempts map[shard.AttemptID]*runningAttempt
	// responseBodies holds the response body of an answered attempt while the group
	// handles the end of the attempt, so that a Complete action can use it.
	responseBodies map[shard.AttemptID][]byte
	timer          *time.Timer
	lastJobID      shard.JobID
	owned          bool
	lastUsedAt     time.Time
	closed         bool
	// seenPauseCount is the value of Gate.pauseCount at the group's last event; zero
	// before the first event.
	seenPauseCount int64
	// initialReportsDone is closed once the request for a load report from each
	// upstream has ended, at the latest after allReportsTimeout.
	initialReportsDone chan struct{}
}

// pendingJob is a submitted job with the callback for its reply.
type pendingJob struct {
	request   *wire.ScatterRequest
	shardPath string
	deliver   func(*wire.ScatterReply)
}

type runningAttempt struct {
	cancel context.CancelCauseFunc
	// aborted is set once the group has aborted the attempt.
	aborted bool
}

// afterUnlock is a function that must be called after groupRunner.mu is released.
type afterUnlock func()

var errAborted = errors.New("attempt aborted")

func newGroupRunner(g *Gate, service string, definition *catalog.Group) *groupRunner {
	now := time.Now()
	gr := &groupRunner{
		gate: g, name: definition.Name(), service: service, definition: definition,
		group:              shard.NewGroup(definition, g.Options, g.Recorder, now),
		clients:            make(map[string]upstream.Client),
		jobs:               make(map[shard.JobID]*pendingJob),
		runningAttempts:    make(map[shard.AttemptID]*runningAttempt),
		responseBodies:     make(map[shard.AttemptID][]byte),
		lastUsedAt:         now,
		initialReportsDone: make(chan struct{}),
	}
	for _, spec := range definition.Upstreams() {
		gr.clients[spec.Name] = g.NewClient(spec)
	}
	gr.group.Step(now, shard.SlotsRestricted{FullSlotsAt: now.Add(neverDelay)})
	gr.timer = time.AfterFunc(neverDelay, func() { gr.step(shard.Wake{}) })
	return gr
}

func (gr *groupRunner) close() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.closed = true
	gr.timer.Stop()
	for _, c := range gr.clients {
		c.Close()
	}
}

func (gr *groupRunner) canRemove(now time.Time) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return !gr.owned && gr.group.IsIdle() && now.Sub(gr.lastUsedAt) > unownedRetention
}

// loadInitialReports fetches load reports from all upstreams. Gate.Scatter waits for
// them before it submits jobs to the group.
func (gr *groupRunner) loadInitialReports() {
	defer close(gr.initialReportsDone)
	gr.fetchAllReports()
}

// fetchAllReports fetches load reports from all upstreams and waits for them, at
// most for allReportsTimeout.
func (gr *groupRunner) fetchAllReports() {
	ctx, cancel := context.WithTimeout(context.Background(), allReportsTimeout)
	defer cancel()
	gr.mu.Lock()
	clients := maps.Clone(gr.clients)
	gr.mu.Unlock()
	var fetches sync.WaitGroup
	for name, client := range clients {
		fetches.Go(func() { gr.fetchReport(ctx, name, client) })
	}
	fetches.Wait()
}

// startFetchingReports starts to fetch a load report from each upstream and does not
// wait for the reports.
func (gr *groupRunner) startFetchingReports(ctx context.Context) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for name, client := range gr.clients {
		gr.gate.tasks.Go(func() { gr.fetchReport(ctx, name, client) })
	}
}

func (gr *groupRunner) reconfigure(definition *catalog.Group) {
	gr.mu.Lock()
	if gr.definition == definition {
		gr.mu.Unlock()
		return
	}
	previous := make(map[string]catalog.UpstreamSpec)
	for _, spec := range gr.definition.Upstreams() {
		previous[spec.Name] = spec
	}
	gr.definition = definition
	for _, spec := range definition.Upstreams() {
		previousSpec, existed := previous[spec.Name]
		if !existed || previousSpec.Address != spec.Address || previousSpec.Slots != spec.Slots || previousSpec.Connections != spec.Connections {
			if client, ok := gr.clients[spec.Name]; ok {
				client.CloseIdleConnections()
			}
			gr.clients[spec.Name] = gr.gate.NewClient(spec)
		}
		delete(previous, spec.Name)
	}
	for name := range previous {
		gr.clients[name].CloseIdleConnections()
		delete(gr.clients, name)
	}
	gr.mu.Unlock()
	gr.step(shard.Reconfigure{Definition: definition})
}

func (gr *groupRunner) fetchReport(ctx context.Context, name string, client upstream.Client) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := client.FetchReport(ctx)
	if err != nil {
		return
	}
	gr.step(shard.UpstreamReported{Upstream: name, Versions: report.Versions, Draining: report.Draining, Cold: report.Cold})
}

func (gr *groupRunner) setOwned(owned bool) {
	gr.mu.Lock()
	changed := gr.owned != owned
	gr.owned = owned
	now := time.Now()
	gr.lastUsedAt = now
	gr.mu.Unlock()
	if !changed {
		return
	}
	gr.gate.Timeline.Add("ownership", "", "%s owned: %v", gr.name, owned)
	if owned {
		gr.step(shard.SlotsRestricted{FullSlotsAt: now.Add(TakeoverPeriod)})
		return
	}
	gr.step(shard.SlotsRestricted{FullSlotsAt: now.Add(neverDelay)})
}

// step passes an event to the group and performs the resulting actions.
func (gr *groupRunner) step(event shard.Event) {
	now := time.Now()
	gr.gate.detectPause(now)
	gr.mu.Lock()
	if gr.closed {
		gr.mu.Unlock()
		return
	}
	deferred := gr.stepLocked(now, event)
	gr.mu.Unlock()
	for _, f := range deferred {
		f()
	}
}

func (gr *groupRunner) stepLocked(now time.Time, event shard.Event) []afterUnlock {
	deferred := gr.applyEvent(now, gr.pauseEvent(now))
	deferred = append(deferred, gr.applyEvent(now, event)...)
	if wake, ok := gr.group.NextWake(); ok {
		gr.timer.Reset(wake.Sub(now))
	}
	return deferred
}

// pauseEvent returns the event that restricts the group to one slot of each upstream
// for TakeoverPeriod, if the process was paused since the group's last event. It
// returns nil if there was no such pause, or if this gate does not own the group:
// such a group is always restricted to one slot.
func (gr *groupRunner) pauseEvent(now time.Time) shard.Event {
	pauses := gr.gate.pauseCount.Load()
	if pauses == gr.seenPauseCount {
		return nil
	}
	gr.seenPauseCount = pauses
	if !gr.owned {
		return nil
	}
	return shard.SlotsRestricted{FullSlotsAt: now.Add(TakeoverPeriod)}
}

// applyEvent passes one event to the group, performs the resulting actions, and
// returns the functions to call after the lock is released. A nil event is ignored.
func (gr *groupRunner) applyEvent(now time.Time, event shard.Event) []afterUnlock {
	if event == nil {
		return nil
	}
	var deferred []afterUnlock
	for _, a := range gr.group.Step(now, event) {
		if f := gr.performAction(now, a); f != nil {
			deferred = append(deferred, f)
		}
	}
	return deferred
}

func (gr *groupRunner) performAction(now time.Time, action shard.Action) afterUnlock {
	switch a := action.(type) {
	case shard.StartAttempt:
		gr.startAttempt(now, a)
	case shard.AbortAttempt:
		if r, ok := gr.runningAttempts[a.Attempt]; ok {
			r.aborted = true
			r.cancel(errAborted)
		}
	case shard.Complete:
		return gr.completeJob(now, a)
	case shard.ProbeUpstream:
		client := gr.clients[a.Upstream]
		return func() { gr.gate.tasks.Go(func() { gr.probeUpstream(a.Upstream, client) }) }
	case shard.ReportCrash:
		return func() { gr.gate.handleCrash(a) }
	}
	return nil
}

func (gr *groupRunner) completeJob(now time.Time, c shard.Complete) afterUnlock {
	job := gr.jobs[c.Job]
	delete(gr.jobs, c.Job)
	reply := gr.newReply(now, job.shardPath)
	reply.Nonce = job.request.GetNonce()
	reply.Outcome = wireOutcomes[c.Outcome]
	reply.Reason = string(c.Reason)
	reply.Version = peer.EncodeVersion(c.Version)
	reply.RetryAfterMicros = c.RetryAfter.Microseconds()
	reply.Attempts = int32(c.Attempts)
	reply.Body = gr.responseBodies[c.WinningAttempt]
	delete(gr.responseBodies, c.WinningAttempt)
	gr.gate.Metrics.recordCompletion(gr.service, c)
	stamp := gr.gate.Timeline.Add("shard-done", job.request.GetRequestId(), "%s: %s %s after %d attempts", job.shardPath, c.Outcome, c.Reason, c.Attempts)
	reply.Stamp = peer.EncodeStamp(stamp)
	fingerprint := job.request.GetFingerprint()
	return func() {
		gr.gate.recordFinish(fingerprint, c.Outcome == shard.Answered)
		job.deliver(reply)
	}
}

// newReply returns a reply with the current estimated waits and the versions of a
// shard.
func (gr *groupRunner) newReply(now time.Time, shardPath string) *wire.ScatterReply {
	report := gr.shardReport(now, shardPath)
	return &wire.ScatterReply{
		Accepted: true, Shard: shardPath, WaitMicros: report.GetWaitMicros(), Versions: report.GetVersions(),
		Revision: gr.gate.follower.Current().Revision(),
	}
}

func (gr *groupRunner) shardReport(now time.Time, shardPath string) *wire.ShardReport {
	report := &wire.ShardReport{Shard: shardPath}
	for u := catalog.Urgent; u < catalog.UrgencyCount; u++ {
		report.WaitMicros = append(report.WaitMicros, gr.group.EstimatedWait(now, u).Microseconds())
	}
	for v, n := range gr.group.ReplicaCounts(now, shardPath) {
		report.Versions = append(report.Versions, &wire.ShardVersion{Version: peer.EncodeVersion(v), Replicas: int32(n)})
	}
	return report
}

// submit submits the job of one shard of a request and returns a function that
// withdraws it.
func (gr *groupRunner) submit(pending *pendingJob, job shard.Job) (withdraw func()) {
	now := time.Now()
	gr.gate.detectPause(now)
	gr.mu.Lock()
	if gr.closed {
		gr.mu.Unlock()
		pending.deliver(newRefusal(pending.request, pending.shardPath, shard.ReasonStopping, defaultRetryAfter))
		return func() {}
	}
	gr.lastJobID++
	job.ID = gr.lastJobID
	gr.lastUsedAt = now
	gr.jobs[job.ID] = pending
	deferred := gr.stepLocked(now, shard.Submit{Job: job})
	gr.mu.Unlock()
	for _, f := range deferred {
		f()
	}
	return func() { gr.step(shard.Withdraw{Job: job.ID}) }
}

func (gr *groupRunner) startAttempt(now time.Time, a shard.StartAttempt) {
	job := gr.jobs[a.Job]
	client := gr.clients[a.Upstream]
	ctx, cancel := context.WithCancelCause(context.Background())
	gr.runningAttempts[a.Attempt] = &runningAttempt{cancel: cancel}
	call := upstream.Call{
		AttemptID: fmt.Sprintf("%s.%d.%s.%d", gr.gate.Self.Host(), gr.gate.Self.Incarnation(), gr.name, a.Attempt),
		RequestID: job.request.GetRequestId(),
		Service:   gr.service, ShardPath: job.shardPath, Kind: job.request.GetKind(), Version: a.Version,
		Remaining: a.Deadline.Sub(now), Idempotent: job.request.GetIdempotent(), Body: job.request.GetBody(),
	}
	call.AttemptID = pathSafe(call.AttemptID)
	silenceTimeout := gr.group.SilenceTimeout()
	gr.gate.Metrics.recordStart(gr.service, a)
	gr.gate.Timeline.Add("attempt", call.RequestID, "%s on %s, hedge: %v", job.shardPath, a.Upstream, a.Hedge)
	started := gr.gate.tasks.Go(func() { gr.runAttempt(ctx, a, call, client, silenceTimeout) })
	if !started {
		cancel(errAborted)
	}
}

func (gr *groupRunner) probeUpstream(name string, client upstream.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	result := shard.ProbeEnded{Upstream: name}
	if client != nil {
		report, err := client.FetchReport(ctx)
		result.Answered, result.Cold = err == nil, report.Cold
	}
	gr.step(result)
}
