package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const (
	// upstreamRunTime is how long an upstream runs a request, crashDelay how long it runs a
	// crashing request before it ends.
	upstreamRunTime = 5 * time.Millisecond
	crashDelay      = 2 * time.Millisecond
	// dialTimeout is the timeout of connecting, as in package upstream.
	dialTimeout = 400 * time.Millisecond
	// slowDialDelay is when a connection takes long to open, as in package upstream.
	slowDialDelay = 50 * time.Millisecond
	// upstreamDownTime is how long after its end an upstream is back as a new lifetime.
	upstreamDownTime = 5 * time.Second
	// entryLifetime is how long the entry of an upstream outlasts its end.
	entryLifetime = 3 * time.Second
	// crashingTarget is the start of the target of requests that crash upstreams.
	crashingTarget = "/crash"
)

// An endMode is how an upstream ends.
type endMode string

const (
	// closesConnections ends close all connections, and new ones are refused.
	closesConnections endMode = "closing"
	// goesSilent ends leave all connections open without a response, and new ones are not
	// established.
	goesSilent endMode = "silent"
	// hangs ends are like goesSilent ends, but new connections are still established for
	// hangDuration.
	hangs endMode = "hanging"
	// closesLate ends are closesConnections ends, lateCrashDelay after the upstream began to
	// run the request; until then it responds to other requests.
	closesLate endMode = "late"
)

const (
	hangDuration   = time.Second
	lateCrashDelay = 2300 * time.Millisecond
)

// A simulatedUpstream is one lifetime of an upstream.
type simulatedUpstream struct {
	spec inventory.UpstreamSpec
	// ended is closed at the end of the lifetime. mode is set before.
	ended chan struct{}
	mode  endMode
	// leaving is set while all responses state that the upstream leaves. Requests are refused
	// until restsUntil with the wish for rest until then.
	leaving    atomic.Bool
	restsUntil atomic.Pointer[time.Time]
	// limit is the limit on requests that all responses state; nil or zero for none.
	limit atomic.Pointer[float64]
	// hangsUntil is when new connections are no longer established after the end.
	hangsUntil time.Time
}

// An upstreamArrival is a request that an upstream began to run.
type upstreamArrival struct {
	at                    time.Time
	host, target, request string
	upstream, account     string
}

// An upstreamEnd is the end of an upstream; target is that of the request that crashed it,
// if any.
type upstreamEnd struct {
	at              time.Time
	target, service string
}

// simulatedUpstreams are the upstreams of all services of a testFleet.
type simulatedUpstreams struct {
	fleet *testFleet
	// mode is how upstreams end.
	mode endMode
	// keepsID is set if an upstream has the same ID in its next lifetime.
	keepsID bool
	// downTime returns how long after its end an upstream is back; nil for upstreamDownTime.
	downTime func() time.Duration

	mu        sync.Mutex
	byAddress map[string]*simulatedUpstream
	// cuts are the hosts that are cut from upstreams.
	cuts map[string]cutMode
	// isCut selects the upstreams from which they are cut; nil for all.
	isCut     func(inventory.UpstreamSpec) bool
	lifetimes int
	arrivals  []upstreamArrival
	ends      []upstreamEnd
}

// A cutMode is what happens to the connections between a host and the upstreams.
type cutMode string

const (
	// cutHangs leaves all connections open without a response, and new ones are not
	// established.
	cutHangs cutMode = "hang"
	// cutResets is like cutHangs, but open connections are reset.
	cutResets cutMode = "reset"
	// cutRefuses refuses new connections, open ones live on.
	cutRefuses cutMode = "refuse"
)

// simulatedIdleTimeout is how long an idle connection lives during a cut.
const simulatedIdleTimeout = 2 * time.Second

// A simulatedTransport is the UpstreamTransport of one lifetime of a host.
type simulatedTransport struct {
	upstreams *simulatedUpstreams
	host      string

	mu sync.Mutex
	// idle counts the idle connections by upstream, usedAt is when one was last used.
	idle   map[string]int
	usedAt map[string]time.Time
	// aborted is closed when the host gives up the connections that are being opened.
	aborted    chan struct{}
	onSlowDial func(upstreamID string, startedAt time.Time)
}

var _ UpstreamTransport = (*simulatedTransport)(nil)

// addService starts the upstreams of a service.
func (s *simulatedUpstreams) addService(service string, count int) {
	for i := range count {
		s.start(service, fmt.Sprintf("%s-%d:1", service, i))
	}
}

// start starts a lifetime of an upstream at an address and writes its entry.
func (s *simulatedUpstreams) start(service, address string) {
	s.mu.Lock()
	if s.byAddress == nil {
		s.byAddress = make(map[string]*simulatedUpstream)
	}
	s.lifetimes++
	id := "i-" + address
	if !s.keepsID {
		id = fmt.Sprintf("i-%d", s.lifetimes)
	}
	u := &simulatedUpstream{
		spec: inventory.UpstreamSpec{
			ID: id, StartedAtMillis: time.Now().UnixMilli(), Service: service, Address: address, DataCenter: s.fleet.dataCenterOf(address), Slots: 4,
		},
		ended: make(chan struct{}),
	}
	s.byAddress[address] = u
	s.mu.Unlock()
	value, err := json.Marshal(u.spec)
	if err != nil {
		panic(err)
	}
	s.fleet.put(upstreamKeyPrefix+id, string(value))
}

// end ends a lifetime. Its entry vanishes after entryLifetime, and a new lifetime starts
// after upstreamDownTime.
func (s *simulatedUpstreams) end(u *simulatedUpstream, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.hasEnded() {
		return
	}
	u.mode = s.mode
	if u.mode == closesLate {
		u.mode = closesConnections
	}
	if u.mode == hangs {
		u.hangsUntil = time.Now().Add(hangDuration)
	}
	close(u.ended)
	s.ends = append(s.ends, upstreamEnd{at: time.Now(), target: target, service: u.spec.Service})
	downTime := upstreamDownTime
	if s.downTime != nil {
		downTime = s.downTime()
	}
	time.AfterFunc(entryLifetime, func() { s.fleet.remove(upstreamKeyPrefix + u.spec.ID) })
	time.AfterFunc(downTime, func() { s.start(u.spec.Service, u.spec.Address) })
}

// endSome ends each upstream with a probability.
func (s *simulatedUpstreams) endSome(random *rand.Rand, probability float64) {
	s.mu.Lock()
	var chosen []*simulatedUpstream
	for _, address := range slices.Sorted(maps.Keys(s.byAddress)) {
		if random.Float64() < probability {
			chosen = append(chosen, s.byAddress[address])
		}
	}
	s.mu.Unlock()
	for _, u := range chosen {
		s.end(u, "")
	}
}

// refusesToConnect reports whether the upstream has ended and new connections are not
// established.
func (u *simulatedUpstream) refusesToConnect() bool {
	return u.hasEnded() && !time.Now().Before(u.hangsUntil)
}

func (u *simulatedUpstream) hasEnded() bool {
	select {
	case <-u.ended:
		return true
	default:
		return false
	}
}

func (s *simulatedUpstreams) at(address string) *simulatedUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address]
}

// crashesOf returns the times at which requests with a target crashed upstreams.
func (s *simulatedUpstreams) crashesOf(target string) (times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ends {
		if e.target == target {
			times = append(times, e.at)
		}
	}
	return times
}

// arrivalsOf returns the arrivals of requests with a target after a time.
func (s *simulatedUpstreams) arrivalsOf(target string, after time.Time) (list []upstreamArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.target == target && a.at.After(after) {
			list = append(list, a)
		}
	}
	return list
}

// cut cuts hosts from all upstreams, or ends their cut if the mode is empty.
func (s *simulatedUpstreams) cut(hosts []string, mode cutMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cuts == nil {
		s.cuts = make(map[string]cutMode)
	}
	for _, h := range hosts {
		s.cuts[h] = mode
	}
}

// cutOf returns how a host is cut from an upstream; empty if it is not.
func (s *simulatedUpstreams) cutOf(host string, u *simulatedUpstream) cutMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u == nil || (s.isCut != nil && !s.isCut(u.spec)) {
		return ""
	}
	return s.cuts[host]
}

// arrivalsFrom returns the number of arrivals from hosts after a time.
func (s *simulatedUpstreams) arrivalsFrom(hosts []string, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if a.at.After(after) && slices.Contains(hosts, a.host) {
			count++
		}
	}
	return count
}

// AbortDials ends the connections that are being opened.
func (t *simulatedTransport) AbortDials() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.aborted)
	t.aborted = make(chan struct{})
}

func (t *simulatedTransport) Held() (dials int, bodyBytes int64) { return 0, 0 }

func (t *simulatedTransport) NotifySlowDials(onSlowDial func(upstreamID string, startedAt time.Time)) {
	t.onSlowDial = onSlowDial
}

// dialInVain waits for a connection that is not established. It reports whether the host gave
// it up.
func (t *simulatedTransport) dialInVain(ctx context.Context, upstreamID string) (aborted bool) {
	startedAt := time.Now()
	slow := time.AfterFunc(slowDialDelay, func() { t.onSlowDial(upstreamID, startedAt) })
	defer slow.Stop()
	t.mu.Lock()
	ended := t.aborted
	t.mu.Unlock()
	select {
	case <-time.After(dialTimeout):
		return false
	case <-ended:
	case <-ctx.Done():
	}
	return true
}

func (t *simulatedTransport) CloseExpired(time.Time) {}

func (t *simulatedTransport) CloseIdleConnections(upstreamID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.idle, upstreamID)
}

func (t *simulatedTransport) IdleCount(upstreamID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle[upstreamID]
}

func (t *simulatedTransport) Exchange(ctx context.Context, a *upstream.Attempt) upstream.Outcome {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	u, connectDuration, outcome := t.connect(ctx, a)
	if u == nil {
		return outcome
	}
	outcome = t.run(ctx, u, a)
	outcome.ConnectDuration = connectDuration
	if outcome.Result == upstream.Answered && !a.RequireNewConnection {
		t.mu.Lock()
		t.idle[a.UpstreamID]++
		t.usedAt[a.UpstreamID] = time.Now()
		t.mu.Unlock()
	}
	return outcome
}

func (t *simulatedTransport) Probe(ctx context.Context, address string) upstream.Reachability {
	u := t.upstreams.at(address)
	time.Sleep(networkDelay)
	cut := t.upstreams.cutOf(t.host, u)
	switch {
	case cut == cutRefuses:
		return upstream.NotListening
	case cut != "":
		sleepUntilDone(ctx, dialTimeout)
		return upstream.NoResponse
	case u == nil, u.hasEnded() && u.mode == closesConnections:
		return upstream.NotListening
	case u.refusesToConnect():
		sleepUntilDone(ctx, dialTimeout)
		return upstream.NoResponse
	default:
		return upstream.Reachable
	}
}

// connect takes an idle connection or opens one. It returns nil and the outcome if there is
// no connection.
func (t *simulatedTransport) connect(ctx context.Context, a *upstream.Attempt) (*simulatedUpstream, time.Duration, upstream.Outcome) {
	u := t.upstreams.at(a.Address)
	isOpen := u != nil && u.spec.ID == a.UpstreamID && !(u.hasEnded() && u.mode == closesConnections)
	cut := t.upstreams.cutOf(t.host, u)
	t.mu.Lock()
	if !isOpen || (cut != "" && time.Since(t.usedAt[a.UpstreamID]) > simulatedIdleTimeout) {
		delete(t.idle, a.UpstreamID)
	}
	reuse := isOpen && !a.RequireNewConnection && t.idle[a.UpstreamID] > 0
	if reuse {
		t.idle[a.UpstreamID]--
	}
	t.mu.Unlock()
	if reuse {
		return u, 0, upstream.Outcome{}
	}
	time.Sleep(networkDelay)
	switch {
	case cut == cutRefuses:
		return nil, 0, upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true, Err: errors.New("connection refused")}
	case cut != "":
		return nil, 0, upstream.Outcome{Result: upstream.Unreachable, ConnectAborted: t.dialInVain(ctx, a.UpstreamID), Err: errors.New("connect timeout")}
	case u == nil, u.hasEnded() && u.mode == closesConnections:
		return nil, 0, upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true, Err: errors.New("connection refused")}
	case u.refusesToConnect():
		return nil, 0, upstream.Outcome{Result: upstream.Unreachable, ConnectAborted: t.dialInVain(ctx, a.UpstreamID), Err: errors.New("connect timeout")}
	default:
		return u, networkDelay, upstream.Outcome{}
	}
}

// run sends an attempt over a connection and waits for its outcome.
func (t *simulatedTransport) run(ctx context.Context, u *simulatedUpstream, a *upstream.Attempt) upstream.Outcome {
	time.Sleep(networkDelay)
	switch t.upstreams.cutOf(t.host, u) {
	case cutHangs:
		<-ctx.Done()
		return upstream.Outcome{Result: upstream.Aborted, Err: ctx.Err()}
	case cutResets:
		return upstream.Outcome{Result: upstream.Broken, ConnectionLost: true, Err: errors.New("connection reset")}
	}
	if u.spec.ID != a.UpstreamID {
		return upstream.Outcome{Result: upstream.Misdirected, Response: upstream.Response{Status: 421}}
	}
	duration := upstreamRunTime
	if !u.hasEnded() {
		s := t.upstreams
		s.mu.Lock()
		s.arrivals = append(s.arrivals, upstreamArrival{at: time.Now(), host: t.host, target: a.Target, request: a.RequestID, upstream: u.spec.ID, account: a.Account})
		s.mu.Unlock()
		if strings.HasPrefix(a.Target, crashingTarget) {
			delay := crashDelay
			if s.mode == closesLate {
				delay, duration = lateCrashDelay, 2*lateCrashDelay
			}
			time.AfterFunc(delay, func() { s.end(u, a.Target) })
		}
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-u.ended:
		if u.mode == closesConnections {
			return upstream.Outcome{Result: upstream.Broken, ConnectionLost: true, Err: io.EOF}
		}
		<-ctx.Done()
	case <-timer.C:
		if until := u.restsUntil.Load(); until != nil && time.Now().Before(*until) {
			return upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 503}, RestUntil: *until}
		}
		limit := 0.0
		if stated := u.limit.Load(); stated != nil {
			limit = *stated
		}
		return upstream.Outcome{Result: upstream.Answered, Leaving: u.leaving.Load(), Limit: limit, Response: upstream.Response{
			Status: 200, Body: make([]byte, 16), Signature: u.spec.Service + a.RequestID,
		}}
	case <-ctx.Done():
	}
	return upstream.Outcome{Result: upstream.Aborted, Err: ctx.Err()}
}

func sleepUntilDone(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
