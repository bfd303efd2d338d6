package host

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// unlikeFleet returns hosts of three data centres: two large ones in each, and
// some small ones.
func unlikeFleet(small int) []roster.Member {
	var members []roster.Member
	for _, dataCenter := range []string{"x", "y", "z"} {
		for i := range 2 {
			members = append(members, member(fmt.Sprint(dataCenter, "-large-", i), dataCenter, 800, roster.Alive))
		}
		for i := range small {
			members = append(members, member(fmt.Sprint(dataCenter, "-small-", i), dataCenter, 140, roster.Alive))
		}
	}
	return members
}

func TestLoadShare(t *testing.T) {
	alike := []roster.Member{
		member("a", "x", 400, roster.Alive), member("b", "x", 400, roster.Alive), member("c", "y", 400, roster.Alive),
		member("d", "y", 400, roster.Suspect), member("e", "y", 400, roster.Dead),
	}
	for _, test := range []struct {
		name    string
		host    string
		members []roster.Member
		least   float64
		most    float64
	}{
		{"alike, whatever their state", "a", alike, 0.2, 0.2},
		{"alone", "a", alike[:1], 1.0 / minFleet, 1.0 / minFleet},
		{"not a member", "z", alike, 0, 0},
		{"an unknown host counts as a large one", "a", append(alike[:4:4], member("f", "", 0, roster.Listed)), 0.2, 0.2},
		{"large hosts that callers are told", "x-large-0", unlikeFleet(19), 0.1, 0.17},
		{"small hosts besides", "x-small-0", unlikeFleet(19), 0.003, 0.006},
		{"large hosts among few small ones", "x-large-0", unlikeFleet(1), 0.16, 0.17},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			share := newFleetView(test.host, test.members).share
			c.Check(share >= test.least-1e-9 && share <= test.most+1e-9, qt.IsTrue, qt.Commentf("%f", share))
		})
	}
}

// TestLoadSharesStayTogether lets each host of a fleet see others in states of
// its own, as while they are cut off from each other: all shares together stay
// within what one bound leaves room for.
func TestLoadSharesStayTogether(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		fleet := unlikeFleet(random.IntN(25))
		lost := random.Float64()
		sum := 0.0
		for i, self := range fleet {
			view := make([]roster.Member, len(fleet))
			for j, m := range fleet {
				view[j] = m
				if i != j && random.Float64() < lost {
					view[j] = m.WithState(roster.Dead, m.Incarnation())
				}
			}
			sum += newFleetView(self.Host(), view).share
		}
		c.Assert(sum*slackShare <= 1, qt.IsTrue, qt.Commentf("round %d: %f", round, sum))
	}
}
