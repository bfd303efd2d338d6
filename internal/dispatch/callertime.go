package dispatch

import (
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/routing"
)

const (
	// timeoutWindow is for how long a callerTimeout keeps the longest remaining time.
	timeoutWindow = 10 * time.Second
	// minTimeoutSamples is the number of requests after which a callerTimeout relies on
	// the longest remaining time: some of these callers have spent no time before.
	minTimeoutSamples = 8
	// maxCallerTimeouts bounds the estimates, since changes of the configuration add
	// routes and remove others. If there are more, all are discarded.
	maxCallerTimeouts = 4096
)

// A callerTimeout estimates the timeout that the callers of a route set: the longest
// time that a recent request had left. What another request lacks of it, its caller has
// spent before it sent the request. A callerTimeout is safe for concurrent use.
type callerTimeout struct {
	mu sync.Mutex
	// current and previous are the windows of the last requests.
	current, previous timeoutSamples
}

// timeoutSamples are the requests of one window.
type timeoutSamples struct {
	count     int
	longest   time.Duration
	startedAt time.Time
}

// record adds a request and returns how much time its caller has spent before, as far as
// earlier requests and the timeout of the route tell.
func (t *callerTimeout) record(now time.Time, remaining, routeTimeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.current.startedAt) > timeoutWindow {
		t.current, t.previous = timeoutSamples{startedAt: now}, t.current
	}
	t.current.count++
	t.current.longest = max(t.current.longest, remaining)
	return t.estimate(remaining, routeTimeout)
}

// spent returns how much time a caller has spent, without counting its request.
func (t *callerTimeout) spent(remaining, routeTimeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.estimate(remaining, routeTimeout))
}

// estimate returns how much time a caller has spent. The caller holds t.mu.
func (t *callerTimeout) estimate(remaining, routeTimeout time.Duration) time.Duration {
	observed := max(t.current.longest, t.previous.longest) - remaining
	configured := routeTimeout - remaining
	switch {
	case configured < 0:
		return observed
	case t.current.count+t.previous.count < minTimeoutSamples:
		return configured
	default:
		// The route may allow more time than its callers have, and some callers may have
		// more time than others.
		return min(observed, configured)
	}
}

// timeSpent returns how much of the target the caller has spent before it sent the
// request, on finding an address and connecting. It is zero if that took so long that
// the caller was probably refused and told to come back: the target then counts anew.
func (d *Dispatcher) timeSpent(now time.Time, r *Request, routeName string, routeTimeout time.Duration) time.Duration {
	if r.Remaining <= 0 {
		return 0
	}
	spent := d.callerTimeout(routeName).record(now, r.Remaining, routeTimeout)
	if spent >= failureRetryDelay {
		return 0
	}
	return spent
}

// IsOverdue reports whether the answer to a request will be late even if it is dispatched now:
// its caller has spent too much of the target before.
func (d *Dispatcher) IsOverdue(r *Request, route *routing.Route) bool {
	if r.Remaining <= 0 {
		return false
	}
	spent := d.callerTimeout(route.Name()).spent(r.Remaining, route.Timeout())
	return spent+d.LatencyStats(route).TypicalLatency() > route.LatencyTarget()
}

// callerTimeout returns the estimate of a route.
func (d *Dispatcher) callerTimeout(routeName string) *callerTimeout {
	d.callerTimeoutsMu.Lock()
	defer d.callerTimeoutsMu.Unlock()
	t, ok := d.callerTimeouts[routeName]
	if ok {
		return t
	}
	if d.callerTimeouts == nil || len(d.callerTimeouts) >= maxCallerTimeouts {
		d.callerTimeouts = make(map[string]*callerTimeout)
	}
	t = &callerTimeout{}
	d.callerTimeouts[routeName] = t
	return t
}

// allowance returns how much of the target a request spends outside this host.
func (d *Dispatcher) allowance(r *Request, spent time.Duration) time.Duration {
	if spent == 0 && r.NewConnection {
		return d.CallerAllowance + d.ConnectAllowance
	}
	return d.CallerAllowance + spent
}
