package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(host string, incarnation uint64) Member {
	return NewMember(host, "attiki-1", host+":1", host+":2", incarnation, Alive)
}

func TestDeadMemberStaysDeadInFleetOfTwo(t *testing.T) {
	c := qt.New(t)
	r := New(member("a", 1), 1)
	r.Step(start, GossipReceived{Sender: member("b", 1)})
	now := start
	for range 100 {
		now = now.Add(ProbeInterval)
		for _, action := range r.Step(now, Tick{}) {
			if p, ok := action.(Probe); ok {
				r.Step(now, ProbeEnded{Host: p.Target.Host()})
			}
		}
		if now.Sub(start) > 2*ProbeInterval+SuspicionTimeout && now.Sub(start) < TombstonePeriod {
			c.Assert(r.Members()[1].State(), qt.Equals, Dead)
		}
	}
}

func TestMemberUpdates(t *testing.T) {
	for _, test := range []struct {
		name           string
		old            Member
		update         Member
		want           Member
		wantRefutation bool
	}{
		{"suspicion with the same incarnation applies", member("b", 1), member("b", 1).WithState(Suspect, 1), member("b", 1).WithState(Suspect, 1), false},
		{"alive with the same incarnation does not clear suspicion", member("b", 1).WithState(Suspect, 1), member("b", 1), member("b", 1).WithState(Suspect, 1), false},
		{"a new incarnation clears suspicion", member("b", 1).WithState(Suspect, 1), member("b", 2), member("b", 2), false},
		{"an old incarnation is ignored", member("b", 5), member("b", 4).WithState(Dead, 4), member("b", 5), false},
		{"a wrong update about the host itself is refuted", member("b", 1), member("a", 9).WithState(Dead, 9), member("b", 1), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := New(member("a", 3), 1)
			r.Step(start, GossipReceived{Sender: test.old})
			r.Step(start, GossipReceived{Updates: []Member{test.update}})
			c.Check(r.Members()[1], qt.Equals, test.want)
			if test.wantRefutation {
				c.Check(r.Self().Incarnation(), qt.Equals, uint64(10))
				c.Check(r.Self().State(), qt.Equals, Alive)
			}
		})
	}
}

func TestHostChangeMovesOnlyItsBuckets(t *testing.T) {
	c := qt.New(t)
	o := NewOwnership()
	for _, h := range []string{"a", "b", "c", "d", "e", "f"} {
		o.Add(h)
	}
	before := o.owners
	o.Add("g")
	for b, owner := range o.owners {
		c.Assert(owner == before[b] || owner == "g", qt.IsTrue)
	}
	o.Remove("g")
	c.Check(o.owners, qt.Equals, before)
}

func TestListedHostThatNeverAnsweredCannotOwn(t *testing.T) {
	c := qt.New(t)
	r := New(member("a", 1), 1)
	r.Step(start, HostListReceived{Hosts: []Member{member("gone", 0)}})
	r.Step(start, ProbeEnded{Host: "gone"})
	r.Step(start, ProbeEnded{Host: "gone", Indirect: true})
	c.Check(r.Members()[1].CanOwn(), qt.IsFalse)
}

// TestDepartedHostsAreDeleted guards against members that are kept forever when hosts
// are replaced by others with new addresses. Listed member c is deleted once the
// host list no longer contains it, but not by an empty list. Leaving member b is
// deleted after TombstonePeriod and not before.
func TestDepartedHostsAreDeleted(t *testing.T) {
	c := qt.New(t)
	r := New(member("a", 1), 1)
	r.Step(start, GossipReceived{Sender: member("b", 1).WithState(Leaving, 2)})
	r.Step(start, HostListReceived{Hosts: []Member{member("c", 0), member("d", 0)}})
	c.Assert(r.Members(), qt.HasLen, 4)
	r.Step(start, HostListReceived{})
	c.Check(r.Members(), qt.HasLen, 4, qt.Commentf("an empty list deletes no members"))
	r.Step(start, HostListReceived{Hosts: []Member{member("d", 0)}})
	c.Check(r.Members(), qt.HasLen, 3)
	now := start.Add(TombstonePeriod - ProbeInterval)
	r.Step(now, Tick{})
	c.Check(r.Members(), qt.HasLen, 3)
	r.Step(start.Add(TombstonePeriod), Tick{})
	c.Check(r.Members(), qt.HasLen, 2)
}

// TestListedHostsAreProbedUntilEnoughAreKnown checks that a host that knows no others
// probes minKnownMembers listed hosts at once, those with the most capacity and in
// its own data centre first, and none again when the list is repeated. Once it
// knows minKnownMembers hosts of a capacity, it probes a new host of that capacity
// no longer at once, but still one of a larger capacity.
func TestListedHostsAreProbedUntilEnoughAreKnown(t *testing.T) {
	c := qt.New(t)
	r := New(NewMember("self", "x", "self", "", 1, Alive), 1)
	var hosts []Member
	for i := range 20 {
		hosts = append(hosts, NewMember(fmt.Sprint("small-", i), "x", "", "", 0, Listed).WithCapacity(140))
	}
	for i := range 2 {
		hosts = append(hosts, NewMember(fmt.Sprint("far-", i), "y", "", "", 0, Listed).WithCapacity(800))
		hosts = append(hosts, NewMember(fmt.Sprint("near-", i), "x", "", "", 0, Listed).WithCapacity(800))
	}
	var probed []string
	for _, a := range r.Step(start, HostListReceived{Hosts: hosts}) {
		probed = append(probed, strings.TrimRight(a.(Probe).Target.Host(), "-0123456789"))
	}
	c.Check(probed, qt.DeepEquals, []string{"near", "near", "far", "far", "small", "small", "small", "small"})
	c.Check(r.Step(start, HostListReceived{Hosts: hosts}), qt.HasLen, 0, qt.Commentf("once"))
	for i := range minKnownMembers {
		r.Step(start, GossipReceived{Sender: member(fmt.Sprint("small-", i), 1).WithCapacity(140)})
	}
	hosts = append(hosts, member("new", 0).WithCapacity(140))
	c.Check(r.Step(start, HostListReceived{Hosts: hosts}), qt.HasLen, 0, qt.Commentf("enough members are known"))
	hosts = append(hosts, member("large", 0).WithCapacity(800))
	c.Check(r.Step(start, HostListReceived{Hosts: hosts}), qt.HasLen, 1, qt.Commentf("no known member has as much capacity"))
}

// TestIsolatedHostDoubtsItself cuts a host off until its probes have made other hosts
// suspect and dead. It must not tell the next host about them, and must probe them at
// once when it hears from that host. If it was never isolated, it must tell.
func TestIsolatedHostDoubtsItself(t *testing.T) {
	for _, isIsolated := range []bool{true, false} {
		t.Run(fmt.Sprint(isIsolated), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := New(NewMember("self", "z", "self", "", 1, Alive), 1)
			members := make(map[string]Member)
			for _, h := range []string{"a", "b", "c", "d"} {
				members[h] = NewMember(h, "z", h, "", 1, Alive)
				r.Step(now, GossipReceived{Sender: members[h]})
			}
			for range 20 {
				r.NextUpdates()
			}
			for _, h := range []string{"a", "b", "c"} {
				r.Step(now, ProbeEnded{Host: h, Indirect: true})
			}
			for range 10 {
				now = now.Add(ProbeInterval)
				r.Step(now, Tick{})
				if !isIsolated {
					r.Step(now, GossipReceived{Sender: members["d"]})
				}
			}
			updates := r.NextUpdates()
			actions := r.Step(now, GossipReceived{Sender: members["d"]})
			probed := 0
			for _, a := range actions {
				if _, ok := a.(Probe); ok {
					probed++
				}
			}
			if isIsolated {
				c.Check(updates, qt.HasLen, 0)
				c.Check(probed, qt.Equals, 3)
				return
			}
			c.Check(updates, qt.HasLen, 3)
			c.Check(probed, qt.Equals, 0)
		})
	}
}

// TestListedHostIsProbedAfterIsolation cuts off a host that has not heard from a listed host
// yet. Its probe of that host fails for this reason, so that it must probe it again at once
// when the cut has ended, and not only in the next round.
func TestListedHostIsProbedAfterIsolation(t *testing.T) {
	c := qt.New(t)
	now := start
	r := New(member("self", 1), 1)
	r.Step(now, GossipReceived{Sender: member("a", 1)})
	r.Step(now, HostListReceived{Hosts: []Member{member("b", 0)}})
	r.Step(now, ProbeEnded{Host: "b"})
	now = now.Add(isolationPeriod)
	r.Step(now, Tick{})
	var probed []string
	for _, action := range r.Step(now, GossipReceived{Sender: member("a", 1)}) {
		if p, ok := action.(Probe); ok {
			probed = append(probed, p.Target.Host())
		}
	}
	c.Check(probed, qt.DeepEquals, []string{"b"})
}

// TestLostLinksAreTold checks that a host's statement about its links reaches the others.
func TestLostLinksAreTold(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := New(NewMember("a", "z", "a", "a", 1, Alive), 1)
	b := New(NewMember("b", "z", "b", "b", 1, Alive), 2)
	for _, partitioned := range []bool{true, false} {
		actions := a.Step(now, LinksChanged{Partitioned: partitioned})
		c.Assert(actions, qt.HasLen, 1)
		change, ok := actions[0].(MemberChanged)
		c.Assert(ok, qt.IsTrue)
		c.Check(change.Old.IsPartitioned(), qt.Equals, !partitioned)
		c.Check(a.Step(now, LinksChanged{Partitioned: partitioned}), qt.HasLen, 0)
		b.Step(now, GossipReceived{Sender: a.Self(), Updates: a.NextUpdates()})
		m, known := b.MemberAt("a")
		c.Assert(known, qt.IsTrue)
		c.Check(m.IsPartitioned(), qt.Equals, partitioned)
	}
}
