package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/query"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// admittedWait is the share of its time that a request may wait in queues; the
// rest is for the differences between shards and for the run.
const admittedWait = 0.5

// suspicionTime is how long after a crash services with the setting
// "after-crash" ask one shard first.
const suspicionTime = 10 * time.Minute

var outcomes = map[wire.Outcome]shard.Outcome{
	wire.Outcome_OUTCOME_ANSWERED: shard.Answered,
	wire.Outcome_OUTCOME_NOT_RUN:  shard.NotRun,
	wire.Outcome_OUTCOME_FAILED:   shard.Failed,
}

// run is one request on its way.
type run struct {
	entry    *Entry
	request  *request
	board    *board
	query    *query.Query
	events   chan query.Event
	cancel   map[string]context.CancelFunc
	contexts map[string]context.Context
	answer   *query.Answer
}

// serve runs a request and returns its answer, at the deadline at the latest.
func (e *Entry) serve(ctx context.Context, r *request) query.Answer {
	b := e.board(r.service.Name())
	plan, refused := e.plan(ctx, r, b, snapshot.Version{})
	if refused != nil {
		return *refused
	}
	if wait := b.wait(time.Now(), paths(plan), r.kind.Urgency()); e.refuses(r, wait) {
		return query.Answer{Status: query.NotRun, Reason: shard.ReasonOverload, RetryAfter: max(wait, query.DefaultRetryAfter), Missing: plan.Parts}
	}
	n := &run{
		entry: e, request: r, board: b, events: make(chan query.Event, 4*len(plan.Parts)),
		cancel: make(map[string]context.CancelFunc), contexts: make(map[string]context.Context),
	}
	return n.loop(ctx, plan)
}

// refuses reports whether a request would wait for so much of its time that one
// of its shards is likely to miss the deadline.
func (e *Entry) refuses(r *request, wait time.Duration) bool {
	limit := time.Duration(admittedWait * float64(time.Until(r.deadline)))
	return !e.NoAdmission && wait > limit
}

// plan pins a request to a version, other than one that is gone.
func (e *Entry) plan(ctx context.Context, r *request, b *board, gone snapshot.Version) (query.Plan, *query.Answer) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	version, ok := b.choose(r.service)
	if !gone.IsZero() {
		e.surveyAnew(ctx, r.service, b)
		version, ok = b.choose(r.service)
	} else if e.survey(ctx, r.service, b, version) {
		version, ok = b.choose(r.service)
	}
	if !ok || version == gone {
		return query.Plan{}, &query.Answer{Status: query.NotRun, Reason: shard.ReasonNoReplica, RetryAfter: surveyAfter}
	}
	m, _ := r.service.ShardMap(version.ShardMap())
	plan := query.Plan{Version: version, Nonce: uuid.NewString()}
	shards := m.Shards()
	if r.kind.Keyed() {
		shards = []catalog.Shard{m.ShardForKey(r.key)}
	}
	for _, s := range shards {
		plan.Parts = append(plan.Parts, query.Part{Path: catalog.ShardPath(m.Name(), s.Name()), Name: s.Name(), Weight: s.Weight()})
	}
	return plan, nil
}

// canary reports whether a request must be tried on one shard first.
func (e *Entry) canary(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.service.CanaryPolicy() {
	case catalog.CanaryAlways:
		return !e.proven.has(r.fingerprint)
	case catalog.CanaryAfterCrash:
		at, broken := e.lastBroken[r.service.Name()]
		return broken && time.Since(at) < suspicionTime && !e.proven.has(r.fingerprint)
	default:
		return false
	}
}

func (n *run) loop(ctx context.Context, plan query.Plan) query.Answer {
	r := n.request
	terms := query.Spec{
		Deadline: r.deadline, Goal: r.service.Goal(), Idempotent: r.kind.Idempotent(),
		UseCanary: n.entry.canary(r), CanaryIndex: r.fingerprint,
	}
	n.entry.Timeline.Add("pinned", r.id, "%s to %s, %d shards, canary %v", r.service.Name(), plan.Version, len(plan.Parts), terms.UseCanary)
	var actions []query.Action
	n.query, actions = query.New(time.Now(), terms, plan, n.entry.Recorder)
	defer n.cancelAll()
	n.perform(ctx, actions)
	for n.answer == nil {
		n.perform(ctx, n.query.Step(time.Now(), n.next(ctx)))
	}
	n.remember()
	return *n.answer
}

// next waits for the next event.
func (n *run) next(ctx context.Context) query.Event {
	timer := time.NewTimer(time.Until(n.query.NextWake()))
	defer timer.Stop()
	select {
	case event := <-n.events:
		return event
	case <-timer.C:
		return query.Wake{}
	case <-ctx.Done():
		return query.CallerDisconnected{}
	}
}

func (n *run) perform(ctx context.Context, actions []query.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case query.Scatter:
			n.scatter(a)
		case query.CancelRun:
			if cancel, ok := n.cancel[a.Nonce]; ok {
				cancel()
			}
		case query.Repin:
			n.board.gone(a.Path, a.UnavailableVersion)
			// The caller may have left: the next event will say so.
			plan, _ := n.entry.plan(ctx, n.request, n.board, a.UnavailableVersion)
			n.perform(ctx, n.query.Step(time.Now(), query.Repinned{Plan: plan}))
		case query.Finish:
			n.answer = &a.Answer
		}
	}
}

func (n *run) cancelAll() {
	for _, cancel := range n.cancel {
		cancel()
	}
}

// context returns the context of all that runs under a nonce.
func (n *run) context(nonce string) context.Context {
	if ctx, ok := n.contexts[nonce]; ok {
		return ctx
	}
	ctx, cancel := context.WithDeadline(context.Background(), n.request.deadline)
	n.contexts[nonce] = ctx
	n.cancel[nonce] = cancel
	return ctx
}

// scatter sends each gate one message with the shards that it owns.
func (n *run) scatter(s query.Scatter) {
	ctx := n.context(s.Plan.Nonce)
	now := time.Now()
	byHost := make(map[string][]string)
	addresses := make(map[string]string)
	for _, p := range s.Parts {
		group, ok := n.request.service.Group(p.Path)
		if !ok {
			n.post(query.GateLost{Nonce: s.Plan.Nonce, Paths: []string{p.Path}})
			continue
		}
		m, ok := n.entry.view.owner(group.Name(), now)
		if !ok {
			n.post(query.GateLost{Nonce: s.Plan.Nonce, Paths: []string{p.Path}})
			continue
		}
		byHost[m.Host()] = append(byHost[m.Host()], p.Path)
		addresses[m.Host()] = m.GateAddress()
	}
	for host, shards := range byHost {
		message := n.message(s.Plan, shards)
		n.entry.group.Go(func() { n.send(ctx, host, addresses[host], message) })
	}
}

func (n *run) message(plan query.Plan, shards []string) *wire.ScatterRequest {
	r := n.request
	return &wire.ScatterRequest{
		Stamp:     peer.EncodeStamp(n.entry.Timeline.Now()),
		RequestId: r.id, Nonce: plan.Nonce, Service: r.service.Name(), Kind: r.kind.Name(),
		Version: peer.EncodeVersion(plan.Version),
		Urgency: int32(r.kind.Urgency()), DeadlineMicros: time.Until(r.deadline).Microseconds(),
		Idempotent: r.kind.Idempotent(), Fingerprint: r.fingerprint, Body: r.body, Shards: shards,
		Revision: n.entry.follower.Current().Revision(), ClaimKey: r.claimKey, Claim: r.claim,
	}
}

// post hands an event to the loop. The buffer has room for two events of each
// shard and one of each gate; an event beyond that is of no use any more.
func (n *run) post(event query.Event) {
	select {
	case n.events <- event:
	default:
	}
}

// send passes one message to a gate and its replies to the loop.
func (n *run) send(ctx context.Context, host, address string, message *wire.ScatterRequest) {
	waiting := make(map[string]bool)
	for _, path := range message.GetShards() {
		waiting[path] = true
	}
	err := n.entry.GateTransport.Scatter(ctx, address, message, func(reply *wire.ScatterReply) {
		n.entry.follower.HandlePeerRevision(reply.GetRevision(), address)
		if reply.GetShard() == "" {
			return
		}
		n.entry.Timeline.Observe(peer.DecodeStamp(reply.GetStamp()))
		delete(waiting, reply.GetShard())
		n.board.note(time.Now(), reply.GetShard(), reply.GetWaitMicros(), reply.GetVersions())
		replied := decodeReply(reply)
		if replied.Reason.CanRetryOnOtherGate() {
			n.entry.view.avoid(host, time.Now())
		}
		n.post(replied)
	})
	if len(waiting) == 0 || ctx.Err() != nil {
		return
	}
	lost := query.GateLost{Nonce: message.GetNonce(), Sent: true}
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		lost.Sent = unreachable.Sent
	}
	for _, path := range message.GetShards() {
		if waiting[path] {
			lost.Paths = append(lost.Paths, path)
		}
	}
	n.entry.view.avoid(host, time.Now())
	n.entry.Timeline.Add("gate-lost", n.request.id, "%s, request sent: %v: %v", host, lost.Sent, err)
	n.post(lost)
}

// remember learns from the answer for later requests.
func (n *run) remember() {
	n.entry.mu.Lock()
	defer n.entry.mu.Unlock()
	switch {
	case n.answer.Status == query.Complete:
		n.entry.proven.add(n.request.fingerprint)
	case n.answer.Reason == shard.ReasonConnectionBroken || n.answer.Reason == shard.ReasonQuarantined:
		n.entry.lastBroken[n.request.service.Name()] = time.Now()
	}
}

func decodeReply(r *wire.ScatterReply) query.ShardReplied {
	return query.ShardReplied{
		Nonce: r.GetNonce(), Path: r.GetShard(), Outcome: outcomes[r.GetOutcome()], Reason: shard.Reason(r.GetReason()),
		Version: peer.DecodeVersion(r.GetVersion()), Body: r.GetBody(),
		RetryAfter: time.Duration(r.GetRetryAfterMicros()) * time.Microsecond, Attempts: int(r.GetAttempts()),
	}
}

func paths(plan query.Plan) []string {
	all := make([]string, 0, len(plan.Parts))
	for _, p := range plan.Parts {
		all = append(all, p.Path)
	}
	return all
}
