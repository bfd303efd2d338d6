// Package entry implements the entry process, which takes callers' requests,
// scatters them to gates and gathers the answers.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/follow"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	viewRefreshInterval = 250 * time.Millisecond
	// cutOffDelay is how long an entry keeps serving without a view update from any
	// gate.
	cutOffDelay = 3 * time.Second
	// withdrawPeriod is how long other entries may take to learn that this entry is
	// leaving. Until then they still include its address in their address answers.
	withdrawPeriod = 4 * time.Second
	// finishReadPeriod is how long a request may take to be read once the entry refuses
	// requests. The HTTP server waits longer.
	finishReadPeriod = 500 * time.Millisecond
	// DefaultAddressTTL is the default of Entry.AddressTTL.
	DefaultAddressTTL = 10 * time.Second
)

// An Entry is the state of an entry process. Its exported fields must be set
// before Run.
type Entry struct {
	Host       string
	DataCenter string
	// Address is the address at which this entry takes callers' connections.
	Address string
	// LocalGateAddress is the address of the gate on the same host, from which the
	// view is fetched first.
	LocalGateAddress string
	Store            keyvalue.Store
	Hosts            hostlist.List
	GateTransport    peer.GateTransport
	Recorder         *invariant.Recorder
	Timeline         *timeline.Ring
	Metrics          *Metrics
	Log              logrus.FieldLogger
	// AddressTTL is how long callers may cache the address answer; zero means
	// DefaultAddressTTL.
	AddressTTL time.Duration
	// AdmissionDisabled disables admission control: requests that are likely to miss
	// their deadline are accepted.
	AdmissionDisabled bool

	follower *follow.Follower
	tasks    work.Group
	view     *view

	mu sync.Mutex
	// reportCaches holds a cache for each service in use, by service name.
	reportCaches map[string]*shardReportCache
	// answeredFingerprints holds the fingerprints of requests that were recently
	// answered completely; these need no canary.
	answeredFingerprints recentSet
	// lastCrashAt is, by service name, when an answer last indicated that a request
	// may have crashed an upstream.
	lastCrashAt   map[string]time.Time
	leaving       bool
	viewUpdatedAt time.Time
	// intake counts the requests and closes when a stopping entry refuses further ones. refusing
	// ends just after that, answering when requests in flight must be answered.
	intake              work.Intake
	refusing, answering context.Context
	refuse, answerNow   context.CancelFunc
	initOnce            sync.Once
}

// Catalog returns the active catalog.
func (e *Entry) Catalog() *catalog.Catalog {
	e.init()
	return e.follower.Current()
}

// Leave withdraws this entry's address from the address answers and keeps serving,
// for withdrawPeriod and AddressTTL, callers that may still use the address. It then
// refuses requests, and returns when none is in flight, as work.Intake.Drain does, or when the
// context ends.
func (e *Entry) Leave(ctx context.Context) {
	e.init()
	e.Timeline.Add("leave", "", "entry withdraws its address")
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.refreshView(ctx)
	work.Sleep(ctx, withdrawPeriod+e.AddressTTL)
	e.intake.Close()
	e.refuse()
	e.intake.Drain(ctx, e.answerNow)
}

// MaxLeaveDuration returns how long Leave takes at most.
func (e *Entry) MaxLeaveDuration() time.Duration {
	e.init()
	return maxRefreshDuration + withdrawPeriod + e.AddressTTL + work.MaxDrainDuration
}

// NotReadyReason returns why the entry cannot serve requests, or an empty string
// if it can.
func (e *Entry) NotReadyReason() string {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.intake.Closed():
		return string(shard.ReasonStopping)
	case !e.follower.HasCatalog():
		return "no source of the configuration has answered yet"
	case time.Since(e.viewUpdatedAt) > cutOffDelay:
		return "cut off from all gates"
	default:
		return ""
	}
}

// Run runs the entry until the context ends. Call Leave first for a graceful
// shutdown.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error { return e.followView(ctx) })
	err := group.Wait()
	e.tasks.Wait()
	return err
}

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.view = newView()
		e.refusing, e.refuse = context.WithCancel(context.Background())
		e.answering, e.answerNow = context.WithCancel(context.Background())
		e.reportCaches = make(map[string]*shardReportCache)
		e.lastCrashAt = make(map[string]time.Time)
		if e.AddressTTL == 0 {
			e.AddressTTL = DefaultAddressTTL
		}
		e.follower = &follow.Follower{
			Store: e.Store, GateTransport: e.GateTransport, Peers: e.gateAddresses, ShouldWatch: func() bool { return false },
			OnChange: func(*catalog.Catalog) {}, Log: e.Log,
		}
	})
}

func (e *Entry) reportCache(service string) *shardReportCache {
	e.mu.Lock()
	defer e.mu.Unlock()
	cache, ok := e.reportCaches[service]
	if !ok {
		cache = newShardReportCache()
		e.reportCaches[service] = cache
	}
	return cache
}
