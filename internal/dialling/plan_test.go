package dialling

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

func member(name, dataCenter string, capacity int, state chart.State) roster.Member {
	return roster.NewMember(name, dataCenter, name, name, 1, state).WithCapacity(capacity)
}

// TestNewDialPlan checks that all advertised hosts dial if the connection limit of an
// upstream suffices for them, that every host that does not dial has dialling hosts
// to relay to, that the expected number of hosts dial, and that the dialling hosts
// together stay within the limit. A dialling host that is not advertised counts as
// unadvertisedHostWeight connections, the part of the time in which it has a
// connection. Each host that a plan lists as a dialling host must dial in its own
// view.
func TestNewDialPlan(t *testing.T) {
	var many []roster.Member
	for i := range 300 {
		many = append(many, member(fmt.Sprint("host-", i), fmt.Sprint("dc-", i%9), 400, roster.Alive))
	}
	for _, test := range []struct {
		name              string
		members           []roster.Member
		connectionLimit   int
		diallingCount     int
		allAdvertisedDial bool
	}{
		{"more connections than 7 hosts need", many[:7], 26, 7, true},
		{"63 hosts of different capacity", newMixedCapacityFleet(19), 64, 63, true},
		{"186 hosts of different capacity", newMixedCapacityFleet(60), 64, 104, true},
		{"300 hosts", many, 25, 10, false},
		{"one connection", many[:7], 1, 1, false},
		{"unknown limit", many[:7], 0, 7, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			diallingCount, connections := 0, 0.0
			relayTargets := make(map[string]int)
			for _, m := range test.members {
				v := NewView(m.Host(), test.members)
				p := NewPlan(Key{bucket: 7, connectionLimit: test.connectionLimit}, v)
				if p.dialsUpstreams {
					diallingCount++
					if v.advertised[m.Host()] {
						connections += float64(p.maxConnections)
					} else {
						connections += unadvertisedHostWeight
					}
					continue
				}
				c.Check(!test.allAdvertisedDial || !v.advertised[m.Host()], qt.IsTrue, qt.Commentf("%s is advertised but does not dial", m.Host()))
				c.Check(len(p.diallingHosts) >= min(maxDiallingHosts, test.diallingCount), qt.IsTrue)
				for _, r := range p.diallingHosts {
					relayTargets[r.Host()]++
				}
			}
			c.Check(diallingCount, qt.Equals, test.diallingCount)
			c.Check(test.connectionLimit == 0 || connections <= float64(test.connectionLimit), qt.IsTrue, qt.Commentf("%f connections", connections))
			for host := range relayTargets {
				v := NewView(host, test.members)
				c.Check(NewPlan(Key{bucket: 7, connectionLimit: test.connectionLimit}, v).dialsUpstreams, qt.IsTrue, qt.Commentf("%s is listed as a dialling host but does not dial", host))
			}
		})
	}
}

// TestSuspectDiallingHostIsExcluded takes the plan of a host that does not dial. The
// plan must have maxDiallingHosts dialling hosts, the first of them in the data
// centre of the host. When this first dialling host becomes suspect, the plan must no
// longer contain it.
func TestSuspectDiallingHostIsExcluded(t *testing.T) {
	c := qt.New(t)
	members := newMixedCapacityFleet(60)
	var self string
	var plan Plan
	for _, m := range members {
		if p := NewPlan(Key{bucket: 7, connectionLimit: 64}, NewView(m.Host(), members)); !p.dialsUpstreams && m.DataCenter() == "x" {
			self, plan = m.Host(), p
		}
	}
	c.Assert(plan.diallingHosts, qt.HasLen, maxDiallingHosts)
	c.Check(plan.diallingHosts[0].DataCenter(), qt.Equals, "x")
	lost := plan.diallingHosts[0].Host()
	for i, m := range members {
		if m.Host() == lost {
			members[i] = m.WithState(roster.Suspect, m.Incarnation())
		}
	}
	for _, r := range NewPlan(Key{bucket: 7, connectionLimit: 64}, NewView(self, members)).diallingHosts {
		c.Check(r.Host(), qt.Not(qt.Equals), lost)
	}
}

// newTargetSizeFleet returns a fleet of the size that the project is built for: 2,400
// hosts in nine data centres. The upstreams of such a fleet accept 64 connections
// each.
func newTargetSizeFleet() []roster.Member {
	const hosts, dataCenters = 2400, 9
	members := make([]roster.Member, 0, hosts)
	for i := range hosts {
		members = append(members, member(fmt.Sprint("host-", i), fmt.Sprint("dc-", i%dataCenters), 400, roster.Alive))
	}
	return members
}

func BenchmarkNewDialPlan(b *testing.B) {
	v := NewView("host-7", newTargetSizeFleet())
	b.ReportAllocs()
	for b.Loop() {
		NewPlan(Key{bucket: 7, connectionLimit: 64}, v)
	}
}

func BenchmarkNewFleetView(b *testing.B) {
	members := newTargetSizeFleet()
	b.ReportAllocs()
	for b.Loop() {
		NewView("host-7", members)
	}
}
