package roster

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
)

const (
	// ProbeInterval is the interval at which each host probes the next of the
	// other members.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout bounds a direct probe. The driver allows twice as long for an
	// indirect probe.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is how long a suspect member has to refute the suspicion
	// before it is marked as dead.
	SuspicionTimeout = 3 * time.Second
	// TombstonePeriod is how long dead and leaving members are kept.
	TombstonePeriod = 2 * time.Minute
	// suspectProbeInterval is the interval at which a host probes a member
	// that its own probes made suspect.
	suspectProbeInterval = 250 * time.Millisecond
	// maxUpdates bounds the updates in one message.
	maxUpdates = 8
	// indirectProbeCount is how many members are asked to probe a member that
	// did not respond.
	indirectProbeCount = 3
	// minKnownMembers is the number of alive other members, of at least the same
	// capacity, below which a host that is new in the host list is probed at once.
	// Other listed hosts are probed only in their turn.
	minKnownMembers = 8
	// isolationPeriod is how long a host has had no contact with any other host when
	// it assumes that it was cut off itself. The last two hosts of a small fleet hear
	// from each other more often.
	isolationPeriod = 8 * ProbeInterval
	// sendFactor times (1 + the bit length of the fleet's size) is how often one
	// update is sent, so the number grows with the binary logarithm of the size.
	sendFactor = 2
)

// A Roster is one host's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[string]Member
	random  *rand.Rand
	// remainingSends counts, by host, how often the update about a member may
	// still be sent.
	remainingSends map[string]int
	// suspectedAt holds when a member became suspect, departedAt when it became
	// dead or leaving.
	suspectedAt map[string]time.Time
	departedAt  map[string]time.Time
	nextProbeAt time.Time
	// suspectProbeAt holds when this host next probes a member that its own
	// probes made suspect. The probe informs the member of the suspicion, so
	// that the member can refute it.
	suspectProbeAt map[string]time.Time
	// lastContactAt is when another host was last heard from; zero before the first
	// event. isIsolated is set if this was isolationPeriod ago as of the last tick.
	lastContactAt time.Time
	isIsolated    bool
	// suspectedSinceContact holds the hosts that this host's probes made suspect since
	// lastContactAt, and unansweredSinceContact the listed ones that have not answered
	// a probe since.
	suspectedSinceContact  map[string]bool
	unansweredSinceContact map[string]bool
	// probeOrder holds the hosts that remain to be probed in this round, in random
	// order. Each round probes every other member once.
	probeOrder []string
	// otherHosts holds all members except this host, in no particular order.
	otherHosts []string
	actions    []Action
}

// New returns the view of a host that has just started.
func New(self Member, seed uint64) *Roster {
	r := &Roster{
		self:           self.WithState(Alive, self.incarnation),
		members:        make(map[string]Member),
		random:         rand.New(rand.NewPCG(seed, seed)),
		remainingSends: make(map[string]int),
		suspectedAt:    make(map[string]time.Time),
		departedAt:     make(map[string]time.Time),
		suspectProbeAt: make(map[string]time.Time),

		suspectedSinceContact:  make(map[string]bool),
		unansweredSinceContact: make(map[string]bool),
	}
	r.members[self.host] = r.self
	r.remainingSends[self.host] = r.sendLimit()
	return r
}

// MemberAt returns the member with a gate address, and whether there is one.
func (r *Roster) MemberAt(gateAddress string) (Member, bool) {
	for _, m := range r.members {
		if m.gateAddress == gateAddress {
			return m, true
		}
	}
	return Member{}, false
}

// Members returns all members, sorted by host.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.members))
	for _, h := range slices.Sorted(maps.Keys(r.members)) {
		members = append(members, r.members[h])
	}
	return members
}

// OwnerCount returns the number of members that may own groups.
func (r *Roster) OwnerCount() int {
	n := 0
	for _, m := range r.members {
		if m.CanOwn() {
			n++
		}
	}
	return n
}

// NextUpdates returns the updates for the next message, at most maxUpdates, and
// counts them as sent. The least often sent come first. An isolated host does not send
// what it has concluded from its own probes.
func (r *Roster) NextUpdates() []Member {
	hosts := slices.Sorted(maps.Keys(r.remainingSends))
	hosts = slices.DeleteFunc(hosts, func(h string) bool { return r.isIsolated && r.suspectedSinceContact[h] })
	slices.SortStableFunc(hosts, func(a, b string) int { return r.remainingSends[b] - r.remainingSends[a] })
	var updates []Member
	for _, h := range hosts[:min(len(hosts), maxUpdates)] {
		updates = append(updates, r.members[h])
		r.remainingSends[h]--
		if r.remainingSends[h] <= 0 {
			delete(r.remainingSends, h)
		}
	}
	return updates
}

// Self returns the member that represents this host.
func (r *Roster) Self() Member { return r.self }

// Step handles one event and returns the actions to perform.
func (r *Roster) Step(now time.Time, event Event) []Action {
	r.actions = nil
	if r.lastContactAt.IsZero() {
		r.lastContactAt = now
	}
	switch e := event.(type) {
	case Tick:
		r.tick(now)
	case HostListReceived:
		r.handleHostList(now, e.Hosts)
	case GossipReceived:
		r.handleGossip(now, e)
	case ProbeEnded:
		r.handleProbeEnded(now, e)
	case Leave:
		r.setSelf(Leaving, r.self.incarnation+1)
	case EntryAddressChanged:
		r.setEntryAddress(e.Address)
	case LinksChanged:
		r.setPartitioned(e.Partitioned)
	}
	return r.actions
}

// isAlone reports whether all other members are only listed. A host that is alone
// probes at every tick instead of every ProbeInterval.
func (r *Roster) isAlone() bool {
	for h, m := range r.members {
		if h != r.self.host && m.state != Listed {
			return false
		}
	}
	return true
}

func (r *Roster) handleGossip(now time.Time, e GossipReceived) {
	if e.Sender.host != "" {
		r.recordContact(now)
		r.applyUpdate(now, e.Sender)
	}
	for _, m := range e.Updates {
		r.applyUpdate(now, m)
	}
}

// applyUpdate applies an update that supersedes the current view of the member; other
// updates are ignored. A wrong update about this host is refuted.
func (r *Roster) applyUpdate(now time.Time, m Member) {
	if m.host == r.self.host {
		r.refute(m)
		return
	}
	old, known := r.members[m.host]
	if known && !m.supersedes(old) {
		return
	}
	r.setMember(now, old, m)
}

// refute overrides a wrong update about this host with a higher incarnation. An
// update is wrong if it supersedes this host's own state.
func (r *Roster) refute(m Member) {
	isWrong := m.incarnation > r.self.incarnation || (m.incarnation == r.self.incarnation && statePrecedence(m.state) > statePrecedence(r.self.state))
	if isWrong {
		r.setSelf(r.self.state, m.incarnation+1)
	}
}

func (r *Roster) setEntryAddress(address string) {
	if r.self.entryAddress == address {
		return
	}
	r.self.entryAddress = address
	r.setSelf(r.self.state, r.self.incarnation+1)
}

func (r *Roster) setPartitioned(partitioned bool) {
	if r.self.partitioned != partitioned {
		r.updateSelf(r.self.WithPartitioned(partitioned).WithState(r.self.state, r.self.incarnation+1))
	}
}

func (r *Roster) setSelf(state chart.State, incarnation uint64) {
	r.updateSelf(r.self.WithState(state, incarnation))
}

func (r *Roster) updateSelf(m Member) {
	old := r.self
	r.self = m
	r.members[r.self.host] = r.self
	r.remainingSends[r.self.host] = r.sendLimit()
	r.actions = append(r.actions, MemberChanged{Old: old, New: r.self})
}

func (r *Roster) setMember(now time.Time, old, m Member) {
	r.storeMember(m)
	delete(r.suspectProbeAt, m.host)
	r.remainingSends[m.host] = r.sendLimit()
	delete(r.suspectedAt, m.host)
	delete(r.departedAt, m.host)
	switch m.state {
	case Suspect:
		r.suspectedAt[m.host] = now
	case Dead, Leaving:
		r.departedAt[m.host] = now
	}
	r.actions = append(r.actions, MemberChanged{Old: old, New: m})
}

// fire applies an event of the state chart to a member, within its incarnation.
// Events that the current state does not accept are ignored.
func (r *Roster) fire(now time.Time, host string, e chart.Event) {
	m, ok := r.members[host]
	if !ok || host == r.self.host {
		return
	}
	next := memberChart.NextOrSame(m.state, e)
	if next == m.state {
		return
	}
	r.setMember(now, m, m.WithState(next, m.incarnation))
}

// handleHostList applies the host list. Hosts that are not members, and listed
// members whose capacity becomes known, are stored as listed and may be probed at
// once. Alive members become leaving if they are leaving in the list. Listed members
// are deleted once the list no longer contains them; an empty list deletes none.
func (r *Roster) handleHostList(now time.Time, hosts []Member) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.host] = true
	}
	for h, m := range r.members {
		if m.state == Listed && len(hosts) > 0 && !listed[h] {
			r.deleteMember(h)
		}
	}
	var added []Member
	for _, h := range hosts {
		old, known := r.members[h.host]
		switch {
		case h.host == r.self.host:
		case !known || (old.state == Listed && old.capacity == 0 && h.capacity > 0):
			added = append(added, h.WithState(Listed, 0))
			r.storeMember(h.WithState(Listed, 0))
		case h.state == Leaving && old.state == Alive:
			r.fire(now, h.host, "leave")
		}
	}
	r.probeListed(added)
}

// storeMember adds or replaces a member.
func (r *Roster) storeMember(m Member) {
	if _, ok := r.members[m.host]; !ok {
		r.otherHosts = append(r.otherHosts, m.host)
	}
	r.members[m.host] = m
}

func (r *Roster) deleteMember(host string) {
	delete(r.members, host)
	delete(r.departedAt, host)
	delete(r.remainingSends, host)
	if i := slices.Index(r.otherHosts, host); i >= 0 {
		r.otherHosts = slices.Delete(r.otherHosts, i, i+1)
	}
}

func (r *Roster) tick(now time.Time) {
	r.isIsolated = now.Sub(r.lastContactAt) >= isolationPeriod
	for h, at := range r.suspectedAt {
		if now.Sub(at) >= SuspicionTimeout {
			r.fire(now, h, "die")
		}
	}
	for h, at := range r.departedAt {
		if now.Sub(at) >= TombstonePeriod {
			r.deleteMember(h)
		}
	}
	for h, at := range r.suspectProbeAt {
		if !now.Before(at) {
			r.suspectProbeAt[h] = now.Add(suspectProbeInterval)
			r.actions = append(r.actions, Probe{Target: r.members[h]})
		}
	}
	if now.Before(r.nextProbeAt) && !r.isAlone() {
		return
	}
	r.nextProbeAt = now.Add(ProbeInterval)
	if target, ok := r.nextProbeTarget(); ok {
		r.actions = append(r.actions, Probe{Target: target})
	}
}

// sendLimit returns how often one update is sent.
func (r *Roster) sendLimit() int {
	return sendFactor * (1 + bits.Len(uint(len(r.members))))
}
