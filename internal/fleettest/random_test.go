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

var seeds = flag.Int("seeds", 6, "how many random runs")

const (
	runTime     = 40 * time.Second
	faultEvery  = 1500 * time.Millisecond
	requestRate = 40 // a second
	fewestHosts = 3
)

// randomRun is one long run with faults and requests drawn from a seed.
type randomRun struct {
	t       *testing.T
	fleet   *Fleet
	random  *rand.Rand
	startAt time.Time

	mu       sync.Mutex
	callers  []*Caller
	bookings []string
	statuses map[string]int
}

func TestRandomRuns(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRandom(t, uint64(seed)) })
		})
	}
}

func runRandom(t *testing.T, seed uint64) {
	o := DefaultOptions()
	o.Hosts, o.Shards, o.Seed = 5, 6, seed
	r := &randomRun{t: t, startAt: time.Now(), fleet: New(o), random: rand.New(rand.NewPCG(seed, 99)), statuses: make(map[string]int)}
	r.fleet.Start()
	defer r.fleet.Stop()
	time.Sleep(startTime)
	var requests sync.WaitGroup
	end := time.Now().Add(runTime)
	faults := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		if !time.Now().Before(faults) {
			r.fault()
			faults = time.Now().Add(time.Duration(r.random.ExpFloat64() * float64(faultEvery)))
		}
		booking, key := r.random.IntN(4) == 0, r.random.IntN(1000)
		requests.Go(func() { r.request(n, booking, key) })
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(time.Second/requestRate)))
	}
	requests.Wait()
	r.healAll()
	time.Sleep(recoveryTime)
	r.finish(t)
}

// fault injects one fault that ends after a while, or a change of hosts.
func (r *randomRun) fault() {
	f := r.fleet
	all := slices.DeleteFunc(Faults(), func(f Fault) bool { return f.Name == "repartitioned" || f.Name == "version-replaced" })
	fault := all[r.random.IntN(len(all))]
	nodes := f.Nodes()
	target := nodes[r.random.IntN(len(nodes))]
	r.t.Logf("%s: %s, target %s, %d hosts", time.Since(r.startAt), fault.Name, target.Name, len(nodes))
	if len(nodes) <= fewestHosts {
		f.AddNode(fmt.Sprintf("host-%d", len(f.nodes)))
		f.publishHosts()
		return
	}
	switch fault.Name {
	case "host-joins":
		if len(nodes) < 8 {
			f.AddNode(fmt.Sprintf("host-%d", len(f.nodes)))
			f.publishHosts()
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
	length := time.Duration(r.random.ExpFloat64() * float64(2*time.Second))
	f.Go(func() {
		time.Sleep(length)
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

// request sends one request, again and again until its outcome is known.
func (r *randomRun) request(n int, booking bool, key int) {
	d := entry.RequestDocument{RequestID: fmt.Sprintf("read-%d", n), Kind: Search, Query: []byte(fmt.Sprintf("%d", key))}
	tries := 1
	if booking {
		d = entry.RequestDocument{RequestID: fmt.Sprintf("book-%d", n), Kind: Booking, Key: fmt.Sprint(key)}
		tries = 6
	}
	caller := r.fleet.NewCaller()
	response := caller.AskAround(d, tries)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callers = append(r.callers, caller)
	if booking {
		r.bookings = append(r.bookings, d.RequestID)
	}
	status := response.Answer.Status
	if response.Lost {
		status = "lost"
	}
	r.statuses[status]++
}

func (r *randomRun) finish(t *testing.T) {
	last := r.fleet.NewCaller()
	answer := last.AskAround(entry.RequestDocument{RequestID: "last", Kind: Search, Query: []byte(`"last"`)}, 3)
	if answer.Answer.Status != "complete" {
		last.broke("after all faults: lost %v, %s %s", answer.Lost, answer.Answer.Status, answer.Answer.Reason)
	}
	last.CheckEnd(r.bookings)
	for _, u := range r.fleet.Upstreams {
		if bound := r.fleet.Options.Slots + len(r.fleet.nodes) - 1; u.MostRunning() > bound {
			last.broke("upstream %s: %d at once, %d slots, %d hosts", u.Name, u.MostRunning(), u.Slots, len(r.fleet.nodes))
		}
	}
	for _, c := range append(r.callers, last) {
		for _, b := range c.Broken {
			t.Error(b)
		}
	}
	t.Logf("%d requests: %v", len(r.callers), r.statuses)
}
