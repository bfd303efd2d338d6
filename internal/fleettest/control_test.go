package fleettest

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// convergencePeriod is how long the hosts may take to agree on revision, members and
// owners after the fault has been healed.
const convergencePeriod = 18 * time.Second

// operation is a change of the fleet, shortly before or during which a fault is injected.
type operation struct {
	name  string
	start func(*Fleet)
}

var (
	operations = []operation{
		{"change", func(f *Fleet) { f.Go(func() { f.PublishWithRetry(f.SpecWithSecondMap()) }) }},
		{"join", func(f *Fleet) { f.AddHost("host-joining"); f.publishHostList() }},
		{"leave", func(f *Fleet) { f.Hosts()[len(f.Hosts())-1].Leave() }},
		{"take-over", func(f *Fleet) { f.Hosts()[len(f.Hosts())-1].Kill() }},
	}
	operationPoints = []injectionPoint{
		{"before", -200 * time.Millisecond},
		{"begun", time.Millisecond},
		{"spreading", 120 * time.Millisecond},
		{"suspected", time.Second},
		{"taken-over", 4 * time.Second},
	}
)

// TestControlMatrix injects each fault at each point of a change of the configuration, a
// join, a leave and a takeover. The 20 searches that are sent meanwhile may fail, but
// each answer must satisfy the invariants of Caller, and none may be lost by a graceful
// leave. convergencePeriod after the fault has been healed, checkConvergence must hold
// and a search must be complete after at most two sendings.
func TestControlMatrix(t *testing.T) {
	for _, o := range operations {
		for _, point := range operationPoints {
			for _, fault := range Faults() {
				t.Run(fmt.Sprintf("%s/%s/%s", o.name, point.name, fault.Name), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runControlCell(t, o, point, fault) })
				})
			}
		}
	}
}

func runControlCell(t *testing.T, o operation, point injectionPoint, fault Fault) {
	options := DefaultOptions()
	options.Hosts = 5
	f := New(options)
	f.Start()
	defer f.Stop()
	time.Sleep(startupPeriod)
	if point.offset < 0 {
		fault.Inject(f)
		time.Sleep(-point.offset)
		o.start(f)
	} else {
		o.start(f)
		time.Sleep(point.offset)
		fault.Inject(f)
	}
	caller := f.NewCaller()
	for i := range 20 {
		caller.SendToAdvertised(entry.RequestDocument{RequestID: fmt.Sprint("during-", i), Kind: SearchKind, Query: []byte(fmt.Sprint(i))}, 1)
		time.Sleep(200 * time.Millisecond)
	}
	if fault.Heal != nil {
		fault.Heal(f)
	}
	time.Sleep(convergencePeriod)
	checkConvergence(f, caller, o.name == "change" || fault.Name == "repartitioned" || fault.Name == "configuration-changes")
	after := caller.SendToAdvertised(entry.RequestDocument{RequestID: "after", Kind: SearchKind, Query: []byte(`"after"`)}, 2)
	if after.Answer.Status != "complete" {
		caller.addViolation("request after convergence: lost %v, %s %s", after.NoAnswer, after.Answer.Status, after.Answer.Reason)
	}
	caller.CheckFinalState(nil)
	for _, v := range caller.Violations {
		t.Error(v)
	}
}

// TestCutOffHostAdvertisesLeavingHost cuts off a host, and lets another one leave, which
// the host that is cut off cannot learn. All addresses that the host has returned must have
// expired when the other one stops.
func TestCutOffHostAdvertisesLeavingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := DefaultOptions()
		options.Hosts = 5
		f := New(options)
		f.Start()
		defer f.Stop()
		time.Sleep(startupPeriod)
		cutOff := f.ShardOwner(0)
		cutOffOwner(f)
		leaving := f.FirstHostNotOwningShard0()
		time.Sleep(200 * time.Millisecond)
		leaving.Leave()
		var expiresAt time.Time
		for !leaving.Stopped() {
			answer := cutOff.Entry.Addresses("attiki-1")
			if cutOff.Entry.NotReadyReason() == "" && slices.Contains(answer.Addresses, "entry@"+leaving.Name) {
				expiresAt = time.Now().Add(time.Duration(answer.TimeToLiveMilliseconds) * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
		qt.New(t).Check(time.Now().After(expiresAt), qt.IsTrue, qt.Commentf("expires %s after the stop", time.Until(expiresAt)))
	})
}

// checkConvergence checks that an expected configuration change was stored, that all
// running hosts have the latest revision and exactly the running hosts as alive members,
// and that each group has exactly one owner.
func checkConvergence(f *Fleet, caller *Caller, isChangeExpected bool) {
	latest, _ := f.StoredRevision()
	if isChangeExpected && latest < 2 {
		caller.addViolation("the configuration change was not stored: latest revision is %d", latest)
	}
	var running []string
	for _, h := range f.Hosts() {
		running = append(running, h.Name)
	}
	for _, h := range f.Hosts() {
		if r := h.Gate.Catalog().Revision(); r != latest {
			caller.addViolation("gate of %s is at revision %d, want %d", h.Name, r, latest)
		}
		if r := h.Entry.Catalog().Revision(); r != latest {
			caller.addViolation("entry of %s is at revision %d, want %d", h.Name, r, latest)
		}
		var alive []string
		for _, m := range h.Gate.Members() {
			if m.State() == roster.Alive {
				alive = append(alive, m.Host())
			}
		}
		slices.Sort(running)
		if !slices.Equal(alive, running) {
			caller.addViolation("%s has the alive members %v, running hosts are %v", h.Name, alive, running)
		}
	}
	ownerCounts := make(map[string]int)
	for _, h := range f.Hosts() {
		for _, g := range h.Gate.State().Groups {
			if g.Owned {
				ownerCounts[g.Name]++
			}
		}
	}
	for _, h := range f.Hosts() {
		for _, s := range h.Gate.Catalog().Services() {
			for _, g := range s.Groups() {
				if ownerCounts[g.Name()] != 1 {
					caller.addViolation("group %s has %d owners, want 1", g.Name(), ownerCounts[g.Name()])
				}
			}
		}
	}
}
