package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
)

var seedCount = flag.Int("seeds", 6, "number of random runs, each with its own seed")

const (
	randomRunPeriod   = 40 * time.Second
	meanFaultInterval = 1500 * time.Millisecond
	requestsPerSecond = 40
	minHosts          = 3
)

// randomRun is a run of randomRunPeriod whose faults and requests are drawn from a seed.
type randomRun struct {
	t       *testing.T
	fleet   *Fleet
	random  *rand.Rand
	startAt time.Time

	mu           sync.Mutex
	callers      []*Caller
	bookings     []string
	statusCounts map[string]int
}

// TestRandomRuns runs a fleet under random faults and requests for each seed. No
// invariant of Caller or of the processes may be violated, no request may be lost by a
// graceful leave, no booking may run twice, and no upstream may admit more runs at once
// than checkUpstreamLimits allows. recoveryPeriod after all faults have been healed, a
// search must be complete after at most three sendings.
func TestRandomRuns(t *testing.T) {
	for seed := range *seedCount {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRandom(t, uint64(seed)) })
		})
	}
}

func runRandom(t *testing.T, seed uint64) {
	o := DefaultOptions()
	o.Hosts, o.Shards, o.Seed = 5, 6, seed
	r := &randomRun{t: t, startAt: time.Now(), fleet: New(o), random: rand.New(rand.NewPCG(seed, 99)), statusCounts: make(map[string]int)}
	r.fleet.Start()
	defer r.fleet.Stop()
	time.Sleep(startupPeriod)
	var requests sync.WaitGroup
	endAt := time.Now().Add(randomRunPeriod)
	nextFaultAt := time.Now()
	for n := 0; time.Now().Before(endAt); n++ {
		if !time.Now().Before(nextFaultAt) {
			r.injectRandomFault()
			nextFaultAt = time.Now().Add(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
		}
		isBooking, key := r.random.IntN(4) == 0, r.random.IntN(1000)
		requests.Go(func() { r.sendRequest(n, isBooking, key) })
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(time.Second/requestsPerSecond)))
	}
	requests.Wait()
	r.healAll()
	time.Sleep(recoveryPeriod)
	r.checkFinalState(t)
}

// injectRandomFault injects a random fault other than repartitioned and
// version-replaced. A fault with a Heal function ends after a random duration with a mean
// of 2 s; killed and leaving hosts are drawn at random. If at most minHosts hosts run, it
// adds a host instead; if eight or more run, host-joins adds none.
func (r *randomRun) injectRandomFault() {
	f := r.fleet
	candidates := slices.DeleteFunc(Faults(), func(f Fault) bool { return f.Name == "repartitioned" || f.Name == "version-replaced" })
	fault := candidates[r.random.IntN(len(candidates))]
	hosts := f.Hosts()
	target := hosts[r.random.IntN(len(hosts))]
	r.t.Logf("after %s: drew fault %s and target host %s, %d running hosts", time.Since(r.startAt), fault.Name, target.Name, len(hosts))
	if len(hosts) <= minHosts {
		f.AddHost(fmt.Sprintf("host-%d", len(f.hosts)))
		f.publishHostList()
		return
	}
	switch fault.Name {
	case "host-joins":
		if len(hosts) < 8 {
			f.AddHost(fmt.Sprintf("host-%d", len(f.hosts)))
			f.publishHostList()
		}
		return
	case "gate-killed", "entry-killed":
		target.Kill()
		return
	case "gate-leaves", "entry-leaves":
		target.Leave()
		return
	}
	fault.Inject(f)
	if fault.Heal == nil {
		return
	}
	duration := time.Duration(r.random.ExpFloat64() * float64(2*time.Second))
	f.Go(func() {
		time.Sleep(duration)
		fault.Heal(f)
	})
}

func (r *randomRun) healAll() {
	for _, fault := range Faults() {
		if fault.Heal != nil {
			fault.Heal(r.fleet)
		}
	}
}

// sendRequest sends one search once, or one booking at most six times until an answer is
// complete, and records the result.
func (r *randomRun) sendRequest(number int, isBooking bool, key int) {
	d := entry.RequestDocument{RequestID: fmt.Sprintf("read-%d", number), Kind: SearchKind, Query: []byte(fmt.Sprintf("%d", key))}
	maxTries := 1
	if isBooking {
		d = entry.RequestDocument{RequestID: fmt.Sprintf("book-%d", number), Kind: BookingKind, Key: fmt.Sprint(key)}
		maxTries = 6
	}
	caller := r.fleet.NewCaller()
	response := caller.SendToAdvertised(d, maxTries)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callers = append(r.callers, caller)
	if isBooking {
		r.bookings = append(r.bookings, d.RequestID)
	}
	status := response.Answer.Status
	if response.NoAnswer {
		status = "lost"
	}
	r.statusCounts[status]++
}

func (r *randomRun) checkFinalState(t *testing.T) {
	last := r.fleet.NewCaller()
	response := last.SendToAdvertised(entry.RequestDocument{RequestID: "last", Kind: SearchKind, Query: []byte(`"last"`)}, 3)
	if response.Answer.Status != "complete" {
		last.addViolation("request after all faults: lost %v, %s %s", response.NoAnswer, response.Answer.Status, response.Answer.Reason)
	}
	last.CheckFinalState(r.bookings)
	for _, u := range r.fleet.Upstreams {
		if bound := r.fleet.Options.Slots + len(r.fleet.hosts) - 1; u.MaxConcurrentRuns() > bound {
			last.addViolation("upstream %s: %d runs admitted at once with %d slots and %d hosts", u.Name, u.MaxConcurrentRuns(), u.Slots, len(r.fleet.hosts))
		}
	}
	for _, c := range append(r.callers, last) {
		for _, v := range c.Violations {
			t.Error(v)
		}
	}
	t.Logf("%d requests: %v", len(r.callers), r.statusCounts)
}
