package host

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/relay"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// planBuckets is how many plans there are for services of one limit.
	planBuckets = 1024
	// relayAttempts is how many attempts at once one host sends to another for one
	// service.
	relayAttempts = 32
)

// plan returns who dials a service; the caller holds the lock.
func (h *Host) plan(service string) dialPlan {
	key := planKey{bucket: int(xxhash.Sum64String(service) % planBuckets)}
	if h.table != nil {
		key.connections = h.table.Service(service).MaxConnections
	}
	plan, known := h.plans[key]
	if !known {
		plan = planDialling(key, h.view)
		h.plans[key] = plan
	}
	return plan
}

// runners returns who runs this host's attempts at a service: its upstreams, and
// the hosts that dial them for this one.
func (h *Host) runners(service string, p dialPlan) []inventory.Upstream {
	runners := h.inventory.ForService(service)
	if len(runners) == 0 {
		return nil
	}
	for _, m := range p.relays {
		runners = append(runners, inventory.NewDiallingHost(service, m.GateAddress(), m.DataCenter(), relayAttempts))
	}
	return runners
}

// Relay implements peer.HostHandler: it runs one attempt for another host.
func (h *Host) Relay(ctx context.Context, r *wire.RelayRequest) (*wire.RelayReply, error) {
	attempt := relay.DecodeAttempt(time.Now(), r)
	p := h.pool(r.GetService())
	class := h.classOf(r.GetRoute(), time.Duration(r.GetTargetMicros())*time.Microsecond, r.GetGathers())
	pick := p.Assign(time.Now(), pool.Requirements{
		LatencyStats: class, Fingerprint: r.GetFingerprint(), TriedUpstreams: r.GetTried(), IsLastAttempt: r.GetLast(), DirectOnly: true,
	})
	if pick == nil {
		h.Metrics.relayed.WithLabelValues(resultName(upstream.Refused)).Inc()
		err := fmt.Errorf("host %s: no upstream is free", h.Self.Host())
		return relay.EncodeOutcome("", upstream.Outcome{Result: upstream.Refused, Err: err}), nil
	}
	attempt.UpstreamID, attempt.Address = pick.Upstream.ID(), pick.Upstream.Address()
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	ending := h.dispatcher.RunAttempt(ctx, p, pick, attempt)
	h.Metrics.relayed.WithLabelValues(resultName(ending.Result)).Inc()
	return relay.EncodeOutcome(attempt.UpstreamID, ending), nil
}

func resultName(r upstream.Result) string {
	switch r {
	case upstream.Answered:
		return "answered"
	case upstream.Refused, upstream.Misdirected, upstream.Unreachable:
		return "not-run"
	default:
		return "broken"
	}
}
