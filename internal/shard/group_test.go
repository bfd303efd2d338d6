package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

const path = "m1/s0"

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	version = snapshot.New(1, "m1")
)

// TestMain fixes the seed of the random events unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("17")
	}
	os.Exit(m.Run())
}

func definition(slots ...int) *catalog.Group {
	spec := catalog.ServiceSpec{
		Name: "screening", Goal: "coverage", MinReplicas: 1, Canary: "never",
		Kinds:     []catalog.KindSpec{{Name: "search", Urgency: "urgent", Idempotent: true, Scatter: "all", DefaultTimeoutMilliseconds: 1000}},
		ShardMaps: []catalog.ShardMapSpec{{Name: "m1", Shards: []catalog.ShardSpec{{Name: "s0", Weight: 1}}}},
	}
	for i, n := range slots {
		name := fmt.Sprintf("u%d", i)
		spec.Upstreams = append(spec.Upstreams, catalog.UpstreamSpec{Name: name, Address: "127.0.0.1:1", DataCenter: "attiki-1", Slots: n, Connections: 30})
		spec.ShardMaps[0].Shards[0].Upstreams = append(spec.ShardMaps[0].Shards[0].Upstreams, name)
	}
	s, err := catalog.CompileService(spec)
	if err != nil {
		panic(err)
	}
	return s.Groups()[0]
}

func newTestGroup(recorder *invariant.Recorder, slots ...int) *Group {
	g := NewGroup(definition(slots...), DefaultOptions(), recorder, start)
	for i := range slots {
		g.Step(start, UpstreamReported{Upstream: fmt.Sprintf("u%d", i), Versions: []snapshot.Version{version}})
	}
	return g
}

func newJob(id JobID, u catalog.Urgency, remaining time.Duration) Job {
	return Job{ID: id, ShardPath: path, Version: version, Urgency: u, Deadline: start.Add(remaining), Idempotent: true, Fingerprint: uint64(id)}
}

func started(actions []Action) []StartAttempt {
	var found []StartAttempt
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			found = append(found, s)
		}
	}
	return found
}

func completed(actions []Action) []Complete {
	var found []Complete
	for _, a := range actions {
		if c, ok := a.(Complete); ok {
			found = append(found, c)
		}
	}
	return found
}

func TestQueueOrderIsUrgencyThenDeadline(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(nil, 1)
	first := started(g.Step(start, Submit{newJob(1, catalog.Ordinary, time.Second)}))
	g.Step(start, Submit{newJob(2, catalog.Ordinary, 900*time.Millisecond)})
	g.Step(start, Submit{newJob(3, catalog.Ordinary, 800*time.Millisecond)})
	g.Step(start, Submit{newJob(4, catalog.Urgent, time.Second)})
	var order []JobID
	now, running := start, first[0].Attempt
	for range 3 {
		now = now.Add(10 * time.Millisecond)
		next := started(g.Step(now, AttemptEnded{Attempt: running, Result: ResultAnswered, Version: version}))
		order = append(order, next[0].Job)
		running = next[0].Attempt
	}
	c.Check(order, qt.DeepEquals, []JobID{4, 3, 2})
}

func TestNonIdempotentJobIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		result  Result
		reason  Reason
		retried bool
		want    Outcome
	}{
		{ResultRefused, ReasonOverload, true, 0},
		{ResultUnreachable, "", true, 0},
		{ResultConnectionBroken, "", false, Failed},
		{ResultAborted, "", false, Failed},
	} {
		t.Run(test.result.String(), func(t *testing.T) {
			c := qt.New(t)
			g := newTestGroup(&invariant.Recorder{}, 1, 1)
			j := newJob(1, catalog.Ordinary, time.Second)
			j.Idempotent = false
			first := started(g.Step(start, Submit{j}))
			actions := g.Step(start, AttemptEnded{Attempt: first[0].Attempt, Result: test.result, Reason: test.reason})
			c.Check(len(started(actions)) == 1, qt.Equals, test.retried)
			if !test.retried {
				c.Check(completed(actions)[0].Outcome, qt.Equals, test.want)
			}
		})
	}
}

func TestAnswerFromAnotherVersionIsRejected(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(&invariant.Recorder{}, 1)
	first := started(g.Step(start, Submit{newJob(1, catalog.Ordinary, time.Second)}))
	actions := g.Step(start, AttemptEnded{Attempt: first[0].Attempt, Result: ResultAnswered, Version: snapshot.New(2, "m1")})
	c.Check(completed(actions)[0].Outcome, qt.Equals, Failed)
	c.Check(completed(actions)[0].Reason, qt.Equals, ReasonVersionMismatch)
}

func TestDrainReportDoesNotRemoveTheLastReplica(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(nil, 1, 1)
	for _, u := range []string{"u0", "u1"} {
		g.Step(start, UpstreamReported{Upstream: u, Versions: []snapshot.Version{version}, Draining: true})
	}
	c.Check(started(g.Step(start, Submit{newJob(1, catalog.Urgent, time.Second)})), qt.HasLen, 1)
}

func TestNewOwnerUsesOneSlotPerUpstreamDuringTakeover(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(nil, 2, 2)
	g.Step(start, SlotsRestricted{FullSlotsAt: start.Add(time.Second)})
	count := 0
	for id := range JobID(6) {
		count += len(started(g.Step(start, Submit{newJob(id+1, catalog.Urgent, 10*time.Second)})))
	}
	c.Check(count, qt.Equals, 2)
	c.Check(started(g.Step(start.Add(time.Second), Wake{})), qt.HasLen, 2)
}

func TestShortOutageSkipsWarmup(t *testing.T) {
	for _, test := range []struct {
		name   string
		outage time.Duration
		cold   bool
		want   int
	}{
		{"responds after 10 ms", 10 * time.Millisecond, false, 4},
		{"responds after 10 ms, cold", 10 * time.Millisecond, true, 1},
		{"responds after 1 s, as after a restart", time.Second, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newTestGroup(nil, 4)
			first := started(g.Step(start, Submit{newJob(1, catalog.Urgent, 10*time.Second)}))
			g.Step(start, AttemptEnded{Attempt: first[0].Attempt, Result: ResultConnectionBroken})
			now := start.Add(test.outage)
			g.Step(now, ProbeEnded{Upstream: "u0", Answered: true, Cold: test.cold})
			count := 0
			for id := range JobID(6) {
				count += len(started(g.Step(now, Submit{newJob(id+2, catalog.Urgent, 20*time.Second)})))
			}
			c.Check(count, qt.Equals, test.want)
		})
	}
}

// TestRandomEvents applies random events in random order. It checks that no attempt
// starts for a job that is not open, that each job is completed exactly once, that
// no invariant is violated, and that no job or attempt remains at the end.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := &invariant.Recorder{}
		d := &eventDriver{t: t, group: newTestGroup(recorder, 2, 1, 2), now: start, openJobs: make(map[JobID]Job), running: make(map[AttemptID]JobID)}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			d.applyRandomEvent()
		}
		d.completeAllJobs()
		if len(recorder.Violations()) > 0 {
			t.Fatal(recorder.Violations())
		}
		if !d.group.IsIdle() || len(d.openJobs) > 0 {
			t.Fatalf("%d jobs open, idle %v", len(d.openJobs), d.group.IsIdle())
		}
	})
}

type eventDriver struct {
	t         *rapid.T
	group     *Group
	now       time.Time
	lastJobID JobID
	openJobs  map[JobID]Job
	running   map[AttemptID]JobID
}

func (d *eventDriver) step(e Event) {
	for _, action := range d.group.Step(d.now, e) {
		switch a := action.(type) {
		case StartAttempt:
			if _, open := d.openJobs[a.Job]; !open {
				d.t.Fatalf("attempt for job %d, which is not open", a.Job)
			}
			d.running[a.Attempt] = a.Job
		case Complete:
			if _, open := d.openJobs[a.Job]; !open {
				d.t.Fatalf("job %d completed twice", a.Job)
			}
			delete(d.openJobs, a.Job)
		}
	}
}

func (d *eventDriver) applyRandomEvent() {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(d.t, "milliseconds")) * time.Millisecond)
	upstreams := []string{"u0", "u1", "u2"}
	switch rapid.IntRange(0, 9).Draw(d.t, "event") {
	case 0, 1, 2, 3:
		d.lastJobID++
		j := newJob(d.lastJobID, catalog.Urgency(rapid.IntRange(0, 3).Draw(d.t, "urgency")), 0)
		j.Deadline = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(d.t, "left")) * time.Millisecond)
		j.Idempotent = rapid.Bool().Draw(d.t, "idempotent")
		d.openJobs[j.ID] = j
		d.step(Submit{j})
	case 4, 5, 6:
		d.endOldestAttempt(Result(rapid.IntRange(int(ResultAnswered), int(ResultAborted)).Draw(d.t, "result")))
	case 7:
		d.step(Withdraw{JobID(rapid.IntRange(0, int(d.lastJobID)).Draw(d.t, "withdrawn"))})
	case 8:
		r := UpstreamReported{Upstream: rapid.SampledFrom(upstreams).Draw(d.t, "reporter"), Draining: rapid.Bool().Draw(d.t, "draining"), Cold: rapid.Bool().Draw(d.t, "cold")}
		if rapid.Bool().Draw(d.t, "has version") {
			r.Versions = []snapshot.Version{version}
		}
		d.step(r)
	case 9:
		d.step(ProbeEnded{Upstream: rapid.SampledFrom(upstreams).Draw(d.t, "probed"), Answered: rapid.Bool().Draw(d.t, "probe answered")})
	}
}

// endOldestAttempt ends the oldest running attempt.
func (d *eventDriver) endOldestAttempt(r Result) {
	oldest := AttemptID(0)
	for id := range d.running {
		if oldest == 0 || id < oldest {
			oldest = id
		}
	}
	if oldest == 0 {
		return
	}
	delete(d.running, oldest)
	d.step(AttemptEnded{Attempt: oldest, Result: r, Version: version, Reason: rapid.SampledFrom([]Reason{ReasonOverload, ReasonDraining, ReasonVersionGone}).Draw(d.t, "reason")})
}

// completeAllJobs ends all attempts and wakes the group until all jobs are
// completed, in at most 1000 steps.
func (d *eventDriver) completeAllJobs() {
	for range 1000 {
		if len(d.running) == 0 && len(d.openJobs) == 0 {
			return
		}
		d.now = d.now.Add(10 * time.Millisecond)
		if len(d.running) > 0 {
			d.endOldestAttempt(ResultAborted)
			continue
		}
		wake, ok := d.group.NextWake()
		if !ok {
			return
		}
		d.now = wake
		d.step(Wake{})
	}
}

func BenchmarkJob(b *testing.B) {
	g := newTestGroup(&invariant.Recorder{}, 2, 2, 2)
	now := start
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(5 * time.Millisecond)
		j := newJob(JobID(n+1), catalog.Urgent, 0)
		j.Deadline = now.Add(time.Second)
		for _, a := range started(g.Step(now, Submit{j})) {
			g.Step(now, AttemptEnded{Attempt: a.Attempt, Result: ResultAnswered, Version: version})
		}
		g.NextWake()
	}
}
