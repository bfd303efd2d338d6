// Package gate implements the gate process, which sends attempts to the upstreams
// of the shard groups that it owns.
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
	tickInterval       = 100 * time.Millisecond
	hostListInterval   = 2 * time.Second
	loadReportInterval = time.Second
	// TakeoverPeriod is how long a new owner uses only one slot of each upstream,
	// because the previous owner may use slots until it learns of the change. All
	// members learn of a change in less time than this.
	TakeoverPeriod = 3 * time.Second
	// maxTickGap is the longest time between ticks of a running process. A longer
	// gap means that the process was paused and may no longer own its groups.
	maxTickGap = time.Second
	// unownedRetention is how long an unused group that this gate does not own is
	// kept.
	unownedRetention = 30 * time.Second
	// leavePeriod is how long a leaving gate still serves entries whose view of
	// the fleet is out of date.
	leavePeriod = 3 * time.Second
	// watchersPerDataCenter is how many gates of a data centre watch the key-value
	// service.
	watchersPerDataCenter = 2
)

// A Gate is the state of a gate process. Its exported fields must be set before
// Run.
type Gate struct {
	Self          roster.Member
	Store         keyvalue.Store
	Hosts         hostlist.List
	GateTransport peer.GateTransport
	// NewClient returns a client for an upstream.
	NewClient func(catalog.UpstreamSpec) upstream.Client
	Options   shard.Options
	Recorder  *invariant.Recorder
	Timeline  *timeline.Ring
	Metrics   *Metrics
	Log       logrus.FieldLogger
	// Seed seeds all random choices.
	Seed uint64

	follower *follow.Follower
	tasks    work.Group

	mu sync.Mutex
	// runners holds the runner of each group in use on this gate, by group name.
	runners           map[string]*groupRunner
	quarantineTracker *quarantine.Tracker

	// lastTickNanos is the time of the last call of detectPause, in nanoseconds
	// since 1970.
	lastTickNanos atomic.Int64
	// pauseCount counts the detected pauses of this process.
	pauseCount atomic.Int64

	// assignMu prevents an older catalog from being applied after a newer one.
	assignMu sync.Mutex
	// assignedRevision is the catalog revision of the last group assignment.
	assignedRevision uint64

	rosterMu  sync.Mutex
	roster    *roster.Roster
	ownership *roster.Ownership
	// memberChanges holds the most recent member changes, oldest first. The first
	// one has the number firstChangeNumber.
	memberChanges     []roster.Member
	firstChangeNumber uint64
	isolation         isolation

	// intake counts the Scatter calls and the bookings of lost entries, and closes when a
	// stopping gate refuses further calls.
	intake   work.Intake
	initOnce sync.Once
}

// Catalog returns the active catalog.
func (g *Gate) Catalog() *catalog.Catalog {
	g.init()
	return g.follower.Current()
}

// Members returns the members of the fleet in this gate's view.
func (g *Gate) Members() []roster.Member {
	g.init()
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.roster.Members()
}

// HasCatalog reports whether the gate has a catalog, without which it serves no request.
func (g *Gate) HasCatalog() bool {
	g.init()
	return g.follower.HasCatalog()
}

// Run runs the gate until the context ends. Call Leave first for a graceful
// shutdown.
func (g *Gate) Run(ctx context.Context) error {
	g.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follower.Run(ctx) })
	group.Go(func() error { return g.runTicks(ctx) })
	group.Go(func() error { return g.pollHosts(ctx) })
	group.Go(func() error { return g.pollReports(ctx) })
	group.Go(func() error { return g.deleteExpiredClaims(ctx) })
	err := group.Wait()
	g.stop()
	return err
}

// Leave announces that the gate leaves the fleet and, for leavePeriod, keeps serving
// entries whose view is out of date. It then refuses requests, and returns when none is in
// flight, as work.Intake.Drain does, or when the context ends.
func (g *Gate) Leave(ctx context.Context) {
	g.init()
	g.Timeline.Add("leave", "", "gate leaves the fleet")
	g.stepRoster(roster.Leave{})
	g.announceSelf(ctx)
	work.Sleep(ctx, leavePeriod)
	g.intake.Close()
	g.intake.Drain(ctx, g.endJobs)
}

// endJobs ends all jobs of all groups. A job that no upstream has run can go to another gate.
func (g *Gate) endJobs() {
	for _, gr := range g.listRunners() {
		gr.step(shard.Stop{RetryAfter: defaultRetryAfter})
	}
}

// maxAnnounceTargets bounds how many members this host notifies directly of its
// own change. The others learn of it by gossip.
const maxAnnounceTargets = 64

// announceSelf sends this host's current state to other members without waiting
// for the next probe.
func (g *Gate) announceSelf(ctx context.Context) {
	for i, m := range g.Members() {
		if m.Host() != g.Self.Host() && m.CanOwn() && i < maxAnnounceTargets {
			g.tasks.Go(func() { g.exchange(ctx, m) })
		}
	}
}

func (g *Gate) init() {
	g.initOnce.Do(func() {
		g.runners = make(map[string]*groupRunner)
		g.quarantineTracker = quarantine.NewTracker()
		g.lastTickNanos.Store(time.Now().UnixNano())
		g.roster = roster.New(g.Self, g.Seed)
		g.ownership = roster.NewOwnership()
		g.ownership.Add(g.Self.Host())
		g.firstChangeNumber = 1
		g.memberChanges = []roster.Member{g.roster.Self()}
		g.follower = &follow.Follower{
			Store: g.Store, GateTransport: g.GateTransport, Peers: g.peerAddresses, ShouldWatch: g.shouldWatchStore,
			OnChange: func(*catalog.Catalog) { g.reassignGroups() }, Log: g.Log,
		}
	})
}

// handleCrash records that an upstream crashed while it ran requests, and
// quarantines the requests that have now crashed too many upstreams.
func (g *Gate) handleCrash(report shard.ReportCrash) {
	now := time.Now()
	g.mu.Lock()
	quarantined := g.quarantineTracker.RecordCrash(now, report.Upstream, report.Fingerprints)
	g.mu.Unlock()
	g.Timeline.Add("upstream-broke", "", "%s, running %d requests", report.Upstream, len(report.Fingerprints))
	for _, f := range quarantined {
		_, remaining := g.checkQuarantine(f)
		g.quarantineRequest(f, remaining)
	}
}

// checkQuarantine returns whether a request may run and, if not, the time until
// it may be sent again. For a suspect request, it begins the test run.
func (g *Gate) checkQuarantine(fingerprint uint64) (quarantine.Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	decision, remaining := g.quarantineTracker.Check(now, fingerprint)
	if decision == quarantine.Suspect {
		g.quarantineTracker.BeginTestRun(now, fingerprint)
	}
	return decision, remaining
}

// quarantineRequest records that a request was quarantined, and ends its jobs in all
// groups.
func (g *Gate) quarantineRequest(fingerprint uint64, remaining time.Duration) {
	g.Timeline.Add("quarantine", "", "request %016x crashes upstreams", fingerprint)
	g.Metrics.quarantines.Inc()
	for _, gr := range g.listRunners() {
		gr.step(shard.Quarantine{Fingerprint: fingerprint, RetryAfter: remaining})
	}
}

func (g *Gate) listRunners() []*groupRunner {
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := make([]*groupRunner, 0, len(g.runners))
	for _, gr := range g.runners {
		runners = append(runners, gr)
	}
	return runners
}

// runnerForShard returns the runner of the shard's group and creates it if
// needed. It returns nil if the shard is not in the catalog.
func (g *Gate) runnerForShard(service, shardPath string) *groupRunner {
	s, ok := g.follower.Current().Service(service)
	if !ok {
		return nil
	}
	definition, ok := s.Group(shardPath)
	if !ok {
		return nil
	}
	return g.getOrCreateRunner(service, definition, g.ownsGroup(definition.Name()))
}

// getOrCreateRunner returns the runner of a group. If there is none, it creates one,
// sets whether this gate owns the group, and starts to load the group's initial
// reports.
func (g *Gate) getOrCreateRunner(service string, definition *catalog.Group, owned bool) *groupRunner {
	g.mu.Lock()
	gr, ok := g.runners[definition.Name()]
	if !ok {
		gr = newGroupRunner(g, service, definition)
		g.runners[definition.Name()] = gr
	}
	g.mu.Unlock()
	if !ok {
		gr.setOwned(owned)
		g.tasks.Go(gr.loadInitialReports)
	}
	return gr
}

func (g *Gate) ownsGroup(group string) bool {
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.ownership.Owner(group) == g.Self.Host()
}

// reassignGroups updates the ownership and the definitions of all groups after
// a change of the catalog or of the members.
func (g *Gate) reassignGroups() {
	g.assignMu.Lock()
	defer g.assignMu.Unlock()
	current := g.follower.Current()
	g.Recorder.Check(current.Revision() >= g.assignedRevision, invariant.RevisionMonotonic, "catalog revision %d was applied after revision %d", current.Revision(), g.assignedRevision)
	g.assignedRevision = current.Revision()
	inCatalog := make(map[string]bool)
	for _, s := range current.Services() {
		for _, definition := range s.Groups() {
			inCatalog[definition.Name()] = true
			g.assignGroup(s.Name(), definition)
		}
	}
	for _, gr := range g.listRunners() {
		if !inCatalog[gr.name] {
			gr.setOwned(false)
		}
	}
}

func (g *Gate) assignGroup(service string, definition *catalog.Group) {
	owned := g.ownsGroup(definition.Name())
	g.mu.Lock()
	_, inUse := g.runners[definition.Name()]
	g.mu.Unlock()
	if !inUse && !owned {
		return
	}
	gr := g.getOrCreateRunner(service, definition, owned)
	gr.reconfigure(definition)
	gr.setOwned(owned)
}

// detectPause counts a pause of the process if more than maxTickGap has passed since
// the previous call. It must be called before every event of a group: a process that
// was paused may no longer own its groups, so each group runner checks pauseCount
// before it handles the event, and after a pause uses one slot of each upstream for
// TakeoverPeriod.
func (g *Gate) detectPause(now time.Time) {
	lastNanos := g.lastTickNanos.Load()
	if now.UnixNano()-lastNanos > int64(maxTickGap) {
		// Increment before storing the tick: a concurrent caller that sees the new
		// tick must also see the pause.
		g.pauseCount.Add(1)
		g.Timeline.Add("paused", "", "the process was paused: no tick for longer than maxTickGap")
	}
	g.lastTickNanos.Store(now.UnixNano())
}

// pollReports requests load reports from the upstreams of all groups in use, and
// removes groups that this gate does not own and that were unused for
// unownedRetention.
func (g *Gate) pollReports(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, gr := range g.listRunners() {
			if gr.canRemove(time.Now()) {
				g.mu.Lock()
				delete(g.runners, gr.name)
				g.mu.Unlock()
				gr.close()
				continue
			}
			gr.startFetchingReports(ctx)
		}
		work.Sleep(ctx, loadReportInterval)
	}
	return nil
}

func (g *Gate) stop() {
	for _, gr := range g.listRunners() {
		gr.close()
	}
	g.tasks.Wait()
}
