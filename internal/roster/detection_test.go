package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulatedFleet is a set of rosters that exchange messages. Each message is lost
// with the probability lossRatio.
type simulatedFleet struct {
	now       time.Time
	random    *rand.Rand
	lossRatio float64
	rosters   map[string]*Roster
	// hosts holds the names of all hosts, in the order in which they act.
	hosts []string
	// down holds the hosts that neither send nor answer messages.
	down map[string]bool
	// suspicions and deaths count how often a roster considered a live host suspect
	// or dead; messages counts requests and replies.
	suspicions, deaths, messages int
}

func newSimulatedFleet(hosts int, lossRatio float64) *simulatedFleet {
	f := &simulatedFleet{now: start, random: rand.New(rand.NewPCG(uint64(hosts), 5)), lossRatio: lossRatio, rosters: make(map[string]*Roster), down: make(map[string]bool)}
	var members []Member
	for i := range hosts {
		m := member(fmt.Sprintf("host-%04d", i), 1)
		members = append(members, m)
		f.rosters[m.Host()] = New(m, uint64(i))
		f.hosts = append(f.hosts, m.Host())
	}
	for _, h := range f.hosts {
		f.rosters[h].Step(f.now, GossipReceived{Updates: members})
		clear(f.rosters[h].remainingSends) // an established fleet has few updates to send
	}
	return f
}

func (f *simulatedFleet) step(host string, e Event) []Action {
	actions := f.rosters[host].Step(f.now, e)
	for _, a := range actions {
		c, ok := a.(MemberChanged)
		if !ok || f.down[c.New.Host()] {
			continue
		}
		switch c.New.State() {
		case Suspect:
			f.suspicions++
		case Dead:
			f.deaths++
		}
	}
	return actions
}

// exchange sends one request, and reports whether the reply arrived. The request or
// the reply may be lost.
func (f *simulatedFleet) exchange(from, to string) bool {
	f.messages += 2
	if f.down[to] || f.random.Float64() < f.lossRatio {
		return false
	}
	target := f.rosters[from].members[to]
	updates := f.rosters[from].NextUpdates()
	if target.State() == Suspect || target.State() == Dead {
		updates = append(updates, target)
	}
	f.step(to, GossipReceived{Sender: f.rosters[from].Self(), Updates: updates})
	if f.random.Float64() < f.lossRatio {
		return false
	}
	f.step(from, GossipReceived{Sender: f.rosters[to].Self(), Updates: f.rosters[to].NextUpdates()})
	return true
}

// run advances the simulation until done returns true, at most by limit, and
// returns the elapsed time.
func (f *simulatedFleet) run(limit time.Duration, done func() bool) time.Duration {
	startedAt := f.now
	for f.now.Sub(startedAt) < limit && !done() {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, h := range f.hosts {
			if f.down[h] {
				continue
			}
			for _, a := range f.step(h, Tick{}) {
				f.perform(h, a)
			}
		}
	}
	return f.now.Sub(startedAt)
}

func (f *simulatedFleet) perform(host string, action Action) {
	p, ok := action.(Probe)
	if !ok {
		return
	}
	for _, next := range f.step(host, ProbeEnded{Host: p.Target.Host(), Answered: f.exchange(host, p.Target.Host())}) {
		indirect, ok := next.(IndirectProbe)
		if !ok {
			continue
		}
		answered := false
		for _, via := range indirect.Via {
			viaAnswered := f.exchange(host, via.Host())
			answered = (viaAnswered && f.exchange(via.Host(), indirect.Target.Host())) || answered
		}
		f.step(host, ProbeEnded{Host: indirect.Target.Host(), Answered: answered, Indirect: true})
	}
}

// isDeadEverywhere reports whether no other live host considers this host able to own
// groups.
func (f *simulatedFleet) isDeadEverywhere(host string) bool {
	for _, h := range f.hosts {
		if h != host && !f.down[h] && f.rosters[h].members[host].CanOwn() {
			return false
		}
	}
	return true
}

// TestDetection checks, in fleets of 7 and 60 hosts with 0 and 5 % loss, that no live
// host is considered dead in 10 minutes, and that a stopped host is considered dead by
// all others within 18 s.
func TestDetection(t *testing.T) {
	for _, hosts := range []int{7, 60} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d-hosts/%.0f%%-loss", hosts, 100*loss), func(t *testing.T) {
				c := qt.New(t)
				f := newSimulatedFleet(hosts, loss)
				f.run(10*time.Minute, func() bool { return false })
				c.Check(f.deaths, qt.Equals, 0, qt.Commentf("%d suspicions", f.suspicions))
				f.down["host-0003"] = true
				elapsed := f.run(time.Minute, func() bool { return f.isDeadEverywhere("host-0003") })
				c.Check(elapsed < 18*time.Second, qt.IsTrue)
				t.Logf("%d hosts, %.0f%% loss: %d false suspicions in 10 min, dead on all hosts after %s", hosts, 100*loss, f.suspicions, elapsed)
			})
		}
	}
}

// BenchmarkDetection measures the run time, messages and false suspicions of 60
// simulated seconds of a fleet with 5 % loss, and then the simulated time until all
// other hosts consider a stopped host dead.
func BenchmarkDetection(b *testing.B) {
	for _, hosts := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("%d-hosts", hosts), func(b *testing.B) {
			var simulation, detection time.Duration
			var suspicions, messages int
			for b.Loop() {
				f := newSimulatedFleet(hosts, 0.05)
				startedAt := time.Now()
				f.run(time.Minute, func() bool { return false })
				simulation += time.Since(startedAt)
				suspicions += f.suspicions
				messages += f.messages
				f.down["host-0003"] = true
				detection += f.run(time.Minute, func() bool { return f.isDeadEverywhere("host-0003") })
			}
			n := float64(b.N)
			b.ReportMetric(float64(simulation.Microseconds())/n/60/float64(hosts), "us/host-second")
			b.ReportMetric(float64(messages)/n/60/float64(hosts), "messages/host-second")
			b.ReportMetric(float64(suspicions)/n, "false-suspicions/min")
			b.ReportMetric(detection.Seconds()/n, "s-to-known-dead")
		})
	}
}
