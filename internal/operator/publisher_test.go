package operator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

func newLettersService(slots int) *catalog.Service {
	s, err := catalog.CompileService(catalog.ServiceSpec{
		Name: "letters", Goal: "latency", MinReplicas: 1, Canary: "never",
		Kinds:     []catalog.KindSpec{{Name: "lookup", Urgency: "prompt", Idempotent: true, Scatter: "key", DefaultTimeoutMilliseconds: 300}},
		Upstreams: []catalog.UpstreamSpec{{Name: "a", Address: "127.0.0.1:1", DataCenter: "attiki-1", Slots: slots, Connections: 50}},
		ShardMaps: []catalog.ShardMapSpec{{Name: "m1", Shards: []catalog.ShardSpec{{Name: "all", Weight: 1, Upstreams: []string{"a"}}}}},
	})
	if err != nil {
		panic(err)
	}
	return s
}

// TestPublish publishes two changes that are based on the same revision while the
// key-value service has faults. The first change must be accepted, also if replies
// are slow or lost, and the second must fail with a StaleError. If the service is
// down, both must fail. After the fault, the catalog must be at revision 1 exactly
// if the first change was accepted.
func TestPublish(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults standin.StoreFaults
		// check checks the errors that Publish returned for the two changes.
		check func(c *qt.C, first, second error)
	}{
		{"no fault", standin.StoreFaults{}, checkFirstWins},
		{"replies lost", standin.StoreFaults{LoseReplies: true}, checkFirstWins},
		{"slow", standin.StoreFaults{DelayMilliseconds: 1500}, checkFirstWins},
		{"down", standin.StoreFaults{Down: true}, func(c *qt.C, first, second error) {
			c.Check(first, qt.IsNotNil)
			c.Check(second, qt.IsNotNil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &standin.Store{}
				publisher := &Publisher{Store: store}
				base, revision, err := publisher.Read(context.Background())
				c.Assert(err, qt.IsNil)
				store.SetFaults(test.faults)
				publish := func(slots int) error {
					_, err := publisher.Publish(context.Background(), base, revision, PlanReplacement(base, newLettersService(slots)))
					return err
				}
				first, second := publish(1), publish(2)
				test.check(c, first, second)
				store.SetFaults(standin.StoreFaults{})
				current, _, err := publisher.Read(context.Background())
				c.Assert(err, qt.IsNil)
				c.Check(current.Revision() == 1, qt.Equals, first == nil)
			})
		})
	}
}

func checkFirstWins(c *qt.C, first, second error) {
	c.Check(first, qt.IsNil)
	var stale *StaleError
	c.Assert(errors.As(second, &stale), qt.IsTrue, qt.Commentf("%v", second))
	c.Check(*stale, qt.DeepEquals, StaleError{BaseRevision: 0, CurrentRevision: 1, ChangedServices: []string{"letters"}})
}
