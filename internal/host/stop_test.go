package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// TestStoppingHostCutsNoAttemptOfOtherHosts guards against attempts for other hosts that the stop of
// this host cuts: one that must not run twice could not be sent again.
func TestStoppingHostCutsNoAttemptOfOtherHosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, addresses := startSearchFleet(3, closesConnections, false)
		defer f.stopAll()
		h := f.hosts[addresses[0]].host
		relay := func(target string, fresh bool) wire.RelayResult {
			reply, err := h.Relay(context.Background(), &wire.RelayRequest{
				Service: "shard-0", Route: "r", TargetMicros: 100_000, Target: target, LeftMicros: 10e6, Fresh: fresh, Fingerprint: uint64(len(target)),
			})
			c.Assert(err, qt.IsNil)
			return reply.GetResult()
		}
		c.Check(relay("/a", true), qt.Equals, wire.RelayResult_RELAY_RESULT_ANSWERED)
		left := make(chan struct{})
		f.hosts[addresses[0]].group.Go(func() {
			h.Leave(context.Background())
			close(left)
		})
		time.Sleep(time.Second)
		c.Check(relay("/bb", true), qt.Equals, wire.RelayResult_RELAY_RESULT_NOT_RUN)
		c.Check(relay("/ccc", false), qt.Equals, wire.RelayResult_RELAY_RESULT_ANSWERED)
		<-left
		c.Check(relay("/dddd", false), qt.Equals, wire.RelayResult_RELAY_RESULT_NOT_RUN)
		c.Check(f.upstreams.arrivalsOf("/bb", time.Time{}), qt.HasLen, 0)
		c.Check(f.upstreams.arrivalsOf("/dddd", time.Time{}), qt.HasLen, 0)
	})
}

// TestAdvertisedAddressOutlivesNoStop guards against callers that still know the address of a host
// after it has stopped.
func TestAdvertisedAddressOutlivesNoStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, grace := range []float64{1, 2, 4, 6, 30} {
		s := Settings{GraceSeconds: grace, MaxAddressTTLSeconds: 5}
		c.Check(addressTTLsCached*s.AddressTTL() <= shutdown.AcceptPeriod(s.Grace()), qt.IsTrue, qt.Commentf("grace %g s, time to live %v", grace, s.AddressTTL()))
	}
	c.Check(Settings{GraceSeconds: 6, MaxAddressTTLSeconds: 5}.AddressTTL(), qt.Equals, 1500*time.Millisecond)
}

func (p simulatedNetwork) AnswerTimes(ctx context.Context, address string, r *wire.AnswerTimesRequest) (*wire.AnswerTimesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.AnswerTimes(ctx, r)
}

// TestStoppingHostKnowsFromOthersHowLongRequestsTake guards against a host that refuses all requests of a
// route in its stop because it has not answered one lately.
func TestStoppingHostKnowsFromOthersHowLongRequestsTake(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet()
		spec := func(name string, idempotent bool) routing.RouteSpec {
			return routing.RouteSpec{
				Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 10 * time.Second, LatencyTarget: time.Second,
				Destinations: []routing.Destination{{Service: "s", Weight: 1}},
			}
		}
		f.routes = []routing.RouteSpec{spec("order", false), spec("unused", false), spec("lookup", true)}
		f.put(tableKey, "1")
		addresses := f.startHosts(7)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		stopping := f.hosts[addresses[0]]
		for i, longest := range []time.Duration{0, 700 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond} {
			h := f.hosts[addresses[i]].host
			if longest > 0 {
				h.routeLatencyStats(h.Table().Match("h", "/order/")).RecordAnswer(time.Now(), longest, 0)
			}
		}
		stopping.host.Settings.GraceSeconds = 6
		stopping.group.Go(func() { stopping.host.Leave(context.Background()) })
		time.Sleep(100 * time.Millisecond)
		accepts := func(path string) bool {
			return stopping.host.dispatcher.CanEndBeforeStop(time.Now(), stopping.host.Table().Match("h", path))
		}
		c.Check(accepts("/order/"), qt.IsTrue)
		c.Check(accepts("/lookup/"), qt.IsTrue)
		c.Check(accepts("/unused/"), qt.IsFalse)
		// Orders take up to 2 s, and the answers are due 5.4 s after the begin of the stop.
		time.Sleep(3400 * time.Millisecond)
		c.Check(accepts("/order/"), qt.IsFalse)
		c.Check(accepts("/lookup/"), qt.IsTrue)
	})
}
