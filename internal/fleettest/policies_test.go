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
	measurePolicies = flag.Bool("policies", false, "compare the policies under the load of each scenario")
	policySeedCount = flag.Int("policy-seeds", 3, "number of seeds with which each policy is measured")
	onlyScenario    = flag.String("policy", "", "measure only this scenario")
	// meanRunDuration is the mean of standin.DefaultRunDuration, rounded to 0.1 ms.
	meanRunDuration = 19800 * time.Microsecond
)

const (
	measurementPeriod = 20 * time.Second
	urgentRatio       = 0.3
)

// policy is a named change of the options of a fleet.
type policy struct {
	name   string
	adjust func(*Options)
}

// scenario is a load with faults, and the policies that are compared under it.
type scenario struct {
	name string
	// loadRatio is the mean request rate divided by the capacity, the rate at which the
	// slots of one shard finish runs. Each request runs on every shard.
	loadRatio    float64
	injectFaults func(*Fleet)
	policies     []policy
}

// measurement holds the results of one run; latency is in microseconds, by kind.
type measurement struct {
	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram
	// sent and completed count the requests and the complete answers, by kind.
	sent, completed map[string]int
	coverageSum     float64
	plannedParts    int
	violations      []string
}

var (
	defaultPolicy     = policy{"owned, hedge from the queue's head", func(*Options) {}}
	noHedgePolicy     = policy{"owned, no hedge", func(o *Options) { o.Gate.Hedge = shard.HedgeNever }}
	freeSlotPolicy    = policy{"owned, hedge into a free slot", func(o *Options) { o.Gate.Hedge = shard.HedgeFreeSlot }}
	directPolicy      = policy{"direct, adaptive limits, hedge", func(o *Options) { o.Direct = true; o.Gate.UseAdaptiveLimit = true }}
	noAdmissionPolicy = policy{"owned, no admission", func(o *Options) { o.EntryAdmissionDisabled = true; o.Gate.AdmissionDisabled = true }}
	canaryPolicy      = policy{"owned, canary always", func(o *Options) { o.Canary = catalog.CanaryAlways }}
	latencyGoalPolicy = policy{"owned, goal latency", func(o *Options) { o.Goal = catalog.GoalLatency }}
)

func addStragglers(f *Fleet) {
	for _, u := range f.Upstreams {
		u.SetFaults(standin.UpstreamFaults{StragglerShare: 1.0 / 200})
	}
}

func scenarios() []scenario {
	hedgingPolicies := []policy{directPolicy, noHedgePolicy, freeSlotPolicy, defaultPolicy}
	return []scenario{
		{"stragglers-60", 0.6, addStragglers, append(hedgingPolicies, canaryPolicy, latencyGoalPolicy)},
		{"stragglers-80", 0.8, addStragglers, hedgingPolicies},
		{"stragglers-90", 0.9, addStragglers, hedgingPolicies},
		{"overload-150", 1.5, addStragglers, []policy{directPolicy, noAdmissionPolicy, defaultPolicy}},
		{"replica-lost-60", 0.6, func(f *Fleet) { addStragglers(f); f.Upstreams[0].SetFaults(standin.UpstreamFaults{Down: true}) }, []policy{directPolicy, defaultPolicy}},
		{"target-60", 0.6, addStragglers, []policy{
			{"70 shards, hedge from the queue's head", setTargetSize},
			{"70 shards, no hedge", func(o *Options) { setTargetSize(o); o.Gate.Hedge = shard.HedgeNever }},
			{"70 shards, goal latency", func(o *Options) { setTargetSize(o); o.Goal = catalog.GoalLatency }},
		}},
		{"shard-slow-60", 0.6, func(f *Fleet) { addStragglers(f); slowFirstShard(1.5)(f) }, []policy{directPolicy, noHedgePolicy, defaultPolicy, latencyGoalPolicy}},
	}
}

// setTargetSize sets 24 hosts, 70 shards and 4 slots for each upstream. One service of 70
// shards on 24 hosts is a part of the target deployment.
func setTargetSize(o *Options) {
	o.Hosts, o.Shards, o.Slots = 24, 70, 4
}

// deployments are the slots of each upstream and the goals of the search services of both
// users.
var deployments = []struct {
	name  string
	slots int
	goal  catalog.Goal
}{{"velkaneuvo-console", 2, catalog.GoalCoverage}, {"syndesmos-screening", 3, catalog.GoalCoverage}}

// TestPolicies measures each policy of each scenario with the slots and goals of both
// deployments and logs a line for each seed. Policies may overwrite these options, as
// those of target-60 overwrite hosts, shards and slots. The test fails only on violated
// invariants, and is skipped without -policies.
func TestPolicies(t *testing.T) {
	if !*measurePolicies {
		t.Skip("measures the policies only with -policies")
	}
	for _, d := range deployments {
		for _, s := range scenarios() {
			if *onlyScenario != "" && *onlyScenario != s.name {
				continue
			}
			t.Run(d.name+"/"+s.name, func(t *testing.T) {
				for _, p := range s.policies {
					t.Run(p.name, func(t *testing.T) {
						t.Parallel()
						o := policyOptions(d.slots, d.goal, p)
						var lines []string
						for seed := range *policySeedCount {
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
	o.Canary, o.RunDuration = catalog.CanaryNever, standin.DefaultRunDuration
	p.adjust(&o)
	return o
}

func runPolicy(t *testing.T, o Options, s scenario) string {
	f := New(o)
	f.Start()
	defer f.Stop()
	time.Sleep(startupPeriod)
	s.injectFaults(f)
	capacity := float64(o.Slots*o.Replicas) / meanRunDuration.Seconds()
	m := &measurement{latency: make(map[string]*hdrhistogram.Histogram), sent: make(map[string]int), completed: make(map[string]int)}
	for _, kind := range []string{SearchKind, "urgent-search"} {
		m.latency[kind] = hdrhistogram.New(1, 10_000_000, 3)
	}
	random := rand.New(rand.NewPCG(o.Seed, 3))
	sendLoad(f, m, random, s.loadRatio*capacity, 3*time.Second, false)
	startedBefore, _, wastedBefore := f.RunCounter.Counts()
	sendLoad(f, m, random, s.loadRatio*capacity, measurementPeriod, true)
	started, _, wasted := f.RunCounter.Counts()
	for _, v := range f.Recorder.Violations() {
		t.Error(v)
	}
	for _, v := range m.violations {
		t.Error(v)
	}
	all := hdrhistogram.Import(m.latency[SearchKind].Export())
	all.Merge(m.latency["urgent-search"])
	sent, completed := m.sent[SearchKind]+m.sent["urgent-search"], m.completed[SearchKind]+m.completed["urgent-search"]
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("seed %d: p50 %.0f p99 %.0f p99.9 %.0f ms, p99/p50 %.2f; urgent p99 %.0f ms; coverage %.4f; attempts/planned part %.4f, wasted attempts/planned part %.4f; urgent complete ratio %.4f; complete/s %.0f of capacity %.0f = %.3f; sent/s %.0f",
		o.Seed, millis(all, 50), millis(all, 99), millis(all, 99.9), millis(all, 99)/millis(all, 50), millis(m.latency["urgent-search"], 99),
		m.coverageSum/float64(sent), float64(started-startedBefore)/float64(m.plannedParts), float64(wasted-wastedBefore)/float64(max(1, m.plannedParts)),
		float64(m.completed["urgent-search"])/float64(max(1, m.sent["urgent-search"])),
		float64(completed)/measurementPeriod.Seconds(), capacity, float64(completed)/measurementPeriod.Seconds()/capacity, float64(sent)/measurementPeriod.Seconds())
}

// sendLoad sends requests to random hosts with Poisson arrivals, at a mean rate per
// second, and waits for the answers. It records the answers in m if recordAnswers is set.
func sendLoad(f *Fleet, m *measurement, random *rand.Rand, rate float64, duration time.Duration, recordAnswers bool) {
	var requests sync.WaitGroup
	hosts := f.Hosts()
	endAt := time.Now().Add(duration)
	for n := 0; time.Now().Before(endAt); n++ {
		kind := SearchKind
		if random.Float64() < urgentRatio {
			kind = "urgent-search"
		}
		d := entry.RequestDocument{RequestID: fmt.Sprintf("%s-%t-%d", kind, recordAnswers, n), Kind: kind, Query: []byte(fmt.Sprint(n))}
		host := hosts[random.IntN(len(hosts))]
		requests.Go(func() {
			caller := f.NewCaller()
			r := caller.Send(host, d)
			if recordAnswers {
				m.record(kind, r, caller)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	requests.Wait()
}

func (m *measurement) record(kind string, r Response, c *Caller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent[kind]++
	m.coverageSum += r.Answer.Coverage
	m.violations = append(m.violations, c.Violations...)
	// A request without results and attempts, such as a refused or lost request, counts
	// in neither the planned parts nor the latency.
	if len(r.Answer.Results) > 0 || r.Answer.Attempts > 0 {
		m.plannedParts += len(r.Answer.Results) + len(r.Answer.Missing)
		_ = m.latency[kind].RecordValue(r.Elapsed.Microseconds())
	}
	if r.Answer.Status == "complete" {
		m.completed[kind]++
	}
}
