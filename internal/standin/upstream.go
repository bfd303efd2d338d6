// Package standin has in-memory stand-ins for the systems around foxtailshelf:
// upstreams, the key-value service and the host list. They serve tests and
// demonstrations and are not part of the product.
package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// CrashMark in the body of a request crashes the upstream that runs it.
const CrashMark = "poison"

const (
	refusalRetryDelay = 50 * time.Millisecond
	// coldFactor multiplies the duration of runs while the upstream is cold.
	coldFactor = 3
)

// UpstreamFaults are the faults that can be injected into an upstream.
type UpstreamFaults struct {
	// Down refuses connections. Frozen accepts connections and never responds.
	Down   bool `json:"down"`
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the duration of each run if it is above 1.
	SlowFactor float64 `json:"slow-factor"`
	// StragglerShare is the ratio of runs, from 0 to 1, that take 10 times as long.
	StragglerShare float64 `json:"straggler-share"`
	// Draining refuses new runs, and replies and load reports announce it. Shedding
	// refuses new runs for overload.
	Draining bool `json:"draining"`
	Shedding bool `json:"shedding"`
	// Misleading inverts the draining state in load reports.
	Misleading bool `json:"misleading"`
	// ReportsDown makes the load endpoint fail.
	ReportsDown bool `json:"reports-down"`
	// CutAfterRun breaks the connection after the run, before the response.
	CutAfterRun bool `json:"cut-after-run"`
	// WrongVersion makes replies carry the requested version number plus 1.
	WrongVersion bool `json:"wrong-version"`
}

// An Upstream simulates an upstream that runs requests in a limited number of
// slots. Its exported fields are set before use.
type Upstream struct {
	Name  string
	Slots int
	// RunDuration draws the duration of one run; nil means DefaultRunDuration.
	RunDuration func(*rand.Rand) time.Duration
	// RestartDelay is how long the upstream refuses connections after a crash.
	RestartDelay time.Duration
	// ColdPeriod is how long the upstream is cold after RestartDelay has passed. The
	// runs of a cold upstream take coldFactor times as long.
	ColdPeriod time.Duration
	// ReportMaxAge is how long a load report is cached; zero means not at all.
	ReportMaxAge time.Duration
	Seed         uint64
	// RunCounter, if set, counts the runs.
	RunCounter *RunCounter

	mu       sync.Mutex
	random   *rand.Rand
	faults   UpstreamFaults
	versions []snapshot.Version
	// slotTokens holds one token for each run that occupies a slot.
	slotTokens chan struct{}
	// runCancels holds the cancel function of each admitted run, by attempt id.
	runCancels map[string]context.CancelCauseFunc
	// A crash sets downUntil, when the upstream has restarted, and coldUntil, when the
	// upstream is no longer cold.
	downUntil, coldUntil time.Time
	lastReport           upstream.Report
	lastReportAt         time.Time
	crashCount           int
	maxConcurrentRuns    int
	admittedCount        int
}

// A RunCounter counts the runs of upstreams. The zero value is ready to use.
type RunCounter struct {
	mu sync.Mutex
	// runs counts finished runs by service and request id.
	runs map[string]int
	// started is the sum of finished and wasted, the runs that got a slot and have ended.
	// Wasted runs ended before they finished: by a cancellation, at their deadline or by
	// a crash of their upstream. The run that causes a crash is not counted.
	started, finished, wasted int
	wastedDuration            time.Duration
}

var (
	errCrashed      = errors.New("the upstream crashed")
	errRunCancelled = errors.New("the run was cancelled")

	_ upstream.Client = (*Upstream)(nil)
)

// DefaultRunDuration draws the duration of a run: 8 ms plus an exponentially
// distributed duration with a mean of 12 ms, which is limited to 48 ms.
func DefaultRunDuration(r *rand.Rand) time.Duration {
	const minimum, meanExtra = 8 * time.Millisecond, 12 * time.Millisecond
	return minimum + time.Duration(min(r.ExpFloat64(), 4)*float64(meanExtra))
}

// Counts returns how many runs started, finished and were wasted. Runs that have not
// ended are not counted.
func (c *RunCounter) Counts() (started, finished, wasted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started, c.finished, c.wasted
}

// RunCount returns how many runs of a request finished, on all shards together.
func (c *RunCounter) RunCount(service, requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[service+" "+requestID]
}

// WastedDuration returns the total slot time of wasted runs.
func (c *RunCounter) WastedDuration() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wastedDuration
}

func (c *RunCounter) recordEnd(call upstream.Call, elapsed time.Duration, finished bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	if !finished {
		c.wasted++
		c.wastedDuration += elapsed
		return
	}
	c.finished++
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[call.Service+" "+call.RequestID]++
}

// Cancel implements upstream.Client.
func (u *Upstream) Cancel(ctx context.Context, attemptID string) error {
	if err := u.connect(ctx); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel, ok := u.runCancels[attemptID]; ok {
		cancel(errRunCancelled)
	}
	return nil
}

// Close implements upstream.Client.
func (u *Upstream) Close() {}

// CrashCount returns how many runs crashed the upstream.
func (u *Upstream) CrashCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashCount
}

// AdmittedCount returns how many runs were admitted, including those that ended while
// they waited for a slot.
func (u *Upstream) AdmittedCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.admittedCount
}

// MaxConcurrentRuns returns the largest number of runs that were admitted at the
// same time, including those that waited for a slot.
func (u *Upstream) MaxConcurrentRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxConcurrentRuns
}

// CloseIdleConnections implements upstream.Client.
func (u *Upstream) CloseIdleConnections() {}

// FetchReport implements upstream.Client.
func (u *Upstream) FetchReport(ctx context.Context) (upstream.Report, error) {
	if err := u.connect(ctx); err != nil {
		return upstream.Report{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.ReportsDown {
		return upstream.Report{}, &upstream.UnreachableError{Err: errors.New("the load endpoint is down")}
	}
	now := time.Now()
	if now.Sub(u.lastReportAt) >= u.ReportMaxAge {
		u.lastReportAt = now
		u.lastReport = upstream.Report{
			Versions: u.versions, Running: len(u.runCancels),
			Draining: u.faults.Draining != u.faults.Misleading, Cold: now.Before(u.coldUntil),
		}
	}
	return u.lastReport, nil
}

// Run implements upstream.Client.
func (u *Upstream) Run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	if err := u.connect(ctx); err != nil {
		return upstream.Reply{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimeout := context.WithTimeout(ctx, call.Remaining)
	defer cancelTimeout()
	tokens, err := u.admit(call, cancel)
	if err != nil {
		return upstream.Reply{}, err
	}
	defer u.release(call)
	select {
	case tokens <- struct{}{}:
		defer func() { <-tokens }()
	case <-ctx.Done():
		return upstream.Reply{}, cancelError(ctx)
	}
	return u.run(ctx, call)
}

// SetFaults replaces all faults. Setting Down also ends all runs, as a crash does.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	if !f.Down {
		return
	}
	for _, cancel := range u.runCancels {
		cancel(errCrashed)
	}
}

// SetVersions replaces the versions that the upstream serves.
func (u *Upstream) SetVersions(versions ...snapshot.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.versions = versions
}

// admit registers the run of a call and returns the channel of slot tokens. It refuses
// the call if the upstream drains, sheds load or does not serve the version of the call.
func (u *Upstream) admit(call upstream.Call, cancel context.CancelCauseFunc) (chan struct{}, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.faults.Draining:
		return nil, &upstream.RefusedError{Reason: "draining", RetryAfter: refusalRetryDelay}
	case u.faults.Shedding:
		return nil, &upstream.RefusedError{Reason: "overload", RetryAfter: refusalRetryDelay}
	case !call.Version.IsZero() && !u.serves(call.Version):
		return nil, &upstream.RefusedError{Reason: "version-gone"}
	}
	if u.slotTokens == nil {
		u.slotTokens = make(chan struct{}, u.Slots)
		u.runCancels = make(map[string]context.CancelCauseFunc)
		u.random = rand.New(rand.NewPCG(u.Seed, uint64(len(u.Name))))
	}
	u.runCancels[call.AttemptID] = cancel
	u.admittedCount++
	u.maxConcurrentRuns = max(u.maxConcurrentRuns, len(u.runCancels))
	return u.slotTokens, nil
}

// connect simulates the start of a connection. It fails at once if the upstream is down,
// and when the context ends if the upstream is frozen.
func (u *Upstream) connect(ctx context.Context) error {
	u.mu.Lock()
	down := u.faults.Down || time.Now().Before(u.downUntil)
	frozen := u.faults.Frozen
	u.mu.Unlock()
	if down {
		return &upstream.UnreachableError{Err: errors.New("connection refused")}
	}
	if frozen {
		<-ctx.Done()
		return &upstream.BrokenError{Err: ctx.Err()}
	}
	return nil
}

// crash ends all runs and makes the upstream refuse connections until it has
// restarted.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashCount++
	u.downUntil = time.Now().Add(u.RestartDelay)
	u.coldUntil = u.downUntil.Add(u.ColdPeriod)
	for _, cancel := range u.runCancels {
		cancel(errCrashed)
	}
}

func (u *Upstream) serves(v snapshot.Version) bool {
	for _, served := range u.versions {
		if served == v {
			return true
		}
	}
	return false
}

func (u *Upstream) release(call upstream.Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runCancels, call.AttemptID)
}

func (u *Upstream) run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	duration, cutAfterRun, wrongVersion := u.drawRun()
	startAt := time.Now()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	if bytes.Contains(call.Body, []byte(CrashMark)) {
		timer.Reset(duration / 2)
	}
	select {
	case <-timer.C:
	case <-ctx.Done():
		u.RunCounter.recordEnd(call, time.Since(startAt), false)
		return upstream.Reply{}, cancelError(ctx)
	}
	if bytes.Contains(call.Body, []byte(CrashMark)) {
		u.crash()
		return upstream.Reply{}, &upstream.BrokenError{Err: errCrashed}
	}
	u.RunCounter.recordEnd(call, duration, true)
	if cutAfterRun {
		return upstream.Reply{}, &upstream.BrokenError{Err: errors.New("connection reset")}
	}
	version := call.Version
	if wrongVersion {
		version = snapshot.New(version.Number()+1, version.ShardMap())
	}
	body := fmt.Sprintf(`{"shard":%q,"version":%d,"request":%q}`, call.ShardPath, version.Number(), call.RequestID)
	u.mu.Lock()
	defer u.mu.Unlock()
	return upstream.Reply{
		AttemptID: call.AttemptID, Version: version, Body: []byte(body),
		Draining: u.faults.Draining, Cold: time.Now().Before(u.coldUntil),
	}, nil
}

// drawRun draws the duration of the next run and returns it with the faults that apply
// at the end of the run.
func (u *Upstream) drawRun() (duration time.Duration, cutAfterRun, wrongVersion bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	runDuration := u.RunDuration
	if runDuration == nil {
		runDuration = DefaultRunDuration
	}
	duration = runDuration(u.random)
	if u.random.Float64() < u.faults.StragglerShare {
		duration *= 10
	}
	if u.faults.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * u.faults.SlowFactor)
	}
	if time.Now().Before(u.coldUntil) {
		duration *= coldFactor
	}
	return duration, u.faults.CutAfterRun, u.faults.WrongVersion
}

// cancelError returns the error of a run that was cancelled: a BrokenError after a crash
// or an outage of the upstream, or else the error of the context.
func cancelError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCrashed) {
		return &upstream.BrokenError{Err: errCrashed}
	}
	return ctx.Err()
}
