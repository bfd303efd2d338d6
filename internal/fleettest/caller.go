package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/entry"
)

// deadlineGracePeriod is how long after the deadline of a search its answer may arrive.
// The answers to bookings may arrive at any time.
const deadlineGracePeriod = 60 * time.Millisecond

// A Caller sends requests and checks the invariants of each answer.
type Caller struct {
	fleet *Fleet
	// Violations has a line for each violated invariant.
	Violations []string
}

// A Response is the result of a request. If the entry could not be reached, or stopped
// before it answered, only NoAnswer is set.
type Response struct {
	Answer   entry.AnswerDocument
	NoAnswer bool
	Elapsed  time.Duration
	// runsBefore is the number of runs of the request that had finished when the caller
	// sent it.
	runsBefore int
}

// NewCaller returns a caller that sends its requests to this fleet.
func (f *Fleet) NewCaller() *Caller { return &Caller{fleet: f} }

// Send sends a request to one host and checks the answer.
func (c *Caller) Send(h *Host, d entry.RequestDocument) Response {
	startAt := time.Now()
	ctx, cancel := cancelOnStop(context.Background(), h)
	defer cancel()
	if h.Stopped() || c.fleet.Network.transmit(ctx, "caller", h.Name) != nil {
		return Response{NoAnswer: true}
	}
	runsBefore := c.fleet.RunCounter.RunCount(ServiceName, d.RequestID)
	answer, err := h.Entry.Serve(ctx, ServiceName, d)
	if h.Stopped() {
		return Response{NoAnswer: true}
	}
	r := Response{Answer: answer, Elapsed: time.Since(startAt), runsBefore: runsBefore}
	if err != nil {
		c.addViolation("request %s was rejected as malformed: %v", d.RequestID, err)
		return r
	}
	c.checkAnswer(d, r)
	return r
}

// SendUntilComplete sends a request to the running hosts in turn, at most maxTries times
// with pauses of 100 ms, until an answer is complete. It returns the last response.
func (c *Caller) SendUntilComplete(d entry.RequestDocument, maxTries int) Response {
	var last Response
	for i := range maxTries {
		hosts := c.fleet.Hosts()
		last = c.Send(hosts[i%len(hosts)], d)
		if !last.NoAnswer && last.Answer.Status == "complete" {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// SendToAdvertised sends a request to advertised hosts, as a real caller does, at most
// maxTries times until an answer is complete. It returns the last response. Callers cache
// the advertised addresses for their time to live. A try without an advertised host sends
// nothing, but counts.
func (c *Caller) SendToAdvertised(d entry.RequestDocument, maxTries int) Response {
	var last Response
	for i := range maxTries {
		h := c.fleet.advertisedHost(i)
		if h == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		last = c.Send(h, d)
		if last.NoAnswer && h.hasLeftGracefully() {
			c.addViolation("request %s was lost by the graceful leave of %s; addresses from %s", d.RequestID, h.Name, c.fleet.advertisedBy)
		}
		if !last.NoAnswer && last.Answer.Status == "complete" {
			return last
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// CheckFinalState checks that no booking ran more than once and that the processes
// recorded no violation. All requests must have ended.
func (c *Caller) CheckFinalState(bookingIDs []string) {
	for _, id := range bookingIDs {
		if runs := c.fleet.RunCounter.RunCount(ServiceName, id); runs > 1 {
			c.addViolation("booking %s ran %d times", id, runs)
		}
	}
	for _, v := range c.fleet.Recorder.Violations() {
		c.addViolation("%v", v)
	}
}

func (c *Caller) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// checkAnswer checks the invariants of a single answer: its time, its request id, its
// status compared with the number of runs, its retry delay and its results.
func (c *Caller) checkAnswer(d entry.RequestDocument, r Response) {
	a := r.Answer
	deadline := time.Duration(d.DeadlineMilliseconds) * time.Millisecond
	if deadline == 0 {
		deadline = time.Second // the default of each kind, see Fleet.Spec
	}
	if limit := deadline + deadlineGracePeriod; r.Elapsed > limit && d.Kind != BookingKind {
		c.addViolation("request %s: answered after %s, deadline %s", d.RequestID, r.Elapsed, deadline)
	}
	if a.RequestID != d.RequestID {
		c.addViolation("request %s got the answer to request %s", d.RequestID, a.RequestID)
	}
	runs := c.fleet.RunCounter.RunCount(ServiceName, d.RequestID)
	switch {
	case d.Kind == BookingKind && a.Status == "complete" && runs != 1:
		c.addViolation("booking %s: complete after %d runs, want 1", d.RequestID, runs)
	case a.Status == "not-run" && runs > r.runsBefore, a.Status == "not-run" && runs > 0 && d.Kind == BookingKind:
		c.addViolation("request %s: answered as not run after %d runs", d.RequestID, runs)
	case a.Status != "complete" && a.RetryAfterMilliseconds <= 0:
		c.addViolation("request %s: %s without a retry delay", d.RequestID, a.Status)
	}
	c.checkResults(d, a)
}

// checkResults checks that the coverage agrees with the results, and that each result is
// from the request, shard and version of the answer, once for each shard.
func (c *Caller) checkResults(d entry.RequestDocument, a entry.AnswerDocument) {
	plannedParts := len(a.Results) + len(a.Missing)
	if a.Status == "complete" && (len(a.Missing) > 0 || plannedParts == 0 || a.Coverage != 1) {
		c.addViolation("request %s: complete with coverage %v and %d missing parts", d.RequestID, a.Coverage, len(a.Missing))
	}
	if plannedParts > 0 && a.Coverage != float64(len(a.Results))/float64(plannedParts) {
		c.addViolation("request %s: coverage %v with %d results and %d missing parts", d.RequestID, a.Coverage, len(a.Results), len(a.Missing))
	}
	var seen []string
	for _, result := range a.Results {
		var body struct {
			Shard   string
			Version uint64
			Request string
		}
		if err := json.Unmarshal(result.Body, &body); err != nil {
			c.addViolation("request %s: body of shard %s: %v", d.RequestID, result.Shard, err)
			continue
		}
		belongs := body.Request == d.RequestID && strings.HasSuffix(body.Shard, "/"+result.Shard)
		if !belongs || body.Version != a.Snapshot.Version || slices.Contains(seen, result.Shard) {
			c.addViolation("request %s: part %+v of shard %s does not belong to the answer from snapshot %+v", d.RequestID, body, result.Shard, a.Snapshot)
		}
		seen = append(seen, result.Shard)
	}
}
