package linkcheck

// This file finds out whether an upstream has ended or the link to it is lost.

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	// upstreamProbeTimeout bounds the probe of one upstream, upstreamCheckTimeout its check with
	// the help of other hosts.
	upstreamProbeTimeout = 250 * time.Millisecond
	upstreamCheckTimeout = 450 * time.Millisecond
	// secondOpinionDelay is how long the own probe of an upstream may take before other hosts
	// are asked, maxSecondOpinions how many, and contradictionDelay how long one that does
	// not reach the upstream may be contradicted by another.
	secondOpinionDelay = 15 * time.Millisecond
	maxSecondOpinions  = 6
	contradictionDelay = 25 * time.Millisecond
)

// An opinion is what one host says of an upstream.
type opinion struct {
	isOwn     bool
	condition reachability.Condition
}

// CheckUpstream finds out whether an upstream runs. One that has responded to an attempt that began
// after since does. An upstream has ended if another host, which
// reaches others, does not reach it either. If no host can tell, it has ended if this host
// reaches others in its data centre.
func (c *Checker) CheckUpstream(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	return c.join(ctx, &c.upstreamChecks, u, func(ctx context.Context) reachability.Condition { return c.checkWithOthers(ctx, u, since) })
}

// checkOwn probes an upstream from this host. If it is unreachable, other upstreams of its
// data centre tell whether the upstream or the link has failed.
func (c *Checker) checkOwn(ctx context.Context, u inventory.Upstream) reachability.Condition {
	ctx, cancel := context.WithTimeout(ctx, upstreamProbeTimeout)
	defer cancel()
	probed := make(chan bool, 1)
	witnessed := make(chan bool, 1)
	c.Tasks.Go(func() { probed <- c.probe(ctx, u) })
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
	c.Tasks.Go(func() { witnessed <- c.hasWitness(ctx, u) })
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

// hasWitness reports whether this host reaches another upstream in the data centre of u. It is
// also true if u is the only one there.
func (c *Checker) hasWitness(ctx context.Context, u inventory.Upstream) bool {
	witnesses := c.sample(maxProbes, func(o inventory.Upstream) bool {
		return o.ID() != u.ID() && o.DataCenter() == u.DataCenter()
	})
	return len(witnesses) == 0 || c.reachesAny(ctx, witnesses, nil) == reachesSome
}

// checkWithOthers probes an upstream and asks other hosts if that does not succeed at once.
func (c *Checker) checkWithOthers(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	opinions := make(chan opinion, 1+maxSecondOpinions)
	c.Tasks.Go(func() {
		condition := c.join(ctx, &c.ownChecks, u, func(ctx context.Context) reachability.Condition { return c.checkOwn(ctx, u) })
		opinions <- opinion{isOwn: true, condition: condition}
	})
	own, pending := reachability.Unknown, 1
	askDue := time.After(secondOpinionDelay)
	// contradicted is set once another host does not reach the upstream.
	var contradicted <-chan time.Time
	for pending > 0 {
		isAskDue := false
		select {
		case o := <-opinions:
			pending--
			switch {
			case o.condition == reachability.Running:
				return reachability.Running
			case o.isOwn:
				own, isAskDue = o.condition, askDue != nil
			case o.condition == reachability.Ended && contradicted == nil:
				contradicted = time.After(contradictionDelay)
			}
			if own == reachability.Ended && contradicted != nil {
				return reachability.Ended
			}
		case <-askDue:
			isAskDue = true
		case <-contradicted:
			return reachability.Ended
		case <-ctx.Done():
			pending = 0
		}
		if isAskDue {
			askDue = nil
			pending += c.askOthers(ctx, u, since, opinions)
		}
	}
	if contradicted != nil {
		return reachability.Ended
	}
	return own
}

// askOthers asks other hosts for their opinions of an upstream and returns how many.
func (c *Checker) askOthers(ctx context.Context, u inventory.Upstream, since time.Time, opinions chan<- opinion) int {
	others := c.secondOpinions()
	for _, m := range others {
		c.Tasks.Go(func() { opinions <- opinion{condition: c.askOther(ctx, m, u, since)} })
	}
	return len(others)
}

// askOther asks another host whether an upstream runs.
func (c *Checker) askOther(ctx context.Context, m roster.Member, u inventory.Upstream, since time.Time) reachability.Condition {
	reply, err := c.Peers.CheckUpstream(ctx, m.GateAddress(), &wire.CheckUpstreamRequest{
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
func (c *Checker) join(ctx context.Context, g *singleflight.Group, u inventory.Upstream, check func(context.Context) reachability.Condition) reachability.Condition {
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
func (c *Checker) probe(ctx context.Context, u inventory.Upstream) bool {
	startedAt := time.Now()
	slow := time.AfterFunc(probeStagger, func() { c.RecordSlowDial(startedAt) })
	r := c.Prober.Probe(ctx, u.Address())
	slow.Stop()
	c.OnProbe(u.ID(), r)
	switch r {
	case upstream.Reachable:
		c.RecordConnected(time.Now())
		return true
	case upstream.Rejecting:
		return true
	default:
		c.RecordDialFailure(time.Now(), u.LifetimeKey())
		return false
	}
}

// secondOpinions returns the hosts that are asked whether an upstream runs, of different data
// centres as far as possible.
func (c *Checker) secondOpinions() []roster.Member {
	var candidates []roster.Member
	for _, m := range c.Members() {
		if m.State() == roster.Alive && m.Host() != c.Host && !m.IsPartitioned() {
			candidates = append(candidates, m)
		}
	}
	c.mu.Lock()
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	c.mu.Unlock()
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

// Answer answers another host that asks whether this host reaches an upstream.
func (c *Checker) Answer(ctx context.Context, r *wire.CheckUpstreamRequest) *wire.CheckUpstreamReply {
	u, ok := c.Upstream(r.GetUpstream())
	condition := wire.UpstreamCondition_UPSTREAM_CONDITION_UNKNOWN
	since := time.Now().Add(-time.Duration(r.GetAgeMicros()) * time.Microsecond)
	switch {
	case !ok || u.LifetimeKey() != r.GetLifetime():
	case c.RespondedSince(u.LifetimeKey(), since):
		condition = wire.UpstreamCondition_UPSTREAM_CONDITION_RUNNING
	case c.IsPartitioned():
	default:
		switch c.join(ctx, &c.ownChecks, u, func(ctx context.Context) reachability.Condition { return c.checkOwn(ctx, u) }) {
		case reachability.Running:
			condition = wire.UpstreamCondition_UPSTREAM_CONDITION_RUNNING
		case reachability.Ended:
			condition = wire.UpstreamCondition_UPSTREAM_CONDITION_UNREACHABLE
		}
	}
	return &wire.CheckUpstreamReply{Condition: condition}
}
