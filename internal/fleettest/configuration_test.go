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

func TestCutOffHostRefusesUntilItIsBack(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		n := f.OwnerOf(0)
		cutOffOwner(f)
		time.Sleep(10 * time.Second)
		f.Publish(f.WithSecondMap())
		r := f.NewCaller().Ask(n, entry.RequestDocument{RequestID: "late", Kind: Search})
		c.Check(r.Answer.Status, qt.Equals, "not-run")
		c.Check(r.Answer.Reason, qt.Equals, "cut off from all gates")
		f.Network.Heal()
		time.Sleep(5 * time.Second)
		c.Check(n.Entry.NotReadyReason(), qt.Equals, "")
		c.Check(n.Entry.Catalog().Revision(), qt.Equals, uint64(2))
	})
}

func TestServiceOutageIsNotACutOff(t *testing.T) {
	runFleet(t, func(c *qt.C, f *Fleet) {
		f.Store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Hour)
		caller := f.NewCaller()
		for _, old := range f.Nodes() {
			// Every host is replaced while the service is down.
			f.AddNode("new-" + old.Name)
			f.publishHosts()
			time.Sleep(10 * time.Second)
			old.Leave()
			time.Sleep(20 * time.Second)
		}
		for i, n := range f.Nodes() {
			r := caller.Ask(n, entry.RequestDocument{RequestID: fmt.Sprint("read-", i), Kind: Search, Query: []byte(fmt.Sprint(i))})
			c.Check(r.Answer.Status, qt.Equals, "complete")
			c.Check(n.Gate.Catalog().Revision(), qt.Equals, uint64(1))
		}
		c.Check(caller.Broken, qt.HasLen, 0)
	})
}

// TestChangeInForceEverywhere measures how long a change takes and how many
// calls the key-value service gets, as the fleet grows.
func TestChangeInForceEverywhere(t *testing.T) {
	for _, hosts := range []int{7, 14, 28, 56} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := DefaultOptions()
				o.Hosts = hosts
				f := New(o)
				f.Start()
				defer f.Stop()
				time.Sleep(20 * time.Second)
				readsBefore, _ := f.Store.Calls()
				time.Sleep(time.Minute)
				reads, _ := f.Store.Calls()
				startAt := time.Now()
				f.Publish(f.WithSecondMap())
				for !f.InForce("m2") && time.Since(startAt) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				gates := time.Since(startAt)
				for !f.entriesAt(2) && time.Since(startAt) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("%d hosts: %.1f reads/s in calm, in force on all gates after %s, on all entries after %s",
					hosts, float64(reads-readsBefore)/60, gates, time.Since(startAt))
				qt.New(t).Check(time.Since(startAt) < 18*time.Second, qt.IsTrue)
			})
		})
	}
}

func (f *Fleet) entriesAt(revision uint64) bool {
	for _, n := range f.Nodes() {
		if n.Entry.Catalog().Revision() < revision {
			return false
		}
	}
	return true
}

// TestRegionsLoseEachOther cuts two hosts from three others and from the service
// for an hour, in which the configuration changes.
func TestRegionsLoseEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := DefaultOptions()
		o.Hosts = 5
		f := New(o)
		f.Start()
		defer f.Stop()
		time.Sleep(startTime)
		with, without := f.Nodes()[:3], f.Nodes()[3:]
		for _, b := range without {
			f.Network.CutStore(b.Name, true)
			for _, a := range with {
				f.Network.Cut(a.Name, b.Name, true)
				f.Network.Cut(b.Name, a.Name, true)
			}
		}
		caller := f.NewCaller()
		ask := func(n *Node, id string) string {
			return caller.Ask(n, entry.RequestDocument{RequestID: id, Kind: Search, Query: []byte(`"` + id + `"`)}).Answer.Status
		}
		time.Sleep(15 * time.Second)
		f.Publish(f.WithSecondMap())
		for minute := range 60 {
			time.Sleep(time.Minute)
			c.Check(ask(with[0], fmt.Sprint("with-", minute)), qt.Equals, "complete")
			c.Check(ask(without[0], fmt.Sprint("without-", minute)), qt.Equals, "not-run")
		}
		f.Network.Heal()
		time.Sleep(18 * time.Second)
		for i, n := range f.Nodes() {
			c.Check(n.Gate.Catalog().Revision(), qt.Equals, uint64(2))
			c.Check(ask(n, fmt.Sprint("after-", i)), qt.Equals, "complete")
		}
		c.Check(caller.Broken, qt.HasLen, 0)
	})
}
