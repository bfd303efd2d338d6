package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// loserTime is how long an attempt goes on whose answer is not needed any
	// more: most end within it, and their connection is kept.
	loserTime = 60 * time.Millisecond
	// askAgain is the pause until a late or waiting part asks for an upstream or
	// an extra attempt again.
	askAgain = 4 * time.Millisecond
	// waitShare is the share of the target for which a part waits for an
	// upstream before it is given up.
	waitShare = 0.25
	// retrySoon and retryLater are what callers are told if upstreams are busy,
	// and if none is left.
	retrySoon  = 100 * time.Millisecond
	retryLater = 500 * time.Millisecond
)

// A Dispatcher runs requests. Its exported fields are set before use. It is
// safe for concurrent use.
type Dispatcher struct {
	Exchanger upstream.Exchanger
	// Pool returns the pool of a service, never nil.
	Pool func(service string) *pool.Pool
	// LatencyStats returns the times of a route's requests, never nil.
	LatencyStats func(route *routing.Route) *pool.LatencyStats
	// BlockedFor returns how much longer a request may not run because it crashes
	// upstreams; zero if it may.
	BlockedFor func(fingerprint uint64) time.Duration
	// OnCrash is told when an upstream died while it ran requests.
	OnCrash func(pool.Crash)
	// OnSuccess is told of each request that was answered with success.
	OnSuccess func(fingerprint uint64)
	// OnFinish is told what became of each request.
	OnFinish func(Summary)
	// CallerAllowance is the part of a target that the way to the caller takes,
	// ConnectAllowance what a connection that the caller makes for a request takes
	// besides.
	CallerAllowance, ConnectAllowance time.Duration
	Group                             *work.Group
}

// allowance returns the part of the target that a request spends outside this host.
func (d *Dispatcher) allowance(r *Request) time.Duration {
	if r.NewConnection {
		return d.CallerAllowance + d.ConnectAllowance
	}
	return d.CallerAllowance
}

// RunAttempt runs one attempt at the upstream of a pick and tells the pool how it
// ended.
func (d *Dispatcher) RunAttempt(ctx context.Context, p *pool.Pool, pick *pool.Assignment, a *upstream.Attempt) upstream.Outcome {
	e := d.Exchanger.Exchange(ctx, a)
	if crash := p.Done(time.Now(), pick, e); crash != nil {
		d.OnCrash(*crash)
	}
	if e.Result == upstream.Broken || e.Result == upstream.Misdirected || e.ConnectionRefused {
		d.Exchanger.CloseIdleConnections(a.UpstreamID)
	}
	return e
}

// Run runs a request on a route of one version of the configuration.
func (d *Dispatcher) Run(ctx context.Context, request *Request, route *routing.Route, version uint64) Answer {
	f := newFlight(d, request, route)
	answer := f.run(ctx)
	if answer.Status < http.StatusMultipleChoices {
		d.OnSuccess(f.fingerprint)
	}
	d.OnFinish(Summary{
		RequestID: request.ID, Route: route.Name(), Version: version, Status: answer.Status, Reason: answer.Reason,
		Parts: len(f.parts), MissingParts: answer.MissingParts, Attempts: f.attempts, Hedges: f.late, Retries: f.retried,
		MissingDetails: f.lacking(), LastFailure: f.lastFailure, Elapsed: time.Since(f.started),
	})
	return answer
}
