package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet is some rosters that exchange messages of which a share is lost.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	loss    float64
	rosters map[string]*Roster
	order   []string
	// down hosts answer nothing and ask nothing.
	down map[string]bool
	// suspicions and deaths count how often a live host was taken for one.
	suspicions, deaths, messages int
}

func newFleet(hosts int, loss float64) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(uint64(hosts), 5)), loss: loss, rosters: make(map[string]*Roster), down: make(map[string]bool)}
	var members []Member
	for i := range hosts {
		m := member(fmt.Sprintf("host-%04d", i), 1)
		members = append(members, m)
		f.rosters[m.Host()] = New(m, uint64(i))
		f.order = append(f.order, m.Host())
	}
	for _, h := range f.order {
		f.rosters[h].Step(f.now, GossipReceived{Updates: members})
		clear(f.rosters[h].rumours) // an old fleet has little news
	}
	return f
}

func (f *fleet) step(host string, e Event) []Action {
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

// exchange is one request and its reply, each of which may be lost.
func (f *fleet) exchange(from, to string) bool {
	f.messages += 2
	if f.down[to] || f.random.Float64() < f.loss {
		return false
	}
	target := f.rosters[from].members[to]
	news := f.rosters[from].NextUpdates()
	if target.State() == Suspect || target.State() == Dead {
		news = append(news, target)
	}
	f.step(to, GossipReceived{Sender: f.rosters[from].Self(), Updates: news})
	if f.random.Float64() < f.loss {
		return false
	}
	f.step(from, GossipReceived{Sender: f.rosters[to].Self(), Updates: f.rosters[to].NextUpdates()})
	return true
}

// run lets the fleet go on until a time has passed or until is true.
func (f *fleet) run(length time.Duration, until func() bool) time.Duration {
	startAt := f.now
	for f.now.Sub(startAt) < length && !until() {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, h := range f.order {
			if f.down[h] {
				continue
			}
			for _, a := range f.step(h, Tick{}) {
				f.perform(h, a)
			}
		}
	}
	return f.now.Sub(startAt)
}

func (f *fleet) perform(host string, action Action) {
	p, ok := action.(Probe)
	if !ok {
		return
	}
	for _, next := range f.step(host, ProbeEnded{Host: p.Target.Host(), Answered: f.exchange(host, p.Target.Host())}) {
		through, ok := next.(IndirectProbe)
		if !ok {
			continue
		}
		answered := false
		for _, via := range through.Via {
			asked := f.exchange(host, via.Host())
			answered = (asked && f.exchange(via.Host(), through.Target.Host())) || answered
		}
		f.step(host, ProbeEnded{Host: through.Target.Host(), Answered: answered, Indirect: true})
	}
}

// knownDead reports whether all others took a host for dead.
func (f *fleet) knownDead(host string) bool {
	for _, h := range f.order {
		if h != host && !f.down[h] && f.rosters[h].members[host].CanOwn() {
			return false
		}
	}
	return true
}

func TestDetection(t *testing.T) {
	for _, hosts := range []int{7, 60} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d-hosts/%.0f%%-loss", hosts, 100*loss), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(hosts, loss)
				f.run(10*time.Minute, func() bool { return false })
				c.Check(f.deaths, qt.Equals, 0, qt.Commentf("%d suspicions", f.suspicions))
				f.down["host-0003"] = true
				took := f.run(time.Minute, func() bool { return f.knownDead("host-0003") })
				c.Check(took < 18*time.Second, qt.IsTrue)
				t.Logf("%d hosts, %.0f%% loss: %d false suspicions in 10 min, known dead everywhere after %s", hosts, 100*loss, f.suspicions, took)
			})
		}
	}
}

// BenchmarkDetection is 60 s of a fleet, and the time until a dead host is known
// by all others.
func BenchmarkDetection(b *testing.B) {
	for _, hosts := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("%d-hosts", hosts), func(b *testing.B) {
			var calm, took time.Duration
			var suspicions, messages int
			for b.Loop() {
				f := newFleet(hosts, 0.05)
				startAt := time.Now()
				f.run(time.Minute, func() bool { return false })
				calm += time.Since(startAt)
				suspicions += f.suspicions
				messages += f.messages
				f.down["host-0003"] = true
				took += f.run(time.Minute, func() bool { return f.knownDead("host-0003") })
			}
			n := float64(b.N)
			b.ReportMetric(float64(calm.Microseconds())/n/60/float64(hosts), "us/host-second")
			b.ReportMetric(float64(messages)/n/60/float64(hosts), "messages/host-second")
			b.ReportMetric(float64(suspicions)/n, "false-suspicions/min")
			b.ReportMetric(took.Seconds()/n, "s-to-known-dead")
		})
	}
}
