package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxUnfinishedLines bounds the requests in flight that a stopping host logs one by one.
	maxUnfinishedLines = 100
	// otherHostRetryDelay is the RetryAfter of refusals while this host stops and others serve,
	// lastHostRetryDelay that while no other does.
	otherHostRetryDelay = time.Millisecond
	lastHostRetryDelay  = time.Second
)

// A stop is the stop of a host. It is safe for concurrent use.
type stop struct {
	// schedule is nil until the stop begins.
	schedule atomic.Pointer[shutdown.Schedule]
	// begun is closed when the stop begins, ctx ends when what is in flight is cancelled.
	begun  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// requests are the requests of callers and the attempts for other hosts in flight.
	requests work.Registry[shutdown.Request]
	// answerTimes is what other hosts told when the stop began.
	answerTimes shutdown.AnswerTimes

	mu     sync.Mutex
	pauses shutdown.PauseDetector
}

var _ dispatch.Stop = (*stop)(nil)

func newStop(now time.Time) *stop {
	s := &stop{begun: make(chan struct{}), pauses: shutdown.NewPauseDetector(now, maintenanceInterval)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Begun implements dispatch.Stop.
func (s *stop) Begun() <-chan struct{} { return s.begun }

// Context implements dispatch.Stop.
func (s *stop) Context() context.Context { return s.ctx }

// LongestElsewhere implements dispatch.Stop.
func (s *stop) LongestElsewhere(route *routing.Route) time.Duration {
	return s.answerTimes.Longest(route.Name())
}

// Overdue implements dispatch.Stop.
func (s *stop) Overdue(now time.Time, route *routing.Route, expected time.Duration) (count int, oldest time.Duration) {
	return shutdown.Overdue(now, s.requests.List(), route, expected)
}

// Schedule implements dispatch.Stop.
func (s *stop) Schedule() (shutdown.Schedule, bool) {
	if schedule := s.schedule.Load(); schedule != nil {
		return *schedule, true
	}
	return shutdown.Schedule{}, false
}

// begin begins the stop; it reports false if it has begun before.
func (s *stop) begin(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	schedule := shutdown.NewSchedule(s.pauses.SentAt(now), grace)
	s.mu.Unlock()
	if !s.schedule.CompareAndSwap(nil, &schedule) {
		return false
	}
	close(s.begun)
	time.AfterFunc(schedule.CancelAt().Sub(now), s.cancel)
	return true
}

// tick records that the host does its maintenance.
func (s *stop) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses.Tick(now)
}

// elapsed returns how long ago the stop began; zero if it has not.
func (s *stop) elapsed() time.Duration {
	schedule, stopping := s.Schedule()
	if !stopping {
		return 0
	}
	return time.Since(schedule.BeganAt())
}

// BeginRequest adds a request of a caller to those in flight. The caller calls EndRequest once,
// when the answer is written.
func (h *Host) BeginRequest(id string) *shutdown.Request {
	r := shutdown.NewRequest(id, time.Now())
	h.stop.requests.Add(r)
	return r
}

// EndRequest removes a request from those in flight. The host may end right after.
func (h *Host) EndRequest(r *shutdown.Request) {
	defer h.stop.requests.Remove(r)
	if schedule, stopping := h.stop.Schedule(); stopping && time.Now().After(schedule.AcceptUntil()) && h.requestLog.allowOrCountLine() {
		h.Log.WithFields(requestFields(r, h.stop.elapsed())).Info("request ended after the host stopped accepting requests")
	}
}

// Leave announces to the other hosts that this host is stopping, so that they no longer
// advertise it. Callers whose addresses are outdated are served as long as their requests can end
// before the process is killed. Leave returns when the host accepts no more requests and none is
// in flight, when the process has to end, or when the context ends.
func (h *Host) Leave(ctx context.Context) {
	if !h.stop.begin(time.Now(), h.Settings.Grace()) {
		return
	}
	schedule, _ := h.stop.Schedule()
	h.logInFlight("stop begins")
	h.group.Go(func() { h.fleet.Leave(ctx) })
	h.group.Go(func() { h.askAnswerTimes(ctx) })
	work.Sleep(ctx, time.Until(schedule.AcceptUntil()))
	h.logInFlight("host stops accepting requests")
	h.logEach("request in flight as the host stops accepting requests")
	ctx, cancel := context.WithDeadline(ctx, schedule.ExitBy())
	defer cancel()
	select {
	case <-h.stop.requests.Idle():
	case <-ctx.Done():
		h.logInFlight("host ends with requests in flight")
		h.logEach("request in flight as the host ends")
	}
}

// StopContext returns a context that ends when what is in flight is cancelled because the host
// stops.
func (h *Host) StopContext() context.Context { return h.stop.Context() }

// Stopping reports whether Leave was called.
func (h *Host) Stopping() bool {
	_, stopping := h.stop.Schedule()
	return stopping
}

// RefusalWhileStopping returns the answer to a request that is refused because the host stops.
func (h *Host) RefusalWhileStopping() dispatch.Answer {
	return dispatch.Answer{Status: http.StatusServiceUnavailable, Reason: dispatch.ReasonStopping, NotRun: true, RetryAfter: h.stopRetryDelay()}
}

// stopRetryDelay returns when a caller may come back that was refused because the host stops: at
// once if there is another host.
func (h *Host) stopRetryDelay() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.hasOtherHosts {
		return otherHostRetryDelay
	}
	return lastHostRetryDelay
}

// logInFlight logs a step of the stop with the number of requests in flight.
func (h *Host) logInFlight(step string) {
	counts := shutdown.Count(h.stop.requests.List())
	fields := logrus.Fields{"stopping-ms": h.stop.elapsed().Milliseconds(), "grace-seconds": h.Settings.GraceSeconds}
	for phase, n := range counts {
		fields[shutdown.Phase(phase).String()] = n
	}
	h.Log.WithFields(fields).Info(step)
}

// logEach logs a line for each request in flight.
func (h *Host) logEach(message string) {
	for i, r := range h.stop.requests.List() {
		if i == maxUnfinishedLines {
			return
		}
		h.Log.WithFields(requestFields(r, h.stop.elapsed())).Info(message)
	}
}

func requestFields(r *shutdown.Request, stopping time.Duration) logrus.Fields {
	age := time.Since(r.ArrivedAt())
	return logrus.Fields{
		"request": r.ID(), "phase": r.Phase().String(), "age-ms": age.Milliseconds(),
		"stopping-ms": stopping.Milliseconds(), "arrived-stopping-ms": (stopping - age).Milliseconds(),
	}
}
