// Package membership keeps a host's view of the fleet: it drives a
// roster.Roster with calls to the other hosts.
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
	// tickPeriod is how often the roster looks at its timers.
	tickPeriod = 250 * time.Millisecond
	// tellFanOut is how many others are told of news at once; they pass it on.
	tellFanOut = 3
	// WatcherCount is how many hosts read the store for all.
	WatcherCount = 2
	// watcherPatience is how old the copy of the store may get before a host
	// that is not a watcher reads the store as well: the wait of a watch, and
	// some time for each doubling of the fleet, since news takes that many steps.
	watcherPatience  = 900 * time.Millisecond
	doublingPatience = 200 * time.Millisecond
	// rankPatience is how much longer each further host waits, so that not all
	// come at once; maxRank bounds it.
	rankPatience = 100 * time.Millisecond
	maxRank      = 10
)

// A Fleet is a host's view of the others. Its exported fields are set before
// Init. It is safe for concurrent use.
type Fleet struct {
	Self roster.Member
	Seed uint64
	// Exchange exchanges news with a member; via asks it to probe another one, whose
	// answer is reported.
	Exchange func(ctx context.Context, address string, via *roster.Member) (answered bool, err error)
	// OnChange is told of each change of a member.
	OnChange func(roster.MemberChanged)
	Group    *work.Group

	mu     sync.Mutex
	roster *roster.Roster
	random *rand.Rand
}

// Init must be called before anything else.
func (f *Fleet) Init() {
	f.roster = roster.New(f.Self, f.Seed)
	f.random = rand.New(rand.NewPCG(f.Seed, xxhash.Sum64String(f.Self.Host())))
}

// HandleUpdates takes the news of a message.
func (f *Fleet) HandleUpdates(sender roster.Member, rumours []roster.Member) {
	f.step(roster.GossipReceived{Sender: sender, Updates: rumours})
}

// Leave says that this host stops on purpose, and tells the others.
func (f *Fleet) Leave(ctx context.Context) {
	f.step(roster.Leave{})
	f.tell(ctx, f.others())
}

// HandleHostList takes hosts that the platform names.
func (f *Fleet) HandleHostList(hosts []roster.Member) {
	f.step(roster.HostListReceived{Hosts: hosts})
}

// Members returns all members, sorted by host.
func (f *Fleet) Members() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Members()
}

// SetEntryAddress says where callers reach this host; "" for nowhere.
func (f *Fleet) SetEntryAddress(entryAddress string) {
	f.step(roster.EntryAddressChanged{Address: entryAddress})
}

// NextUpdates returns this host's entry and the news for the next message.
func (f *Fleet) NextUpdates() (self roster.Member, rumours []roster.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Self(), f.roster.NextUpdates()
}

// Run probes the others until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
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

// Size returns how many hosts there are that take work, at least one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.roster.OwnerCount())
}

// SendUpdates sends news to a few others, who pass it on: to the next host in the order
// of names, so that each host is told by the one before it, and to others drawn
// anew each time.
func (f *Fleet) SendUpdates(ctx context.Context) {
	others := f.others()
	if len(others) > tellFanOut {
		next := slices.IndexFunc(others, func(m roster.Member) bool { return m.Host() > f.Self.Host() })
		next = max(0, next)
		others[0], others[next] = others[next], others[0]
		f.mu.Lock()
		f.random.Shuffle(len(others)-1, func(i, j int) { others[i+1], others[j+1] = others[j+1], others[i+1] })
		f.mu.Unlock()
		others = others[:tellFanOut]
	}
	f.tell(ctx, others)
}

// ShouldWatch reports whether this host reads the store itself: a few do, and more
// if their copy of it, of this age, shows that those few do not reach it.
func (f *Fleet) ShouldWatch(age time.Duration) bool {
	rank := f.rank()
	if rank < WatcherCount {
		return true
	}
	patience := watcherPatience + time.Duration(bits.Len(uint(f.Size())))*doublingPatience
	return age > patience+time.Duration(min(rank-WatcherCount, maxRank))*rankPatience
}

// others returns the members that are alive, but not this host.
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

// rank returns the place of this host among those that take work, in an order
// that all agree on.
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

func (f *Fleet) tell(ctx context.Context, members []roster.Member) {
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			_, err := f.Exchange(ctx, m.GateAddress(), nil)
			return err
		})
	}
	// A member that is not reached hears the news from another one.
	_ = group.Wait()
}

// step lets the roster decide and does what it decided.
func (f *Fleet) step(event roster.Event) {
	f.mu.Lock()
	actions := slices.Clone(f.roster.Step(time.Now(), event))
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case roster.Probe:
			f.Group.Go(func() { f.probe(a.Target) })
		case roster.IndirectProbe:
			f.Group.Go(func() { f.probeThrough(a) })
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

func (f *Fleet) probeThrough(p roster.IndirectProbe) {
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
