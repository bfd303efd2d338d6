package dialling

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// newMembersWithoutUpstreams returns hosts of three data centres, of which some reach no upstream.
func newMembersWithoutUpstreams(count int, isPartitioned func(i int) bool) []roster.Member {
	var members []roster.Member
	for i := range count {
		address := fmt.Sprintf("host-%d", i)
		members = append(members, roster.NewMember(address, fmt.Sprint("z", i%3), address, address, 1, roster.Alive).WithCapacity(400).WithPartitioned(isPartitioned(i)))
	}
	return members
}

// TestDetoursReachUpstreams checks which hosts serve a host that reaches no upstream.
func TestDetoursReachUpstreams(t *testing.T) {
	c := qt.New(t)
	isPartitioned := func(i int) bool { return i%3 == 0 || i < 10 }
	v := NewView("host-0", newMembersWithoutUpstreams(60, isPartitioned))
	c.Check(v.detours, qt.HasLen, maxDetours)
	chosen := make(map[string]bool)
	for i := range 60 {
		own := NewView(fmt.Sprint("host-", i), newMembersWithoutUpstreams(60, isPartitioned))
		for _, m := range own.detours {
			c.Check(m.IsPartitioned(), qt.IsFalse)
			c.Check(m.Host(), qt.Not(qt.Equals), own.host)
			chosen[m.Host()] = true
		}
	}
	c.Check(chosen, qt.HasLen, 34, qt.Commentf("all hosts that reach upstreams carry"))
	c.Check(NewView("host-0", newMembersWithoutUpstreams(60, func(int) bool { return true })).detours, qt.HasLen, 0)
}

// TestDetoursAreInSeveralDataCenters checks that not all detours are cut with one data centre.
func TestDetoursAreInSeveralDataCenters(t *testing.T) {
	c := qt.New(t)
	v := NewView("host-0", newMembersWithoutUpstreams(60, func(int) bool { return false }))
	near := 0
	for _, m := range v.detours {
		if m.DataCenter() == "z0" {
			near++
		}
	}
	c.Check(near, qt.Equals, maxNearDetours)
	c.Check(v.detours, qt.HasLen, maxDetours)
}

// TestHostsWithoutUpstreamsLeaveTheirShares checks who uses the connections and limits of upstreams.
func TestHostsWithoutUpstreamsLeaveTheirShares(t *testing.T) {
	c := qt.New(t)
	members := newMembersWithoutUpstreams(10, func(i int) bool { return i < 5 })
	v := NewView("host-9", members)
	c.Check(v.connectionShare, qt.Equals, 0.2)
	c.Check(v.loadShare, qt.Equals, 0.1, qt.Commentf("the budget for extra attempts stays with those that have the callers"))
	c.Check(v.dialCandidates, qt.HasLen, 5)
	sum := 0.0
	for i := 5; i < 10; i++ {
		sum += NewView(fmt.Sprint("host-", i), members).limitShares["z0"]
	}
	c.Check(sum > 0.9 && sum < 1.0001, qt.IsTrue, qt.Commentf("%f of the limit", sum))
}
