package dispatch

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/admission"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/reachability"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// unneededGracePeriod is how long an attempt may continue after its response is
	// no longer needed. Most attempts end within this period, so that their connections
	// can be reused.
	unneededGracePeriod = 60 * time.Millisecond
	// placementRetryInterval is the interval at which an attempt or a hedge of a part is
	// tried again, while no upstream accepts it or the budget does not allow it.
	placementRetryInterval = 4 * time.Millisecond
	// maxRefusalRatio bounds the time until a refusal reaches the caller, as a ratio of
	// the route's target. A caller that comes back soon can still be served on time.
	maxRefusalRatio = 0.25
	// failureRetryDelay is the RetryAfter of answers to requests that failed, and
	// noUpstreamRetryDelay that of failures because a service had no upstream.
	failureRetryDelay    = 100 * time.Millisecond
	noUpstreamRetryDelay = 500 * time.Millisecond
)

// Links tells what the connections of this host have shown about the upstreams and the links
// to them. It is safe for concurrent use.
type Links interface {
	// AllowsConnection reports whether an open connection to an upstream may work.
	AllowsConnection(lifetime uint64) bool
	// Changed returns a channel that is closed when this host next loses the links to all
	// upstreams, or reaches them again.
	Changed() <-chan struct{}
	// CheckUpstream finds out whether an upstream runs that this host does not reach. One that
	// has responded to an attempt that began after since does.
	CheckUpstream(ctx context.Context, u inventory.Upstream, since time.Time) reachability.Condition
	// HeardSince reports whether any upstream was heard from after a time, HeardFromSince
	// whether any of a data centre was.
	HeardSince(at time.Time) bool
	HeardFromSince(dataCenter string, at time.Time) bool
	// IsPartitioned reports whether this host cannot make connections to any upstream.
	IsPartitioned() bool
	// RecordOutcome records the outcome of an attempt over a connection of this host.
	RecordOutcome(u inventory.Upstream, startedAt time.Time, o upstream.Outcome)
	// RecordRelay records the outcome of an attempt through a dialling host.
	RecordRelay(address string, o upstream.Outcome)
	// RecordSilence records that an upstream has not responded in time.
	RecordSilence(u inventory.Upstream, startedAt time.Time)
}

// A Dispatcher runs requests on upstreams. Its exported fields are set before use.
// It is safe for concurrent use.
type Dispatcher struct {
	Exchanger upstream.Exchanger
	// Pool returns the pool of a service, never nil.
	Pool func(service string) *pool.Pool
	// LatencyStats returns the latency statistics of a route's requests, never nil.
	LatencyStats func(route *routing.Route) *pool.LatencyStats
	Links        Links
	// Stop tells when the host stops. It may be nil.
	Stop Stop
	// Guard keeps requests that crash upstreams from running.
	Guard CrashGuard
	// Alerts tell which searches must begin with a canary.
	Alerts CrashAlerts
	// OnAttempt is called when an attempt has ended.
	OnAttempt func(a *upstream.Attempt, fingerprint uint64, o upstream.Outcome)
	// OnLeaving is called when an upstream has stated that it leaves, before the attempt
	// counts as ended. If u is a dialling host, forwardedTo is the ID of the upstream.
	OnLeaving func(u inventory.Upstream, forwardedTo string)
	// OnUnreachable is called after an attempt for which no connection could be made: its pool now
	// has a reconnect to come. It may be nil.
	OnUnreachable func()
	// OnFinish is called with the summary of each finished request.
	OnFinish func(Summary)
	// CallerAllowance is how much of a route's target the network to and from the
	// caller takes. ConnectAllowance is how much more of it opening a connection takes,
	// if the caller opens one for the request and sends no timeout that tells.
	CallerAllowance, ConnectAllowance time.Duration
	Group                             *work.Group

	// OnWaiting is called with 1 when a request of a client account begins to wait for its
	// first attempts and with -1 when it ends to. It must not block. It may be nil.
	OnWaiting func(change float64)

	waiting          waitingRequests
	extras           accountExtras
	callerTimeoutsMu sync.Mutex
	// callerTimeouts holds the estimates by route name.
	callerTimeouts map[string]*callerTimeout
	canarySites    canarySites
	// running counts the attempts that have begun and not ended, also those for other hosts.
	running atomic.Int64
}

// Running returns the number of attempts that have not ended.
func (d *Dispatcher) Running() int { return int(d.running.Load()) }

// Holdings returns what requests have taken and not given back, besides assignments.
func (d *Dispatcher) Holdings() []invariant.Holding {
	places := 0
	d.waiting.withLines(func(l *admission.Lines[string, string, chan struct{}]) { places = l.Len() })
	sites := d.canarySites.ids()
	return []invariant.Holding{{What: "places among waiting requests", Count: places}, {What: "canary sites", Count: len(sites), Detail: strings.Join(sites, ", ")}}
}

// RunAttempt runs one attempt at the upstream of an assignment and reports its outcome
// to the pool. It closes the idle connections to the upstream if a connection broke or
// was refused, or if another upstream has the address.
func (d *Dispatcher) RunAttempt(ctx context.Context, p *pool.Pool, assignment *pool.Assignment, a *upstream.Attempt) upstream.Outcome {
	d.running.Add(1)
	defer d.running.Add(-1)
	outcome := d.Exchanger.Exchange(ctx, a)
	if a.Relay == nil {
		d.Links.RecordOutcome(assignment.Upstream, assignment.StartedAt(), outcome)
		if outcome.ConnectionLost {
			assignment.RecordConnectionLoss()
		}
		outcome.UpstreamEnded = outcome.ConnectionLost && !outcome.AtConnectionLimit && d.hasEnded(assignment.Upstream)
	}
	if a.Relay != nil {
		d.Links.RecordRelay(a.Address, outcome)
	}
	d.OnAttempt(a, assignment.Fingerprint(), outcome)
	if outcome.Leaving {
		d.OnLeaving(assignment.Upstream, outcome.ForwardedTo)
	}
	if crashes := p.RecordOutcome(time.Now(), assignment, outcome); len(crashes) > 0 {
		d.Guard.RecordCrashes(crashes)
	}
	if (outcome.Result == upstream.Unreachable || outcome.UpstreamEnded) && d.OnUnreachable != nil {
		d.OnUnreachable()
	}
	if outcome.ConnectionRefused && p.HasUnanswered(assignment.Upstream) {
		d.CheckUnanswered(p, assignment.Upstream, time.Now())
	}
	if outcome.Leaving || outcome.Result == upstream.Broken || outcome.Result == upstream.Misdirected || outcome.ConnectionRefused {
		d.Exchanger.CloseIdleConnections(a.UpstreamID)
	}
	return outcome
}

// Run runs a request on a route of one version of the configuration and returns the
// answer.
func (d *Dispatcher) Run(ctx context.Context, request *Request, route *routing.Route, version uint64) Answer {
	f := newInFlightRequest(d, request, route)
	answer := f.run(ctx)
	if answer.Reason == ReasonNone {
		f.latencyStats.RecordAnswer(time.Now(), time.Since(f.startedAt), f.queueWait)
	}
	d.OnFinish(Summary{
		RequestID: request.ID, Fingerprint: f.fingerprint, Account: request.AccountName(), Route: route.Name(), Version: version, Status: answer.Status, Reason: answer.Reason,
		Parts: len(f.parts), MissingParts: answer.MissingParts, Attempts: f.attempts, Hedges: f.hedges, Retries: f.retries,
		MissingDetails: f.missingDetails(), LastFailure: f.lastFailure, Verdict: f.verdict, Elapsed: time.Since(f.startedAt),
		Unanswered: f.unansweredCount(), EndedUpstreams: f.endedUpstreams, Probed: f.silenceProbed,
		Admission: f.admission, Rank: f.rank, Waited: f.waited, StopEstimate: f.stopEstimate,
	})
	return answer
}
