package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// TestCensus counts three upstreams, of which one could not be reached, one rests and one has
// all the attempts that it may have.
func TestCensus(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	r := Requirements{LatencyStats: f.latencyStats}
	c.Check(f.Census(f.now, r).String(), qt.Equals, "3 free")
	f.members[0].recordUnreachable(f.now)
	f.run(func(string) (upstream.Outcome, time.Duration) {
		return upstream.Outcome{Result: upstream.Refused, RestUntil: f.now.Add(time.Minute)}, time.Millisecond
	})
	for f.Assign(f.now, r) != nil {
	}
	c.Check(f.Census(f.now, r).String(), qt.Equals, "1 full, 1 resting, 1 down")
	f.setUpstreams(newPolicy())
	c.Check(f.Census(f.now, r).String(), qt.Equals, "none known")
}
