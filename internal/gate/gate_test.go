package gate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/capacitytest"
	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/follow"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// BenchmarkMemberChange measures a gate's CPU time when one of 2,400 members is lost
// and comes back, for 70 and for 700 services with 23 shards each.
func BenchmarkMemberChange(b *testing.B) {
	for _, services := range []int{70, 700} {
		b.Run(fmt.Sprintf("%d-services", services), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			store := &standin.Store{}
			publish(b, store, services)
			g := &Gate{
				Self:  roster.NewMember("host-0000", "attiki-1", "gate", "entry", 1, roster.Alive),
				Store: store, Options: shard.DefaultOptions(), Log: log,
				NewClient: func(catalog.UpstreamSpec) upstream.Client { return &standin.Upstream{Slots: 2} },
			}
			g.init()
			for i := 1; i < 2400; i++ {
				g.stepRoster(roster.GossipReceived{Sender: fleetMember(i, 1)})
			}
			if err := g.follower.RefreshFromStore(context.Background()); err != nil {
				b.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			stop := capacitytest.StartCPUTimer(b)
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				g.stepRoster(roster.GossipReceived{Sender: fleetMember(7, incarnation).WithState(roster.Dead, incarnation)})
				incarnation++
				g.stepRoster(roster.GossipReceived{Sender: fleetMember(7, incarnation)})
			}
			stop()
		})
	}
}

func fleetMember(i int, incarnation uint64) roster.Member {
	return roster.NewMember(fmt.Sprintf("host-%04d", i), "attiki-1", "gate", "entry", incarnation, roster.Alive)
}

func publish(b *testing.B, store *standin.Store, services int) {
	var all []*catalog.Service
	for i := range services {
		s := capacitytest.NewService(b, fmt.Sprintf("service-%04d", i), 2)
		all = append(all, s)
		if _, err := store.CompareAndSwap(context.Background(), follow.DocumentPrefix+catalog.Hash(s.Document()), s.Document(), 0); err != nil {
			b.Fatal(err)
		}
	}
	head := catalog.Empty().WithChange("first", all, nil).Head()
	if _, err := store.CompareAndSwap(context.Background(), follow.HeadKey, head.Encode(), 0); err != nil {
		b.Fatal(err)
	}
}

// TestPausedOwnerUsesOneSlotPerUpstream guards against a process that uses all slots
// after a pause, although another gate may have taken over its groups. Before the
// pause, 6 jobs must all start on the three upstreams of a shard. After a simulated
// pause between two ticks, none of 10 more jobs may start, since each upstream
// already runs an attempt.
func TestPausedOwnerUsesOneSlotPerUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		standinUpstream := &standin.Upstream{Slots: 8, RunDuration: func(*rand.Rand) time.Duration { return time.Minute }}
		g := &Gate{
			Self: fleetMember(0, 1), Store: &standin.Store{}, Options: shard.DefaultOptions(), Log: log,
			Metrics: NewMetrics(prometheus.NewRegistry()), NewClient: func(catalog.UpstreamSpec) upstream.Client { return standinUpstream },
		}
		g.init()
		s := capacitytest.NewService(t, "s", 8)
		gr := g.getOrCreateRunner("s", s.Groups()[0], true)
		for fullSlotsAt := time.Now().Add(TakeoverPeriod); time.Now().Before(fullSlotsAt); time.Sleep(tickInterval) {
			g.detectPause(time.Now())
		}
		submit := func(n int) {
			for range n {
				gr.submit(&pendingJob{request: &wire.ScatterRequest{}, shardPath: "m1/s00", deliver: func(*wire.ScatterReply) {}},
					shard.Job{ShardPath: "m1/s00", Deadline: time.Now().Add(30 * time.Second)})
			}
			synctest.Wait()
		}
		submit(6)
		c.Check(standinUpstream.AdmittedCount(), qt.Equals, 6)
		g.lastTickNanos.Add(-int64(2 * maxTickGap))
		submit(10)
		c.Check(standinUpstream.AdmittedCount(), qt.Equals, 6, qt.Commentf("after a pause, no attempt may start beyond one slot of each upstream"))
		time.Sleep(time.Minute)
		g.stop()
	})
}
