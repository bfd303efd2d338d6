package host

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/relay"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// connectionsNeeded is how many connections to one upstream a host needs that
	// callers are told: an attempt that is late must not hold up the next one.
	connectionsNeeded = 2.0
	// relayCount is how many of the hosts that dial a service one of the others
	// sends its attempts to.
	relayCount = 4
	// relayAttempts is how many attempts at once one host sends to another for one
	// service.
	relayAttempts = 32
)

// A dialPlan says who dials the upstreams of one service.
type dialPlan struct {
	// dialling is set if this host does.
	dialling bool
	// connections is how many connections to one upstream this host may have, at
	// least one: a host that does not dial still may if it reaches none that does.
	connections int
	// relays are the hosts that run attempts for this one if it does not dial.
	relays []roster.Member
}

// planDialling returns who dials the upstreams of a service, each of which takes
// some connections from all hosts together. All hosts do if the connections are
// enough or unknown (zero); else as many as have enough, those that callers are told
// first. It answers the load of a fleet with more hosts than an upstream takes
// connections. All hosts that know the same members agree.
func planDialling(service string, connections int, v fleetView) dialPlan {
	usable := connectionShare * float64(connections)
	if connections == 0 || v.needed <= usable {
		return dialPlan{dialling: true, connections: max(1, int(usable*v.share))}
	}
	able := slices.DeleteFunc(slices.Clone(v.members), func(m roster.Member) bool { return !m.Owns() })
	dialling := ranked(able, service, func(m roster.Member) bool { return v.told[m.Host()] })
	count := 0
	for left := usable; count < len(dialling); count++ {
		if left -= v.need(dialling[count]); left < 0 {
			break
		}
	}
	dialling = dialling[:min(len(dialling), max(1, count))]
	if slices.ContainsFunc(dialling, func(m roster.Member) bool { return m.Host() == v.host }) {
		return dialPlan{dialling: true, connections: max(1, int(usable*loadShare(v.host, dialling, v.told)))}
	}
	return dialPlan{connections: 1, relays: chooseRelays(service, v, dialling)}
}

// chooseRelays returns the hosts that run attempts for one that does not dial:
// those of its own data centre first, different ones for different hosts.
func chooseRelays(service string, v fleetView, dialling []roster.Member) []roster.Member {
	dataCenter := ""
	if i := slices.IndexFunc(v.members, func(m roster.Member) bool { return m.Host() == v.host }); i >= 0 {
		dataCenter = v.members[i].DataCenter()
	}
	alive := slices.DeleteFunc(slices.Clone(dialling), func(m roster.Member) bool { return m.State() != roster.Alive })
	relays := ranked(alive, service+v.host, func(m roster.Member) bool { return m.DataCenter() == dataCenter })
	return relays[:min(len(relays), relayCount)]
}

// ranked returns members in an order that is another one for each key (rendezvous
// hashing), the preferred ones first.
func ranked(members []roster.Member, key string, preferred func(roster.Member) bool) []roster.Member {
	type rank struct {
		member    roster.Member
		preferred bool
		score     uint64
	}
	ranks := make([]rank, 0, len(members))
	for _, m := range members {
		ranks = append(ranks, rank{member: m, preferred: preferred(m), score: pairScore(key, m.Host())})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		switch {
		case a.preferred == b.preferred:
			return cmp.Compare(a.score, b.score)
		case a.preferred:
			return -1
		default:
			return 1
		}
	})
	ordered := make([]roster.Member, 0, len(ranks))
	for _, r := range ranks {
		ordered = append(ordered, r.member)
	}
	return ordered
}

// pairScore returns a number that all hosts agree on and that ranks hosts
// differently for different keys.
func pairScore(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}

// plan returns who dials a service; the caller holds the lock.
func (h *Host) plan(service string) dialPlan {
	connections := 0
	if h.table != nil {
		connections = h.table.Service(service).Connections
	}
	return planDialling(service, connections, h.view)
}

// runners returns who runs this host's attempts at a service: its upstreams, and
// the hosts that dial them for this one.
func (h *Host) runners(service string, p dialPlan) []inventory.Upstream {
	runners := h.inventory.Of(service)
	if len(runners) == 0 {
		return nil
	}
	for _, m := range p.relays {
		runners = append(runners, inventory.NewHost(service, m.GateAddress(), m.DataCenter(), relayAttempts))
	}
	return runners
}

// Relay implements peer.HostHandler: it runs one attempt for another host.
func (h *Host) Relay(ctx context.Context, r *wire.RelayRequest) (*wire.RelayReply, error) {
	attempt := relay.DecodeAttempt(time.Now(), r)
	p := h.pool(r.GetService())
	class := h.classOf(r.GetRoute(), time.Duration(r.GetTargetMicros())*time.Microsecond, r.GetGathers())
	pick := p.ChooseUpstream(time.Now(), class, r.GetFingerprint(), r.GetTried())
	if pick == nil {
		h.Metrics.relayed.WithLabelValues(resultName(upstream.Refused)).Inc()
		err := fmt.Errorf("host %s: no upstream is free", h.Self.Host())
		return relay.EncodeEnding("", upstream.Ending{Result: upstream.Refused, Err: err}), nil
	}
	attempt.UpstreamID, attempt.Address = pick.Upstream.ID(), pick.Upstream.Address()
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	ending := h.dispatcher.Attempt(ctx, p, pick, attempt)
	h.Metrics.relayed.WithLabelValues(resultName(ending.Result)).Inc()
	return relay.EncodeEnding(attempt.UpstreamID, ending), nil
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
