// Package gate runs a gate: the process that faces the upstreams of the shard
// groups it owns.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/follow"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/quarantine"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	tickPeriod   = 100 * time.Millisecond
	listPeriod   = 2 * time.Second
	reportPeriod = time.Second
	// TakeoverPeriod is how long a new owner uses one slot of each upstream
	// only: longer than the views of the members differ after a change.
	TakeoverPeriod = 3 * time.Second
	// pauseLimit is the gap between ticks that shows that this process was
	// paused and may have lost what it owned.
	pauseLimit = time.Second
	// guestTime is how long a group that is owned elsewhere is kept.
	guestTime = 30 * time.Second
	// leaveTime is how long a leaving gate serves those with old views.
	leaveTime = 3 * time.Second
	// watchersPerDataCenter is how many gates watch the service.
	watchersPerDataCenter = 2
)

// A Gate is the state of the process. Its exported fields are set before Run.
type Gate struct {
	Self          roster.Member
	Store         keyvalue.Store
	Hosts         hostlist.List
	GateTransport peer.GateTransport
	// NewClient returns the client for an upstream.
	NewClient func(catalog.UpstreamSpec) upstream.Client
	Options   shard.Options
	Recorder  *invariant.Recorder
	Timeline  *timeline.Ring
	Metrics   *Metrics
	Log       logrus.FieldLogger
	// Seed is for all random choices.
	Seed uint64

	follower *follow.Follower
	group    work.Group

	mu sync.Mutex
	// owners has an entry for each group in use here.
	owners map[string]*owner
	ledger *quarantine.Tracker

	// lastTick is when the clock of this process was last seen to run, in
	// nanoseconds since 1970.
	lastTick atomic.Int64
	// pauses counts how often this process was found to have been paused.
	pauses atomic.Int64

	// reassigning keeps an older catalog from being applied after a newer one.
	reassigning sync.Mutex
	// assigned is the revision that groups were last assigned by.
	assigned uint64

	rosterMu  sync.Mutex
	roster    *roster.Roster
	ownership *roster.Ownership
	// changes holds the last changed members; the first is change number
	// firstChange.
	changes     []roster.Member
	firstChange uint64
	isolation   isolation

	inFlight work.InFlight
	start    sync.Once
}

// Catalog returns the catalog in force.
func (g *Gate) Catalog() *catalog.Catalog {
	g.init()
	return g.follower.Current()
}

// Members returns the view of the fleet.
func (g *Gate) Members() []roster.Member {
	g.init()
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.roster.Members()
}

// Ready reports whether the gate can serve.
func (g *Gate) Ready() bool {
	g.init()
	return g.follower.HasCatalog()
}

// Run works until the context ends; call Leave first for a graceful stop.
func (g *Gate) Run(ctx context.Context) error {
	g.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follower.Run(ctx) })
	group.Go(func() error { return g.tick(ctx) })
	group.Go(func() error { return g.pollHosts(ctx) })
	group.Go(func() error { return g.pollReports(ctx) })
	group.Go(func() error { return g.sweepClaims(ctx) })
	err := group.Wait()
	g.stop()
	return err
}

// Leave withdraws from the fleet, serves those with old views for a while and
// returns when nothing is in flight any more.
func (g *Gate) Leave(ctx context.Context) {
	g.init()
	g.Timeline.Add("leave", "", "gate withdraws")
	g.rosterStep(roster.Leave{})
	g.announce(ctx)
	work.Sleep(ctx, leaveTime)
	select {
	case <-g.inFlight.Idle():
	case <-ctx.Done():
	}
}

// announcements is how many members hear of a change of this host directly; the
// others hear it from them.
const announcements = 64

// announce tells other members at once what changed here.
func (g *Gate) announce(ctx context.Context) {
	for i, m := range g.Members() {
		if m.Host() != g.Self.Host() && m.CanOwn() && i < announcements {
			g.group.Go(func() { g.exchange(ctx, m) })
		}
	}
}

func (g *Gate) init() {
	g.start.Do(func() {
		g.owners = make(map[string]*owner)
		g.ledger = quarantine.NewTracker()
		g.lastTick.Store(time.Now().UnixNano())
		g.roster = roster.New(g.Self, g.Seed)
		g.ownership = roster.NewOwnership()
		g.ownership.Add(g.Self.Host())
		g.firstChange = 1
		g.changes = []roster.Member{g.roster.Self()}
		g.follower = &follow.Follower{
			Store: g.Store, GateTransport: g.GateTransport, Peers: g.peerAddresses, ShouldWatch: g.watches,
			OnChange: func(*catalog.Catalog) { g.reassign() }, Log: g.Log,
		}
	})
}

// crashed tells the ledger of a broken upstream.
func (g *Gate) crashed(report shard.ReportCrash) {
	now := time.Now()
	g.mu.Lock()
	news := g.ledger.RecordCrash(now, report.Upstream, report.Fingerprints)
	g.mu.Unlock()
	g.Timeline.Add("upstream-broke", "", "%s, running %d requests", report.Upstream, len(report.Fingerprints))
	for _, f := range news {
		_, left := g.judge(f)
		g.quarantine(f, left)
	}
}

// judge asks the ledger about a request.
func (g *Gate) judge(fingerprint uint64) (quarantine.Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	verdict, left := g.ledger.Check(now, fingerprint)
	if verdict == quarantine.Suspect {
		g.ledger.BeginTestRun(now, fingerprint)
	}
	return verdict, left
}

// quarantine ends what still runs of a request.
func (g *Gate) quarantine(fingerprint uint64, left time.Duration) {
	g.Timeline.Add("quarantine", "", "request %016x crashes upstreams", fingerprint)
	g.Metrics.quarantines.Inc()
	for _, o := range g.allOwners() {
		o.step(shard.Quarantine{Fingerprint: fingerprint, RetryAfter: left})
	}
}

func (g *Gate) allOwners() []*owner {
	g.mu.Lock()
	defer g.mu.Unlock()
	owners := make([]*owner, 0, len(g.owners))
	for _, o := range g.owners {
		owners = append(owners, o)
	}
	return owners
}

// ownerOf returns the state of the group of a shard, made if needed, or nil if
// the catalog does not know the shard.
func (g *Gate) ownerOf(service, shardPath string) *owner {
	s, ok := g.follower.Current().Service(service)
	if !ok {
		return nil
	}
	definition, ok := s.Group(shardPath)
	if !ok {
		return nil
	}
	return g.use(service, definition, g.owns(definition.Name()))
}

// use returns the state of a group, made if needed.
func (g *Gate) use(service string, definition *catalog.Group, owned bool) *owner {
	g.mu.Lock()
	o, ok := g.owners[definition.Name()]
	if !ok {
		o = newOwner(g, service, definition)
		g.owners[definition.Name()] = o
	}
	g.mu.Unlock()
	if !ok {
		o.setOwned(owned)
		g.group.Go(o.learn)
	}
	return o
}

func (g *Gate) owns(group string) bool {
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.ownership.Owner(group) == g.Self.Host()
}

// reassign brings the owned groups in line with the catalog and the members.
func (g *Gate) reassign() {
	g.reassigning.Lock()
	defer g.reassigning.Unlock()
	current := g.follower.Current()
	g.Recorder.Check(current.Revision() >= g.assigned, invariant.RevisionMonotonic, "revision %d after %d", current.Revision(), g.assigned)
	g.assigned = current.Revision()
	listed := make(map[string]bool)
	for _, s := range current.Services() {
		for _, definition := range s.Groups() {
			listed[definition.Name()] = true
			g.assign(s.Name(), definition)
		}
	}
	for _, o := range g.allOwners() {
		if !listed[o.name] {
			o.setOwned(false)
		}
	}
}

func (g *Gate) assign(service string, definition *catalog.Group) {
	owned := g.owns(definition.Name())
	g.mu.Lock()
	_, used := g.owners[definition.Name()]
	g.mu.Unlock()
	if !used && !owned {
		return
	}
	o := g.use(service, definition, owned)
	o.reconfigure(definition)
	o.setOwned(owned)
}

// checkPause is called before every decision: a process that was paused goes
// on with one slot of each upstream until it is sure what it owns. Each owner
// sees the count of pauses before it decides.
func (g *Gate) checkPause(now time.Time) {
	last := g.lastTick.Load()
	if now.UnixNano()-last > int64(pauseLimit) {
		// Counted before the tick is noted, so that no owner misses it.
		g.pauses.Add(1)
		g.Timeline.Add("paused", "", "the process was paused")
	}
	g.lastTick.Store(now.UnixNano())
}

// pollReports asks the load endpoints of owned upstreams, and forgets groups
// that are owned elsewhere and not in use.
func (g *Gate) pollReports(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, o := range g.allOwners() {
			if o.forgettable(time.Now()) {
				g.mu.Lock()
				delete(g.owners, o.name)
				g.mu.Unlock()
				o.close()
				continue
			}
			o.pollReports(ctx)
		}
		work.Sleep(ctx, reportPeriod)
	}
	return nil
}

func (g *Gate) stop() {
	for _, o := range g.allOwners() {
		o.close()
	}
	g.group.Wait()
}
