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

// BenchmarkMemberChange is what a gate does when one of 2,400 members changes,
// with the groups of a number of services of 70 leafs.
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
				g.rosterStep(roster.GossipReceived{Sender: fleetMember(i, 1)})
			}
			if err := g.follower.RefreshFromStore(context.Background()); err != nil {
				b.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			stop := capacitytest.CPU(b)
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				g.rosterStep(roster.GossipReceived{Sender: fleetMember(7, incarnation).WithState(roster.Dead, incarnation)})
				incarnation++
				g.rosterStep(roster.GossipReceived{Sender: fleetMember(7, incarnation)})
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
		s := capacitytest.Service(b, fmt.Sprintf("service-%04d", i), 2)
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

// TestPausedOwnerIsCautious lets the clock jump between two ticks and counts the
// attempts that the next step starts.
func TestPausedOwnerIsCautious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		stand := &standin.Upstream{Slots: 8, RunTime: func(*rand.Rand) time.Duration { return time.Minute }}
		g := &Gate{
			Self: fleetMember(0, 1), Store: &standin.Store{}, Options: shard.DefaultOptions(), Log: log,
			Metrics: NewMetrics(prometheus.NewRegistry()), NewClient: func(catalog.UpstreamSpec) upstream.Client { return stand },
		}
		g.init()
		s := capacitytest.Service(t, "s", 8)
		o := g.use("s", s.Groups()[0], true)
		for until := time.Now().Add(TakeoverPeriod); time.Now().Before(until); time.Sleep(tickPeriod) {
			g.checkPause(time.Now())
		}
		submit := func(n int) {
			for range n {
				o.submit(&pending{request: &wire.ScatterRequest{}, shardPath: "m1/s00", deliver: func(*wire.ScatterReply) {}},
					shard.Job{ShardPath: "m1/s00", Deadline: time.Now().Add(30 * time.Second)})
			}
			synctest.Wait()
		}
		submit(6)
		c.Check(stand.Started(), qt.Equals, 6)
		g.lastTick.Add(-int64(2 * pauseLimit))
		submit(10)
		c.Check(stand.Started(), qt.Equals, 6, qt.Commentf("after a pause nothing may start beyond one slot of each upstream"))
		time.Sleep(time.Minute)
		g.stop()
	})
}
