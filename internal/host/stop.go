package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/shutdown"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// maxUnfinishedLines bounds the requests in flight that a stopping host logs one by one.
const maxUnfinishedLines = 100

// BeginRequest adds a request of a caller to those in flight. The caller calls EndRequest once,
// when the answer is written.
func (h *Host) BeginRequest(id string) *shutdown.Request {
	r := shutdown.NewRequest(id, time.Now())
	h.requests.Add(r)
	return r
}

// EndRequest removes a request from those in flight.
func (h *Host) EndRequest(r *shutdown.Request) {
	h.requests.Remove(r)
	if stopping := h.sinceStop(); stopping > h.Settings.ShutdownDelay() {
		h.Log.WithFields(requestFields(r, stopping)).Info("request ended after the host stopped accepting requests")
	}
}

// Leave announces to the other hosts that this host is stopping, so that they no longer
// advertise it. Leave returns after the shutdown delay, in which the host still serves
// callers whose addresses are outdated, or when the context ends.
func (h *Host) Leave(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	h.stopBeganAt = time.Now()
	h.mu.Unlock()
	h.logInFlight("stop begins")
	h.group.Go(func() { h.fleet.Leave(ctx) })
	work.Sleep(ctx, h.Settings.ShutdownDelay())
	h.logInFlight("host stops accepting requests")
	for i, r := range h.requests.List() {
		if i == maxUnfinishedLines {
			break
		}
		h.Log.WithFields(requestFields(r, h.sinceStop())).Info("request in flight as the host stops accepting requests")
	}
}

// sinceStop returns how long ago the stop began; zero if the host does not stop.
func (h *Host) sinceStop() time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.stopping {
		return 0
	}
	return time.Since(h.stopBeganAt)
}

// logInFlight logs a step of the stop with the number of requests in flight.
func (h *Host) logInFlight(step string) {
	counts := shutdown.Count(h.requests.List())
	fields := logrus.Fields{"stopping-ms": h.sinceStop().Milliseconds(), "grace-seconds": h.Settings.GraceSeconds}
	for phase, n := range counts {
		fields[shutdown.Phase(phase).String()] = n
	}
	h.Log.WithFields(fields).Info(step)
}

func requestFields(r *shutdown.Request, stopping time.Duration) logrus.Fields {
	age := time.Since(r.ArrivedAt())
	return logrus.Fields{
		"request": r.ID(), "phase": r.Phase().String(), "age-ms": age.Milliseconds(),
		"stopping-ms": stopping.Milliseconds(), "arrived-stopping-ms": (stopping - age).Milliseconds(),
	}
}
