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
		{"large ones that are too few for the load", []roster.Member{
			member("a", "x", 200, roster.Alive), member("b", "x", 200, roster.Alive),
			member("c", "x", 90, roster.Alive), member("d", "x", 90, roster.Alive), member("e", "x", 90, roster.Alive),
			member("f", "x", 90, roster.Alive), member("g", "x", 90, roster.Alive), member("h", "x", 90, roster.Alive),
			member("i", "x", 90, roster.Alive), member("j", "x", 90, roster.Alive), member("k", "x", 90, roster.Alive),
			member("l", "x", 90, roster.Alive), member("m", "x", 90, roster.Alive), member("n", "x", 90, roster.Alive),
			member("o", "x", 90, roster.Alive), member("p", "x", 90, roster.Alive),
		}, "a b c d e f g h i j k l m n o p"},
		{"unknown capacities", []roster.Member{member("a", "x", 0, roster.Alive), member("b", "x", 0, roster.Alive)}, "a b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Check(strings.Join(chooseAddresses(test.members, "x"), " "), qt.Equals, test.want)
		})
	}
}
