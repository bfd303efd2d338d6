package fleettest

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// settleTime is how long after all faults the fleet may take to agree.
const settleTime = 18 * time.Second

// operation is a change of the fleet, with the moments of its course.
type operation struct {
	name string
	do   func(*Fleet)
}

var (
	operations = []operation{
		{"change", func(f *Fleet) { f.Go(func() { f.PublishUntil(f.WithSecondMap()) }) }},
		{"join", func(f *Fleet) { f.AddNode("host-joining"); f.publishHosts() }},
		{"leave", func(f *Fleet) { f.Nodes()[len(f.Nodes())-1].Leave() }},
		{"take-over", func(f *Fleet) { f.Nodes()[len(f.Nodes())-1].Kill() }},
	}
	controlSteps = []step{
		{"before", -200 * time.Millisecond},
		{"begun", time.Millisecond},
		{"spreading", 120 * time.Millisecond},
		{"suspected", time.Second},
		{"taken-over", 4 * time.Second},
	}
)

// TestControlMatrix brings about each fault at each moment of a change of the
// configuration, a join, a leave and a take-over.
func TestControlMatrix(t *testing.T) {
	for _, o := range operations {
		for _, s := range controlSteps {
			for _, fault := range Faults() {
				t.Run(fmt.Sprintf("%s/%s/%s", o.name, s.name, fault.Name), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runControlCell(t, o, s, fault) })
				})
			}
		}
	}
}

func runControlCell(t *testing.T, o operation, s step, fault Fault) {
	options := DefaultOptions()
	options.Hosts = 5
	f := New(options)
	f.Start()
	defer f.Stop()
	time.Sleep(startTime)
	if s.at < 0 {
		fault.Inject(f)
		time.Sleep(-s.at)
		o.do(f)
	} else {
		o.do(f)
		time.Sleep(s.at)
		fault.Inject(f)
	}
	caller := f.NewCaller()
	for i := range 20 {
		caller.AskAround(entry.RequestDocument{RequestID: fmt.Sprint("during-", i), Kind: Search, Query: []byte(fmt.Sprint(i))}, 1)
		time.Sleep(200 * time.Millisecond)
	}
	if fault.Heal != nil {
		fault.Heal(f)
	}
	time.Sleep(settleTime)
	checkAgreement(f, caller, o.name == "change" || fault.Name == "repartitioned" || fault.Name == "configuration-changes")
	after := caller.AskAround(entry.RequestDocument{RequestID: "after", Kind: Search, Query: []byte(`"after"`)}, 2)
	if after.Answer.Status != "complete" {
		caller.broke("after all: lost %v, %s %s", after.Lost, after.Answer.Status, after.Answer.Reason)
	}
	caller.CheckEnd(nil)
	for _, b := range caller.Broken {
		t.Error(b)
	}
}

// checkAgreement asserts that all live hosts hold the newest revision, know the
// same members and agree on one owner for each group.
func checkAgreement(f *Fleet, caller *Caller, changed bool) {
	newest, _ := f.Revision()
	if changed && newest < 2 {
		caller.broke("the change was not accepted: revision %d", newest)
	}
	var live []string
	for _, n := range f.Nodes() {
		live = append(live, n.Name)
	}
	for _, n := range f.Nodes() {
		if r := n.Gate.Catalog().Revision(); r != newest {
			caller.broke("gate of %s is at revision %d, not %d", n.Name, r, newest)
		}
		if r := n.Entry.Catalog().Revision(); r != newest {
			caller.broke("entry of %s is at revision %d, not %d", n.Name, r, newest)
		}
		var owners []string
		for _, m := range n.Gate.Members() {
			if m.State() == roster.Alive {
				owners = append(owners, m.Host())
			}
		}
		slices.Sort(live)
		if !slices.Equal(owners, live) {
			caller.broke("%s takes %v for alive, alive are %v", n.Name, owners, live)
		}
	}
	owned := make(map[string]int)
	for _, n := range f.Nodes() {
		for _, g := range n.Gate.State().Groups {
			if g.Owned {
				owned[g.Name]++
			}
		}
	}
	for _, n := range f.Nodes() {
		for _, s := range n.Gate.Catalog().Services() {
			for _, g := range s.Groups() {
				if owned[g.Name()] != 1 {
					caller.broke("group %s has %d owners", g.Name(), owned[g.Name()])
				}
			}
		}
	}
}
