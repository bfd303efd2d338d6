package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/relay"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// maxRelayedAttempts is how many concurrent attempts a host relays to one dialling host
// for one service.
const maxRelayedAttempts = 32

// dialPlanFor returns the dial plan of a service. The caller holds h.mu.
func (h *Host) dialPlanFor(service string) dialling.Plan {
	connectionLimit := 0
	if h.table != nil {
		connectionLimit = h.table.Service(service).MaxConnections
	}
	key := dialling.NewKey(service, connectionLimit)
	plan, cached := h.dialPlans[key]
	if !cached {
		plan = dialling.NewPlan(key, h.view)
		h.dialPlans[key] = plan
	}
	return plan
}

// upstreamsFor returns the upstreams of a service, followed by the dialling hosts that run
// attempts for this host and the detours. It returns nil if the service has no upstreams.
func (h *Host) upstreamsFor(service string, p dialling.Plan) []inventory.Upstream {
	upstreams := h.inventory.ForService(service)
	if len(upstreams) == 0 {
		return nil
	}
	for _, m := range p.DiallingHosts() {
		upstreams = append(upstreams, inventory.NewDiallingHost(service, m.GateAddress(), m.DataCenter(), maxRelayedAttempts))
	}
	for _, m := range p.Detours() {
		upstreams = append(upstreams, inventory.NewDetour(service, m.GateAddress(), m.DataCenter(), maxRelayedAttempts))
	}
	return upstreams
}

// Relay implements peer.HostHandler: it runs one attempt for another host. The
// outcome is upstream.Refused if no upstream is free.
func (h *Host) Relay(ctx context.Context, r *wire.RelayRequest) (*wire.RelayReply, error) {
	inFlight := h.BeginRequest(r.GetRequestId())
	inFlight.SetPhase(shutdown.Running)
	defer h.EndRequest(inFlight)
	release, ok := h.Budget.Reserve(int64(len(r.GetTarget()) + len(r.GetHeader()) + len(r.GetBody())))
	if !ok {
		return h.refuseRelayed(footprint.ErrNoRoom, false), nil
	}
	defer release()
	v := h.guard.Check(r.GetFingerprint())
	isPermittedTest := r.GetTestRun() && v.Decision == quarantine.Suspect
	if v.Decision != quarantine.Allowed && !isPermittedTest {
		reply := h.refuseRelayed(errors.New("the request may crash upstreams"), false)
		reply.Notice = h.guard.Notice(r.GetFingerprint())
		return reply, nil
	}
	attempt := relay.DecodeAttempt(time.Now(), r)
	p := h.pool(r.GetService())
	stats := h.latencyStatsFor(r.GetRoute(), time.Duration(r.GetTargetMicros())*time.Microsecond, r.GetGathers())
	requirements := pool.Requirements{
		LatencyStats: stats, Fingerprint: r.GetFingerprint(), TriedUpstreams: r.GetTried(), IsLastAttempt: r.GetLast(), DirectOnly: true,
	}
	if !h.dispatcher.LimitRelayedToStop(time.Now(), attempt, p, requirements) {
		return h.refuseRelayed(errors.New("the host stops"), false), nil
	}
	var assignment *pool.Assignment
	if reserved, ok := h.reserveTurn(time.Now(), r, requirements); ok {
		requirements.Reserved = reserved
		assignment = p.Assign(time.Now(), requirements)
	}
	if assignment == nil {
		reply := h.refuseRelayed(errors.New("no upstream is free"), !p.HasOwnLink(time.Now()))
		if h.links.IsPartitioned() {
			reply.Sender = peer.EncodeMember(h.fleet.Current())
		}
		return reply, nil
	}
	silence := time.AfterFunc(stats.HedgeDelay(p.RemainingExtraRatio(time.Now())), func() { h.links.RecordSilence(assignment.Upstream, assignment.StartedAt()) })
	defer silence.Stop()
	attempt.UpstreamID, attempt.Address = assignment.Upstream.ID(), assignment.Upstream.Address()
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	defer context.AfterFunc(h.stop.Context(), cancel)()
	isLost := func() bool { return false }
	if !r.GetFresh() {
		isLost = h.cancelIfLost(ctx, cancel, assignment.Upstream)
	}
	outcome := h.dispatcher.RunAttempt(ctx, p, assignment, attempt)
	cancel()
	outcome.LinkLost = isLost() && outcome.Result == upstream.Aborted
	h.guard.RecordRelayed(p, assignment, outcome, r.GetTestRun())
	h.Metrics.relayedAttempts.WithLabelValues(relayResultLabel(outcome.Result)).Inc()
	reply := relay.EncodeOutcome(attempt.UpstreamID, outcome)
	if outcome.LinkLost {
		reply.Sender = peer.EncodeMember(h.fleet.Current())
	}
	return reply, nil
}

// refuseRelayed returns the reply to an attempt for another host that this host does not run.
func (h *Host) refuseRelayed(reason error, noRoute bool) *wire.RelayReply {
	h.Metrics.relayedAttempts.WithLabelValues(relayResultLabel(upstream.Refused)).Inc()
	err := fmt.Errorf("host %s: %w", h.Self.Host(), reason)
	return relay.EncodeOutcome("", upstream.Outcome{Result: upstream.Refused, Err: err, NoRoute: noRoute})
}

// cancelIfLost calls cancel if this host loses the link to an upstream before the context
// ends. The function that it returns waits for the end of the context and reports whether that
// has happened.
func (h *Host) cancelIfLost(ctx context.Context, cancel context.CancelFunc, u inventory.Upstream) func() bool {
	isLost := make(chan bool, 1)
	changed := h.links.Changed()
	started := h.group.Go(func() {
		select {
		case <-changed:
		case <-ctx.Done():
			isLost <- false
			return
		}
		lost := h.links.IsPartitioned() && !h.links.AllowsConnection(u.LifetimeKey())
		if lost {
			cancel()
		}
		<-ctx.Done()
		isLost <- lost
	})
	if !started {
		isLost <- false
	}
	return func() bool { return <-isLost }
}

func relayResultLabel(r upstream.Result) string {
	switch r {
	case upstream.Answered:
		return "answered"
	case upstream.Refused, upstream.Misdirected, upstream.Unreachable:
		return "not-run"
	default:
		return "broken"
	}
}
