package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// A search for an upstream that this host reaches connects to firstProbes upstreams, and
	// after probeStagger without a connection to maxProbes in all. It ends probeTimeout later.
	// Connecting takes a few milliseconds.
	firstProbes  = 4
	maxProbes    = 16
	probeStagger = 30 * time.Millisecond
	probeTimeout = 70 * time.Millisecond
	// upstreamProbeTimeout bounds the probe of one upstream, upstreamCheckTimeout its check with
	// the help of other hosts.
	upstreamProbeTimeout = 250 * time.Millisecond
	upstreamCheckTimeout = 450 * time.Millisecond
	// secondOpinionDelay is how long the own probe of an upstream may take before other hosts
	// are asked, maxSecondOpinions how many, and contradictionDelay how long one that does
	// not reach the upstream may be contradicted by another.
	secondOpinionDelay = 15 * time.Millisecond
	maxSecondOpinions  = 3
	contradictionDelay = 25 * time.Millisecond
	// slowDialKey stands for the upstreams to which connections take long to open.
	slowDialKey = 0
)

// links is the dispatch.Links of a host. It checks the links to the upstreams when attempts
// fail, and finds out from other hosts whether an upstream or the link to it has failed.
type links struct {
	*reachability.Tracker
	host *Host

	// due holds a value while a check of the links is due.
	due chan struct{}
	// upstreamChecks joins the checks of an upstream by lifetime, ownChecks those without
	// other hosts.
	upstreamChecks, ownChecks singleflight.Group

	mu     sync.Mutex
	random *rand.Rand
	// reaching holds the addresses of dialling hosts that have reached an upstream, until an
	// attempt through them shows otherwise.
	reaching sync.Map
	// changed is closed when the links are lost or work again, and replaced.
	changed chan struct{}
}

var _ dispatch.Links = (*links)(nil)

func newLinks(h *Host) *links {
	seed := h.Seed ^ xxhash.Sum64String(h.Self.Host())
	return &links{Tracker: reachability.NewTracker(seed), host: h, random: rand.New(rand.NewPCG(seed, 1)), due: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Changed implements dispatch.Links.
func (l *links) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// CheckUpstream implements dispatch.Links. An upstream has ended if another host, which
// reaches others, does not reach it either. If no host can tell, it has ended if this host
// reaches others in its data centre.
func (l *links) CheckUpstream(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	return l.join(ctx, &l.upstreamChecks, u, func(ctx context.Context) reachability.Condition { return l.checkWithOthers(ctx, u, since) })
}

// RecordOutcome implements dispatch.Links.
func (l *links) RecordOutcome(u inventory.Upstream, startedAt time.Time, o upstream.Outcome) {
	now := time.Now()
	if o.ConnectDuration > 0 {
		l.RecordConnected(now)
	}
	switch {
	case o.Result == upstream.Answered, o.Result == upstream.Refused:
		l.RecordResponse(now, u.LifetimeKey(), startedAt)
	case o.Result == upstream.Misdirected, o.Result == upstream.Broken && !o.ConnectionLost:
		// The bytes came from another upstream, or may have.
		l.RecordHeard(now)
	case o.Result == upstream.Unreachable && !o.ConnectAborted:
		l.RecordDialFailure(now, u.LifetimeKey())
		l.check()
	case o.ConnectionLost:
		l.RecordSilence(u, startedAt)
	}
}

// RecordSilence implements dispatch.Links.
func (l *links) RecordSilence(u inventory.Upstream, startedAt time.Time) {
	l.Tracker.RecordSilence(u.LifetimeKey(), startedAt)
	l.check()
}

// recordSlowDial records that a connection takes long to open. The links are checked unless an
// upstream was heard from since.
func (l *links) recordSlowDial(startedAt time.Time) {
	l.Tracker.RecordSilence(slowDialKey, startedAt)
	l.check()
}

// Run checks the links when attempts fail, and repeats this until the links work, until the
// context ends.
func (l *links) Run(ctx context.Context) {
	for {
		if !l.IsPartitioned() {
			select {
			case <-l.due:
			case <-ctx.Done():
				return
			}
		}
		if l.BeginCheck(time.Now()) {
			l.runCheck(ctx)
		}
		if l.IsPartitioned() {
			work.Sleep(ctx, reachability.CheckInterval)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// check has the links checked if they may be lost.
func (l *links) check() {
	if !l.IsDoubtful() {
		return
	}
	select {
	case l.due <- struct{}{}:
	default:
		// A check is already due.
	}
}

// checkOwn probes an upstream from this host. If it is unreachable, other upstreams of its
// data centre tell whether the upstream or the link has failed.
func (l *links) checkOwn(ctx context.Context, u inventory.Upstream) reachability.Condition {
	ctx, cancel := context.WithTimeout(ctx, upstreamProbeTimeout)
	defer cancel()
	probed := make(chan bool, 1)
	witnessed := make(chan bool, 1)
	l.host.group.Go(func() { probed <- l.probe(ctx, u) })
	stagger := time.NewTimer(probeStagger)
	defer stagger.Stop()
	hasEnded := false
	select {
	case runs := <-probed:
		if runs {
			return reachability.Running
		}
		hasEnded = true
	case <-stagger.C:
	}
	l.host.group.Go(func() { witnessed <- l.hasWitness(ctx, u) })
	isConclusive, isWitnessed := false, false
	for !hasEnded || !isWitnessed {
		select {
		case runs := <-probed:
			if runs {
				return reachability.Running
			}
			hasEnded = true
		case isConclusive = <-witnessed:
			isWitnessed = true
		case <-ctx.Done():
			hasEnded, isWitnessed = true, true
		}
	}
	if isConclusive {
		return reachability.Ended
	}
	return reachability.Unknown
}

// hasWitness reports whether this host reaches another upstream of the data centre of an
// upstream, or there is none.
func (l *links) hasWitness(ctx context.Context, u inventory.Upstream) bool {
	witnesses := l.sample(maxProbes, func(o inventory.Upstream) bool {
		return o.ID() != u.ID() && o.DataCenter() == u.DataCenter()
	})
	return len(witnesses) == 0 || l.reachesAny(ctx, witnesses, nil)
}

// checkWithOthers probes an upstream and asks other hosts if that does not succeed at once.
func (l *links) checkWithOthers(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	own := make(chan reachability.Condition, 1)
	others := make(chan reachability.Condition, maxSecondOpinions)
	l.host.group.Go(func() {
		own <- l.join(ctx, &l.ownChecks, u, func(ctx context.Context) reachability.Condition { return l.checkOwn(ctx, u) })
	})
	ownCondition, pending, isUnreachable := reachability.Unknown, 1, false
	askTimer := time.NewTimer(secondOpinionDelay)
	defer askTimer.Stop()
	ask := func() {
		askTimer.Stop()
		for _, m := range l.secondOpinions(u) {
			pending++
			l.host.group.Go(func() { others <- l.askOther(ctx, m, u, since) })
		}
	}
	hasAsked := false
	var contradicted <-chan time.Time
	for pending > 0 {
		select {
		case ownCondition = <-own:
			pending--
			if ownCondition == reachability.Running {
				return ownCondition
			}
			if !hasAsked {
				hasAsked = true
				ask()
			}
		case <-askTimer.C:
			hasAsked = true
			ask()
		case c := <-others:
			pending--
			if c == reachability.Running {
				return c
			}
			if c == reachability.Ended && !isUnreachable {
				isUnreachable = true
				contradicted = time.After(contradictionDelay)
			}
		case <-contradicted:
			return reachability.Ended
		case <-ctx.Done():
			pending = 0
		}
	}
	if isUnreachable {
		return reachability.Ended
	}
	return ownCondition
}

// askOther asks another host whether an upstream runs.
func (l *links) askOther(ctx context.Context, m roster.Member, u inventory.Upstream, since time.Time) reachability.Condition {
	reply, err := l.host.HostTransport.CheckUpstream(ctx, m.GateAddress(), &wire.CheckUpstreamRequest{
		Upstream: u.ID(), Lifetime: u.LifetimeKey(), AgeMicros: time.Since(since).Microseconds(),
	})
	if err != nil {
		return reachability.Unknown
	}
	switch reply.GetCondition() {
	case wire.UpstreamCondition_UPSTREAM_CONDITION_RUNNING:
		return reachability.Running
	case wire.UpstreamCondition_UPSTREAM_CONDITION_UNREACHABLE:
		return reachability.Ended
	default:
		return reachability.Unknown
	}
}

// join runs one check of an upstream at a time, bounded by upstreamCheckTimeout, and waits for
// its result until the context ends.
func (l *links) join(ctx context.Context, g *singleflight.Group, u inventory.Upstream, check func(context.Context) reachability.Condition) reachability.Condition {
	result := g.DoChan(fmt.Sprint(u.LifetimeKey()), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), upstreamCheckTimeout)
		defer cancel()
		return check(ctx), nil
	})
	select {
	case r := <-result:
		condition, ok := r.Val.(reachability.Condition)
		if !ok {
			return reachability.Unknown
		}
		return condition
	case <-ctx.Done():
		return reachability.Unknown
	}
}

// probe opens a connection to an upstream and reports whether it runs.
func (l *links) probe(ctx context.Context, u inventory.Upstream) bool {
	startedAt := time.Now()
	slow := time.AfterFunc(probeStagger, func() { l.recordSlowDial(startedAt) })
	r := l.host.Upstreams.Probe(ctx, u.Address())
	slow.Stop()
	l.host.requestLog.recordProbe(u.ID(), r)
	switch r {
	case upstream.Reachable:
		l.RecordConnected(time.Now())
		return true
	case upstream.Rejecting:
		return true
	default:
		l.RecordDialFailure(time.Now(), u.LifetimeKey())
		return false
	}
}

// reachesAny opens connections to upstreams and reports whether one of them has accepted one.
// If it takes longer than usual, askOthers is called; nothing more is expected a little after
// the channel that it returns has a value.
func (l *links) reachesAny(ctx context.Context, list []inventory.Upstream, askOthers func(context.Context) <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, probeStagger+probeTimeout)
	defer cancel()
	reached := make(chan bool, len(list))
	pending := 0
	start := func(n int) {
		for _, u := range list[:min(n, len(list))] {
			pending++
			l.host.group.Go(func() { reached <- l.reaches(ctx, u) })
		}
		list = list[min(n, len(list)):]
	}
	var otherReaches <-chan struct{}
	var contradicted <-chan time.Time
	startRest := func() {
		start(len(list))
		if askOthers != nil {
			otherReaches, askOthers = askOthers(ctx), nil
		}
	}
	start(firstProbes)
	stagger := time.NewTimer(probeStagger)
	defer stagger.Stop()
	for pending > 0 {
		select {
		case ok := <-reached:
			pending--
			if ok {
				return true
			}
			if pending == 0 {
				startRest()
			}
		case <-stagger.C:
			startRest()
		case <-otherReaches:
			otherReaches, contradicted = nil, time.After(contradictionDelay)
		case <-contradicted:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// askDetours asks the detours whether they reach upstreams, and remembers those that do. The
// channel gets a value with the first of them.
func (l *links) askDetours(ctx context.Context, list []inventory.Upstream) <-chan struct{} {
	first := make(chan struct{}, 1)
	if len(list) == 0 {
		return first
	}
	l.host.mu.RLock()
	detours := l.host.view.detours
	l.host.mu.RUnlock()
	startedAt := time.Now()
	for i, m := range detours {
		l.host.group.Go(func() {
			if l.askOther(ctx, m, list[i%len(list)], startedAt) != reachability.Running {
				return
			}
			l.setReaching(m.GateAddress(), true)
			select {
			case first <- struct{}{}:
			default:
			}
		})
	}
	return first
}

// RecordRelay implements dispatch.Links.
func (l *links) RecordRelay(address string, o upstream.Outcome) {
	switch {
	case o.Result == upstream.Answered:
		l.setReaching(address, true)
	case o.NoRoute, o.LinkLost, o.Result == upstream.Unreachable, o.Result == upstream.Broken:
		l.setReaching(address, false)
	}
}

// IsReaching implements pool.Links.
func (l *links) IsReaching(address string) bool {
	_, ok := l.reaching.Load(address)
	return ok
}

// setReaching records whether a dialling host reaches upstreams.
func (l *links) setReaching(address string, isReaching bool) {
	if isReaching {
		l.reaching.Store(address, struct{}{})
		return
	}
	l.reaching.Delete(address)
}

// reaches opens a connection to an upstream and reports whether it has accepted it.
func (l *links) reaches(ctx context.Context, u inventory.Upstream) bool {
	switch l.host.Upstreams.Probe(ctx, u.Address()) {
	case upstream.Reachable:
		l.RecordConnected(time.Now())
		return true
	case upstream.NotListening, upstream.Rejecting:
		l.RecordDialFailure(time.Now(), u.LifetimeKey())
	}
	return false
}

// runCheck finds out whether this host reaches any upstream and applies the result.
func (l *links) runCheck(ctx context.Context) {
	startedAt := time.Now()
	list := l.sample(maxProbes, func(inventory.Upstream) bool { return true })
	if len(list) == 0 {
		return
	}
	askOthers := func(ctx context.Context) <-chan struct{} { return l.askDetours(ctx, list) }
	if l.IsPartitioned() {
		list, askOthers = list[:min(firstProbes, len(list))], nil
	}
	isReached := l.reachesAny(ctx, list, askOthers)
	if !l.EndCheck(time.Now(), reachability.Check{StartedAt: startedAt, Reached: isReached}) {
		return
	}
	l.host.applyLinkChange(l.IsPartitioned())
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// sample returns up to n upstreams in service that meet a condition: first two that have
// responded last, as others may have ended, and the rest at random.
func (l *links) sample(n int, meets func(inventory.Upstream) bool) []inventory.Upstream {
	l.host.mu.RLock()
	list := l.host.inventory.InService(time.Now())
	l.host.mu.RUnlock()
	list = slices.DeleteFunc(list, func(u inventory.Upstream) bool { return !meets(u) })
	respondedAt := make(map[uint64]time.Time, len(list))
	for _, u := range list {
		respondedAt[u.LifetimeKey()] = l.LastResponse(u.LifetimeKey())
	}
	slices.SortStableFunc(list, func(a, b inventory.Upstream) int {
		return respondedAt[b.LifetimeKey()].Compare(respondedAt[a.LifetimeKey()])
	})
	random := list[min(2, len(list)):]
	l.mu.Lock()
	l.random.Shuffle(len(random), func(i, j int) { random[i], random[j] = random[j], random[i] })
	l.mu.Unlock()
	return list[:min(n, len(list))]
}

// secondOpinions returns the hosts that are asked whether an upstream runs, of different data
// centres as far as possible.
func (l *links) secondOpinions(u inventory.Upstream) []roster.Member {
	var candidates []roster.Member
	for _, m := range l.host.fleet.Members() {
		if m.State() == roster.Alive && m.Host() != l.host.Self.Host() && !m.IsPartitioned() {
			candidates = append(candidates, m)
		}
	}
	l.mu.Lock()
	l.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	l.mu.Unlock()
	var chosen, others []roster.Member
	for _, m := range candidates {
		if slices.ContainsFunc(chosen, func(o roster.Member) bool { return o.DataCenter() == m.DataCenter() }) {
			others = append(others, m)
			continue
		}
		chosen = append(chosen, m)
	}
	chosen = append(chosen, others...)
	return chosen[:min(maxSecondOpinions, len(chosen))]
}

// CheckUpstream implements peer.HostHandler.
func (h *Host) CheckUpstream(ctx context.Context, r *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error) {
	h.mu.RLock()
	u, ok := h.inventory.Upstream(r.GetUpstream())
	h.mu.RUnlock()
	condition := wire.UpstreamCondition_UPSTREAM_CONDITION_UNKNOWN
	since := time.Now().Add(-time.Duration(r.GetAgeMicros()) * time.Microsecond)
	switch {
	case !ok || u.LifetimeKey() != r.GetLifetime():
	case h.links.RespondedSince(u.LifetimeKey(), since):
		condition = wire.UpstreamCondition_UPSTREAM_CONDITION_RUNNING
	case h.links.IsPartitioned():
	default:
		switch h.links.join(ctx, &h.links.ownChecks, u, func(ctx context.Context) reachability.Condition { return h.links.checkOwn(ctx, u) }) {
		case reachability.Running:
			condition = wire.UpstreamCondition_UPSTREAM_CONDITION_RUNNING
		case reachability.Ended:
			condition = wire.UpstreamCondition_UPSTREAM_CONDITION_UNREACHABLE
		}
	}
	return &wire.CheckUpstreamReply{Condition: condition}, nil
}

// applyLinkChange applies that this host has lost the links to all upstreams, or that they
// work again.
func (h *Host) applyLinkChange(isPartitioned bool) {
	summary := h.links.Summary(time.Now())
	h.group.Go(func() { h.fleet.SetPartitioned(context.Background(), isPartitioned) })
	if !isPartitioned {
		h.Metrics.partitioned.Set(0)
		h.Log.WithFields(linkFields(summary)).Warn("host reaches upstreams again")
		return
	}
	h.Metrics.partitioned.Set(1)
	h.Log.WithFields(linkFields(summary)).Warn("host reaches no upstream")
	h.forgetUnanswered(h.links.FailingSince())
	h.closeLostConnections()
}

// closeLostConnections gives up the connections that are being opened and closes the idle ones
// that may not work, so that their attempts go through other hosts.
func (h *Host) closeLostConnections() {
	h.Upstreams.AbortDials()
	h.mu.RLock()
	list := h.inventory.InService(time.Now())
	h.mu.RUnlock()
	for _, u := range list {
		if !h.links.AllowsConnection(u.LifetimeKey()) {
			h.Upstreams.CloseIdleConnections(u.ID())
		}
	}
}

// forgetUnanswered discards the attempts without a response that began after a time.
func (h *Host) forgetUnanswered(since time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.pools {
		p.ForgetUnanswered(since)
	}
}
