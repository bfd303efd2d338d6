package gate

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// defaultRetryAfter is sent with refusals for which no better retry time is known.
const defaultRetryAfter = 50 * time.Millisecond

var _ peer.GateHandler = (*Gate)(nil)

var wireOutcomes = map[shard.Outcome]wire.Outcome{
	shard.Answered: wire.Outcome_OUTCOME_ANSWERED,
	shard.NotRun:   wire.Outcome_OUTCOME_NOT_RUN,
	shard.Failed:   wire.Outcome_OUTCOME_FAILED,
}

// Documents implements peer.GateHandler.
func (g *Gate) Documents(_ context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	g.init()
	return g.follower.Documents(request.GetHaveRevision()), nil
}

// Scatter implements peer.GateHandler.
func (g *Gate) Scatter(ctx context.Context, request *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error {
	g.init()
	end, _ := g.intake.Accept()
	defer end()
	g.Timeline.Observe(peer.DecodeStamp(request.GetStamp()))
	replies := make(chan *wire.ScatterReply, len(request.GetShards()))
	if err := deliver(&wire.ScatterReply{Accepted: true, Revision: g.follower.Current().Revision()}); err != nil {
		// No job was submitted, so the claim is finalized as not run.
		for _, path := range request.GetShards() {
			replies <- newRefusal(request, path, shard.ReasonWithdrawn, defaultRetryAfter)
		}
		g.finalizeClaim(request, replies, len(request.GetShards()))
		return err
	}
	g.awaitInitialReports(ctx, request.GetService(), request.GetShards())
	withdrawals := g.submitAll(request, func(r *wire.ScatterReply) { replies <- r })
	outstanding := len(request.GetShards())
	err := deliverReplies(ctx, replies, &outstanding, deliver)
	if err != nil {
		withdrawAll(withdrawals)
		g.finalizeClaim(request, replies, outstanding)
	}
	return err
}

// deliverReplies delivers the outstanding replies, and a heartbeat at each
// HeartbeatInterval, so that the entry can distinguish a long run from a lost gate.
func deliverReplies(ctx context.Context, replies chan *wire.ScatterReply, outstanding *int, deliver func(*wire.ScatterReply) error) error {
	heartbeat := time.NewTicker(peer.HeartbeatInterval)
	defer heartbeat.Stop()
	for *outstanding > 0 {
		var message *wire.ScatterReply
		select {
		case message = <-replies:
			*outstanding--
		case <-heartbeat.C:
			message = &wire.ScatterReply{Accepted: true}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := deliver(message); err != nil {
			if message.GetShard() != "" {
				// The entry may not have received the reply: put it back, so that the
				// claim can be finalized with it.
				replies <- message
				*outstanding++
			}
			return err
		}
	}
	return nil
}

// Survey implements peer.GateHandler.
func (g *Gate) Survey(ctx context.Context, request *wire.SurveyRequest) (*wire.SurveyReply, error) {
	g.init()
	if request.GetRefresh() {
		g.refreshReports(request.GetService(), request.GetShards())
	}
	g.awaitInitialReports(ctx, request.GetService(), request.GetShards())
	reply := &wire.SurveyReply{Revision: g.follower.Current().Revision()}
	now := time.Now()
	for _, path := range request.GetShards() {
		gr := g.runnerForShard(request.GetService(), path)
		if gr == nil {
			continue
		}
		gr.mu.Lock()
		reply.Reports = append(reply.Reports, gr.shardReport(now, path))
		gr.mu.Unlock()
	}
	return reply, nil
}

// awaitInitialReports waits until loadInitialReports has ended for the groups of
// these shards, or until the context ends.
func (g *Gate) awaitInitialReports(ctx context.Context, service string, paths []string) {
	for _, path := range paths {
		gr := g.runnerForShard(service, path)
		if gr == nil {
			continue
		}
		select {
		case <-gr.initialReportsDone:
		case <-ctx.Done():
			return
		}
	}
}

// refreshReports fetches load reports from the upstreams of these shards and
// waits for them.
func (g *Gate) refreshReports(service string, paths []string) {
	seen := make(map[*groupRunner]bool)
	var fetches sync.WaitGroup
	for _, path := range paths {
		gr := g.runnerForShard(service, path)
		if gr == nil || seen[gr] {
			continue
		}
		seen[gr] = true
		fetches.Go(gr.fetchAllReports)
	}
	fetches.Wait()
}

// recordFinish records in the quarantine tracker that a job of a request ended.
func (g *Gate) recordFinish(fingerprint uint64, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantineTracker.RecordFinish(fingerprint, answered)
}

func (g *Gate) submitAll(request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) []func() {
	reason, delay := shard.Reason(""), defaultRetryAfter
	switch {
	case g.intake.Closed():
		reason = shard.ReasonStopping
	case g.CutOff():
		reason, delay = shard.ReasonCutOff, cutOffDelay
	}
	if reason != "" {
		for _, path := range request.GetShards() {
			deliver(newRefusal(request, path, reason, delay))
		}
		return nil
	}
	decision, retryAfter := g.checkQuarantine(request.GetFingerprint())
	deadline := time.Now().Add(time.Duration(request.GetDeadlineMicros()) * time.Microsecond)
	var withdrawals []func()
	for _, path := range request.GetShards() {
		gr := g.runnerForShard(request.GetService(), path)
		switch {
		case decision == quarantine.Quarantined:
			deliver(newRefusal(request, path, shard.ReasonQuarantined, retryAfter))
		case decision == quarantine.AwaitingTest:
			deliver(newRefusal(request, path, shard.ReasonSuspect, retryAfter))
		case gr == nil:
			deliver(newRefusal(request, path, shard.ReasonNotOwner, defaultRetryAfter))
		default:
			p := &pendingJob{request: request, shardPath: path, deliver: deliver}
			withdrawals = append(withdrawals, gr.submit(p, shard.Job{
				ShardPath: path, Version: peer.DecodeVersion(request.GetVersion()), Urgency: catalog.Urgency(request.GetUrgency()).OrBackground(),
				Deadline: deadline, Idempotent: request.GetIdempotent(), Fingerprint: request.GetFingerprint(),
				Suspect: decision == quarantine.Suspect,
			}))
		}
	}
	return withdrawals
}

// pathSafe replaces the slashes of an id, because the id is sent as one segment of a
// URL path.
func pathSafe(id string) string {
	return strings.ReplaceAll(id, "/", ".")
}

func newRefusal(request *wire.ScatterRequest, path string, reason shard.Reason, retryAfter time.Duration) *wire.ScatterReply {
	return &wire.ScatterReply{
		Accepted: true, Shard: path, Nonce: request.GetNonce(), Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason: string(reason), RetryAfterMicros: retryAfter.Microseconds(),
	}
}

func withdrawAll(withdrawals []func()) {
	for _, w := range withdrawals {
		w()
	}
}
