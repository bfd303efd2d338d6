package linkcheck

// This file finds out whether this host reaches any upstream.

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// A search for an upstream that this host reaches connects to firstProbes upstreams, and
	// after probeStagger without a connection to maxProbes in all. It ends probeTimeout later.
	// Connecting takes a few milliseconds.
	firstProbes  = 4
	maxProbes    = 16
	probeStagger = 30 * time.Millisecond
	probeTimeout = 70 * time.Millisecond
	// lagInterval is how often a search looks whether this host keeps up: a host that is slow
	// notices responses late. maxLag is how late it may be.
	lagInterval = 5 * time.Millisecond
	maxLag      = 10 * time.Millisecond
)

// A probeResult is the result of a search for an upstream that this host reaches.
type probeResult int

const (
	// inconclusive searches have reached none, but this host did not keep up.
	inconclusive probeResult = iota
	reachesSome
	reachesNone
)

// reachesAny opens connections to upstreams until one of them has accepted one. If it takes
// longer than usual, askOthers is called; nothing more is expected a little after the channel
// that it returns has a value.
func (c *Checker) reachesAny(ctx context.Context, list []inventory.Upstream, askOthers func(context.Context) <-chan struct{}) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeStagger+probeTimeout)
	defer cancel()
	reached := make(chan bool, len(list))
	pending := 0
	start := func(n int) {
		for _, u := range list[:min(n, len(list))] {
			pending++
			c.Tasks.Go(func() { reached <- c.Reaches(ctx, u) })
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
	lagTicker := time.NewTicker(lagInterval)
	defer lagTicker.Stop()
	lookedAt, result := time.Now(), reachesNone
	for pending > 0 {
		select {
		case ok := <-reached:
			pending--
			if ok {
				return reachesSome
			}
			if pending == 0 {
				startRest()
			}
		case <-stagger.C:
			startRest()
		case <-otherReaches:
			otherReaches, contradicted = nil, time.After(contradictionDelay)
		case <-lagTicker.C:
		case <-contradicted:
			pending = 0
		case <-ctx.Done():
			pending = 0
		}
		if now := time.Now(); now.Sub(lookedAt) > lagInterval+maxLag {
			result = inconclusive
		}
		lookedAt = time.Now()
	}
	return result
}

// Reaches opens a connection to an upstream and reports whether it has accepted it.
func (c *Checker) Reaches(ctx context.Context, u inventory.Upstream) bool {
	switch c.Prober.Probe(ctx, u.Address()) {
	case upstream.Reachable:
		c.RecordConnected(time.Now())
		return true
	case upstream.NotListening, upstream.Rejecting:
		c.RecordDialFailure(time.Now(), u.LifetimeKey())
	}
	return false
}

// askDetours asks the detours whether they reach upstreams, and remembers those that do. The
// channel gets a value with the first of them.
func (c *Checker) askDetours(ctx context.Context, list []inventory.Upstream) <-chan struct{} {
	first := make(chan struct{}, 1)
	if len(list) == 0 {
		return first
	}
	startedAt := time.Now()
	for i, m := range c.Detours() {
		c.Tasks.Go(func() {
			if c.askOther(ctx, m, list[i%len(list)], startedAt) != reachability.Running {
				return
			}
			c.setReaching(m.GateAddress(), true)
			select {
			case first <- struct{}{}:
			default:
			}
		})
	}
	return first
}

// sample returns up to n upstreams in service that meet a condition: first two that have
// responded last, as others may have ended, and the rest at random.
func (c *Checker) sample(n int, meets func(inventory.Upstream) bool) []inventory.Upstream {
	list := slices.DeleteFunc(c.InService(), func(u inventory.Upstream) bool { return !meets(u) })
	respondedAt := make(map[uint64]time.Time, len(list))
	for _, u := range list {
		respondedAt[u.LifetimeKey()] = c.LastResponse(u.LifetimeKey())
	}
	slices.SortStableFunc(list, func(a, b inventory.Upstream) int {
		return respondedAt[b.LifetimeKey()].Compare(respondedAt[a.LifetimeKey()])
	})
	random := list[min(2, len(list)):]
	c.mu.Lock()
	c.random.Shuffle(len(random), func(i, j int) { random[i], random[j] = random[j], random[i] })
	c.mu.Unlock()
	return list[:min(n, len(list))]
}
