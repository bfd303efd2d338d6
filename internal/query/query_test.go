package query

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v1    = snapshot.New(1, "m1")
	v2    = snapshot.New(2, "m1")
	spec  = Spec{Deadline: start.Add(time.Second), Goal: catalog.GoalCoverage, Idempotent: true}
)

func plan(nonce string, v snapshot.Version) Plan {
	return Plan{Version: v, Nonce: nonce, Parts: []Part{{Path: "m1/a", Name: "a", Weight: 3}, {Path: "m1/b", Name: "b", Weight: 1}}}
}

func answered(nonce, path string, v snapshot.Version) ShardReplied {
	return ShardReplied{Nonce: nonce, Path: path, Outcome: shard.Answered, Version: v, Body: []byte(nonce), Attempts: 1}
}

func refused(path string, reason shard.Reason) ShardReplied {
	return ShardReplied{Nonce: "n1", Path: path, Outcome: shard.NotRun, Reason: reason, RetryAfter: 70 * time.Millisecond}
}

// TestAnswers applies events to a query of the shards a (weight 3) and b (weight 1),
// followed by a Wake at the deadline. It checks that there is exactly one answer,
// its status, coverage, version and retry-after time, and that no invariant is
// violated.
func TestAnswers(t *testing.T) {
	gone := refused("m1/b", shard.ReasonVersionGone)
	for _, test := range []struct {
		name     string
		events   []Event
		status   Status
		coverage float64
		version  snapshot.Version
	}{
		{"all shards answer", []Event{answered("n1", "m1/a", v1), answered("n1", "m1/b", v1)}, Complete, 1, v1},
		{"one shard does not answer in time", []Event{answered("n1", "m1/a", v1)}, Partial, 0.75, v1},
		{"duplicate answer", []Event{answered("n1", "m1/a", v1), answered("n1", "m1/a", v1)}, Partial, 0.75, v1},
		{"answer to another run", []Event{answered("n0", "m1/a", v1), answered("n1", "m1/b", v1)}, Partial, 0.25, v1},
		{"answer from a shard that is not planned", []Event{answered("n1", "m1/z", v1)}, Failed, 0, v1},
		{"answer from another version", []Event{answered("n1", "m1/a", v2), answered("n1", "m1/b", v1)}, Partial, 0.25, v1},
		{"all shards refuse", []Event{refused("m1/a", shard.ReasonOverload), refused("m1/b", shard.ReasonOverload)}, NotRun, 0, v1},
		{"one shard refuses, one does not reply", []Event{refused("m1/a", shard.ReasonOverload)}, Failed, 0, v1},
		{"gate lost before sending, two reroutes also lost", []Event{
			GateLost{Nonce: "n1", Paths: []string{"m1/a", "m1/b"}}, GateLost{Nonce: "n1", Paths: []string{"m1/a", "m1/b"}}, GateLost{Nonce: "n1", Paths: []string{"m1/a", "m1/b"}},
		}, NotRun, 0, v1},
		{"version gone, all shards answer from the next version", []Event{
			answered("n1", "m1/a", v1), gone, Repinned{plan("n2", v2)}, answered("n1", "m1/a", v1), answered("n2", "m1/a", v2), answered("n2", "m1/b", v2),
		}, Complete, 1, v2},
		{"version gone, no other version", []Event{gone, Repinned{}}, Failed, 0, v1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			recorder := &invariant.Recorder{}
			q, actions := New(start, spec, plan("n1", v1), recorder)
			for _, e := range append(test.events, Event(Wake{})) {
				now := start.Add(time.Millisecond)
				if _, last := e.(Wake); last {
					now = spec.Deadline
				}
				actions = append(actions, q.Step(now, e)...)
			}
			var answers []Answer
			for _, a := range actions {
				if f, ok := a.(Finish); ok {
					answers = append(answers, f.Answer)
				}
			}
			c.Assert(answers, qt.HasLen, 1)
			c.Check(answers[0].Status, qt.Equals, test.status)
			c.Check(answers[0].Coverage, qt.Equals, test.coverage)
			c.Check(answers[0].Version, qt.Equals, test.version)
			c.Check(answers[0].Status == Complete || answers[0].RetryAfter > 0, qt.IsTrue)
			c.Check(recorder.Violations(), qt.HasLen, 0)
		})
	}
}

func TestCanaryIsSentBeforeOtherShards(t *testing.T) {
	c := qt.New(t)
	canarySpec := spec
	canarySpec.UseCanary = true
	q, actions := New(start, canarySpec, plan("n1", v1), nil)
	c.Assert(actions, qt.HasLen, 1)
	c.Check(actions[0].(Scatter).Parts, qt.HasLen, 1)
	next := q.Step(start, answered("n1", "m1/a", v1))
	c.Check(next[0].(Scatter).Parts[0].Path, qt.Equals, "m1/b")
}

func TestNonIdempotentRequestAtLostGateIsUnknown(t *testing.T) {
	c := qt.New(t)
	nonIdempotent := spec
	nonIdempotent.Idempotent = false
	singlePart := plan("n1", v1)
	singlePart.Parts = singlePart.Parts[:1]
	q, _ := New(start, nonIdempotent, singlePart, nil)
	actions := q.Step(start, GateLost{Nonce: "n1", Paths: []string{"m1/a"}, MayHaveReceived: true})
	c.Check(actions[len(actions)-1].(Finish).Answer.Status, qt.Equals, Unknown)
}
