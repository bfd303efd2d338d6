package fleettest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/entry"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

var (
	policies    = flag.Bool("policies", false, "measure the policies against each other")
	policyRuns  = flag.Int("policy-seeds", 3, "how many seeds each policy is measured with")
	onlyPolicy  = flag.String("policy", "", "measure only this scenario")
	meanRunTime = 19800 * time.Microsecond
)

const (
	measureTime = 20 * time.Second
	urgentShare = 0.3
)

// policy is one way to run a fleet.
type policy struct {
	name   string
	adjust func(*Options)
}

// scenario is a load with faults, and the policies that it is run with.
type scenario struct {
	name string
	// load is the share of the capacity that is asked for.
	load     float64
	faults   func(*Fleet)
	policies []policy
}

// measure is what came out of one run.
type measure struct {
	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram
	// asked and useful count requests and those answered whole and on time.
	asked, useful map[string]int
	coverage      float64
	planned       int
	broken        []string
}

var (
	owned     = policy{"owned, hedge from the queue's head", func(*Options) {}}
	noHedge   = policy{"owned, no hedge", func(o *Options) { o.Gate.Hedge = shard.HedgeNever }}
	freeSlot  = policy{"owned, hedge into a free slot", func(o *Options) { o.Gate.Hedge = shard.HedgeFreeSlot }}
	direct    = policy{"direct, adaptive limits, hedge", func(o *Options) { o.Direct = true; o.Gate.AdaptiveLimit = true }}
	admitAll  = policy{"owned, no admission", func(o *Options) { o.NoAdmission = true; o.Gate.NoAdmission = true }}
	canary    = policy{"owned, canary always", func(o *Options) { o.Canary = catalog.CanaryAlways }}
	byLatency = policy{"owned, goal latency", func(o *Options) { o.Goal = catalog.GoalLatency }}
)

func stragglers(f *Fleet) {
	for _, u := range f.Upstreams {
		u.SetFaults(standin.UpstreamFaults{StragglerShare: 1.0 / 200})
	}
}

func scenarios() []scenario {
	hedging := []policy{direct, noHedge, freeSlot, owned}
	return []scenario{
		{"stragglers-60", 0.6, stragglers, append(hedging, canary, byLatency)},
		{"stragglers-80", 0.8, stragglers, hedging},
		{"stragglers-90", 0.9, stragglers, hedging},
		{"overload-150", 1.5, stragglers, []policy{direct, admitAll, owned}},
		{"replica-lost-60", 0.6, func(f *Fleet) { stragglers(f); f.Upstreams[0].SetFaults(standin.UpstreamFaults{Down: true}) }, []policy{direct, owned}},
		{"target-60", 0.6, stragglers, []policy{
			{"70 shards, hedge from the queue's head", target},
			{"70 shards, no hedge", func(o *Options) { target(o); o.Gate.Hedge = shard.HedgeNever }},
			{"70 shards, goal latency", func(o *Options) { target(o); o.Goal = catalog.GoalLatency }},
		}},
		{"shard-slow-60", 0.6, func(f *Fleet) { stragglers(f); slowShard(1.5)(f) }, []policy{direct, noHedge, owned, byLatency}},
	}
}

// target is a service of 70 shards on more hosts, as a part of the fleet that
// is aimed at.
func target(o *Options) {
	o.Hosts, o.Shards, o.Slots = 24, 70, 4
}

// deployments are the sizes of both users' search services.
var deployments = []struct {
	name  string
	slots int
	goal  catalog.Goal
}{{"velkaneuvo-console", 2, catalog.GoalCoverage}, {"syndesmos-screening", 3, catalog.GoalCoverage}}

func TestPolicies(t *testing.T) {
	if !*policies {
		t.Skip("measures only with -policies")
	}
	for _, d := range deployments {
		for _, s := range scenarios() {
			if *onlyPolicy != "" && *onlyPolicy != s.name {
				continue
			}
			t.Run(d.name+"/"+s.name, func(t *testing.T) {
				for _, p := range s.policies {
					t.Run(p.name, func(t *testing.T) {
						t.Parallel()
						o := policyOptions(d.slots, d.goal, p)
						var lines []string
						for seed := range *policyRuns {
							o.Seed = uint64(seed + 1)
							synctest.Test(t, func(t *testing.T) { lines = append(lines, runPolicy(t, o, s)) })
						}
						for _, l := range lines {
							t.Logf("%s | %s | %s | %s", d.name, s.name, p.name, l)
						}
					})
				}
			})
		}
	}
}

func policyOptions(slots int, goal catalog.Goal, p policy) Options {
	o := DefaultOptions()
	o.Hosts, o.Shards, o.Slots, o.Goal = 7, 10, slots, goal
	o.Canary, o.RunTime = catalog.CanaryNever, standin.DefaultRunTime
	p.adjust(&o)
	return o
}

func runPolicy(t *testing.T, o Options, s scenario) string {
	f := New(o)
	f.Start()
	defer f.Stop()
	time.Sleep(startTime)
	s.faults(f)
	capacity := float64(o.Slots*o.Replicas) / meanRunTime.Seconds()
	m := &measure{latency: make(map[string]*hdrhistogram.Histogram), asked: make(map[string]int), useful: make(map[string]int)}
	for _, kind := range []string{Search, "urgent-search"} {
		m.latency[kind] = hdrhistogram.New(1, 10_000_000, 3)
	}
	random := rand.New(rand.NewPCG(o.Seed, 3))
	load(f, m, random, s.load*capacity, 3*time.Second, false)
	startedBefore, _, wastedBefore := f.Ledger.Counts()
	load(f, m, random, s.load*capacity, measureTime, true)
	started, _, wasted := f.Ledger.Counts()
	for _, v := range f.Recorder.Violations() {
		t.Error(v)
	}
	for _, b := range m.broken {
		t.Error(b)
	}
	all := hdrhistogram.Import(m.latency[Search].Export())
	all.Merge(m.latency["urgent-search"])
	asked, useful := m.asked[Search]+m.asked["urgent-search"], m.useful[Search]+m.useful["urgent-search"]
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("seed %d: p50 %.0f p99 %.0f p99.9 %.0f ms, p99/p50 %.2f; urgent p99 %.0f ms; coverage %.4f; attempts/planned %.4f, wasted %.4f; urgent useful %.4f; useful/s %.0f of capacity %.0f = %.3f; asked/s %.0f",
		o.Seed, millis(all, 50), millis(all, 99), millis(all, 99.9), millis(all, 99)/millis(all, 50), millis(m.latency["urgent-search"], 99),
		m.coverage/float64(asked), float64(started-startedBefore)/float64(m.planned), float64(wasted-wastedBefore)/float64(max(1, m.planned)),
		float64(m.useful["urgent-search"])/float64(max(1, m.asked["urgent-search"])),
		float64(useful)/measureTime.Seconds(), capacity, float64(useful)/measureTime.Seconds()/capacity, float64(asked)/measureTime.Seconds())
}

// load sends requests at a rate and waits for their answers.
func load(f *Fleet, m *measure, random *rand.Rand, rate float64, length time.Duration, count bool) {
	var requests sync.WaitGroup
	nodes := f.Nodes()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		kind := Search
		if random.Float64() < urgentShare {
			kind = "urgent-search"
		}
		d := entry.RequestDocument{RequestID: fmt.Sprintf("%s-%t-%d", kind, count, n), Kind: kind, Query: []byte(fmt.Sprint(n))}
		node := nodes[random.IntN(len(nodes))]
		requests.Go(func() {
			caller := f.NewCaller()
			r := caller.Ask(node, d)
			if count {
				m.add(kind, r, caller)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	requests.Wait()
}

func (m *measure) add(kind string, r Response, c *Caller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked[kind]++
	m.coverage += r.Answer.Coverage
	m.broken = append(m.broken, c.Broken...)
	if len(r.Answer.Results) > 0 || r.Answer.Attempts > 0 {
		m.planned += len(r.Answer.Results) + len(r.Answer.Missing)
		_ = m.latency[kind].RecordValue(r.Took.Microseconds())
	}
	if r.Answer.Status == "complete" {
		m.useful[kind]++
	}
}
