package fleettest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// TestCutOffHostRefusesUntilReconnected cuts off the owner of shard 0 and changes the
// configuration 10 s later. The owner must refuse requests as cut off. 5 s after the
// network is healed, it must be ready and have the new revision.
func TestCutOffHostRefusesUntilReconnected(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		h := f.ShardOwner(0)
		cutOffOwner(f)
		time.Sleep(10 * time.Second)
		f.Publish(f.SpecWithSecondMap())
		r := f.NewCaller().Send(h, entry.RequestDocument{RequestID: "late", Kind: SearchKind})
		c.Check(r.Answer.Status, qt.Equals, "not-run")
		c.Check(r.Answer.Reason, qt.Equals, "cut off from all gates")
		f.Network.Heal()
		time.Sleep(5 * time.Second)
		c.Check(h.Entry.NotReadyReason(), qt.Equals, "")
		c.Check(h.Entry.Catalog().Revision(), qt.Equals, uint64(2))
	})
}

// TestStoreOutageIsNotACutOff replaces every host, one after the other, one hour into an
// outage of the key-value service. The hosts are not cut off, since they reach each
// other. The new hosts must get the configuration from the running hosts and serve.
func TestStoreOutageIsNotACutOff(t *testing.T) {
	withStartedFleet(t, func(c *qt.C, f *Fleet) {
		f.Store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Hour)
		caller := f.NewCaller()
		for _, old := range f.Hosts() {
			f.AddHost("new-" + old.Name)
			f.publishHostList()
			time.Sleep(10 * time.Second)
			old.Leave()
			time.Sleep(20 * time.Second)
		}
		for i, h := range f.Hosts() {
			r := caller.Send(h, entry.RequestDocument{RequestID: fmt.Sprint("read-", i), Kind: SearchKind, Query: []byte(fmt.Sprint(i))})
			c.Check(r.Answer.Status, qt.Equals, "complete")
			c.Check(h.Gate.Catalog().Revision(), qt.Equals, uint64(1))
		}
		c.Check(caller.Violations, qt.HasLen, 0)
	})
}

// TestConfigurationDelayByFleetSize measures, for fleets of 7 to 56 hosts, how many reads
// the key-value service gets while the configuration does not change, and how long a
// change takes to reach all gates and entries. A change must reach them within 18 s.
func TestConfigurationDelayByFleetSize(t *testing.T) {
	for _, hostCount := range []int{7, 14, 28, 56} {
		t.Run(fmt.Sprint(hostCount), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := DefaultOptions()
				o.Hosts = hostCount
				f := New(o)
				f.Start()
				defer f.Stop()
				time.Sleep(20 * time.Second)
				readsBefore, _ := f.Store.CallCounts()
				time.Sleep(time.Minute)
				reads, _ := f.Store.CallCounts()
				startAt := time.Now()
				f.Publish(f.SpecWithSecondMap())
				for !f.AllGatesHaveMap("m2") && time.Since(startAt) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				gatesElapsed := time.Since(startAt)
				for !f.allEntriesAtRevision(2) && time.Since(startAt) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("%d hosts: %.1f store reads/s without changes; change active on all gates after %s, on all entries after %s",
					hostCount, float64(reads-readsBefore)/60, gatesElapsed, time.Since(startAt))
				qt.New(t).Check(time.Since(startAt) < 18*time.Second, qt.IsTrue)
			})
		})
	}
}

func (f *Fleet) allEntriesAtRevision(revision uint64) bool {
	for _, h := range f.Hosts() {
		if h.Entry.Catalog().Revision() < revision {
			return false
		}
	}
	return true
}

// TestPartitionFromStoreAndMajority cuts a minority of two hosts from the majority of
// three and from the key-value service for an hour, and changes the configuration after
// 15 s. Each minute, a majority host must answer completely and a minority host must
// refuse the request. 18 s after the network is healed, all hosts must have the changed
// configuration and answer completely.
func TestPartitionFromStoreAndMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := DefaultOptions()
		o.Hosts = 5
		f := New(o)
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		majority, minority := f.Hosts()[:3], f.Hosts()[3:]
		for _, isolated := range minority {
			f.Network.SetCutFromStore(isolated.Name, true)
			for _, connected := range majority {
				f.Network.SetDropped(connected.Name, isolated.Name, true)
				f.Network.SetDropped(isolated.Name, connected.Name, true)
			}
		}
		caller := f.NewCaller()
		send := func(h *Host, id string) string {
			return caller.Send(h, entry.RequestDocument{RequestID: id, Kind: SearchKind, Query: []byte(`"` + id + `"`)}).Answer.Status
		}
		time.Sleep(15 * time.Second)
		f.Publish(f.SpecWithSecondMap())
		for minute := range 60 {
			time.Sleep(time.Minute)
			c.Check(send(majority[0], fmt.Sprint("with-", minute)), qt.Equals, "complete")
			c.Check(send(minority[0], fmt.Sprint("without-", minute)), qt.Equals, "not-run")
		}
		f.Network.Heal()
		time.Sleep(18 * time.Second)
		for i, h := range f.Hosts() {
			c.Check(h.Gate.Catalog().Revision(), qt.Equals, uint64(2))
			c.Check(send(h, fmt.Sprint("after-", i)), qt.Equals, "complete")
		}
		c.Check(caller.Violations, qt.HasLen, 0)
	})
}
