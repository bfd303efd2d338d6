package gate

import (
	"context"
	"time"
)

const (
	// probeWindow is how many of the most recent probes decide whether most peers
	// are reachable. The number is the same for fleets of all sizes.
	probeWindow = 6
	// minProbes is how many probe results are needed before failed probes count.
	minProbes = 4
	// stablePeriod is how long the number of alive members must stay the same
	// before it counts as the size of the fleet. It is longer than it takes to
	// detect lost members.
	stablePeriod = time.Minute
	// cutOffDelay is how long a gate that reaches neither most peers nor the
	// key-value service still takes requests. It is also the retry time of the
	// refusals that follow.
	cutOffDelay = 2 * time.Second
	// storeCheckInterval is how often a gate in a minority checks whether the
	// key-value service is reachable.
	storeCheckInterval = time.Second
	storeCheckTimeout  = 500 * time.Millisecond
)

// isolation detects that a gate is cut off: it reaches neither most of its peers
// nor the key-value service. Its catalog may then be out of date, so it must not
// take new requests. An outage of the service alone does not cut a gate off.
type isolation struct {
	// probeResults holds the most recent results, newest last; true means that the
	// peer answered.
	probeResults []bool
	// aliveCount is the current roster.OwnerCount: the members that are alive or
	// suspect. fleetSize is the size of the fleet including its lost members: it
	// rises with aliveCount, and falls if a member leaves, or if aliveCount has
	// stayed the same for stablePeriod and this gate is not in a minority. The
	// roster removes lost members after roster.TombstonePeriod, which must not
	// shrink fleetSize.
	aliveCount, fleetSize int
	aliveCountSince       time.Time
	// minoritySince is when this gate fell into a minority; zero if it is not in
	// one.
	minoritySince time.Time
	// storeCheckedAt is when the key-value service was last checked because this
	// gate was in a minority.
	storeCheckedAt time.Time
}

// recordProbe records whether a peer answered a probe.
func (i *isolation) recordProbe(now time.Time, answered bool) {
	i.probeResults = append(i.probeResults, answered)
	if len(i.probeResults) > probeWindow {
		i.probeResults = i.probeResults[1:]
	}
	i.updateMinority(now)
}

// recordMemberCount records the current roster.OwnerCount.
func (i *isolation) recordMemberCount(now time.Time, aliveCount int) {
	if aliveCount != i.aliveCount {
		i.aliveCount = aliveCount
		i.aliveCountSince = now
	}
	stable := now.Sub(i.aliveCountSince) > stablePeriod && !i.inMinority()
	if aliveCount > i.fleetSize || stable {
		i.fleetSize = aliveCount
	}
	i.updateMinority(now)
}

// recordLeave records that a member left the fleet gracefully, which reduces the
// size of the fleet at once.
func (i *isolation) recordLeave() {
	i.fleetSize = max(0, i.fleetSize-1)
}

func (i *isolation) updateMinority(now time.Time) {
	if !i.inMinority() {
		i.minoritySince = time.Time{}
		return
	}
	if i.minoritySince.IsZero() {
		i.minoritySince = now
	}
}

// inMinority reports whether most of the recent probes failed, or at most half of
// the fleet is alive in this gate's view.
func (i *isolation) inMinority() bool {
	return i.mostProbesFailed() || 2*i.aliveCount <= i.fleetSize
}

func (i *isolation) mostProbesFailed() bool {
	answered := 0
	for _, a := range i.probeResults {
		if a {
			answered++
		}
	}
	return len(i.probeResults) >= minProbes && 2*answered < len(i.probeResults)
}

// isCutOff reports whether the gate has been in a minority and without contact with
// the key-value service for longer than cutOffDelay.
func (i *isolation) isCutOff(now, lastStoreContactAt time.Time) bool {
	return !i.minoritySince.IsZero() && now.Sub(i.minoritySince) > cutOffDelay && now.Sub(lastStoreContactAt) > cutOffDelay
}

// shouldCheckStore reports whether a check of the key-value service is due: this
// gate is in a minority, and the last check was at least storeCheckInterval ago. If
// so, it records that the check is made now.
func (i *isolation) shouldCheckStore(now time.Time) bool {
	if i.minoritySince.IsZero() || now.Sub(i.storeCheckedAt) < storeCheckInterval {
		return false
	}
	i.storeCheckedAt = now
	return true
}

// CutOff reports whether this gate must not take new requests because it reaches
// neither most of its peers nor the key-value service.
func (g *Gate) CutOff() bool {
	g.init()
	lastStoreContactAt := g.follower.LastStoreContactAt()
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.isolation.isCutOff(time.Now(), lastStoreContactAt)
}

func (g *Gate) recordProbe(answered bool) {
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	g.isolation.recordProbe(time.Now(), answered)
}

// updateIsolation updates the member count and, if this gate is in a minority,
// checks every storeCheckInterval whether the key-value service is reachable.
func (g *Gate) updateIsolation() {
	g.rosterMu.Lock()
	g.isolation.recordMemberCount(time.Now(), g.roster.OwnerCount())
	due := g.isolation.shouldCheckStore(time.Now())
	g.rosterMu.Unlock()
	if !due {
		return
	}
	g.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCheckTimeout)
		defer cancel()
		_ = g.follower.RefreshFromStore(ctx)
	})
}
