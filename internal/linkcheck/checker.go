// Package linkcheck finds out whether a host reaches the upstreams and whether an upstream that it
// does not reach has ended. It opens connections and asks other hosts; what follows from the
// results is decided in package reachability.
package linkcheck

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// slowDialKey stands for the upstreams to which connections take long to open.
const slowDialKey = 0

// A Prober opens a connection to an upstream to find out whether it runs.
type Prober interface {
	Probe(ctx context.Context, address string) upstream.Reachability
}

// Peers are the other hosts, which are asked whether they reach an upstream. The error is not nil if
// the host at the address does not answer.
type Peers interface {
	CheckUpstream(ctx context.Context, address string, r *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error)
}

// A Checker checks the links of a host to the upstreams when attempts fail, and finds out from
// other hosts whether an upstream or the link to it has failed. Its exported fields are set before
// use. It is safe for concurrent use.
type Checker struct {
	*reachability.Tracker
	// Host is the name of this host.
	Host   string
	Prober Prober
	Peers  Peers
	// Tasks runs the probes.
	Tasks *work.Group
	// InService returns the upstreams in service, in a new slice. Upstream returns the one with an
	// ID, and whether it is known.
	InService func() []inventory.Upstream
	Upstream  func(id string) (inventory.Upstream, bool)
	// Members returns all hosts, Detours those that run attempts for this host while it reaches no
	// upstream.
	Members, Detours func() []roster.Member
	// OnProbe is called with the result of each probe that tells whether one upstream runs.
	OnProbe func(upstreamID string, r upstream.Reachability)
	// OnChange is called when this host has lost the links to all upstreams, or reaches them again.
	OnChange func(isPartitioned bool)

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

// New returns the Checker of a host that has just started. The seed differs between hosts.
func New(seed uint64) *Checker {
	return &Checker{Tracker: reachability.NewTracker(seed), random: rand.New(rand.NewPCG(seed, 1)), due: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when this host next loses the links to all upstreams, or
// reaches them again.
func (c *Checker) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// IsReaching reports whether a dialling host is known to reach upstreams.
func (c *Checker) IsReaching(address string) bool {
	_, ok := c.reaching.Load(address)
	return ok
}

// RecordOutcome records the outcome of an attempt over a connection of this host.
func (c *Checker) RecordOutcome(u inventory.Upstream, startedAt time.Time, o upstream.Outcome) {
	now := time.Now()
	if o.ConnectDuration > 0 {
		c.RecordConnected(now)
		c.RecordHeardFrom(now, u.DataCenter())
	}
	switch {
	case o.Result == upstream.Answered, o.Result == upstream.Refused:
		c.RecordResponse(now, u.LifetimeKey(), startedAt)
		c.RecordHeardFrom(now, u.DataCenter())
	case o.Result == upstream.Misdirected, o.Result == upstream.Broken && !o.ConnectionLost:
		// The bytes came from another upstream, or may have.
		c.RecordHeard(now)
	case o.Result == upstream.Unreachable && !o.ConnectAborted:
		c.RecordDialFailure(now, u.LifetimeKey())
		c.check()
	case o.ConnectionLost:
		c.RecordSilence(u, startedAt)
	}
}

// RecordRelay records the outcome of an attempt through the dialling host at an address.
func (c *Checker) RecordRelay(address string, o upstream.Outcome) {
	switch {
	case o.Result == upstream.Answered && c.IsPartitioned():
		c.setReaching(address, true)
	case o.NoRoute, o.LinkLost, o.Result == upstream.Unreachable, o.Result == upstream.Broken:
		c.setReaching(address, false)
	}
}

// RecordSilence records that an upstream has not responded in time.
func (c *Checker) RecordSilence(u inventory.Upstream, startedAt time.Time) {
	c.Tracker.RecordSilence(u.LifetimeKey(), startedAt)
	c.check()
}

// Run checks the links whenever attempts fail, and again and again while they are lost. It
// returns when the context ends.
func (c *Checker) Run(ctx context.Context) {
	for {
		if !c.IsPartitioned() {
			select {
			case <-c.due:
			case <-ctx.Done():
				return
			}
		}
		if c.BeginCheck(time.Now()) {
			c.runCheck(ctx)
		}
		if c.IsPartitioned() {
			work.Sleep(ctx, reachability.CheckInterval)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// check has the links checked if they may be lost.
func (c *Checker) check() {
	if !c.IsDoubtful() {
		return
	}
	select {
	case c.due <- struct{}{}:
	default:
		// A check is already due.
	}
}

// RecordSlowDial records that a connection takes long to open. The links are checked unless an
// upstream was heard from since.
func (c *Checker) RecordSlowDial(startedAt time.Time) {
	c.Tracker.RecordSilence(slowDialKey, startedAt)
	c.check()
}

// runCheck finds out whether this host reaches any upstream and applies the result.
func (c *Checker) runCheck(ctx context.Context) {
	startedAt := time.Now()
	list := c.sample(maxProbes, func(inventory.Upstream) bool { return true })
	if len(list) == 0 {
		return
	}
	askOthers := func(ctx context.Context) <-chan struct{} { return c.askDetours(ctx, list) }
	if c.IsPartitioned() {
		list, askOthers = list[:min(firstProbes, len(list))], nil
	}
	result := c.reachesAny(ctx, list, askOthers)
	if result == inconclusive || !c.EndCheck(time.Now(), reachability.Check{StartedAt: startedAt, Reached: result == reachesSome}) {
		return
	}
	if !c.IsPartitioned() {
		c.reaching.Clear()
	}
	c.OnChange(c.IsPartitioned())
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// setReaching records whether a dialling host reaches upstreams.
func (c *Checker) setReaching(address string, isReaching bool) {
	if isReaching {
		c.reaching.Store(address, struct{}{})
		return
	}
	c.reaching.Delete(address)
}
