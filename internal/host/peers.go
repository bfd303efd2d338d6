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
	// maxNotices bounds the quarantine notices in one message.
	maxNotices = 16
	// indirectProbeTimeout is the timeout of a probe on behalf of another host.
	indirectProbeTimeout = roster.ProbeTimeout
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
	h.applyNotices(request.GetNotices())
	h.follower.HandlePeerRevision(sender.GateAddress(), request.GetRevision(), time.Duration(request.GetAgeMicros())*time.Microsecond)
	reply := &wire.ExchangeReply{}
	if request.GetProbe() != nil {
		probeCtx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
		defer cancel()
		_, err := h.exchangeGossip(probeCtx, request.GetProbe().GetGateAddress(), nil)
		reply.ProbeAnswered = err == nil
	}
	self, updates := h.fleet.NextUpdates(sender.GateAddress())
	reply.Sender, reply.Rumours = peer.EncodeMember(self), peer.EncodeMembers(updates)
	reply.Revision, reply.AgeMicros, reply.Notices = h.follower.Revision(), h.follower.Age().Microseconds(), h.quarantineNotices()
	return reply, nil
}

// applyNotices quarantines the requests that another host has quarantined because they crash
// upstreams.
func (h *Host) applyNotices(notices []*wire.Notice) {
	now := time.Now()
	h.crashTrackerMu.Lock()
	defer h.crashTrackerMu.Unlock()
	for _, n := range notices {
		remaining := time.Duration(n.GetLeftMicros()) * time.Microsecond
		if h.crashTracker.ApplyNotice(now, quarantine.Notice{Fingerprint: n.GetFingerprint(), Remaining: remaining}) {
			h.Log.WithField("fingerprint", n.GetFingerprint()).Info("request quarantined by another host")
		}
	}
}

// quarantineRemaining returns how much longer a request is quarantined, or zero if it is
// not.
func (h *Host) quarantineRemaining(fingerprint uint64) time.Duration {
	h.crashTrackerMu.Lock()
	defer h.crashTrackerMu.Unlock()
	decision, remaining := h.crashTracker.Check(time.Now(), fingerprint)
	if decision != quarantine.Quarantined {
		return 0
	}
	return remaining
}

// exchangeGossip sends gossip to another host and handles the reply. If probe is not
// nil, the other host probes the member probe, and exchangeGossip reports whether
// that member answered.
func (h *Host) exchangeGossip(ctx context.Context, address string, probe *roster.Member) (bool, error) {
	self, updates := h.fleet.NextUpdates(address)
	request := &wire.ExchangeRequest{
		Sender: peer.EncodeMember(self), Rumours: peer.EncodeMembers(updates), Notices: h.quarantineNotices(),
		Revision: h.follower.Revision(), AgeMicros: h.follower.Age().Microseconds(),
	}
	if probe != nil {
		request.Probe = peer.EncodeMember(*probe)
	}
	reply, err := h.HostTransport.Exchange(ctx, address, request)
	if err != nil {
		return false, fmt.Errorf("exchange gossip: %w", err)
	}
	sender := peer.DecodeMember(reply.GetSender())
	h.fleet.HandleUpdates(sender, peer.DecodeMembers(reply.GetRumours()))
	h.applyNotices(reply.GetNotices())
	h.follower.HandlePeerRevision(sender.GateAddress(), reply.GetRevision(), time.Duration(reply.GetAgeMicros())*time.Microsecond)
	return reply.GetProbeAnswered(), nil
}

// handleSuccess clears the suspicion that a request crashes upstreams, after an
// upstream has answered the request.
func (h *Host) handleSuccess(fingerprint uint64) {
	h.crashTrackerMu.Lock()
	defer h.crashTrackerMu.Unlock()
	h.crashTracker.RecordFinish(fingerprint, true)
}

// handleCrash records the requests that an upstream was running when it crashed. Newly
// quarantined requests are sent to the other hosts at once.
func (h *Host) handleCrash(c pool.Crash) {
	h.crashTrackerMu.Lock()
	quarantined := h.crashTracker.RecordCrash(time.Now(), c.Upstream, c.Fingerprints)
	h.crashTrackerMu.Unlock()
	h.Log.WithField("upstream", c.Upstream).WithField("fingerprints", c.Fingerprints).Info("upstream crashed while running requests")
	if len(quarantined) > 0 {
		h.Log.WithField("fingerprints", quarantined).Warn("requests quarantined")
		h.group.Go(func() { h.fleet.SendUpdates(context.Background()) })
	}
}

// fetchDifference requests the changes after a revision from another host.
func (h *Host) fetchDifference(ctx context.Context, address string, have uint64) (mirror.Difference, error) {
	reply, err := h.HostTransport.Difference(ctx, address, &wire.DifferenceRequest{HaveRevision: have})
	if err != nil {
		return mirror.Difference{}, fmt.Errorf("request changes from peer: %w", err)
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

// handleMemberChange discards the cached addresses. If the member's CanOwn has
// changed, it schedules an update of the fleet view, since the dial candidates depend
// on CanOwn.
func (h *Host) handleMemberChange(c roster.MemberChanged) {
	h.addressMu.Lock()
	clear(h.addressCache)
	h.addressMu.Unlock()
	h.Log.WithFields(map[string]any{
		"member": c.New.Host(), "from": c.Old.State(), "to": c.New.State(), "incarnation": c.New.Incarnation(),
	}).Info("member changed")
	if c.Old.CanOwn() != c.New.CanOwn() {
		select {
		case h.fleetChanges <- struct{}{}:
		default:
			// A pending change will be applied together with this change.
		}
	}
}

// updateSuspectMetrics sets the number of suspect requests by decision.
func (h *Host) updateSuspectMetrics(now time.Time) {
	h.crashTrackerMu.Lock()
	counts := h.crashTracker.Counts(now)
	h.crashTrackerMu.Unlock()
	for decision, label := range map[quarantine.Decision]string{
		quarantine.Suspect: "suspect", quarantine.AwaitingTest: "awaiting-test", quarantine.Quarantined: "quarantined",
	} {
		h.Metrics.suspectRequests.WithLabelValues(label).Set(float64(counts[decision]))
	}
}

func (h *Host) quarantineNotices() []*wire.Notice {
	h.crashTrackerMu.Lock()
	defer h.crashTrackerMu.Unlock()
	var notices []*wire.Notice
	for _, n := range h.crashTracker.Notices(time.Now(), maxNotices) {
		notices = append(notices, &wire.Notice{Fingerprint: n.Fingerprint, LeftMicros: n.Remaining.Microseconds()})
	}
	return notices
}
