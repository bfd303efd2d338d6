// Package membership maintains a host's view of the fleet: it drives a
// roster.Roster and makes the calls to other hosts.
package membership

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// tickInterval is the interval of roster.Tick events.
	tickInterval = 250 * time.Millisecond
	// fanOut is how many members receive updates directly from SendUpdates. These
	// members forward the updates.
	fanOut = 3
	// returnDelay is how long a host collects the returns of dead members before it
	// sends them on.
	returnDelay = 100 * time.Millisecond
	// maxRingAttempts bounds the hosts to which SendUpdates sends updates until the next
	// reachable one is found.
	maxRingAttempts = 8
	// WatcherCount is how many hosts read the store on behalf of the fleet.
	WatcherCount = 2
	// maxCopyAge plus copyAgePerDoubling for each doubling of the fleet is the age
	// of the local copy of the store above which a host that is not a watcher also
	// reads the store. maxCopyAge covers the wait of one watch, 700 ms in package
	// mirror. copyAgePerDoubling covers one hop; updates take a hop per doubling.
	maxCopyAge         = 900 * time.Millisecond
	copyAgePerDoubling = 200 * time.Millisecond
	// copyAgePerRank is added to that age for each rank after the watchers, so that
	// not all hosts read the store at the same time. At most maxRank ranks count.
	copyAgePerRank = 100 * time.Millisecond
	maxRank        = 10
)

// A Fleet is a host's view of the other hosts. Its exported fields are set
// before Init. It is safe for concurrent use.
type Fleet struct {
	Self roster.Member
	Seed uint64
	// Exchange exchanges updates with the member at an address. If target is not
	// nil, that member probes the target, and answered is whether the target
	// answered.
	Exchange func(ctx context.Context, address string, target *roster.Member) (answered bool, err error)
	// OnChange is called for each change of a member.
	OnChange func(roster.MemberChanged)
	// Tasks runs the probes.
	Tasks *work.Group

	mu     sync.Mutex
	roster *roster.Roster
	random *rand.Rand
	// spreading is set while a task is about to send updates about a member that has
	// returned. Further returns until then need no task of their own.
	spreading atomic.Bool
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

// Leave marks this host as leaving and sends this update to all other members that
// may own groups.
func (f *Fleet) Leave(ctx context.Context) {
	f.step(roster.Leave{})
	f.exchangeAll(ctx, f.otherOwners())
}

// HandleHostList applies a list of hosts: those registered in the store, or the
// peers of the settings.
func (f *Fleet) HandleHostList(hosts []roster.Member) {
	f.step(roster.HostListReceived{Hosts: hosts})
}

// Current returns the member that represents this host.
func (f *Fleet) Current() roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Self()
}

// Members returns all members, sorted by host.
func (f *Fleet) Members() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Members()
}

// SetEntryAddress sets the address at which callers reach this host; "" if there is
// no such address.
func (f *Fleet) SetEntryAddress(entryAddress string) {
	f.step(roster.EntryAddressChanged{Address: entryAddress})
}

// SetPartitioned sets whether this host cannot make connections to any upstream, and sends
// this update to other members.
func (f *Fleet) SetPartitioned(ctx context.Context, partitioned bool) {
	f.step(roster.LinksChanged{Partitioned: partitioned})
	f.SendUpdates(ctx)
}

// NextUpdates returns the member that represents this host and the updates for the next
// message to the host with this gate address. If that host is suspect or dead here, its
// own state is included, so that it can refute it.
func (f *Fleet) NextUpdates(recipient string) (self roster.Member, updates []roster.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	updates = f.roster.NextUpdates()
	if m, ok := f.roster.MemberAt(recipient); ok && (m.State() == roster.Suspect || m.State() == roster.Dead) {
		updates = append(updates, m)
	}
	return f.roster.Self(), updates
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

// SendUpdates exchanges updates with other members that may own groups: with fanOut-1
// random ones, drawn for each call, and with the next reachable host in the order of
// names. As each host sends the updates on, they reach every host, also one that no
// random draw has selected.
func (f *Fleet) SendUpdates(ctx context.Context) {
	ring := f.otherOwners()
	next := slices.IndexFunc(ring, func(m roster.Member) bool { return m.Host() > f.Self.Host() })
	next = max(0, next)
	ring = slices.Concat(ring[next:], ring[:next])
	others := slices.Clone(ring[min(1, len(ring)):])
	ring = ring[:min(maxRingAttempts, len(ring))]
	f.mu.Lock()
	f.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	f.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		f.exchangeWithNext(ctx, ring)
		return nil
	})
	group.Go(func() error {
		f.exchangeAll(ctx, others[:min(fanOut-1, len(others))])
		return nil
	})
	// Neither function returns an error.
	_ = group.Wait()
}

// exchangeWithNext exchanges updates with the members in turn until an alive one has
// answered. It does not wait for suspect ones, which are probably unreachable.
func (f *Fleet) exchangeWithNext(ctx context.Context, ring []roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, maxRingAttempts*roster.ProbeTimeout)
	defer cancel()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for _, m := range ring {
		exchange := func() error {
			exchangeCtx, cancel := context.WithTimeout(ctx, roster.ProbeTimeout)
			defer cancel()
			_, err := f.Exchange(exchangeCtx, m.GateAddress(), nil)
			return err
		}
		if m.State() == roster.Suspect {
			group.Go(exchange)
			continue
		}
		if exchange() == nil {
			return
		}
	}
}

// ShouldWatch reports whether this host, whose copy of the store has this age, reads
// the store itself. The first WatcherCount hosts by rank, the watchers, always do.
// Another host does if its copy is so old that the watchers probably do not reach
// the store: older than maxCopyAge, adjusted for the fleet's size and its rank.
func (f *Fleet) ShouldWatch(age time.Duration) bool {
	rank := f.rank()
	if rank < WatcherCount {
		return true
	}
	return age > allowedCopyAge(f.OwnerCount(), rank)
}

// UsualCopyAge returns the age that copies of the store reach in a fleet of a size while the
// store works: that above which the last host by rank reads the store itself.
func UsualCopyAge(hosts int) time.Duration { return allowedCopyAge(max(1, hosts), hosts-1) }

// allowedCopyAge returns the age of its copy above which a host reads the store itself, although
// it isn't a watcher.
func allowedCopyAge(hosts, rank int) time.Duration {
	return maxCopyAge + time.Duration(bits.Len(uint(hosts)))*copyAgePerDoubling + time.Duration(max(0, min(rank-WatcherCount, maxRank)))*copyAgePerRank
}

// otherOwners returns the members that may own groups, without this host.
func (f *Fleet) otherOwners() []roster.Member {
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

// LargestOthers returns the other members that are alive, at most count, the largest first. Members
// of the same capacity are in an order that differs between hosts.
func (f *Fleet) LargestOthers(count int) []roster.Member {
	others := slices.DeleteFunc(f.otherOwners(), func(m roster.Member) bool { return m.State() != roster.Alive })
	order := func(m roster.Member) uint64 { return xxhash.Sum64String(f.Self.Host() + " " + m.Host()) }
	slices.SortFunc(others, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity(), a.Capacity()), cmp.Compare(order(a), order(b)))
	})
	return others[:min(count, len(others))]
}

// rank returns the position of this host among the members that are alive, in
// an order that is the same on all hosts.
func (f *Fleet) rank() int {
	own := xxhash.Sum64String(f.Self.Host())
	rank := 0
	for _, m := range f.otherOwners() {
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
	// Errors are ignored: a member that is not reached receives the updates from
	// another member.
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
			f.Tasks.Go(func() { f.probe(a.Target) })
		case roster.IndirectProbe:
			f.Tasks.Go(func() { f.probeIndirectly(a) })
		case roster.MemberChanged:
			f.OnChange(a)
			if a.Old.State() == roster.Dead && a.New.State() == roster.Alive {
				f.spreadReturns()
			}
		}
	}
}

// spreadReturns sends updates after returnDelay. Probes alone carry the return of a dead
// member to each host only by chance, and dead members get no changes.
func (f *Fleet) spreadReturns() {
	if !f.spreading.CompareAndSwap(false, true) {
		return
	}
	f.Tasks.Go(func() {
		time.Sleep(returnDelay)
		f.spreading.Store(false)
		f.SendUpdates(context.Background())
	})
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
		f.Tasks.Go(func() {
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
