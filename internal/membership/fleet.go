// Package membership maintains a host's view of the fleet: it drives a
// roster.Roster and makes the calls to other hosts.
package membership

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// tickInterval is the interval of roster.Tick events.
	tickInterval = 250 * time.Millisecond
	// fanOut is how many members receive updates directly; these members
	// forward them.
	fanOut = 3
	// WatcherCount is how many hosts read the store on behalf of the fleet.
	WatcherCount = 2
	// maxCopyAge is how old the local copy of the store may get before a host
	// that is not a watcher also reads the store: the wait of one watch, plus
	// copyAgePerDoubling for each doubling of the fleet, since updates take
	// that many hops.
	maxCopyAge         = 900 * time.Millisecond
	copyAgePerDoubling = 200 * time.Millisecond
	// copyAgePerRank is how much longer each further host waits, so that not
	// all hosts read the store at the same time; maxRank bounds the sum.
	copyAgePerRank = 100 * time.Millisecond
	maxRank        = 10
)

// A Fleet is a host's view of the other hosts. Its exported fields are set
// before Init. It is safe for concurrent use.
type Fleet struct {
	Self roster.Member
	Seed uint64
	// Exchange exchanges updates with a member. If target is set, the member
	// probes it and reports whether it answered.
	Exchange func(ctx context.Context, address string, target *roster.Member) (answered bool, err error)
	// OnChange is called for each change of a member.
	OnChange func(roster.MemberChanged)
	// Group runs the probes.
	Group *work.Group

	mu     sync.Mutex
	roster *roster.Roster
	random *rand.Rand
}

// Init must be called before all other methods.
func (f *Fleet) Init() {
	f.roster = roster.New(f.Self, f.Seed)
	f.random = rand.New(rand.NewPCG(f.Seed, xxhash.Sum64String(f.Self.Host())))
}

// HandleUpdates applies the sender and the updates of a message.
func (f *Fleet) HandleUpdates(sender roster.Member, updates []roster.Member) {
	f.step(roster.GossipReceived{Sender: sender, Updates: updates})
}

// Leave marks this host as leaving and sends that to the other members.
func (f *Fleet) Leave(ctx context.Context) {
	f.step(roster.Leave{})
	f.exchangeAll(ctx, f.others())
}

// HandleHostList applies a list of hosts: those registered in the store, or the
// peers of the settings.
func (f *Fleet) HandleHostList(hosts []roster.Member) {
	f.step(roster.HostListReceived{Hosts: hosts})
}

// Members returns all members, sorted by host.
func (f *Fleet) Members() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Members()
}

// SetEntryAddress sets the address at which callers reach this host; "" if
// there is none.
func (f *Fleet) SetEntryAddress(entryAddress string) {
	f.step(roster.EntryAddressChanged{Address: entryAddress})
}

// NextUpdates returns the member that represents this host and the updates for
// the next message.
func (f *Fleet) NextUpdates() (self roster.Member, updates []roster.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Self(), f.roster.NextUpdates()
}

// Run probes the other members until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		f.step(roster.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// OwnerCount returns the number of members that may own groups, at least one.
func (f *Fleet) OwnerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.roster.OwnerCount())
}

// SendUpdates sends updates to a few members, which forward them: to the next
// host in the order of names, so that each host receives updates from the host
// before it, and to members drawn at random for each call.
func (f *Fleet) SendUpdates(ctx context.Context) {
	others := f.others()
	if len(others) > fanOut {
		next := slices.IndexFunc(others, func(m roster.Member) bool { return m.Host() > f.Self.Host() })
		next = max(0, next)
		others[0], others[next] = others[next], others[0]
		f.mu.Lock()
		f.random.Shuffle(len(others)-1, func(i, j int) { others[i+1], others[j+1] = others[j+1], others[i+1] })
		f.mu.Unlock()
		others = others[:fanOut]
	}
	f.exchangeAll(ctx, others)
}

// ShouldWatch reports whether this host, whose copy of the store has this age,
// reads the store itself. A few hosts always do. Others do if the age of their
// copy shows that these few do not reach the store.
func (f *Fleet) ShouldWatch(age time.Duration) bool {
	rank := f.rank()
	if rank < WatcherCount {
		return true
	}
	allowedAge := maxCopyAge + time.Duration(bits.Len(uint(f.OwnerCount())))*copyAgePerDoubling
	return age > allowedAge+time.Duration(min(rank-WatcherCount, maxRank))*copyAgePerRank
}

// others returns the members that may own groups, without this host.
func (f *Fleet) others() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []roster.Member
	for _, m := range f.roster.Members() {
		if m.Host() != f.Self.Host() && m.CanOwn() {
			others = append(others, m)
		}
	}
	return others
}

// rank returns the position of this host among the members that are alive, in
// an order that is the same on all hosts.
func (f *Fleet) rank() int {
	own := xxhash.Sum64String(f.Self.Host())
	rank := 0
	for _, m := range f.others() {
		if h := xxhash.Sum64String(m.Host()); m.State() == roster.Alive && h < own {
			rank++
		}
	}
	return rank
}

func (f *Fleet) exchangeAll(ctx context.Context, members []roster.Member) {
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			_, err := f.Exchange(ctx, m.GateAddress(), nil)
			return err
		})
	}
	// A member that is not reached receives the updates from another member.
	_ = group.Wait()
}

// step applies an event to the roster and performs the resulting actions.
func (f *Fleet) step(event roster.Event) {
	f.mu.Lock()
	actions := slices.Clone(f.roster.Step(time.Now(), event))
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case roster.Probe:
			f.Group.Go(func() { f.probe(a.Target) })
		case roster.IndirectProbe:
			f.Group.Go(func() { f.probeIndirectly(a) })
		case roster.MemberChanged:
			f.OnChange(a)
		}
	}
}

func (f *Fleet) probe(target roster.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), roster.ProbeTimeout)
	defer cancel()
	_, err := f.Exchange(ctx, target.GateAddress(), nil)
	f.step(roster.ProbeEnded{Host: target.Host(), Answered: err == nil})
}

func (f *Fleet) probeIndirectly(p roster.IndirectProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*roster.ProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(p.Via))
	for _, via := range p.Via {
		f.Group.Go(func() {
			answered, err := f.Exchange(ctx, via.GateAddress(), &p.Target)
			answers <- err == nil && answered
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
	f.step(roster.ProbeEnded{Host: p.Target.Host(), Answered: answered, Indirect: true})
}
