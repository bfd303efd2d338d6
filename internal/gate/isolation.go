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
	// since is when most probes began to fail; zero if they do not.
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
	if !i.minority() {
		i.since = time.Time{}
		return
	}
	if i.since.IsZero() {
		i.since = now
	}
}

func (i *isolation) minority() bool {
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
	contact := g.follower.StoreContact()
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
	wanted := g.isolation.wantsTouch(time.Now())
	g.rosterMu.Unlock()
	if !wanted {
		return
	}
	g.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), touchTimeout)
		defer cancel()
		_ = g.follower.Touch(ctx)
	})
}
