// Package standin holds small stand-ins for the systems that foxtailshelf
// serves and runs on: upstreams, the key-value service and the host list. It
// is for tests and demonstrations, not part of the product.
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

// PoisonMark makes a request crash the upstreams that run it.
const PoisonMark = "poison"

const (
	shedRetry = 50 * time.Millisecond
	// coldFactor is how much slower a cold upstream is.
	coldFactor = 3
)

// UpstreamFaults are the faults of an upstream, switched on by request.
type UpstreamFaults struct {
	// Down refuses connections; Frozen takes them and never answers.
	Down   bool `json:"down"`
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the time of each run if it is above 1.
	SlowFactor float64 `json:"slow-factor"`
	// StragglerShare of all runs takes ten times as long.
	StragglerShare float64 `json:"straggler-share"`
	Draining       bool    `json:"draining"`
	Shedding       bool    `json:"shedding"`
	// Misleading reports say the opposite about draining.
	Misleading bool `json:"misleading"`
	// ReportsDown makes the load endpoint fail.
	ReportsDown bool `json:"reports-down"`
	// CutAfterRun loses the connection once the request has been run.
	CutAfterRun bool `json:"cut-after-run"`
	// WrongVersion answers from another version than was asked for.
	WrongVersion bool `json:"wrong-version"`
}

// An Upstream runs requests in slots. Its exported fields are set before use.
type Upstream struct {
	Name  string
	Slots int
	// RunTime draws the time of one run; nil stands for DefaultRunTime.
	RunTime func(*rand.Rand) time.Duration
	// RestartTime is how long the upstream is away after a crash.
	RestartTime time.Duration
	// WarmTime is how long it is slow after a start.
	WarmTime time.Duration
	// ReportLag is how old load reports are.
	ReportLag time.Duration
	Seed      uint64
	// Ledger, if set, hears of all runs.
	Ledger *Ledger

	mu       sync.Mutex
	random   *rand.Rand
	faults   UpstreamFaults
	versions []snapshot.Version
	// slots holds one token for each run.
	slots chan struct{}
	// running holds how to end each run, by attempt.
	running map[string]context.CancelCauseFunc
	// downUntil and coldUntil are set by a crash.
	downUntil, coldUntil time.Time
	reported             upstream.Report
	reportedAt           time.Time
	crashes              int
	mostRunning          int
	started              int
}

// A Ledger counts what upstreams did. The zero value is ready.
type Ledger struct {
	mu sync.Mutex
	// runs counts finished runs by service, request id and shard.
	runs map[string]int
	// Started, Finished and Wasted count runs.
	started, finished, wasted int
	wastedTime                time.Duration
}

var (
	errCrashed = errors.New("the upstream crashed")
	errStopped = errors.New("the run was cancelled")

	_ upstream.Client = (*Upstream)(nil)
)

// DefaultRunTime is the time of a run: 8 ms, and on average 12 ms more.
func DefaultRunTime(r *rand.Rand) time.Duration {
	const least, more = 8 * time.Millisecond, 12 * time.Millisecond
	return least + time.Duration(min(r.ExpFloat64(), 4)*float64(more))
}

// Counts returns how many runs were started, finished and wasted.
func (l *Ledger) Counts() (started, finished, wasted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, l.finished, l.wasted
}

// Runs returns how often a request was run on a shard.
func (l *Ledger) Runs(service, requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service+" "+requestID]
}

// WastedTime returns the slot time spent on runs that nobody waited for.
func (l *Ledger) WastedTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wastedTime
}

func (l *Ledger) ended(call upstream.Call, took time.Duration, finished bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
	if !finished {
		l.wasted++
		l.wastedTime += took
		return
	}
	l.finished++
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[call.Service+" "+call.RequestID]++
}

// Cancel implements upstream.Client.
func (u *Upstream) Cancel(ctx context.Context, attemptID string) error {
	if err := u.connect(ctx); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if stop, ok := u.running[attemptID]; ok {
		stop(errStopped)
	}
	return nil
}

// Close implements upstream.Client.
func (u *Upstream) Close() {}

// Crashes returns how often the upstream crashed.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// Started returns how many runs were let in.
func (u *Upstream) Started() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

// MostRunning returns the most runs that ever wanted a slot at once.
func (u *Upstream) MostRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mostRunning
}

// CloseIdleConnections implements upstream.Client.
func (u *Upstream) CloseIdleConnections() {}

// Report implements upstream.Client.
func (u *Upstream) Report(ctx context.Context) (upstream.Report, error) {
	if err := u.connect(ctx); err != nil {
		return upstream.Report{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.ReportsDown {
		return upstream.Report{}, &upstream.UnreachableError{Err: errors.New("the load endpoint is down")}
	}
	now := time.Now()
	if now.Sub(u.reportedAt) >= u.ReportLag {
		u.reportedAt = now
		u.reported = upstream.Report{
			Versions: u.versions, Running: len(u.running),
			Draining: u.faults.Draining != u.faults.Misleading, Cold: now.Before(u.coldUntil),
		}
	}
	return u.reported, nil
}

// Run implements upstream.Client.
func (u *Upstream) Run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	if err := u.connect(ctx); err != nil {
		return upstream.Reply{}, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ctx, done := context.WithTimeout(ctx, call.Remaining)
	defer done()
	slots, err := u.admit(call, stop)
	if err != nil {
		return upstream.Reply{}, err
	}
	defer u.release(call)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return upstream.Reply{}, stopError(ctx)
	}
	return u.run(ctx, call)
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	if !f.Down {
		return
	}
	for _, stop := range u.running {
		stop(errCrashed)
	}
}

// SetVersions replaces the versions that the upstream holds.
func (u *Upstream) SetVersions(versions ...snapshot.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.versions = versions
}

// admit checks a call and notes it as running.
func (u *Upstream) admit(call upstream.Call, stop context.CancelCauseFunc) (chan struct{}, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.faults.Draining:
		return nil, &upstream.RefusedError{Reason: "draining", RetryAfter: shedRetry}
	case u.faults.Shedding:
		return nil, &upstream.RefusedError{Reason: "overload", RetryAfter: shedRetry}
	case !call.Version.IsZero() && !u.holds(call.Version):
		return nil, &upstream.RefusedError{Reason: "version-gone"}
	}
	if u.slots == nil {
		u.slots = make(chan struct{}, u.Slots)
		u.running = make(map[string]context.CancelCauseFunc)
		u.random = rand.New(rand.NewPCG(u.Seed, uint64(len(u.Name))))
	}
	u.running[call.AttemptID] = stop
	u.started++
	u.mostRunning = max(u.mostRunning, len(u.running))
	return u.slots, nil
}

// connect stands for making a connection.
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

// crash ends all runs and keeps the upstream away for a while.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashes++
	u.downUntil = time.Now().Add(u.RestartTime)
	u.coldUntil = u.downUntil.Add(u.WarmTime)
	for _, stop := range u.running {
		stop(errCrashed)
	}
}

func (u *Upstream) holds(v snapshot.Version) bool {
	for _, held := range u.versions {
		if held == v {
			return true
		}
	}
	return false
}

func (u *Upstream) release(call upstream.Call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, call.AttemptID)
}

func (u *Upstream) run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	duration, cut, wrong := u.draw()
	startAt := time.Now()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	if bytes.Contains(call.Body, []byte(PoisonMark)) {
		timer.Reset(duration / 2)
	}
	select {
	case <-timer.C:
	case <-ctx.Done():
		u.Ledger.ended(call, time.Since(startAt), false)
		return upstream.Reply{}, stopError(ctx)
	}
	if bytes.Contains(call.Body, []byte(PoisonMark)) {
		u.crash()
		return upstream.Reply{}, &upstream.BrokenError{Err: errCrashed}
	}
	u.Ledger.ended(call, duration, true)
	if cut {
		return upstream.Reply{}, &upstream.BrokenError{Err: errors.New("connection reset")}
	}
	version := call.Version
	if wrong {
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

func (u *Upstream) draw() (duration time.Duration, cut, wrong bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	runTime := u.RunTime
	if runTime == nil {
		runTime = DefaultRunTime
	}
	duration = runTime(u.random)
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

// stopError tells a crash from a cancellation.
func stopError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCrashed) {
		return &upstream.BrokenError{Err: errCrashed}
	}
	return ctx.Err()
}
