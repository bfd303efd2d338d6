package host

import (
	"context"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/mirror"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// maxNotices bounds the notices on one message.
	maxNotices = 16
	// probeTimeout bounds a probe on behalf of another host.
	probeTimeout = roster.ProbeTimeout
)

var _ peer.HostHandler = (*Host)(nil)

// Difference implements peer.HostHandler.
func (h *Host) Difference(_ context.Context, request *wire.DifferenceRequest) (*wire.DifferenceReply, error) {
	d := h.follower.Difference(request.GetHaveRevision())
	reply := &wire.DifferenceReply{Revision: d.Revision, Whole: d.Full, AgeMicros: d.Age.Microseconds()}
	for _, c := range d.Changes {
		reply.Records = append(reply.Records, &wire.Record{
			Key: c.Key(), Value: c.Value(), Revision: c.Revision(), Deleted: c.Deleted(),
		})
	}
	return reply, nil
}

// Exchange implements peer.HostHandler.
func (h *Host) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	sender := peer.DecodeMember(request.GetSender())
	h.fleet.HandleUpdates(sender, peer.DecodeMembers(request.GetRumours()))
	h.acceptNotices(request.GetNotices())
	h.follower.HandlePeerRevision(sender.GateAddress(), request.GetRevision(), time.Duration(request.GetAgeMicros())*time.Microsecond)
	reply := &wire.ExchangeReply{}
	if request.GetProbe() != nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := h.call(probeCtx, request.GetProbe().GetGateAddress(), nil)
		reply.ProbeAnswered = err == nil
	}
	self, rumours := h.fleet.NextUpdates()
	reply.Sender, reply.Rumours = peer.EncodeMember(self), peer.EncodeMembers(rumours)
	reply.Revision, reply.AgeMicros, reply.Notices = h.follower.Revision(), h.follower.Age().Microseconds(), h.notices()
	return reply, nil
}

// acceptNotices takes requests that crash upstreams from another host.
func (h *Host) acceptNotices(notices []*wire.Notice) {
	now := time.Now()
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	for _, n := range notices {
		left := time.Duration(n.GetLeftMicros()) * time.Microsecond
		if h.ledger.ApplyNotice(now, quarantine.Notice{Fingerprint: n.GetFingerprint(), Remaining: left}) {
			h.Log.WithField("fingerprint", n.GetFingerprint()).Info("request quarantined by another host")
		}
	}
}

// blocked returns how much longer a request is quarantined.
func (h *Host) blocked(fingerprint uint64) time.Duration {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	verdict, left := h.ledger.Check(time.Now(), fingerprint)
	if verdict != quarantine.Quarantined {
		return 0
	}
	return left
}

// call exchanges news with another host.
func (h *Host) call(ctx context.Context, address string, probe *roster.Member) (bool, error) {
	self, rumours := h.fleet.NextUpdates()
	request := &wire.ExchangeRequest{
		Sender: peer.EncodeMember(self), Rumours: peer.EncodeMembers(rumours), Notices: h.notices(),
		Revision: h.follower.Revision(), AgeMicros: h.follower.Age().Microseconds(),
	}
	if probe != nil {
		request.Probe = peer.EncodeMember(*probe)
	}
	reply, err := h.HostTransport.Exchange(ctx, address, request)
	if err != nil {
		return false, fmt.Errorf("exchange news: %w", err)
	}
	sender := peer.DecodeMember(reply.GetSender())
	h.fleet.HandleUpdates(sender, peer.DecodeMembers(reply.GetRumours()))
	h.acceptNotices(reply.GetNotices())
	h.follower.HandlePeerRevision(sender.GateAddress(), reply.GetRevision(), time.Duration(reply.GetAgeMicros())*time.Microsecond)
	return reply.GetProbeAnswered(), nil
}

// cleared drops the suspicion against a request that was answered.
func (h *Host) cleared(fingerprint uint64) {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.RecordFinish(fingerprint, true)
}

// crashed notes requests that ran on an upstream when it died.
func (h *Host) crashed(c pool.Crash) {
	h.ledgerMu.Lock()
	blocked := h.ledger.RecordCrash(time.Now(), c.Upstream, c.Fingerprints)
	h.ledgerMu.Unlock()
	h.Log.WithField("upstream", c.Upstream).WithField("fingerprints", c.Fingerprints).Info("upstream died while it ran requests")
	if len(blocked) > 0 {
		h.Log.WithField("fingerprints", blocked).Warn("requests quarantined")
		h.group.Go(func() { h.fleet.SendUpdates(context.Background()) })
	}
}

func (h *Host) fetch(ctx context.Context, address string, have uint64) (mirror.Difference, error) {
	reply, err := h.HostTransport.Difference(ctx, address, &wire.DifferenceRequest{HaveRevision: have})
	if err != nil {
		return mirror.Difference{}, fmt.Errorf("ask peer for changes: %w", err)
	}
	d := mirror.Difference{
		Full: reply.GetWhole(), Revision: reply.GetRevision(), Age: time.Duration(reply.GetAgeMicros()) * time.Microsecond,
	}
	for _, r := range reply.GetRecords() {
		if r.GetDeleted() {
			d.Changes = append(d.Changes, keyvalue.NewRemoval(r.GetKey(), r.GetRevision()))
			continue
		}
		d.Changes = append(d.Changes, keyvalue.NewChange(r.GetKey(), r.GetValue(), r.GetRevision()))
	}
	return d, nil
}

func (h *Host) memberChanged(c roster.MemberChanged) {
	h.addressMu.Lock()
	clear(h.addresses)
	h.addressMu.Unlock()
	h.Log.WithFields(map[string]any{
		"member": c.New.Host(), "from": c.Old.State(), "to": c.New.State(), "incarnation": c.New.Incarnation(),
	}).Info("member changed")
	if c.Old.CanOwn() != c.New.CanOwn() {
		select {
		case h.fleetChanges <- struct{}{}:
		default:
			// A change is waiting to be taken in already, and this one with it.
		}
	}
}

func (h *Host) notices() []*wire.Notice {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	var notices []*wire.Notice
	for _, n := range h.ledger.Notices(time.Now(), maxNotices) {
		notices = append(notices, &wire.Notice{Fingerprint: n.Fingerprint, LeftMicros: n.Remaining.Microseconds()})
	}
	return notices
}
