package gate

import (
	"context"
	"time"
)

const (
	// probeWindow is how many of the last probes tell whether most peers are
	// reached; their number does not grow with the fleet.
	probeWindow = 6
	// minProbes is how many probes it takes to judge.
	minProbes = 4
	// stableTime is how long the number of members must stand still before it
	// counts as the size of the fleet: longer than members take to be lost.
	stableTime = time.Minute
	// cutOffAfter is how long a gate without peers and service goes on.
	cutOffAfter = 2 * time.Second
	// touchPeriod is how often the service is asked meanwhile.
	touchPeriod  = time.Second
	touchTimeout = 500 * time.Millisecond
)

// isolation tells whether a gate can know that its catalog is current. A gate
// that is cut off from most peers and from the key-value service cannot: it
// must take no new work. An outage of the service alone does not count.
type isolation struct {
	// probes holds the last results, newest last.
	probes []bool
	// alive is how many members live, fleet how many of them there were the
	// last time that their number stood still with most of them reached. The
	// lost are forgotten after a while; the size of the fleet is not.
	alive, fleet int
	aliveSince   time.Time
	// since is when this gate fell into a minority; zero if it has not.
	since time.Time
	// touched is when the service was last asked because of that.
	touched time.Time
}

// probed notes the end of a probe of a peer.
func (i *isolation) probed(now time.Time, answered bool) {
	i.probes = append(i.probes, answered)
	if len(i.probes) > probeWindow {
		i.probes = i.probes[1:]
	}
	i.judge(now)
}

// counted notes how many members live.
func (i *isolation) counted(now time.Time, alive int) {
	if alive != i.alive {
		i.alive = alive
		i.aliveSince = now
	}
	stable := now.Sub(i.aliveSince) > stableTime && !i.minority()
	if alive > i.fleet || stable {
		i.fleet = alive
	}
	i.judge(now)
}

// left notes that a member left on purpose, which makes the fleet smaller.
func (i *isolation) left() {
	i.fleet = max(0, i.fleet-1)
}

func (i *isolation) judge(now time.Time) {
	if !i.minority() {
		i.since = time.Time{}
		return
	}
	if i.since.IsZero() {
		i.since = now
	}
}

// minority reports whether this gate reaches at most half of the fleet.
func (i *isolation) minority() bool {
	return i.probesFail() || 2*i.alive <= i.fleet
}

func (i *isolation) probesFail() bool {
	answered := 0
	for _, a := range i.probes {
		if a {
			answered++
		}
	}
	return len(i.probes) >= minProbes && 2*answered < len(i.probes)
}

// cutOff reports whether neither peers nor the service were reached lately.
func (i *isolation) cutOff(now, storeContact time.Time) bool {
	return !i.since.IsZero() && now.Sub(i.since) > cutOffAfter && now.Sub(storeContact) > cutOffAfter
}

// wantsTouch reports whether it is time to ask the service.
func (i *isolation) wantsTouch(now time.Time) bool {
	if i.since.IsZero() || now.Sub(i.touched) < touchPeriod {
		return false
	}
	i.touched = now
	return true
}

// CutOff reports whether this gate must take no new work because it cannot
// know that its catalog is current.
func (g *Gate) CutOff() bool {
	g.init()
	contact := g.follower.LastStoreContactAt()
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	return g.isolation.cutOff(time.Now(), contact)
}

func (g *Gate) noteProbe(answered bool) {
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	g.isolation.probed(time.Now(), answered)
}

// touchStore asks the service if most peers cannot be reached.
func (g *Gate) touchStore() {
	g.rosterMu.Lock()
	g.isolation.counted(time.Now(), g.roster.OwnerCount())
	wanted := g.isolation.wantsTouch(time.Now())
	g.rosterMu.Unlock()
	if !wanted {
		return
	}
	g.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), touchTimeout)
		defer cancel()
		_ = g.follower.RefreshFromStore(ctx)
	})
}
