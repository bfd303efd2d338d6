package host

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

func member(name, dataCenter string, capacity int, state chart.State) roster.Member {
	return roster.NewMember(name, dataCenter, name, name, 1, state).WithCapacity(capacity)
}

// smallHosts adds small hosts named s of the data centre x to others.
func smallHosts(count int, others ...roster.Member) []roster.Member {
	for range count {
		others = append(others, member("s", "x", 90, roster.Alive))
	}
	return others
}

func TestChooseAddresses(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []roster.Member
		want    string
	}{
		{"nobody", nil, ""},
		{"own data centre", []roster.Member{
			member("a", "x", 400, roster.Alive), member("b", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		}, "a b"},
		{"one of the own data centre is not enough", []roster.Member{
			member("a", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		}, "a c"},
		{"only sound ones", []roster.Member{
			member("a", "x", 400, roster.Suspect), member("b", "x", 400, roster.Leaving), member("c", "y", 400, roster.Alive),
			roster.NewMember("d", "y", "d", "", 1, roster.Alive),
		}, "c"},
		{"large ones that can carry the load", []roster.Member{
			member("a", "x", 800, roster.Alive), member("b", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive),
			member("d", "x", 140, roster.Alive),
		}, "a b"},
		{"a single large one", []roster.Member{
			member("a", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
		}, "a c d"},
		{"a single large one near, more of them far", []roster.Member{
			member("a", "x", 800, roster.Alive), member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
			member("e", "y", 800, roster.Alive), member("f", "y", 140, roster.Alive),
		}, "a e"},
		{"only small ones near", []roster.Member{
			member("c", "x", 140, roster.Alive), member("d", "x", 140, roster.Alive),
			member("e", "y", 800, roster.Alive), member("f", "z", 800, roster.Alive),
		}, "e f"},
		{"large ones that are too few for the load", smallHosts(
			30, member("a", "x", 200, roster.Alive), member("b", "x", 200, roster.Alive),
		), "a b" + strings.Repeat(" s", 30)},
		{"unknown capacities", []roster.Member{member("a", "x", 0, roster.Alive), member("b", "x", 0, roster.Alive)}, "a b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(strings.Join(chooseAddresses(test.members, "x"), " "), qt.Equals, test.want)
		})
	}
}
