package roster

// This file decides whom a host probes, and what it concludes from probes and contacts.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probeListed probes newly listed members at once, until the probes and the alive
// members of at least the same capacity are minKnownMembers together. Members with
// the most capacity come first, then those in this host's data centre, because such
// hosts are the ones advertised to callers.
func (r *Roster) probeListed(added []Member) {
	score := func(m Member) uint64 { return xxhash.Sum64String(r.self.host + m.host) }
	distance := func(m Member) int {
		if m.dataCenter == r.self.dataCenter {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(added, func(a, b Member) int {
		// The score makes different hosts probe different members.
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(distance(a), distance(b)), cmp.Compare(score(a), score(b)))
	})
	for i, m := range added[:min(len(added), minKnownMembers)] {
		if i+r.countAlive(m.capacity) >= minKnownMembers {
			return
		}
		r.actions = append(r.actions, Probe{Target: m})
	}
}

// countAlive returns how many other members with at least this capacity are
// alive.
func (r *Roster) countAlive(capacity int) int {
	n := 0
	for h, m := range r.members {
		if h != r.self.host && m.state == Alive && m.capacity >= capacity {
			n++
		}
	}
	return n
}

func (r *Roster) handleProbeEnded(now time.Time, e ProbeEnded) {
	if e.Answered {
		r.recordContact(now)
	}
	m, ok := r.members[e.Host]
	switch {
	case !ok || e.Host == r.self.host:
	case e.Answered && m.state == Listed:
		r.fire(now, e.Host, "heard")
	case e.Answered:
	case !e.Indirect:
		if m.state == Listed {
			r.unansweredSinceContact[e.Host] = true
		}
		r.probeIndirectly(now, m)
	case m.state == Alive:
		r.suspect(now, e.Host)
	}
}

// suspect marks a member as suspect and schedules a probe of the member.
func (r *Roster) suspect(now time.Time, host string) {
	r.fire(now, host, "suspect")
	if r.members[host].state == Suspect {
		r.suspectProbeAt[host] = now.Add(suspectProbeInterval)
		r.suspectedSinceContact[host] = true
	}
}

// recordContact records that another host was heard from. If this host was isolated,
// the hosts that its probes made suspect meanwhile are probably alive: they are listed
// again. Both these and the listed hosts that did not answer are probed at once.
func (r *Roster) recordContact(now time.Time) {
	wasIsolated := now.Sub(r.lastContactAt) >= isolationPeriod
	r.lastContactAt, r.isIsolated = now, false
	if wasIsolated {
		r.probeAfterIsolation(now)
	}
	clear(r.suspectedSinceContact)
	clear(r.unansweredSinceContact)
}

func (r *Roster) probeAfterIsolation(now time.Time) {
	for _, h := range slices.Sorted(maps.Keys(r.suspectedSinceContact)) {
		m, ok := r.members[h]
		if !ok || (m.state != Suspect && m.state != Dead) {
			continue
		}
		listed := m.WithState(Listed, m.incarnation)
		r.setMember(now, m, listed)
		delete(r.remainingSends, h)
		r.actions = append(r.actions, Probe{Target: listed})
	}
	for _, h := range slices.Sorted(maps.Keys(r.unansweredSinceContact)) {
		if m, ok := r.members[h]; ok && m.state == Listed {
			r.actions = append(r.actions, Probe{Target: m})
		}
	}
}

// probeIndirectly requests that up to indirectProbeCount alive members probe a member
// that did not respond to this host. If there is none, an alive member becomes suspect
// at once. Suspect and dead members are ignored.
func (r *Roster) probeIndirectly(now time.Time, target Member) {
	if target.state == Suspect || target.state == Dead {
		return
	}
	others := r.sampleAlive(indirectProbeCount, target.host)
	if len(others) == 0 {
		r.suspect(now, target.host)
		return
	}
	r.actions = append(r.actions, IndirectProbe{Target: target, Via: others})
}

// sampleAlive returns up to n alive members other than this host and excludedHost. It
// takes them from otherHosts in order, from a random position on.
func (r *Roster) sampleAlive(n int, excludedHost string) []Member {
	var sample []Member
	if len(r.otherHosts) == 0 {
		return nil
	}
	first := r.random.IntN(len(r.otherHosts))
	for i := range r.otherHosts {
		m := r.members[r.otherHosts[(first+i)%len(r.otherHosts)]]
		if m.state == Alive && m.host != excludedHost {
			sample = append(sample, m)
		}
		if len(sample) == n {
			break
		}
	}
	return sample
}

// nextProbeTarget returns the other members in turn, in an order that is shuffled for
// each round. Dead members are probed too, so that the end of a partition is
// noticed. The last result is false if there are no other members.
func (r *Roster) nextProbeTarget() (Member, bool) {
	for range 2 {
		for len(r.probeOrder) > 0 {
			h := r.probeOrder[0]
			r.probeOrder = r.probeOrder[1:]
			if m, ok := r.members[h]; ok && h != r.self.host {
				return m, true
			}
		}
		r.probeOrder = append(r.probeOrder[:0], r.otherHosts...)
		r.random.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
	}
	return Member{}, false
}
