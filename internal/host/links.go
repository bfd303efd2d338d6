package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// slowDialKey stands for the upstreams to which connections take long to open.
const slowDialKey = 0

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
	// reaching holds the addresses of dialling hosts that have reached an upstream while this
	// host does not, until an attempt through them shows otherwise.
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

// IsReaching implements pool.Links.
func (l *links) IsReaching(address string) bool {
	_, ok := l.reaching.Load(address)
	return ok
}

// RecordOutcome implements dispatch.Links.
func (l *links) RecordOutcome(u inventory.Upstream, startedAt time.Time, o upstream.Outcome) {
	now := time.Now()
	if o.ConnectDuration > 0 {
		l.RecordConnected(now)
		l.RecordHeardFrom(now, u.DataCenter())
	}
	switch {
	case o.Result == upstream.Answered, o.Result == upstream.Refused:
		l.RecordResponse(now, u.LifetimeKey(), startedAt)
		l.RecordHeardFrom(now, u.DataCenter())
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

// RecordRelay implements dispatch.Links.
func (l *links) RecordRelay(address string, o upstream.Outcome) {
	switch {
	case o.Result == upstream.Answered && l.IsPartitioned():
		l.setReaching(address, true)
	case o.NoRoute, o.LinkLost, o.Result == upstream.Unreachable, o.Result == upstream.Broken:
		l.setReaching(address, false)
	}
}

// RecordSilence implements dispatch.Links.
func (l *links) RecordSilence(u inventory.Upstream, startedAt time.Time) {
	l.Tracker.RecordSilence(u.LifetimeKey(), startedAt)
	l.check()
}

// Run checks the links whenever attempts fail, and again and again while they are lost. It
// returns when the context ends.
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

// recordSlowDial records that a connection takes long to open. The links are checked unless an
// upstream was heard from since.
func (l *links) recordSlowDial(startedAt time.Time) {
	l.Tracker.RecordSilence(slowDialKey, startedAt)
	l.check()
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
	result := l.reachesAny(ctx, list, askOthers)
	if result == inconclusive || !l.EndCheck(time.Now(), reachability.Check{StartedAt: startedAt, Reached: result == reachesSome}) {
		return
	}
	l.host.applyLinkChange(l.IsPartitioned())
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// setReaching records whether a dialling host reaches upstreams.
func (l *links) setReaching(address string, isReaching bool) {
	if isReaching {
		l.reaching.Store(address, struct{}{})
		return
	}
	l.reaching.Delete(address)
}

// applyLinkChange applies that this host has lost the links to all upstreams, or that they
// work again.
func (h *Host) applyLinkChange(isPartitioned bool) {
	summary := h.links.Summary(time.Now())
	h.group.Go(func() { h.fleet.SetPartitioned(context.Background(), isPartitioned) })
	if !isPartitioned {
		h.links.reaching.Clear()
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
