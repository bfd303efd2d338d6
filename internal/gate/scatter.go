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

// minimalRetry is told to callers when nothing better is known.
const minimalRetry = 50 * time.Millisecond

var _ peer.GateHandler = (*Gate)(nil)

var outcomes = map[shard.Outcome]wire.Outcome{
	shard.Answered: wire.Outcome_OUTCOME_ANSWERED,
	shard.NotRun:   wire.Outcome_OUTCOME_NOT_RUN,
	shard.Failed:   wire.Outcome_OUTCOME_FAILED,
}

// Documents implements peer.Handler.
func (g *Gate) Documents(_ context.Context, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	g.init()
	return g.follower.Documents(request.GetHaveRevision()), nil
}

// Scatter implements peer.Handler.
func (g *Gate) Scatter(ctx context.Context, request *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error {
	g.init()
	defer g.inFlight.Begin()()
	g.Timeline.Observe(peer.DecodeStamp(request.GetStamp()))
	replies := make(chan *wire.ScatterReply, len(request.GetShards()))
	if err := deliver(&wire.ScatterReply{Accepted: true, Revision: g.follower.Current().Revision()}); err != nil {
		for _, path := range request.GetShards() {
			replies <- refusal(request, path, shard.ReasonWithdrawn, minimalRetry)
		}
		g.keepOutcome(request, replies, len(request.GetShards()))
		return err
	}
	g.awaitKnown(ctx, request.GetService(), request.GetShards())
	withdrawals := g.submitAll(request, func(r *wire.ScatterReply) { replies <- r })
	outstanding := len(request.GetShards())
	err := relay(ctx, replies, &outstanding, deliver)
	if err != nil {
		withdrawAll(withdrawals)
		g.keepOutcome(request, replies, outstanding)
	}
	return err
}

// relay delivers a number of replies, and meanwhile signs of life, so that the
// entry can tell a long run from a lost gate.
func relay(ctx context.Context, replies chan *wire.ScatterReply, outstanding *int, deliver func(*wire.ScatterReply) error) error {
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
				// The entry may not have got it: keep it for the claim.
				replies <- message
				*outstanding++
			}
			return err
		}
	}
	return nil
}

// Survey implements peer.Handler.
func (g *Gate) Survey(ctx context.Context, request *wire.SurveyRequest) (*wire.SurveyReply, error) {
	g.init()
	if request.GetRefresh() {
		g.refresh(request.GetService(), request.GetShards())
	}
	g.awaitKnown(ctx, request.GetService(), request.GetShards())
	reply := &wire.SurveyReply{Revision: g.follower.Current().Revision()}
	now := time.Now()
	for _, path := range request.GetShards() {
		o := g.ownerOf(request.GetService(), path)
		if o == nil {
			continue
		}
		o.mu.Lock()
		reply.Reports = append(reply.Reports, o.describeShard(now, path))
		o.mu.Unlock()
	}
	return reply, nil
}

// awaitKnown waits until the upstreams of these shards had time to report.
func (g *Gate) awaitKnown(ctx context.Context, service string, paths []string) {
	for _, path := range paths {
		o := g.ownerOf(service, path)
		if o == nil {
			continue
		}
		select {
		case <-o.known:
		case <-ctx.Done():
			return
		}
	}
}

// refresh asks the load endpoints of all groups of these shards.
func (g *Gate) refresh(service string, paths []string) {
	asked := make(map[*owner]bool)
	var group sync.WaitGroup
	for _, path := range paths {
		o := g.ownerOf(service, path)
		if o == nil || asked[o] {
			continue
		}
		asked[o] = true
		group.Go(o.askAll)
	}
	group.Wait()
}

// finished tells the ledger that a request ended.
func (g *Gate) finished(fingerprint uint64, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.RecordFinish(fingerprint, answered)
}

func (g *Gate) submitAll(request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) []func() {
	if g.CutOff() {
		for _, path := range request.GetShards() {
			deliver(refusal(request, path, shard.ReasonCutOff, cutOffAfter))
		}
		return nil
	}
	verdict, left := g.judge(request.GetFingerprint())
	deadline := time.Now().Add(time.Duration(request.GetDeadlineMicros()) * time.Microsecond)
	var withdrawals []func()
	for _, path := range request.GetShards() {
		o := g.ownerOf(request.GetService(), path)
		switch {
		case verdict == quarantine.Quarantined:
			deliver(refusal(request, path, shard.ReasonQuarantined, left))
		case verdict == quarantine.AwaitingTest:
			deliver(refusal(request, path, shard.ReasonSuspect, left))
		case o == nil:
			deliver(refusal(request, path, shard.ReasonNotOwner, minimalRetry))
		default:
			p := &pending{request: request, shardPath: path, deliver: deliver}
			withdrawals = append(withdrawals, o.submit(p, shard.Job{
				ShardPath: path, Version: peer.DecodeVersion(request.GetVersion()), Urgency: catalog.Urgency(request.GetUrgency()).OrBackground(),
				Deadline: deadline, Idempotent: request.GetIdempotent(), Fingerprint: request.GetFingerprint(),
				Suspect: verdict == quarantine.Suspect,
			}))
		}
	}
	return withdrawals
}

// pathSafe returns an id that can stand in a URL path.
func pathSafe(id string) string {
	return strings.ReplaceAll(id, "/", ".")
}

func refusal(request *wire.ScatterRequest, path string, reason shard.Reason, after time.Duration) *wire.ScatterReply {
	return &wire.ScatterReply{
		Accepted: true, Shard: path, Nonce: request.GetNonce(), Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason: string(reason), RetryAfterMicros: after.Microseconds(),
	}
}

func withdrawAll(withdrawals []func()) {
	for _, w := range withdrawals {
		w()
	}
}
