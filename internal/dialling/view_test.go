package dialling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// newMixedCapacityFleet returns hosts in three data centres: in each, two large hosts
// and smallCount small hosts.
func newMixedCapacityFleet(smallCount int) []roster.Member {
	var members []roster.Member
	for _, dataCenter := range []string{"x", "y", "z"} {
		for i := range 2 {
			members = append(members, member(fmt.Sprint(dataCenter, "-large-", i), dataCenter, 800, roster.Alive))
		}
		for i := range smallCount {
			members = append(members, member(fmt.Sprint(dataCenter, "-small-", i), dataCenter, 140, roster.Alive))
		}
	}
	return members
}

func TestLoadShare(t *testing.T) {
	equal := []roster.Member{
		member("a", "x", 400, roster.Alive), member("b", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		member("d", "y", 400, roster.Suspect), member("e", "y", 400, roster.Dead),
	}
	for _, test := range []struct {
		name     string
		host     string
		members  []roster.Member
		minShare float64
		maxShare float64
	}{
		{"equal capacity, any state", "a", equal, 0.2, 0.2},
		{"alone", "a", equal[:1], 1.0 / MinFleetSize, 1.0 / MinFleetSize},
		{"not a member", "z", equal, 0, 0},
		{"unknown capacity counts as the largest", "a", append(equal[:4:4], member("f", "", 0, roster.Listed)), 0.2, 0.2},
		{"advertised large hosts", "x-large-0", newMixedCapacityFleet(19), 0.1, 0.17},
		{"small hosts beside large ones", "x-small-0", newMixedCapacityFleet(19), 0.003, 0.006},
		{"large hosts among few small ones", "x-large-0", newMixedCapacityFleet(1), 0.16, 0.17},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			share := NewView(test.host, test.members).loadShare
			c.Check(share >= test.minShare-1e-9 && share <= test.maxShare+1e-9, qt.IsTrue, qt.Commentf("%f", share))
		})
	}
}

// TestLoadSharesStayBounded gives each host of a fleet its own view of the states of
// the other hosts, as in a network partition. The sum of all load shares times
// usableExtraSlack must not exceed 1, so that all hosts together stay within the
// limit on extra attempts.
func TestLoadSharesStayBounded(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		fleet := newMixedCapacityFleet(random.IntN(25))
		lostRatio := random.Float64()
		sum := 0.0
		for i, self := range fleet {
			view := make([]roster.Member, len(fleet))
			for j, m := range fleet {
				view[j] = m
				if i != j && random.Float64() < lostRatio {
					view[j] = m.WithState(roster.Dead, m.Incarnation())
				}
			}
			sum += NewView(self.Host(), view).loadShare
		}
		c.Assert(sum*usableExtraSlack <= 1, qt.IsTrue, qt.Commentf("round %d: %f", round, sum))
	}
}

// TestLimitShares checks that the shares of all hosts make up the whole limit, that hosts of
// the upstream's data centre have the greater ones, and what hosts have beside dead ones.
func TestLimitShares(t *testing.T) {
	c := qt.New(t)
	members := newMixedCapacityFleet(19)
	sum := func(members []roster.Member, dataCenter string) float64 {
		total := 0.0
		for _, m := range members {
			if m.State() != roster.Dead {
				total += NewView(m.Host(), members).limitShares[dataCenter]
			}
		}
		return total
	}
	for _, dc := range []string{"x", "y", "z"} {
		total := sum(members, dc)
		c.Check(total > 0.99 && total < 1.01, qt.IsTrue, qt.Commentf("%v", total))
	}
	local, remote := NewView("x-large-0", members).limitShares["x"], NewView("x-large-0", members).limitShares["y"]
	c.Check(local > 2*remote, qt.IsTrue, qt.Commentf("%v of the same data centre, %v of another", local, remote))

	dead := func(count int) []roster.Member {
		var list []roster.Member
		for i := range 9 {
			state := roster.Alive
			if i < count {
				state = roster.Dead
			}
			list = append(list, member(fmt.Sprint("h", i), "x", 400, state))
		}
		return list
	}
	few, most := sum(dead(2), "x"), sum(dead(7), "x")
	c.Check(few > 0.99 && few < 1.01, qt.IsTrue, qt.Commentf("%v", few))
	c.Check(most > 0.21 && most < 0.23, qt.IsTrue, qt.Commentf("%v", most))
}
