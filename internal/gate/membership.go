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
	// maxChanges is how many member changes are kept for entries.
	maxChanges = 1024
	// maxNotices bounds the notices on one message.
	maxNotices = 16
)

// Exchange implements peer.Handler.
func (g *Gate) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	g.init()
	heard := roster.GossipReceived{Updates: peer.DecodeMembers(request.GetRumours())}
	if request.GetSender() != nil {
		heard.Sender = peer.DecodeMember(request.GetSender())
		g.follower.HandlePeerRevision(request.GetRevision(), request.GetSender().GetGateAddress())
	}
	g.rosterStep(heard)
	if request.GetFromEntry() {
		g.entryMoved(g.entryAddress(request.GetEntryLeaving()))
	}
	g.acceptNotices(request.GetNotices())
	reply := &wire.ExchangeReply{Notices: g.notices(), Revision: g.follower.Current().Revision(), CutOff: g.CutOff()}
	if request.GetProbe() != nil {
		reply.ProbeAnswered = g.exchange(ctx, peer.DecodeMember(request.GetProbe()))
	}
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	reply.Sender = peer.EncodeMember(g.roster.Self())
	if request.GetAllMembers() {
		g.addView(request, reply)
		return reply, nil
	}
	reply.Rumours = peer.EncodeMembers(g.roster.NextUpdates())
	return reply, nil
}

// addView adds the members that changed since the view of the sender.
func (g *Gate) addView(request *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	reply.View = g.firstChange + uint64(len(g.changes)) - 1
	known := request.GetView()
	if request.GetViewIncarnation() != g.roster.Self().Incarnation() || known < g.firstChange || known > reply.GetView() {
		reply.Full = true
		reply.Rumours = peer.EncodeMembers(g.roster.Members())
		return
	}
	reply.Rumours = peer.EncodeMembers(g.changes[known-g.firstChange+1:])
}

// entryMoved takes what the entry of this host says of itself.
func (g *Gate) entryMoved(address string) {
	g.rosterMu.Lock()
	moved := g.roster.Self().EntryAddress() != address
	g.rosterMu.Unlock()
	if !moved {
		return
	}
	g.rosterStep(roster.EntryAddressChanged{Address: address})
	g.announce(context.Background())
}

// entryAddress returns where callers find the entry of this host.
func (g *Gate) entryAddress(leaving bool) string {
	if leaving {
		return ""
	}
	return g.Self.EntryAddress()
}

func (g *Gate) acceptNotices(notices []*wire.Notice) {
	for _, n := range notices {
		notice := quarantine.Notice{Fingerprint: n.GetFingerprint(), Remaining: time.Duration(n.GetLeftMicros()) * time.Microsecond}
		g.mu.Lock()
		news := g.ledger.ApplyNotice(time.Now(), notice)
		g.mu.Unlock()
		if news {
			g.quarantine(notice.Fingerprint, notice.Remaining)
		}
	}
}

// exchange trades news with a member; it reports whether the member answered.
func (g *Gate) exchange(ctx context.Context, target roster.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, roster.ProbeTimeout)
	defer cancel()
	request := g.exchangeRequest(nil)
	if target.State() == roster.Suspect || target.State() == roster.Dead {
		// The target must hear what is said of it, to contradict.
		request.Rumours = append(request.Rumours, peer.EncodeMember(target))
	}
	reply, err := g.GateTransport.Exchange(ctx, target.GateAddress(), request)
	if err != nil || reply.GetSender().GetHost() != target.Host() {
		return false
	}
	g.absorb(reply)
	return true
}

func (g *Gate) absorb(reply *wire.ExchangeReply) {
	g.rosterStep(roster.GossipReceived{Sender: peer.DecodeMember(reply.GetSender()), Updates: peer.DecodeMembers(reply.GetRumours())})
	g.acceptNotices(reply.GetNotices())
	g.follower.HandlePeerRevision(reply.GetRevision(), reply.GetSender().GetGateAddress())
}

func (g *Gate) exchangeRequest(probe *wire.Member) *wire.ExchangeRequest {
	request := &wire.ExchangeRequest{Notices: g.notices(), Revision: g.follower.Current().Revision(), Probe: probe}
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	request.Sender = peer.EncodeMember(g.roster.Self())
	request.Rumours = peer.EncodeMembers(g.roster.NextUpdates())
	return request
}

func (g *Gate) notices() []*wire.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*wire.Notice
	for _, n := range g.ledger.Notices(time.Now(), maxNotices) {
		notices = append(notices, &wire.Notice{Fingerprint: n.Fingerprint, LeftMicros: n.Remaining.Microseconds()})
	}
	return notices
}

// peerAddresses returns the gates to learn the catalog from.
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
			g.rosterStep(roster.HostListReceived{Hosts: listedMembers(hosts)})
		}
		work.Sleep(ctx, listPeriod)
	}
	return nil
}

func (g *Gate) probe(ctx context.Context, target roster.Member) {
	answered := g.exchange(ctx, target)
	g.noteProbe(answered)
	g.rosterStep(roster.ProbeEnded{Host: target.Host(), Answered: answered})
}

// probeThrough asks others to probe a member that did not answer.
func (g *Gate) probeThrough(ctx context.Context, p roster.IndirectProbe) {
	ctx, cancel := context.WithTimeout(ctx, 2*roster.ProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(p.Via))
	for _, via := range p.Via {
		g.group.Go(func() {
			reply, err := g.GateTransport.Exchange(ctx, via.GateAddress(), g.exchangeRequest(peer.EncodeMember(p.Target)))
			answers <- err == nil && reply.GetProbeAnswered()
		})
	}
	answered := false
	for range p.Via {
		select {
		case a := <-answers:
			answered = answered || a
		case <-ctx.Done():
		}
	}
	g.rosterStep(roster.ProbeEnded{Host: p.Target.Host(), Answered: answered, Indirect: true})
}

// rosterStep lets the roster decide and does what it decided.
func (g *Gate) rosterStep(event roster.Event) {
	g.rosterMu.Lock()
	actions := g.roster.Step(time.Now(), event)
	changed := false
	for _, a := range actions {
		if c, ok := a.(roster.MemberChanged); ok {
			changed = true
			g.ownership.Apply(c.New)
			g.logChange(c.New)
			if c.Old.CanOwn() && c.New.State() == roster.Leaving {
				g.isolation.left()
			}
		}
	}
	g.rosterMu.Unlock()
	for _, a := range actions {
		g.performRoster(a)
	}
	if changed {
		g.reassign()
	}
}

func (g *Gate) logChange(m roster.Member) {
	g.changes = append(g.changes, m)
	if extra := len(g.changes) - maxChanges; extra > 0 {
		g.changes = slices.Clone(g.changes[extra:])
		g.firstChange += uint64(extra)
	}
}

func (g *Gate) performRoster(action roster.Action) {
	switch a := action.(type) {
	case roster.Probe:
		g.group.Go(func() { g.probe(context.Background(), a.Target) })
	case roster.IndirectProbe:
		g.group.Go(func() { g.probeThrough(context.Background(), a) })
	case roster.MemberChanged:
		g.Timeline.Add("member", "", "%s: %s to %s, incarnation %d", a.New.Host(), a.Old.State(), a.New.State(), a.New.Incarnation())
	}
}

func (g *Gate) tick(ctx context.Context) error {
	for ctx.Err() == nil {
		g.checkPause(time.Now())
		g.rosterStep(roster.Tick{})
		g.touchStore()
		work.Sleep(ctx, tickPeriod)
	}
	return nil
}

// watches reports whether this gate is one of the few of its data centre that
// watch the service.
func (g *Gate) watches() bool {
	var names []string
	for _, m := range g.Members() {
		if m.DataCenter() == g.Self.DataCenter() && m.CanOwn() {
			names = append(names, m.Host())
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return slices.Contains(names[:min(len(names), watchersPerDataCenter)], g.Self.Host())
}

func listedMembers(hosts []hostlist.Host) []roster.Member {
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
