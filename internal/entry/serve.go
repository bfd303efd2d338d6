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

// maxWaitRatio is the maximum ratio of a request's expected wait in queues to the
// time that remains to its deadline. The rest of that time is for the run and for
// differences between shards.
const maxWaitRatio = 0.5

// crashCanaryPeriod is how long after a crash the requests of a service with the
// canary setting "after-crash" run on one shard first.
const crashCanaryPeriod = 10 * time.Minute

var shardOutcomes = map[wire.Outcome]shard.Outcome{
	wire.Outcome_OUTCOME_ANSWERED: shard.Answered,
	wire.Outcome_OUTCOME_NOT_RUN:  shard.NotRun,
	wire.Outcome_OUTCOME_FAILED:   shard.Failed,
}

// queryRun performs the I/O of one query.
type queryRun struct {
	entry          *Entry
	request        *request
	reportCache    *shardReportCache
	query          *query.Query
	events         chan query.Event
	cancelByNonce  map[string]context.CancelFunc
	contextByNonce map[string]context.Context
	answer         *query.Answer
}

// runQuery runs a request and returns its answer, at the latest when the request's
// deadline passes or the stop of this entry cuts it short.
func (e *Entry) runQuery(ctx context.Context, r *request) query.Answer {
	if e.answering.Err() != nil {
		return query.Answer{Status: query.NotRun, Reason: shard.ReasonStopping, RetryAfter: query.DefaultRetryAfter}
	}
	cache := e.reportCache(r.service.Name())
	plan, refusal := e.planQuery(ctx, r, cache, snapshot.Version{})
	if refusal != nil {
		return *refusal
	}
	if wait := cache.maxWait(time.Now(), collectPaths(plan), r.kind.Urgency()); e.exceedsAdmission(r, wait) {
		return query.Answer{Status: query.NotRun, Reason: shard.ReasonOverload, RetryAfter: max(wait, query.DefaultRetryAfter), Missing: plan.Parts}
	}
	qr := &queryRun{
		entry: e, request: r, reportCache: cache, events: make(chan query.Event, 4*len(plan.Parts)),
		cancelByNonce: make(map[string]context.CancelFunc), contextByNonce: make(map[string]context.Context),
	}
	return qr.loop(ctx, plan)
}

// exceedsAdmission reports whether admission control must refuse a request, because
// its expected wait exceeds maxWaitRatio of the time that remains to the deadline.
// One of its shards would then be likely to miss the deadline.
func (e *Entry) exceedsAdmission(r *request, wait time.Duration) bool {
	maxWait := time.Duration(maxWaitRatio * float64(time.Until(r.deadline)))
	return !e.AdmissionDisabled && wait > maxWait
}

// planQuery pins a request to a version and returns the plan of its shards, or a
// refusal if no version can be served. unavailable is the version that a shard no
// longer serves, or zero. If it is set, the reports are refreshed first, and the
// request is refused if the same version is chosen again.
func (e *Entry) planQuery(ctx context.Context, r *request, cache *shardReportCache, unavailable snapshot.Version) (query.Plan, *query.Answer) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	version, ok := cache.chooseVersion(r.service)
	if !unavailable.IsZero() {
		e.refreshAndSurvey(ctx, r.service, cache)
		version, ok = cache.chooseVersion(r.service)
	} else if e.ensureFresh(ctx, r.service, cache, version) {
		version, ok = cache.chooseVersion(r.service)
	}
	if !ok || version == unavailable {
		return query.Plan{}, &query.Answer{Status: query.NotRun, Reason: shard.ReasonNoReplica, RetryAfter: surveyAge}
	}
	shardMap, _ := r.service.ShardMap(version.ShardMap())
	plan := query.Plan{Version: version, Nonce: uuid.NewString()}
	shards := shardMap.Shards()
	if r.kind.Keyed() {
		shards = []catalog.Shard{shardMap.ShardForKey(r.key)}
	}
	for _, s := range shards {
		plan.Parts = append(plan.Parts, query.Part{Path: catalog.ShardPath(shardMap.Name(), s.Name()), Name: s.Name(), Weight: s.Weight()})
	}
	return plan, nil
}

// needsCanary reports whether a request must run on one shard before the others,
// which depends on the canary setting of its service. A request that was recently
// answered completely needs no canary.
func (e *Entry) needsCanary(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.service.CanaryPolicy() {
	case catalog.CanaryAlways:
		return !e.answeredFingerprints.contains(r.fingerprint)
	case catalog.CanaryAfterCrash:
		crashedAt, crashed := e.lastCrashAt[r.service.Name()]
		return crashed && time.Since(crashedAt) < crashCanaryPeriod && !e.answeredFingerprints.contains(r.fingerprint)
	default:
		return false
	}
}

func (qr *queryRun) loop(ctx context.Context, plan query.Plan) query.Answer {
	r := qr.request
	spec := query.Spec{
		Deadline: r.deadline, Goal: r.service.Goal(), Idempotent: r.kind.Idempotent(),
		UseCanary: qr.entry.needsCanary(r), CanaryIndex: r.fingerprint,
	}
	qr.entry.Timeline.Add("pinned", r.id, "%s to %s, %d shards, canary %v", r.service.Name(), plan.Version, len(plan.Parts), spec.UseCanary)
	var actions []query.Action
	qr.query, actions = query.New(time.Now(), spec, plan, qr.entry.Recorder)
	defer qr.cancelAll()
	qr.performActions(ctx, actions)
	for qr.answer == nil {
		qr.performActions(ctx, qr.query.Step(time.Now(), qr.nextEvent(ctx)))
	}
	qr.recordOutcome()
	return *qr.answer
}

// nextEvent waits for the next event of the query.
func (qr *queryRun) nextEvent(ctx context.Context) query.Event {
	timer := time.NewTimer(time.Until(qr.query.NextWake()))
	defer timer.Stop()
	select {
	case event := <-qr.events:
		return event
	case <-timer.C:
		return query.Wake{}
	case <-ctx.Done():
		return query.CallerDisconnected{}
	case <-qr.entry.answering.Done():
		return query.Stopped{}
	}
}

func (qr *queryRun) performActions(ctx context.Context, actions []query.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case query.Scatter:
			qr.scatter(a)
		case query.CancelRun:
			if cancel, ok := qr.cancelByNonce[a.Nonce]; ok {
				cancel()
			}
		case query.Repin:
			qr.reportCache.markUnavailable(a.Path, a.UnavailableVersion)
			// If the request is refused, the plan is empty and Step ends the query
			// with shard.ReasonVersionGone, also if the refresh of the reports was
			// cut short because the caller disconnected.
			plan, _ := qr.entry.planQuery(ctx, qr.request, qr.reportCache, a.UnavailableVersion)
			qr.performActions(ctx, qr.query.Step(time.Now(), query.Repinned{Plan: plan}))
		case query.Finish:
			qr.answer = &a.Answer
		}
	}
}

func (qr *queryRun) cancelAll() {
	for _, cancel := range qr.cancelByNonce {
		cancel()
	}
}

// contextFor returns the context of all scatter calls under a plan's nonce. The
// context is independent of the caller's connection: it ends at the request's
// deadline, on query.CancelRun, or when the loop ends.
func (qr *queryRun) contextFor(nonce string) context.Context {
	if ctx, ok := qr.contextByNonce[nonce]; ok {
		return ctx
	}
	ctx, cancel := context.WithDeadline(context.Background(), qr.request.deadline)
	qr.contextByNonce[nonce] = ctx
	qr.cancelByNonce[nonce] = cancel
	return ctx
}

// scatter sends each gate one message with all the shards that the gate owns. It
// reports shards without an owner as lost.
func (qr *queryRun) scatter(s query.Scatter) {
	ctx := qr.contextFor(s.Plan.Nonce)
	now := time.Now()
	byHost := make(map[string][]string)
	addresses := make(map[string]string)
	for _, p := range s.Parts {
		group, ok := qr.request.service.Group(p.Path)
		if !ok {
			qr.postEvent(query.GateLost{Nonce: s.Plan.Nonce, Paths: []string{p.Path}})
			continue
		}
		m, ok := qr.entry.view.owner(group.Name(), now)
		if !ok {
			qr.postEvent(query.GateLost{Nonce: s.Plan.Nonce, Paths: []string{p.Path}})
			continue
		}
		byHost[m.Host()] = append(byHost[m.Host()], p.Path)
		addresses[m.Host()] = m.GateAddress()
	}
	for host, shards := range byHost {
		message := qr.newScatterRequest(s.Plan, shards)
		qr.entry.tasks.Go(func() { qr.sendToGate(ctx, host, addresses[host], message) })
	}
}

func (qr *queryRun) newScatterRequest(plan query.Plan, shards []string) *wire.ScatterRequest {
	r := qr.request
	return &wire.ScatterRequest{
		Stamp:     peer.EncodeStamp(qr.entry.Timeline.NextStamp()),
		RequestId: r.id, Nonce: plan.Nonce, Service: r.service.Name(), Kind: r.kind.Name(),
		Version: peer.EncodeVersion(plan.Version),
		Urgency: int32(r.kind.Urgency()), DeadlineMicros: time.Until(r.deadline).Microseconds(),
		Idempotent: r.kind.Idempotent(), Fingerprint: r.fingerprint, Body: r.body, Shards: shards,
		Revision: qr.entry.follower.Current().Revision(), ClaimKey: r.claimKey, Claim: r.claim,
	}
}

// postEvent passes an event to the loop without blocking. The buffer holds four
// events for each shard of the first plan, which is room for two events of each
// shard and one of each gate. Further events are dropped, as they cannot change the
// answer.
func (qr *queryRun) postEvent(event query.Event) {
	select {
	case qr.events <- event:
	default:
	}
}

// sendToGate sends one message to a gate and passes the replies to the loop. If the
// call ends before all shards have a reply, it reports the gate as lost, unless the
// call ended because its context did.
func (qr *queryRun) sendToGate(ctx context.Context, host, address string, message *wire.ScatterRequest) {
	unanswered := make(map[string]bool)
	for _, path := range message.GetShards() {
		unanswered[path] = true
	}
	err := qr.entry.GateTransport.Scatter(ctx, address, message, func(reply *wire.ScatterReply) {
		qr.entry.follower.HandlePeerRevision(reply.GetRevision(), address)
		if reply.GetShard() == "" {
			return
		}
		qr.entry.Timeline.Observe(peer.DecodeStamp(reply.GetStamp()))
		delete(unanswered, reply.GetShard())
		qr.reportCache.update(time.Now(), reply.GetShard(), reply.GetWaitMicros(), reply.GetVersions())
		event := decodeReply(reply)
		if event.Reason.CanRetryOnOtherGate() {
			qr.entry.view.exclude(host, time.Now())
		}
		qr.postEvent(event)
	})
	if len(unanswered) == 0 || ctx.Err() != nil {
		return
	}
	lost := query.GateLost{Nonce: message.GetNonce(), MayHaveReceived: true}
	var unreachable *peer.CallError
	if errors.As(err, &unreachable) {
		lost.MayHaveReceived = unreachable.Sent
	}
	for _, path := range message.GetShards() {
		if unanswered[path] {
			lost.Paths = append(lost.Paths, path)
		}
	}
	qr.entry.view.exclude(host, time.Now())
	qr.entry.Timeline.Add("gate-lost", qr.request.id, "%s, request sent: %v: %v", host, lost.MayHaveReceived, err)
	qr.postEvent(lost)
}

// recordOutcome records what the answer means for later canaries: a completely
// answered request needs none, and an answer that indicates a crash begins
// crashCanaryPeriod for the service.
func (qr *queryRun) recordOutcome() {
	qr.entry.mu.Lock()
	defer qr.entry.mu.Unlock()
	switch {
	case qr.answer.Status == query.Complete:
		qr.entry.answeredFingerprints.add(qr.request.fingerprint)
	case qr.answer.Reason == shard.ReasonConnectionBroken || qr.answer.Reason == shard.ReasonQuarantined:
		qr.entry.lastCrashAt[qr.request.service.Name()] = time.Now()
	}
}

func decodeReply(r *wire.ScatterReply) query.ShardReplied {
	return query.ShardReplied{
		Nonce: r.GetNonce(), Path: r.GetShard(), Outcome: shardOutcomes[r.GetOutcome()], Reason: shard.Reason(r.GetReason()),
		Version: peer.DecodeVersion(r.GetVersion()), Body: r.GetBody(),
		RetryAfter: time.Duration(r.GetRetryAfterMicros()) * time.Microsecond, Attempts: int(r.GetAttempts()),
	}
}

func collectPaths(plan query.Plan) []string {
	all := make([]string, 0, len(plan.Parts))
	for _, p := range plan.Parts {
		all = append(all, p.Path)
	}
	return all
}
