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
	// exchangeTimeout bounds a request for a gate's view or for the host list.
	exchangeTimeout = 300 * time.Millisecond
	// excludePeriod is how long a gate is skipped after it could not be reached, or
	// after it refused a shard for a reason that may not apply to another gate.
	excludePeriod = time.Second
	// maxViewRequests bounds the requests for the view in one refresh that follow a
	// failed request to the local gate. The first of them goes to the local gate
	// again.
	maxViewRequests = 3
	// maxRefreshDuration is how long refreshView takes at most, which may request the host list.
	maxRefreshDuration = (maxViewRequests + 2) * exchangeTimeout
)

// view is an entry's cached view of the fleet's members. It is safe for concurrent
// use.
type view struct {
	mu        sync.RWMutex
	members   map[string]roster.Member
	ownership *roster.Ownership
	// sourceAddress, sourceIncarnation and viewNumber identify the view received
	// last, so that the same gate needs to send only the changes since then.
	sourceAddress     string
	sourceIncarnation uint64
	viewNumber        uint64
	// excludedUntil holds, by host, the time until which the host is skipped.
	excludedUntil map[string]time.Time
}

func newView() *view {
	return &view{members: make(map[string]roster.Member), ownership: roster.NewOwnership(), excludedUntil: make(map[string]time.Time)}
}

// apply updates the view from the reply of a gate.
func (v *view) apply(source string, reply *wire.ExchangeReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sourceAddress = source
	v.sourceIncarnation = reply.GetSender().GetIncarnation()
	v.viewNumber = reply.GetView()
	if reply.GetFull() {
		v.retainOnly(reply.GetRumours())
	}
	for _, member := range peer.DecodeMembers(reply.GetRumours()) {
		v.members[member.Host()] = member
		v.ownership.Apply(member)
	}
}

func (v *view) retainOnly(members []*wire.Member) {
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

func (v *view) exclude(host string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.excludedUntil[host] = now.Add(excludePeriod)
}

// memberList returns all members in no particular order.
func (v *view) memberList() []roster.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	members := make([]roster.Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	return members
}

// owner returns the gate to which a group's requests are sent: the owner of the
// group or, if the owner is excluded, the host that would own the group without the
// excluded hosts. It returns false if there is none.
func (v *view) owner(group string, now time.Time) (roster.Member, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	host := v.ownership.Owner(group)
	if now.Before(v.excludedUntil[host]) {
		excluded := make(map[string]bool)
		for h, until := range v.excludedUntil {
			excluded[h] = now.Before(until)
		}
		host = v.ownership.OwnerExcluding(group, excluded)
	}
	m, ok := v.members[host]
	return m, ok
}

// lastReceived returns the number and the incarnation of the view last received, if
// it came from the gate at this address, and otherwise zeros.
func (v *view) lastReceived(address string) (number, incarnation uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if address != v.sourceAddress {
		return 0, 0
	}
	return v.viewNumber, v.sourceIncarnation
}

func (e *Entry) followView(ctx context.Context) error {
	for ctx.Err() == nil {
		e.refreshView(ctx)
		work.Sleep(ctx, viewRefreshInterval)
	}
	return nil
}

// refreshView fetches the view of the fleet from the local gate. If that fails, it
// tries the first maxViewRequests of gateAddresses, beginning with the local gate
// again, until one of them returns its view.
func (e *Entry) refreshView(ctx context.Context) {
	if e.fetchView(ctx, e.LocalGateAddress, true) {
		return
	}
	for i, address := range e.gateAddresses() {
		if i == maxViewRequests || e.fetchView(ctx, address, false) {
			return
		}
	}
}

// fetchView requests the view of a gate and applies it. It returns false if the gate
// did not answer or is cut off. If isLocal is set, the gate also advertises this
// entry's address, or withdraws the address if this entry is leaving.
func (e *Entry) fetchView(ctx context.Context, address string, isLocal bool) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	number, incarnation := e.view.lastReceived(address)
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	reply, err := e.GateTransport.Exchange(ctx, address, &wire.ExchangeRequest{
		AllMembers: true, View: number, ViewIncarnation: incarnation, FromEntry: isLocal, EntryLeaving: leaving,
	})
	if err != nil {
		return false
	}
	if reply.GetCutOff() && !isLocal {
		return false
	}
	// The view of a local gate that is cut off still shows which hosts became suspect.
	e.view.apply(address, reply)
	if reply.GetCutOff() {
		return false
	}
	e.follower.HandlePeerRevision(reply.GetRevision(), address)
	e.mu.Lock()
	e.viewUpdatedAt = time.Now()
	e.mu.Unlock()
	return true
}

// gateAddresses returns the addresses of the gates from which the view and the
// catalog can be fetched: the local gate first, then the other gates in the view in
// random order or, if the view is empty, those in the host list in its order.
func (e *Entry) gateAddresses() []string {
	addresses := []string{e.LocalGateAddress}
	members := e.view.memberList()
	if len(members) == 0 {
		addresses = append(addresses, e.fetchHostListGates()...)
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.CanOwn() && m.GateAddress() != e.LocalGateAddress {
			addresses = append(addresses, m.GateAddress())
		}
	}
	return addresses
}

// fetchHostListGates requests the host list and returns the gate addresses of the
// other live hosts, for an entry whose view is still empty.
func (e *Entry) fetchHostListGates() []string {
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
