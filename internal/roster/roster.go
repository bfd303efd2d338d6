package roster

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
)

const (
	// ProbeInterval is how often each member probes one other.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout is how long a direct or an indirect probe may take.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is how long a suspect has to contradict.
	SuspicionTimeout = 3 * time.Second
	// TombstonePeriod is how long the dead and those that left are remembered.
	TombstonePeriod = 2 * time.Minute
	// accusePeriod is how often a suspect is probed by who suspected it first.
	accusePeriod = 250 * time.Millisecond
	// maxRumours bounds the rumours on one message.
	maxRumours = 8
	// indirectProbes is how many others are asked to probe a silent member.
	indirectProbes = 3
	// meetAtOnce is how many others a host wants to know before it leaves the rest to
	// its probes.
	meetAtOnce = 8
	// rumourFactor times the logarithm of the fleet is how often one rumour
	// is passed on.
	rumourFactor = 2
)

// An Event is something that happened to a Roster.
type Event interface{ isEvent() }

// Tick is a period of time.
type Tick struct{}

// HostListReceived brings a copy of the platform's host list.
type HostListReceived struct{ Hosts []Member }

// GossipReceived brings a message from another member, or from an entry (no Sender).
type GossipReceived struct {
	Sender  Member
	Updates []Member
}

// ProbeEnded reports a probe; Indirect is set for one made through others.
type ProbeEnded struct {
	Host     string
	Answered bool
	Indirect bool
}

// Leave says that this host stops on purpose.
type Leave struct{}

// EntryAddressChanged says where callers find the entry of this host; "" for nowhere.
type EntryAddressChanged struct{ Address string }

func (Tick) isEvent()                {}
func (HostListReceived) isEvent()    {}
func (GossipReceived) isEvent()      {}
func (ProbeEnded) isEvent()          {}
func (Leave) isEvent()               {}
func (EntryAddressChanged) isEvent() {}

// An Action is what the driver must do.
type Action interface{ isAction() }

// Probe asks for one direct exchange with a member.
type Probe struct{ Target Member }

// IndirectProbe asks others to probe a member.
type IndirectProbe struct {
	Target Member
	Via    []Member
}

// MemberChanged says that a member changed.
type MemberChanged struct{ Old, New Member }

func (Probe) isAction()         {}
func (IndirectProbe) isAction() {}
func (MemberChanged) isAction() {}

// A Roster is one host's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[string]Member
	random  *rand.Rand
	// rumours counts how often news of a host may still be passed on.
	rumours map[string]int
	// suspectedAt holds when a member became suspect, goneAt when it died or
	// began to leave.
	suspectedAt map[string]time.Time
	goneAt      map[string]time.Time
	nextProbe   time.Time
	// accused holds when this host probes a member again that it suspects
	// itself, so that the member hears of it and can contradict.
	accused map[string]time.Time
	// order is a random permutation; each round probes every member once.
	order []string
	// known holds all members but this host, in no certain order.
	known   []string
	actions []Action
}

// New returns the view of a host that has just started.
func New(self Member, seed uint64) *Roster {
	r := &Roster{
		self:        self.WithState(Alive, self.incarnation),
		members:     make(map[string]Member),
		random:      rand.New(rand.NewPCG(seed, seed)),
		rumours:     make(map[string]int),
		suspectedAt: make(map[string]time.Time),
		goneAt:      make(map[string]time.Time),
		accused:     make(map[string]time.Time),
	}
	r.members[self.host] = r.self
	r.rumours[self.host] = r.rumourLimit()
	return r
}

// Members returns all members, sorted by host.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.members))
	for _, h := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[h])
	}
	return members
}

// OwnerCount returns how many members may own something.
func (r *Roster) OwnerCount() int {
	n := 0
	for _, m := range r.members {
		if m.CanOwn() {
			n++
		}
	}
	return n
}

// NextUpdates returns the news for the next message and counts them as sent.
func (r *Roster) NextUpdates() []Member {
	hosts := slices.Sorted(maps.Keys(r.rumours))
	slices.SortStableFunc(hosts, func(a, b string) int { return r.rumours[b] - r.rumours[a] })
	var news []Member
	for _, h := range hosts[:min(len(hosts), maxRumours)] {
		news = append(news, r.members[h])
		r.rumours[h]--
		if r.rumours[h] <= 0 {
			delete(r.rumours, h)
		}
	}
	return news
}

// Self returns the host's own entry.
func (r *Roster) Self() Member { return r.self }

// Step takes one event and returns what to do about it.
func (r *Roster) Step(now time.Time, event Event) []Action {
	r.actions = nil
	switch e := event.(type) {
	case Tick:
		r.tick(now)
	case HostListReceived:
		r.hostsListed(now, e.Hosts)
	case GossipReceived:
		r.heard(now, e)
	case ProbeEnded:
		r.probeEnded(now, e)
	case Leave:
		r.setSelf(Leaving, r.self.incarnation+1)
	case EntryAddressChanged:
		r.entryMoved(e.Address)
	}
	return r.actions
}

// bootstrap reports whether nobody else was ever heard of.
func (r *Roster) bootstrap() bool {
	for h, m := range r.members {
		if h != r.self.host && m.state != Listed {
			return false
		}
	}
	return true
}

func (r *Roster) heard(now time.Time, e GossipReceived) {
	if e.Sender.host != "" {
		r.accept(now, e.Sender)
	}
	for _, m := range e.Updates {
		r.accept(now, m)
	}
}

// accept takes one piece of news.
func (r *Roster) accept(now time.Time, m Member) {
	if m.host == r.self.host {
		r.contradict(m)
		return
	}
	old, known := r.members[m.host]
	if known && !m.overrides(old) {
		return
	}
	r.set(now, old, m)
}

// contradict answers a rumour about this host itself.
func (r *Roster) contradict(m Member) {
	wrong := m.incarnation > r.self.incarnation || (m.incarnation == r.self.incarnation && strength(m.state) > strength(r.self.state))
	if wrong {
		r.setSelf(r.self.state, m.incarnation+1)
	}
}

func (r *Roster) entryMoved(address string) {
	if r.self.entryAddress == address {
		return
	}
	r.self.entryAddress = address
	r.setSelf(r.self.state, r.self.incarnation+1)
}

func (r *Roster) setSelf(state chart.State, incarnation uint64) {
	old := r.self
	r.self = r.self.WithState(state, incarnation)
	r.members[r.self.host] = r.self
	r.rumours[r.self.host] = r.rumourLimit()
	r.actions = append(r.actions, MemberChanged{Old: old, New: r.self})
}

func (r *Roster) set(now time.Time, old, m Member) {
	r.put(m)
	delete(r.accused, m.host)
	r.rumours[m.host] = r.rumourLimit()
	delete(r.suspectedAt, m.host)
	delete(r.goneAt, m.host)
	switch m.state {
	case Suspect:
		r.suspectedAt[m.host] = now
	case Dead, Leaving:
		r.goneAt[m.host] = now
	}
	r.actions = append(r.actions, MemberChanged{Old: old, New: m})
}

// fire moves a member along the chart within its incarnation.
func (r *Roster) fire(now time.Time, host string, e chart.Event) {
	m, ok := r.members[host]
	if !ok || host == r.self.host {
		return
	}
	next := memberChart.NextOrSame(m.state, e)
	if next == m.state {
		return
	}
	r.set(now, m, m.WithState(next, m.incarnation))
}

// hostsListed takes the host list. Hosts that were only ever listed go with their
// entry.
func (r *Roster) hostsListed(now time.Time, hosts []Member) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.host] = true
	}
	for h, m := range r.members {
		if m.state == Listed && len(hosts) > 0 && !listed[h] {
			r.forget(h)
		}
	}
	var added []Member
	for _, h := range hosts {
		old, known := r.members[h.host]
		switch {
		case h.host == r.self.host:
		case !known || (old.state == Listed && old.capacity == 0 && h.capacity > 0):
			added = append(added, h.WithState(Listed, 0))
			r.put(h.WithState(Listed, 0))
		case h.state == Leaving && old.state == Alive:
			r.fire(now, h.host, "leave")
		}
	}
	r.meet(added)
}

// meet probes some listed members at once if this host knows few others of their
// capacity or more, those with the most capacity and of its own data centre first:
// they are whom callers should be told.
func (r *Roster) meet(listed []Member) {
	score := func(m Member) uint64 { return xxhash.Sum64String(r.self.host + m.host) }
	far := func(m Member) int {
		if m.dataCenter == r.self.dataCenter {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(listed, func(a, b Member) int {
		// Different hosts meet different others.
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(far(a), far(b)), cmp.Compare(score(a), score(b)))
	})
	for i, m := range listed[:min(len(listed), meetAtOnce)] {
		if i+r.aliveOf(m.capacity) >= meetAtOnce {
			return
		}
		r.actions = append(r.actions, Probe{Target: m})
	}
}

// aliveOf returns how many other members with at least a capacity are alive.
func (r *Roster) aliveOf(capacity int) int {
	n := 0
	for h, m := range r.members {
		if h != r.self.host && m.state == Alive && m.capacity >= capacity {
			n++
		}
	}
	return n
}

func (r *Roster) probeEnded(now time.Time, e ProbeEnded) {
	m, ok := r.members[e.Host]
	switch {
	case !ok || e.Host == r.self.host:
	case e.Answered && m.state == Listed:
		r.fire(now, e.Host, "heard")
	case e.Answered:
	case !e.Indirect:
		r.askOthers(now, m)
	case m.state == Alive:
		r.accuse(now, e.Host)
	}
}

// accuse makes a member suspect and probes it again soon.
func (r *Roster) accuse(now time.Time, host string) {
	r.fire(now, host, "suspect")
	if r.members[host].state == Suspect {
		r.accused[host] = now.Add(accusePeriod)
	}
}

func (r *Roster) askOthers(now time.Time, target Member) {
	if target.state == Suspect || target.state == Dead {
		return
	}
	others := r.someAlive(indirectProbes, target.host)
	if len(others) == 0 {
		r.accuse(now, target.host)
		return
	}
	r.actions = append(r.actions, IndirectProbe{Target: target, Via: others})
}

// put keeps a member.
func (r *Roster) put(m Member) {
	if _, ok := r.members[m.host]; !ok {
		r.known = append(r.known, m.host)
	}
	r.members[m.host] = m
}

// forget drops a member.
func (r *Roster) forget(host string) {
	delete(r.members, host)
	delete(r.goneAt, host)
	delete(r.rumours, host)
	if i := slices.Index(r.known, host); i >= 0 {
		r.known = slices.Delete(r.known, i, i+1)
	}
}

// someAlive draws up to n members that are alive, starting at a random place.
func (r *Roster) someAlive(n int, except string) []Member {
	var drawn []Member
	if len(r.known) == 0 {
		return nil
	}
	first := r.random.IntN(len(r.known))
	for i := range r.known {
		m := r.members[r.known[(first+i)%len(r.known)]]
		if m.state == Alive && m.host != except {
			drawn = append(drawn, m)
		}
		if len(drawn) == n {
			break
		}
	}
	return drawn
}

func (r *Roster) tick(now time.Time) {
	for h, at := range r.suspectedAt {
		if now.Sub(at) >= SuspicionTimeout {
			r.fire(now, h, "die")
		}
	}
	for h, at := range r.goneAt {
		if now.Sub(at) >= TombstonePeriod {
			r.forget(h)
		}
	}
	for h, at := range r.accused {
		if !now.Before(at) {
			r.accused[h] = now.Add(accusePeriod)
			r.actions = append(r.actions, Probe{Target: r.members[h]})
		}
	}
	if now.Before(r.nextProbe) && !r.bootstrap() {
		return
	}
	r.nextProbe = now.Add(ProbeInterval)
	if target, ok := r.nextTarget(); ok {
		r.actions = append(r.actions, Probe{Target: target})
	}
}

// nextTarget returns the members in turn, in an order that is drawn anew each
// round. The dead are probed too, so that healed partitions are seen.
func (r *Roster) nextTarget() (Member, bool) {
	for range 2 {
		for len(r.order) > 0 {
			h := r.order[0]
			r.order = r.order[1:]
			if m, ok := r.members[h]; ok && h != r.self.host {
				return m, true
			}
		}
		r.order = append(r.order[:0], r.known...)
		r.random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	}
	return Member{}, false
}

func (r *Roster) rumourLimit() int {
	return rumourFactor * (1 + bits.Len(uint(len(r.members))))
}
