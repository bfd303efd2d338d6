package host

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// TestPlanDialling shares out the connections of an upstream: those of hosts that
// callers are told, and the share of the time in which others have one, stay below
// the limit together; every host that does not dial has others that do, and
// hosts that callers are told dial first.
func TestPlanDialling(t *testing.T) {
	var many []roster.Member
	for i := range 300 {
		many = append(many, member(fmt.Sprint("host-", i), fmt.Sprint("dc-", i%9), 400, roster.Alive))
	}
	for _, test := range []struct {
		name        string
		members     []roster.Member
		connections int
		diallers    int
		toldDial    bool
	}{
		{"as many connections as 7 hosts need", many[:7], 26, 7, true},
		{"63 unlike hosts", unlikeFleet(19), 64, 63, true},
		{"186 unlike hosts", unlikeFleet(60), 64, 104, true},
		{"300 hosts", many, 25, 10, false},
		{"one connection", many[:7], 1, 1, false},
		{"unknown limit", many[:7], 0, 7, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			diallers, sum := 0, 0.0
			served := make(map[string]int)
			for _, m := range test.members {
				v := newFleetView(m.Host(), test.members)
				p := planDialling(planKey{bucket: 7, connections: test.connections}, v)
				if p.dialling {
					diallers++
					if v.told[m.Host()] {
						sum += float64(p.connections)
					} else {
						sum += idleWeight
					}
					continue
				}
				c.Check(!test.toldDial || !v.told[m.Host()], qt.IsTrue, qt.Commentf("%s is told but does not dial", m.Host()))
				c.Check(len(p.relays) >= min(relayCount, test.diallers), qt.IsTrue)
				for _, r := range p.relays {
					served[r.Host()]++
				}
			}
			c.Check(diallers, qt.Equals, test.diallers)
			c.Check(test.connections == 0 || sum <= float64(test.connections), qt.IsTrue, qt.Commentf("%f connections", sum))
			for host := range served {
				m := newFleetView(host, test.members)
				c.Check(planDialling(planKey{bucket: 7, connections: test.connections}, m).dialling, qt.IsTrue, qt.Commentf("%s is asked but does not dial", host))
			}
		})
	}
}

// TestRelaysAreReplaced leaves out hosts that do not answer: who does not dial has
// others to ask as soon as it hears that one is gone.
func TestRelaysAreReplaced(t *testing.T) {
	c := qt.New(t)
	members := unlikeFleet(60)
	var self string
	var plan dialPlan
	for _, m := range members {
		if p := planDialling(planKey{bucket: 7, connections: 64}, newFleetView(m.Host(), members)); !p.dialling && m.DataCenter() == "x" {
			self, plan = m.Host(), p
		}
	}
	c.Assert(plan.relays, qt.HasLen, relayCount)
	c.Check(plan.relays[0].DataCenter(), qt.Equals, "x")
	lost := plan.relays[0].Host()
	for i, m := range members {
		if m.Host() == lost {
			members[i] = m.WithState(roster.Suspect, m.Incarnation())
		}
	}
	for _, r := range planDialling(planKey{bucket: 7, connections: 64}, newFleetView(self, members)).relays {
		c.Check(r.Host(), qt.Not(qt.Equals), lost)
	}
}

// The target: 2,400 hosts in nine data centres, upstreams with 64 connections.
func targetFleet() []roster.Member {
	const hosts, dataCenters = 2400, 9
	members := make([]roster.Member, 0, hosts)
	for i := range hosts {
		members = append(members, member(fmt.Sprint("host-", i), fmt.Sprint("dc-", i%dataCenters), 400, roster.Alive))
	}
	return members
}

func BenchmarkTargetPlan(b *testing.B) {
	v := newFleetView("host-7", targetFleet())
	b.ReportAllocs()
	for b.Loop() {
		planDialling(planKey{bucket: 7, connections: 64}, v)
	}
}

func BenchmarkTargetView(b *testing.B) {
	members := targetFleet()
	b.ReportAllocs()
	for b.Loop() {
		newFleetView("host-7", members)
	}
}
