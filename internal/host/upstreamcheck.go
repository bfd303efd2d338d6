package host

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

// CheckUpstream implements dispatch.Links. An upstream has ended if another host, which
// reaches others, does not reach it either. If no host can tell, it has ended if this host
// reaches others in its data centre.
func (l *links) CheckUpstream(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	return l.join(ctx, &l.upstreamChecks, u, func(ctx context.Context) reachability.Condition { return l.checkWithOthers(ctx, u, since) })
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

// hasWitness reports whether this host reaches another upstream in the data centre of u. It is
// also true if u is the only one there.
func (l *links) hasWitness(ctx context.Context, u inventory.Upstream) bool {
	witnesses := l.sample(maxProbes, func(o inventory.Upstream) bool {
		return o.ID() != u.ID() && o.DataCenter() == u.DataCenter()
	})
	return len(witnesses) == 0 || l.reachesAny(ctx, witnesses, nil) == reachesSome
}

// checkWithOthers probes an upstream and asks other hosts if that does not succeed at once.
func (l *links) checkWithOthers(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition {
	opinions := make(chan opinion, 1+maxSecondOpinions)
	l.host.group.Go(func() {
		condition := l.join(ctx, &l.ownChecks, u, func(ctx context.Context) reachability.Condition { return l.checkOwn(ctx, u) })
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
			pending += l.askOthers(ctx, u, since, opinions)
		}
	}
	if contradicted != nil {
		return reachability.Ended
	}
	return own
}

// askOthers asks other hosts for their opinions of an upstream and returns how many.
func (l *links) askOthers(ctx context.Context, u inventory.Upstream, since time.Time, opinions chan<- opinion) int {
	others := l.secondOpinions()
	for _, m := range others {
		l.host.group.Go(func() { opinions <- opinion{condition: l.askOther(ctx, m, u, since)} })
	}
	return len(others)
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

// secondOpinions returns the hosts that are asked whether an upstream runs, of different data
// centres as far as possible.
func (l *links) secondOpinions() []roster.Member {
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
