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

// lateGrace is how much after its deadline an answer may come.
const lateGrace = 60 * time.Millisecond

// A Caller sends requests and checks what must hold for every answer.
type Caller struct {
	fleet *Fleet
	// Broken holds a line for each broken promise.
	Broken []string
}

// A Response is an answer, or none if the entry was lost.
type Response struct {
	Answer entry.AnswerDocument
	Lost   bool
	Took   time.Duration
	// runsBefore is how often the request ran before it was sent.
	runsBefore int
}

// NewCaller returns a caller that does not know any address yet.
func (f *Fleet) NewCaller() *Caller { return &Caller{fleet: f} }

// Ask sends a request to one of the hosts and checks the answer.
func (c *Caller) Ask(n *Node, d entry.RequestDocument) Response {
	startAt := time.Now()
	ctx, cancel := untilDead(context.Background(), n)
	defer cancel()
	if n.Dead() || c.fleet.Network.pass(ctx, "caller", n.Name) != nil {
		return Response{Lost: true}
	}
	runsBefore := c.fleet.Ledger.Runs(Service, d.RequestID)
	answer, err := n.Entry.Serve(ctx, Service, d)
	if n.Dead() {
		return Response{Lost: true}
	}
	r := Response{Answer: answer, Took: time.Since(startAt), runsBefore: runsBefore}
	if err != nil {
		c.broke("request %s was not understood: %v", d.RequestID, err)
		return r
	}
	c.check(d, r)
	return r
}

// Book sends a booking until its outcome is known or tries are used up, to
// another host each time.
func (c *Caller) Book(d entry.RequestDocument, tries int) Response {
	var last Response
	for i := range tries {
		nodes := c.fleet.Nodes()
		last = c.Ask(nodes[i%len(nodes)], d)
		if !last.Lost && last.Answer.Status == "complete" {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// AskAround sends a request as a real caller does: to the addresses it was told,
// for as long as it may keep them, and to the next one if an entry is lost.
func (c *Caller) AskAround(d entry.RequestDocument, tries int) Response {
	var last Response
	for i := range tries {
		n := c.fleet.addressed(i)
		if n == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		last = c.Ask(n, d)
		if last.Lost && n.left() {
			c.broke("request %s was cut off by the planned stop of %s, answer of %s", d.RequestID, n.Name, c.fleet.toldBy)
		}
		if !last.Lost && last.Answer.Status == "complete" {
			return last
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// CheckEnd checks what must hold once all requests have ended.
func (c *Caller) CheckEnd(bookings []string) {
	for _, id := range bookings {
		if runs := c.fleet.Ledger.Runs(Service, id); runs > 1 {
			c.broke("booking %s ran %d times", id, runs)
		}
	}
	for _, v := range c.fleet.Recorder.Violations() {
		c.broke("%v", v)
	}
}

func (c *Caller) broke(format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
}

// check asserts what every single answer promises.
func (c *Caller) check(d entry.RequestDocument, r Response) {
	a := r.Answer
	deadline := time.Duration(d.DeadlineMilliseconds) * time.Millisecond
	if deadline == 0 {
		deadline = time.Second
	}
	if limit := deadline + lateGrace; r.Took > limit && d.Kind != Booking {
		c.broke("request %s: answer after %s, the deadline was %s", d.RequestID, r.Took, deadline)
	}
	if a.RequestID != d.RequestID {
		c.broke("request %s got the answer to %s", d.RequestID, a.RequestID)
	}
	runs := c.fleet.Ledger.Runs(Service, d.RequestID)
	switch {
	case d.Kind == Booking && a.Status == "complete" && runs != 1:
		c.broke("booking %s: complete after %d runs", d.RequestID, runs)
	case a.Status == "not-run" && runs > r.runsBefore, a.Status == "not-run" && runs > 0 && d.Kind == Booking:
		c.broke("request %s: called not run after %d runs", d.RequestID, runs)
	case a.Status != "complete" && a.RetryAfterMilliseconds <= 0:
		c.broke("request %s: %s without a time to come back", d.RequestID, a.Status)
	}
	c.checkResults(d, a)
}

func (c *Caller) checkResults(d entry.RequestDocument, a entry.AnswerDocument) {
	planned := len(a.Results) + len(a.Missing)
	if a.Status == "complete" && (len(a.Missing) > 0 || planned == 0 || a.Coverage != 1) {
		c.broke("request %s: complete with coverage %v and %d missing", d.RequestID, a.Coverage, len(a.Missing))
	}
	if planned > 0 && a.Coverage != float64(len(a.Results))/float64(planned) {
		c.broke("request %s: coverage %v of %d results, %d missing", d.RequestID, a.Coverage, len(a.Results), len(a.Missing))
	}
	var seen []string
	for _, result := range a.Results {
		var body struct {
			Shard   string
			Version uint64
			Request string
		}
		if err := json.Unmarshal(result.Body, &body); err != nil {
			c.broke("request %s: body of shard %s: %v", d.RequestID, result.Shard, err)
			continue
		}
		own := body.Request == d.RequestID && strings.HasSuffix(body.Shard, "/"+result.Shard)
		if !own || body.Version != a.Snapshot.Version || slices.Contains(seen, result.Shard) {
			c.broke("request %s: foreign part %+v of shard %s in an answer from %+v", d.RequestID, body, result.Shard, a.Snapshot)
		}
		seen = append(seen, result.Shard)
	}
}
