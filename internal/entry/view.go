package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// exchangeTimeout is how long a gate may take to tell its view.
	exchangeTimeout = 300 * time.Millisecond
	// avoidTime is how long a gate that could not be reached is passed over.
	avoidTime = time.Second
	// viewTries is how many gates are asked for the view in one period.
	viewTries = 3
)

// view is what an entry knows of the fleet. It is safe for concurrent use.
type view struct {
	mu        sync.RWMutex
	members   map[string]roster.Member
	ownership *roster.Ownership
	// source, incarnation and number name the view of the gate that was
	// asked last, so that only changes are sent.
	source      string
	incarnation uint64
	number      uint64
	// avoided holds until when a host is passed over.
	avoided map[string]time.Time
}

func newView() *view {
	return &view{members: make(map[string]roster.Member), ownership: roster.NewOwnership(), avoided: make(map[string]time.Time)}
}

// apply takes the reply of a gate.
func (v *view) apply(source string, reply *wire.ExchangeReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.source = source
	v.incarnation = reply.GetSender().GetIncarnation()
	v.number = reply.GetView()
	if reply.GetFull() {
		v.dropMissing(reply.GetRumours())
	}
	for _, member := range peer.DecodeMembers(reply.GetRumours()) {
		v.members[member.Host()] = member
		v.ownership.Apply(member)
	}
}

func (v *view) dropMissing(members []*wire.Member) {
	present := make(map[string]bool)
	for _, m := range members {
		present[m.GetHost()] = true
	}
	for host := range v.members {
		if !present[host] {
			delete(v.members, host)
			v.ownership.Remove(host)
		}
	}
}

func (v *view) avoid(host string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.avoided[host] = now.Add(avoidTime)
}

// list returns all members in no certain order.
func (v *view) list() []roster.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	members := make([]roster.Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	return members
}

// owner returns the gate to send a group's requests to, passing over hosts that
// were just found to be of no use.
func (v *view) owner(group string, now time.Time) (roster.Member, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	host := v.ownership.Owner(group)
	if now.Before(v.avoided[host]) {
		without := make(map[string]bool)
		for h, until := range v.avoided {
			without[h] = now.Before(until)
		}
		host = v.ownership.OwnerExcluding(group, without)
	}
	m, ok := v.members[host]
	return m, ok
}

// state returns what to tell the gate at an address.
func (v *view) state(address string) (number, incarnation uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if address != v.source {
		return 0, 0
	}
	return v.number, v.incarnation
}

func (e *Entry) followView(ctx context.Context) error {
	for ctx.Err() == nil {
		e.refreshView(ctx)
		work.Sleep(ctx, viewPeriod)
	}
	return nil
}

// refreshView asks the local gate, or else others, for the view of the fleet.
func (e *Entry) refreshView(ctx context.Context) {
	if e.askView(ctx, e.LocalGateAddress, true) {
		return
	}
	for i, address := range e.gateAddresses() {
		if i == viewTries || e.askView(ctx, address, false) {
			return
		}
	}
}

func (e *Entry) askView(ctx context.Context, address string, local bool) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	number, incarnation := e.view.state(address)
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	reply, err := e.GateTransport.Exchange(ctx, address, &wire.ExchangeRequest{
		AllMembers: true, View: number, ViewIncarnation: incarnation, FromEntry: local, EntryLeaving: leaving,
	})
	if err != nil || reply.GetCutOff() {
		return false
	}
	e.view.apply(address, reply)
	e.follower.HandlePeerRevision(reply.GetRevision(), address)
	e.mu.Lock()
	e.newsAt = time.Now()
	e.mu.Unlock()
	return true
}

// gateAddresses returns the gates to ask, the local one first.
func (e *Entry) gateAddresses() []string {
	addresses := []string{e.LocalGateAddress}
	members := e.view.list()
	if len(members) == 0 {
		addresses = append(addresses, e.listedGates()...)
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.CanOwn() && m.GateAddress() != e.LocalGateAddress {
			addresses = append(addresses, m.GateAddress())
		}
	}
	return addresses
}

// listedGates returns the gates of the host list, for an entry that knows
// nobody yet.
func (e *Entry) listedGates() []string {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	hosts, err := e.Hosts.Hosts(ctx)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, h := range hosts {
		if h.State == hostlist.StateLive && h.GateAddress != e.LocalGateAddress {
			addresses = append(addresses, h.GateAddress)
		}
	}
	return addresses
}
