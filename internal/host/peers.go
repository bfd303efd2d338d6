package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/mirror"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// indirectProbeTimeout is the timeout of a probe on behalf of another host.
	indirectProbeTimeout = roster.ProbeTimeout
)

var _ peer.HostHandler = (*Host)(nil)

// Difference implements peer.HostHandler.
func (h *Host) Difference(_ context.Context, request *wire.DifferenceRequest) (*wire.DifferenceReply, error) {
	d := h.follower.Difference(keyvalue.NewRevision(request.GetHaveEra(), request.GetHaveRevision()))
	reply := &wire.DifferenceReply{
		Revision: d.Revision.Number(), Era: d.Revision.Era(), Whole: d.Full, AgeMicros: d.Age.Microseconds(),
	}
	for _, c := range d.Changes {
		reply.Records = append(reply.Records, &wire.Record{
			Key: c.Key(), Value: c.Value(), Revision: c.Revision().Number(), Era: c.Revision().Era(), Deleted: c.Deleted(),
		})
	}
	return reply, nil
}

// Exchange implements peer.HostHandler.
func (h *Host) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	sender := peer.DecodeMember(request.GetSender())
	h.fleet.HandleUpdates(sender, peer.DecodeMembers(request.GetRumours()))
	h.alerts.Apply(sender.Host(), request.GetCrashAlerts())
	h.guard.ApplyNotices(sender.Host(), request.GetNotices())
	h.applyNews(sender.Host(), request.GetNews())
	h.follower.HandlePeerRevision(sender.GateAddress(), keyvalue.NewRevision(request.GetEra(), request.GetRevision()), time.Duration(request.GetAgeMicros())*time.Microsecond)
	reply := &wire.ExchangeReply{}
	if request.GetProbe() != nil {
		probeCtx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
		defer cancel()
		_, err := h.exchangeGossip(probeCtx, request.GetProbe().GetGateAddress(), nil)
		reply.ProbeAnswered = err == nil
	}
	self, updates := h.fleet.NextUpdates(sender.GateAddress())
	reply.Sender, reply.Rumours = peer.EncodeMember(self), peer.EncodeMembers(updates)
	revision := h.follower.Revision()
	reply.Revision, reply.Era, reply.AgeMicros = revision.Number(), revision.Era(), h.follower.Age().Microseconds()
	reply.Notices = h.guard.Notices(request.GetAllNotices())
	reply.News, reply.CrashAlerts = h.news(), h.alerts.Encode()
	return reply, nil
}

// exchangeGossip sends gossip to another host and handles the reply. If probe is not
// nil, the other host probes the member probe, and exchangeGossip reports whether
// that member answered.
func (h *Host) exchangeGossip(ctx context.Context, address string, probe *roster.Member) (bool, error) {
	self, updates := h.fleet.NextUpdates(address)
	revision := h.follower.Revision()
	request := &wire.ExchangeRequest{
		Sender: peer.EncodeMember(self), Rumours: peer.EncodeMembers(updates), Notices: h.guard.Notices(false), AllNotices: h.guard.LacksNotices(), News: h.news(), CrashAlerts: h.alerts.Encode(),
		Revision: revision.Number(), Era: revision.Era(), AgeMicros: h.follower.Age().Microseconds(),
	}
	if probe != nil {
		request.Probe = peer.EncodeMember(*probe)
	}
	reply, err := h.HostTransport.Exchange(ctx, address, request)
	if !errors.Is(ctx.Err(), context.Canceled) {
		h.allowances.recordContact(address, err == nil)
	}
	if err != nil {
		return false, fmt.Errorf("exchange gossip: %w", err)
	}
	sender := peer.DecodeMember(reply.GetSender())
	h.fleet.HandleUpdates(sender, peer.DecodeMembers(reply.GetRumours()))
	h.guard.RecordContact()
	h.alerts.Apply(sender.Host(), reply.GetCrashAlerts())
	h.guard.ApplyNotices(sender.Host(), reply.GetNotices())
	h.applyNews(sender.Host(), reply.GetNews())
	h.follower.HandlePeerRevision(sender.GateAddress(), keyvalue.NewRevision(reply.GetEra(), reply.GetRevision()), time.Duration(reply.GetAgeMicros())*time.Microsecond)
	return reply.GetProbeAnswered(), nil
}

// recordPartitioned records that another host states that it reaches no upstream.
func (h *Host) recordPartitioned(m *wire.Member) { h.fleet.HandleUpdates(peer.DecodeMember(m), nil) }

// fetchDifference requests the changes after a revision from another host.
func (h *Host) fetchDifference(ctx context.Context, address string, have keyvalue.Revision) (mirror.Difference, error) {
	reply, err := h.HostTransport.Difference(ctx, address, &wire.DifferenceRequest{HaveRevision: have.Number(), HaveEra: have.Era()})
	if err != nil {
		return mirror.Difference{}, fmt.Errorf("request changes from peer: %w", err)
	}
	d := mirror.Difference{
		Full: reply.GetWhole(), Revision: keyvalue.NewRevision(reply.GetEra(), reply.GetRevision()), Age: time.Duration(reply.GetAgeMicros()) * time.Microsecond,
	}
	for _, r := range reply.GetRecords() {
		revision := keyvalue.NewRevision(r.GetEra(), r.GetRevision())
		if r.GetDeleted() {
			d.Changes = append(d.Changes, keyvalue.NewRemoval(r.GetKey(), revision))
			continue
		}
		d.Changes = append(d.Changes, keyvalue.NewChange(r.GetKey(), r.GetValue(), revision))
	}
	return d, nil
}

// handleMemberChange discards the cached addresses. If the member's CanOwn has changed, or
// whether it is dead, it schedules an update of the fleet view: the dial candidates and the
// shares of limits depend on these.
func (h *Host) handleMemberChange(c roster.MemberChanged) {
	h.addressMu.Lock()
	clear(h.addressCache)
	h.addressMu.Unlock()
	h.Log.WithFields(map[string]any{
		"member": c.New.Host(), "from": c.Old.State(), "to": c.New.State(), "incarnation": c.New.Incarnation(), "partitioned": c.New.IsPartitioned(),
	}).Info("member changed")
	h.allowances.invalidateView()
	if c.Old.CanOwn() != c.New.CanOwn() || c.Old.IsPartitioned() != c.New.IsPartitioned() || (c.Old.State() == roster.Dead) != (c.New.State() == roster.Dead) {
		select {
		case h.fleetChanges <- struct{}{}:
		default:
			// A pending change will be applied together with this change.
		}
	}
}

// members returns all hosts as this one knows them.
func (h *Host) members() []roster.Member { return h.fleet.Members() }

// newListedMembers returns members in state Listed that have an address but no data
// centre and no capacity.
func newListedMembers(addresses []string) []roster.Member {
	members := make([]roster.Member, 0, len(addresses))
	for _, a := range addresses {
		members = append(members, newListedMember(a, "", 0))
	}
	return members
}

func newListedMember(address, dataCenter string, capacity int) roster.Member {
	return roster.NewMember(address, dataCenter, address, "", 0, roster.Listed).WithCapacity(capacity)
}
