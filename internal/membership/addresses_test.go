package membership

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

func member(name, dataCenter string, capacity int, state chart.State) roster.Member {
	return roster.NewMember(name, dataCenter, name, name, 1, state).WithCapacity(capacity)
}

// appendSmallHosts appends count small hosts named s in data centre x to others.
func appendSmallHosts(count int, others ...roster.Member) []roster.Member {
	for range count {
		others = append(others, member("s", "x", 90, roster.Alive))
	}
	return others
}

func TestAdvertisedAddresses(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []roster.Member
		want    string
	}{
		{"no hosts", nil, ""},
		{"own data centre", []roster.Member{
			member("a", "x", 400, roster.Alive), member("b", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		}, "a b"},
		{"too few hosts in own data centre", []roster.Member{
			member("a", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		}, "a c"},
		{"only available hosts", []roster.Member{
			member("a", "x", 400, roster.Suspect), member("b", "x", 400, roster.Leaving), member("c", "y", 400, roster.Alive),
			roster.NewMember("d", "y", "d", "", 1, roster.Alive),
		}, "c"},
		{"large hosts with enough capacity", []roster.Member{
			member("a", "x", 800, roster.Alive), member("b", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive),
			member("d", "x", 140, roster.Alive),
		}, "a b"},
		{"single large host", []roster.Member{
			member("a", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
		}, "a c d"},
		{"single large host in own data centre, more in others", []roster.Member{
			member("a", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
			member("e", "y", 800, roster.Alive), member("f", "y", 140, roster.Alive),
		}, "a e"},
		{"only small hosts in own data centre", []roster.Member{
			member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
			member("e", "y", 800, roster.Alive), member("f", "z", 800, roster.Alive),
		}, "e f"},
		{"large hosts without enough capacity", appendSmallHosts(
			30, member("a", "x", 200, roster.Alive), member("b", "x", 200, roster.Alive),
		), "a b" + strings.Repeat(" s", 30)},
		{"unknown capacities", []roster.Member{member("a", "x", 0, roster.Alive), member("b", "x", 0, roster.Alive)}, "a b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(strings.Join(AdvertisedAddresses(test.members, "x"), " "), qt.Equals, test.want)
		})
	}
}

// newMembersWithoutUpstreams returns hosts of three data centres, of which some reach no upstream.
func newMembersWithoutUpstreams(count int, isPartitioned func(i int) bool) []roster.Member {
	var members []roster.Member
	for i := range count {
		address := fmt.Sprintf("host-%d", i)
		members = append(members, roster.NewMember(address, fmt.Sprint("z", i%3), address, address, 1, roster.Alive).WithCapacity(400).WithPartitioned(isPartitioned(i)))
	}
	return members
}

// TestAdvertisedHostsCanCarryTheLoad checks which hosts callers are told of.
func TestAdvertisedHostsCanCarryTheLoad(t *testing.T) {
	for _, test := range []struct{ cut, want int }{{0, 12}, {3, 9}, {6, 6}, {7, 12}, {12, 12}} {
		c := qt.New(t)
		members := newMembersWithoutUpstreams(12, func(i int) bool { return i < test.cut })
		told := make(map[string]bool)
		for _, dc := range []string{"z0", "z1", "z2"} {
			for _, a := range AdvertisedAddresses(members, dc) {
				told[a] = true
			}
		}
		c.Check(told, qt.HasLen, test.want, qt.Commentf("%d of 12 cut", test.cut))
	}
}
