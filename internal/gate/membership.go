package gate

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxMemberChanges is how many member changes are kept. An entry whose view ends
	// at a kept change receives only the later changes.
	maxMemberChanges = 1024
	// maxNotices bounds the quarantine notices in one message.
	maxNotices = 16
)

// Exchange implements peer.GateHandler.
func (g *Gate) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	g.init()
	received := roster.GossipReceived{Updates: peer.DecodeMembers(request.GetRumours())}
	if request.GetSender() != nil {
		received.Sender = peer.DecodeMember(request.GetSender())
		g.follower.HandlePeerRevision(request.GetRevision(), request.GetSender().GetGateAddress())
	}
	g.stepRoster(received)
	if request.GetFromEntry() {
		g.updateEntryAddress(g.advertisedEntryAddress(request.GetEntryLeaving()))
	}
	g.applyNotices(request.GetNotices())
	reply := &wire.ExchangeReply{Notices: g.encodeNotices(), Revision: g.follower.Current().Revision(), CutOff: g.CutOff()}
	if request.GetProbe() != nil {
		reply.ProbeAnswered = g.exchange(ctx, peer.DecodeMember(request.GetProbe()))
	}
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	reply.Sender = peer.EncodeMember(g.roster.Self())
	if request.GetAllMembers() {
		g.addMemberChanges(request, reply)
		return reply, nil
	}
	reply.Rumours = peer.EncodeMembers(g.roster.NextUpdates())
	return reply, nil
}

// addMemberChanges adds to the reply the members that changed since the sender's
// view, or all members if the changes since then are not kept. The caller holds
// rosterMu.
func (g *Gate) addMemberChanges(request *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	reply.View = g.firstChangeNumber + uint64(len(g.memberChanges)) - 1
	senderView := request.GetView()
	if request.GetViewIncarnation() != g.roster.Self().Incarnation() || senderView < g.firstChangeNumber || senderView > reply.GetView() {
		reply.Full = true
		reply.Rumours = peer.EncodeMembers(g.roster.Members())
		return
	}
	reply.Rumours = peer.EncodeMembers(g.memberChanges[senderView-g.firstChangeNumber+1:])
}

// updateEntryAddress sets the address at which the entry of this host takes
// callers, empty for none, and announces a change to other members.
func (g *Gate) updateEntryAddress(address string) {
	g.rosterMu.Lock()
	addressChanged := g.roster.Self().EntryAddress() != address
	g.rosterMu.Unlock()
	if !addressChanged {
		return
	}
	g.stepRoster(roster.EntryAddressChanged{Address: address})
	g.announceSelf(context.Background())
}

// advertisedEntryAddress returns the address at which callers reach the entry of
// this host; it is empty if the entry is leaving.
func (g *Gate) advertisedEntryAddress(leaving bool) string {
	if leaving {
		return ""
	}
	return g.Self.EntryAddress()
}

func (g *Gate) applyNotices(notices []*wire.Notice) {
	for _, n := range notices {
		notice := quarantine.Notice{Fingerprint: n.GetFingerprint(), Remaining: time.Duration(n.GetLeftMicros()) * time.Microsecond}
		g.mu.Lock()
		isNew := g.quarantineTracker.ApplyNotice(time.Now(), notice)
		g.mu.Unlock()
		if isNew {
			g.quarantineRequest(notice.Fingerprint, notice.Remaining)
		}
	}
}

// exchange sends gossip updates, quarantine notices and the catalog revision to a
// member and handles those in its reply. It reports whether the member answered; a
// reply of another host at the member's address does not count.
func (g *Gate) exchange(ctx context.Context, target roster.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, roster.ProbeTimeout)
	defer cancel()
	request := g.newExchangeRequest(nil)
	if target.State() == roster.Suspect || target.State() == roster.Dead {
		// Include the state attributed to the target, so that the target can refute it.
		request.Rumours = append(request.Rumours, peer.EncodeMember(target))
	}
	reply, err := g.GateTransport.Exchange(ctx, target.GateAddress(), request)
	if err != nil || reply.GetSender().GetHost() != target.Host() {
		return false
	}
	g.handleExchangeReply(reply)
	return true
}

func (g *Gate) handleExchangeReply(reply *wire.ExchangeReply) {
	g.stepRoster(roster.GossipReceived{Sender: peer.DecodeMember(reply.GetSender()), Updates: peer.DecodeMembers(reply.GetRumours())})
	g.applyNotices(reply.GetNotices())
	g.follower.HandlePeerRevision(reply.GetRevision(), reply.GetSender().GetGateAddress())
}

func (g *Gate) newExchangeRequest(probeTarget *wire.Member) *wire.ExchangeRequest {
	request := &wire.ExchangeRequest{Notices: g.encodeNotices(), Revision: g.follower.Current().Revision(), Probe: probeTarget}
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	request.Sender = peer.EncodeMember(g.roster.Self())
	request.Rumours = peer.EncodeMembers(g.roster.NextUpdates())
	return request
}

func (g *Gate) encodeNotices() []*wire.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*wire.Notice
	for _, n := range g.quarantineTracker.Notices(time.Now(), maxNotices) {
		notices = append(notices, &wire.Notice{Fingerprint: n.Fingerprint, LeftMicros: n.Remaining.Microseconds()})
	}
	return notices
}

// peerAddresses returns the addresses of the gates from which the catalog can be
// fetched.
func (g *Gate) peerAddresses() []string {
	var addresses []string
	for _, m := range g.Members() {
		if m.Host() != g.Self.Host() && m.State() != roster.Dead {
			addresses = append(addresses, m.GateAddress())
		}
	}
	return addresses
}

func (g *Gate) pollHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		if hosts, err := g.Hosts.Hosts(ctx); err == nil {
			g.stepRoster(roster.HostListReceived{Hosts: decodeHostList(hosts)})
		}
		work.Sleep(ctx, hostListInterval)
	}
	return nil
}

func (g *Gate) probeMember(ctx context.Context, target roster.Member) {
	answered := g.exchange(ctx, target)
	g.recordProbe(answered)
	g.stepRoster(roster.ProbeEnded{Host: target.Host(), Answered: answered})
}

// probeIndirectly asks other members to probe a member that did not answer this
// gate, and waits for their replies for at most 2*roster.ProbeTimeout.
func (g *Gate) probeIndirectly(ctx context.Context, p roster.IndirectProbe) {
	ctx, cancel := context.WithTimeout(ctx, 2*roster.ProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(p.Via))
	for _, via := range p.Via {
		g.tasks.Go(func() {
			reply, err := g.GateTransport.Exchange(ctx, via.GateAddress(), g.newExchangeRequest(peer.EncodeMember(p.Target)))
			answers <- err == nil && reply.GetProbeAnswered()
		})
	}
	answered := false
	for range p.Via {
		select {
		case targetAnswered := <-answers:
			answered = answered || targetAnswered
		case <-ctx.Done():
		}
	}
	g.stepRoster(roster.ProbeEnded{Host: p.Target.Host(), Answered: answered, Indirect: true})
}

// stepRoster passes an event to the roster and performs the resulting actions.
func (g *Gate) stepRoster(event roster.Event) {
	g.rosterMu.Lock()
	actions := g.roster.Step(time.Now(), event)
	membersChanged := false
	for _, a := range actions {
		if c, ok := a.(roster.MemberChanged); ok {
			membersChanged = true
			g.ownership.Apply(c.New)
			g.recordChange(c.New)
			if c.Old.CanOwn() && c.New.State() == roster.Leaving {
				g.isolation.recordLeave()
			}
		}
	}
	g.rosterMu.Unlock()
	for _, a := range actions {
		g.performRosterAction(a)
	}
	if membersChanged {
		g.reassignGroups()
	}
}

func (g *Gate) recordChange(m roster.Member) {
	g.memberChanges = append(g.memberChanges, m)
	if excess := len(g.memberChanges) - maxMemberChanges; excess > 0 {
		g.memberChanges = slices.Clone(g.memberChanges[excess:])
		g.firstChangeNumber += uint64(excess)
	}
}

func (g *Gate) performRosterAction(action roster.Action) {
	switch a := action.(type) {
	case roster.Probe:
		g.tasks.Go(func() { g.probeMember(context.Background(), a.Target) })
	case roster.IndirectProbe:
		g.tasks.Go(func() { g.probeIndirectly(context.Background(), a) })
	case roster.MemberChanged:
		g.Timeline.Add("member", "", "%s: %s to %s, incarnation %d", a.New.Host(), a.Old.State(), a.New.State(), a.New.Incarnation())
	}
}

func (g *Gate) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		g.detectPause(time.Now())
		g.stepRoster(roster.Tick{})
		g.updateIsolation()
		work.Sleep(ctx, tickInterval)
	}
	return nil
}

// shouldWatchStore reports whether this gate is one of the watchersPerDataCenter
// gates of its data centre that watch the key-value service.
func (g *Gate) shouldWatchStore() bool {
	var names []string
	for _, m := range g.Members() {
		if m.DataCenter() == g.Self.DataCenter() && m.CanOwn() {
			names = append(names, m.Host())
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return slices.Contains(names[:min(len(names), watchersPerDataCenter)], g.Self.Host())
}

func decodeHostList(hosts []hostlist.Host) []roster.Member {
	members := make([]roster.Member, 0, len(hosts))
	for _, h := range hosts {
		state := roster.Listed
		if h.State == hostlist.StateLeaving {
			state = roster.Leaving
		}
		members = append(members, roster.NewMember(h.Name, h.DataCenter, h.GateAddress, h.EntryAddress, 0, state))
	}
	return members
}
