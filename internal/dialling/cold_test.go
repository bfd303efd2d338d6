package dialling

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// TestColdLimits checks that the limits of all hosts stay within the bound whatever their number
// and capacities, that few hosts have one, and that each of these may send at least one request.
func TestColdLimits(t *testing.T) {
	for _, size := range []int{1, 3, 7, 89, 300, 1000} {
		for _, rate := range []float64{0.5, 2, 10, 100, 700} {
			t.Run(fmt.Sprintf("%d/%g", size, rate), func(t *testing.T) {
				c := qt.New(t)
				states := []chart.State{roster.Alive, roster.Dead}
				var members []roster.Member
				for i := range size {
					h := fmt.Sprint("host-", i)
					m := roster.NewMember(h, fmt.Sprint("z", i%3), h, "", 1, states[i%2])
					members = append(members, m.WithCapacity(100+700*(i%5/4)))
				}
				v := View{members: members, advertised: allAdvertisedHosts(members)}
				total, senders := 0.0, 0
				for _, m := range members {
					v.host = m.Host()
					l := coldLimit(rate, coldSenders(rate, 0, v), v)
					if l.Rate == 0 {
						c.Check(l.Burst, qt.Equals, 0.0)
						continue
					}
					c.Check(l.Burst >= 1, qt.IsTrue)
					senders++
					total += l.Rate + l.Burst
				}
				c.Check(senders > 0, qt.IsTrue)
				c.Check(total <= 1.1*rate+4.0001, qt.IsTrue, qt.Commentf("%v", total))
			})
		}
	}
}
