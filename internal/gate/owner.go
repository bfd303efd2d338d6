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
	// learnTimeout is how long is waited for all upstreams to report.
	learnTimeout = 100 * time.Millisecond
	// never is far enough away for a group that is owned elsewhere.
	never = 100 * 365 * 24 * time.Hour
)

// owner does the I/O for the decisions of one shard.Group.
type owner struct {
	gate    *Gate
	name    string
	service string

	mu         sync.Mutex
	group      *shard.Group
	definition *catalog.Group
	clients    map[string]upstream.Client
	jobs       map[shard.JobID]*pending
	running    map[shard.AttemptID]*runningAttempt
	// bodies holds answers between the end of an attempt and its Complete.
	bodies  map[shard.AttemptID][]byte
	timer   *time.Timer
	lastJob shard.JobID
	owned   bool
	usedAt  time.Time
	closed  bool
	// pauses is how many pauses of the process the group knows of.
	pauses int64
	// known is closed once the upstreams had time to report.
	known chan struct{}
}

// pending is a job and who waits for it.
type pending struct {
	request   *wire.ScatterRequest
	shardPath string
	deliver   func(*wire.ScatterReply)
}

type runningAttempt struct {
	cancel context.CancelCauseFunc
	// aborted is set once the decision was to cancel it.
	aborted bool
}

// followUp is what a step wants done after the lock is released.
type followUp func()

var errAborted = errors.New("attempt aborted")

func newOwner(g *Gate, service string, definition *catalog.Group) *owner {
	now := time.Now()
	o := &owner{
		gate: g, name: definition.Name(), service: service, definition: definition,
		group:   shard.NewGroup(definition, g.Options, g.Recorder, now),
		clients: make(map[string]upstream.Client),
		jobs:    make(map[shard.JobID]*pending),
		running: make(map[shard.AttemptID]*runningAttempt),
		bodies:  make(map[shard.AttemptID][]byte),
		usedAt:  now,
		known:   make(chan struct{}),
	}
	for _, spec := range definition.Upstreams() {
		o.clients[spec.Name] = g.NewClient(spec)
	}
	o.group.Step(now, shard.OwnershipChanged{FullSlotsAt: now.Add(never)})
	o.timer = time.AfterFunc(never, func() { o.step(shard.Wake{}) })
	return o
}

func (o *owner) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.timer.Stop()
	for _, c := range o.clients {
		c.Close()
	}
}

func (o *owner) forgettable(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.owned && o.group.Idle() && now.Sub(o.usedAt) > guestTime
}

// learn asks all load endpoints, before the first jobs are taken.
func (o *owner) learn() {
	defer close(o.known)
	o.askAll()
}

// askAll asks all load endpoints and waits for the replies, but not for long.
func (o *owner) askAll() {
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	o.mu.Lock()
	clients := maps.Clone(o.clients)
	o.mu.Unlock()
	var group sync.WaitGroup
	for name, client := range clients {
		group.Go(func() { o.report(ctx, name, client) })
	}
	group.Wait()
}

// pollReports asks each load endpoint once.
func (o *owner) pollReports(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, client := range o.clients {
		o.gate.group.Go(func() { o.report(ctx, name, client) })
	}
}

func (o *owner) reconfigure(definition *catalog.Group) {
	o.mu.Lock()
	if o.definition == definition {
		o.mu.Unlock()
		return
	}
	former := make(map[string]catalog.UpstreamSpec)
	for _, spec := range o.definition.Upstreams() {
		former[spec.Name] = spec
	}
	o.definition = definition
	for _, spec := range definition.Upstreams() {
		old, known := former[spec.Name]
		if !known || old.Address != spec.Address || old.Slots != spec.Slots || old.Connections != spec.Connections {
			if client, ok := o.clients[spec.Name]; ok {
				client.CloseIdleConnections()
			}
			o.clients[spec.Name] = o.gate.NewClient(spec)
		}
		delete(former, spec.Name)
	}
	for name := range former {
		o.clients[name].CloseIdleConnections()
		delete(o.clients, name)
	}
	o.mu.Unlock()
	o.step(shard.Reconfigure{Definition: definition})
}

func (o *owner) report(ctx context.Context, name string, client upstream.Client) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := client.Report(ctx)
	if err != nil {
		return
	}
	o.step(shard.UpstreamReported{Upstream: name, Versions: report.Versions, Draining: report.Draining, Cold: report.Cold})
}

func (o *owner) setOwned(owned bool) {
	o.mu.Lock()
	changed := o.owned != owned
	o.owned = owned
	now := time.Now()
	o.usedAt = now
	o.mu.Unlock()
	if !changed {
		return
	}
	o.gate.Timeline.Add("ownership", "", "%s owned: %v", o.name, owned)
	if owned {
		o.step(shard.OwnershipChanged{FullSlotsAt: now.Add(TakeoverPeriod)})
		return
	}
	o.step(shard.OwnershipChanged{FullSlotsAt: now.Add(never)})
}

// step lets the group decide and does what it decided.
func (o *owner) step(event shard.Event) {
	now := time.Now()
	o.gate.checkPause(now)
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return
	}
	follow := o.stepLocked(now, event)
	o.mu.Unlock()
	for _, f := range follow {
		f()
	}
}

func (o *owner) stepLocked(now time.Time, event shard.Event) []followUp {
	follow := o.decide(now, o.pauseEvent(now))
	follow = append(follow, o.decide(now, event)...)
	if wake, ok := o.group.NextWake(); ok {
		o.timer.Reset(wake.Sub(now))
	}
	return follow
}

// pauseEvent returns the caution that is due after a pause of the process, or
// nil.
func (o *owner) pauseEvent(now time.Time) shard.Event {
	pauses := o.gate.pauses.Load()
	if pauses == o.pauses {
		return nil
	}
	o.pauses = pauses
	if !o.owned {
		return nil
	}
	return shard.OwnershipChanged{FullSlotsAt: now.Add(TakeoverPeriod)}
}

// decide lets the group take one event and does what it decided.
func (o *owner) decide(now time.Time, event shard.Event) []followUp {
	if event == nil {
		return nil
	}
	var follow []followUp
	for _, a := range o.group.Step(now, event) {
		if f := o.perform(now, a); f != nil {
			follow = append(follow, f)
		}
	}
	return follow
}

func (o *owner) perform(now time.Time, action shard.Action) followUp {
	switch a := action.(type) {
	case shard.StartAttempt:
		o.startAttempt(now, a)
	case shard.AbortAttempt:
		if r, ok := o.running[a.Attempt]; ok {
			r.aborted = true
			r.cancel(errAborted)
		}
	case shard.Complete:
		return o.complete(now, a)
	case shard.ProbeUpstream:
		client := o.clients[a.Upstream]
		return func() { o.gate.group.Go(func() { o.probe(a.Upstream, client) }) }
	case shard.ReportCrash:
		return func() { o.gate.crashed(a) }
	}
	return nil
}

func (o *owner) complete(now time.Time, c shard.Complete) followUp {
	p := o.jobs[c.Job]
	delete(o.jobs, c.Job)
	reply := o.describe(now, p.shardPath)
	reply.Nonce = p.request.GetNonce()
	reply.Outcome = outcomes[c.Outcome]
	reply.Reason = string(c.Reason)
	reply.Version = peer.EncodeVersion(c.Version)
	reply.RetryAfterMicros = c.RetryAfter.Microseconds()
	reply.Attempts = int32(c.Attempts)
	reply.Body = o.bodies[c.WinningAttempt]
	delete(o.bodies, c.WinningAttempt)
	o.gate.Metrics.completed(o.service, c)
	stamp := o.gate.Timeline.Add("shard-done", p.request.GetRequestId(), "%s: %s %s after %d attempts", p.shardPath, c.Outcome, c.Reason, c.Attempts)
	reply.Stamp = peer.EncodeStamp(stamp)
	fingerprint := p.request.GetFingerprint()
	return func() {
		o.gate.finished(fingerprint, c.Outcome == shard.Answered)
		p.deliver(reply)
	}
}

// describe returns a reply that tells how the shard is doing.
func (o *owner) describe(now time.Time, shardPath string) *wire.ScatterReply {
	report := o.describeShard(now, shardPath)
	return &wire.ScatterReply{
		Accepted: true, Shard: shardPath, WaitMicros: report.GetWaitMicros(), Versions: report.GetVersions(),
		Revision: o.gate.follower.Current().Revision(),
	}
}

func (o *owner) describeShard(now time.Time, shardPath string) *wire.ShardReport {
	report := &wire.ShardReport{Shard: shardPath}
	for u := catalog.Urgent; u < catalog.UrgencyCount; u++ {
		report.WaitMicros = append(report.WaitMicros, o.group.EstimatedWait(now, u).Microseconds())
	}
	for v, n := range o.group.ReplicaCounts(now, shardPath) {
		report.Versions = append(report.Versions, &wire.ShardVersion{Version: peer.EncodeVersion(v), Replicas: int32(n)})
	}
	return report
}

// submit hands in one shard of a request and returns how to withdraw it.
func (o *owner) submit(p *pending, job shard.Job) (withdraw func()) {
	now := time.Now()
	o.gate.checkPause(now)
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		p.deliver(refusal(p.request, p.shardPath, shard.ReasonStopping, minimalRetry))
		return func() {}
	}
	o.lastJob++
	job.ID = o.lastJob
	o.usedAt = now
	o.jobs[job.ID] = p
	follow := o.stepLocked(now, shard.Submit{Job: job})
	o.mu.Unlock()
	for _, f := range follow {
		f()
	}
	return func() { o.step(shard.Withdraw{Job: job.ID}) }
}

func (o *owner) startAttempt(now time.Time, a shard.StartAttempt) {
	p := o.jobs[a.Job]
	client := o.clients[a.Upstream]
	ctx, cancel := context.WithCancelCause(context.Background())
	o.running[a.Attempt] = &runningAttempt{cancel: cancel}
	call := upstream.Call{
		AttemptID: fmt.Sprintf("%s.%d.%s.%d", o.gate.Self.Host(), o.gate.Self.Incarnation(), o.name, a.Attempt),
		RequestID: p.request.GetRequestId(),
		Service:   o.service, ShardPath: p.shardPath, Kind: p.request.GetKind(), Version: a.Version,
		Remaining: a.Deadline.Sub(now), Idempotent: p.request.GetIdempotent(), Body: p.request.GetBody(),
	}
	call.AttemptID = pathSafe(call.AttemptID)
	silence := o.group.SilenceTimeout()
	o.gate.Metrics.started(o.service, a)
	o.gate.Timeline.Add("attempt", call.RequestID, "%s on %s, hedge: %v", p.shardPath, a.Upstream, a.Hedge)
	started := o.gate.group.Go(func() { o.runAttempt(ctx, a, call, client, silence) })
	if !started {
		cancel(errAborted)
	}
}

func (o *owner) probe(name string, client upstream.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	ended := shard.ProbeEnded{Upstream: name}
	if client != nil {
		report, err := client.Report(ctx)
		ended.Answered, ended.Cold = err == nil, report.Cold
	}
	o.step(ended)
}
