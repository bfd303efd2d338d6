// Package booking makes sure that a non-idempotent request runs at most once,
// whichever hosts its caller sends it to. It does no I/O, reads no clock and
// starts no goroutine.
//
// Before a request is run, a claim with a nonce is created in the key-value
// service. Only who reads its own nonce back may run the request, and a claim
// is only taken back by who knows that the request was not run.
package booking

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

//go:embed claim.chart.json
var claimChartFile []byte

var claimChart = chart.MustParse(claimChartFile)

// maxReads is how often a claim of uncertain fate is read.
const maxReads = 4

// The phases of a claim in the service.
const (
	PhaseClaimed  Phase = "claimed"
	PhaseReleased Phase = "released"
	PhaseDone     Phase = "done"
	PhaseUnknown  Phase = "unknown"
)

const (
	stateClaiming chart.State = "claiming"
	stateReading  chart.State = "reading"
	stateRunning  chart.State = "running"
)

// A Phase is what a claim says of its request.
type Phase string

// phaseOrder orders the phases by how much they tell.
var phaseOrder = map[Phase]int{PhaseClaimed: 1, PhaseUnknown: 2, PhaseReleased: 3, PhaseDone: 4}

// A Record is the value of a claim.
type Record struct {
	// Nonce names the one run that the claim allows.
	Nonce string `json:"nonce"`
	Phase Phase  `json:"phase"`
	// Digest names the content, so that an id is not used for another.
	Digest string `json:"digest"`
	// Answer is the answer of a request that was done, as the entry gave it.
	Answer json.RawMessage `json:"answer,omitempty"`
	// Part is the answer of the one shard, if the gate settled the claim
	// because the entry was lost.
	Part *Part `json:"part,omitempty"`
}

// A Part is the answer of one shard.
type Part struct {
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Map     string `json:"map"`
	Body    []byte `json:"body"`
}

// An Outcome is what the caller is told.
type Outcome int

// The outcomes.
const (
	// Ran requests have an answer.
	Ran Outcome = iota + 1
	// NotRun requests were not run, and may be sent again.
	NotRun
	// Unknown requests may have been run.
	Unknown
	// Conflicting requests use the id of another request; they were not run.
	Conflicting
)

// An Event is something that happened to a Claim.
type Event interface{ isEvent() }

// WriteEnded reports a write; Err is set if its fate is uncertain.
type WriteEnded struct {
	Written bool
	Err     error
}

// ReadEnded brings the claim as it stands; Revision is zero if there is none.
type ReadEnded struct {
	Record   Record
	Revision uint64
	Err      error
}

// RunEnded brings the end of the run.
type RunEnded struct {
	Outcome Outcome
	Answer  json.RawMessage
}

func (WriteEnded) isEvent() {}
func (ReadEnded) isEvent()  {}
func (RunEnded) isEvent()   {}

// An Action is what the driver must do.
type Action interface{ isAction() }

// WriteClaim asks for a compare-and-swap of the claim; the driver reports Created.
type WriteClaim struct {
	Record   Record
	Revision uint64
}

// ReadClaim asks for the claim; the driver reports Read.
type ReadClaim struct{}

// Run asks for the one run under a claim; the driver reports Finished.
type Run struct{ Record Record }

// Answer ends the request for the caller; there is exactly one.
type Answer struct {
	Outcome Outcome
	Body    json.RawMessage
	Reason  string
	// FromEarlierRun is set if the answer is of an earlier run.
	FromEarlierRun bool
	// Part is the answer of an earlier run that a gate kept.
	Part *Part
}

// FinalizeClaim asks for a last write in the background, repeated until it is known
// to have taken effect or another record stands there.
type FinalizeClaim struct{ Record Record }

func (WriteClaim) isAction()    {}
func (ReadClaim) isAction()     {}
func (Run) isAction()           {}
func (Answer) isAction()        {}
func (FinalizeClaim) isAction() {}

// A Claim is the state of one request. It is not safe for concurrent use.
type Claim struct {
	recorder *invariant.Recorder
	nonce    string
	digest   string
	// state is a state of claim.chart.json.
	state    chart.State
	deadline time.Time
	// free is set once it is known that no earlier run of the request was
	// started; only then a refusal may say that it was not run.
	free    bool
	reads   int
	actions []Action
}

// New returns a claim and its first actions. First is set if the caller says
// that it never sent the request before.
func New(nonce, digest string, deadline time.Time, first bool, recorder *invariant.Recorder) (*Claim, []Action) {
	c := &Claim{recorder: recorder, nonce: nonce, digest: digest, deadline: deadline, state: claimChart.Initial(), free: first}
	c.emit(WriteClaim{Record: c.record(PhaseClaimed, nil)})
	return c, c.actions
}

// ParseRecord reads the value of a claim.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("parse claim: %w", err)
	}
	return r, nil
}

// Encode returns the value of a claim.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("claim cannot be encoded: %v", err))
	}
	return data
}

// Supersedes reports whether p tells more of a run than q.
func (p Phase) Supersedes(q Phase) bool {
	return phaseOrder[p] > phaseOrder[q]
}

// Step takes one event and returns what to do about it.
func (c *Claim) Step(now time.Time, event Event) []Action {
	c.actions = nil
	switch e := event.(type) {
	case WriteEnded:
		c.created(now, e)
	case ReadEnded:
		c.read(now, e)
	case RunEnded:
		c.finished(e)
	}
	return c.actions
}

func (c *Claim) answer(a Answer) {
	c.fire("answer")
	c.emit(a)
}

func (c *Claim) created(now time.Time, e WriteEnded) {
	if c.state != stateClaiming {
		return
	}
	if e.Err == nil && e.Written {
		c.free = true
		c.run(now)
		return
	}
	c.readAgain(now)
}

func (c *Claim) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Claim) finished(e RunEnded) {
	if c.state != stateRunning {
		return
	}
	phase := PhaseUnknown
	switch e.Outcome {
	case Ran:
		phase = PhaseDone
	case NotRun:
		phase = PhaseReleased
	}
	c.emit(FinalizeClaim{Record: c.record(phase, e.Answer)})
	c.answer(Answer{Outcome: e.Outcome, Body: e.Answer})
}

func (c *Claim) fire(e chart.Event) {
	next, err := claimChart.Next(c.state, e)
	c.recorder.Check(err == nil, invariant.StateChart, "%v", err)
	c.state = next
}

// giveUp ends a request that was not run by this claim. The claim may stand in
// the service, so it is taken back in the background.
func (c *Claim) giveUp(reason string) {
	outcome := Unknown
	if c.free {
		outcome = NotRun
	}
	c.emit(FinalizeClaim{Record: c.record(PhaseReleased, nil)})
	c.answer(Answer{Outcome: outcome, Reason: reason})
}

func (c *Claim) read(now time.Time, e ReadEnded) {
	if c.state != stateReading {
		return
	}
	switch {
	case e.Err != nil:
		c.readAgain(now)
	case e.Revision == 0:
		c.free = true
		c.rewrite(now, 0)
	case e.Record.Nonce == c.nonce && e.Record.Phase == PhaseClaimed:
		c.free = true
		c.run(now)
	case e.Record.Digest != c.digest:
		c.answer(Answer{Outcome: Conflicting, Reason: "the request id was used for another request"})
	case e.Record.Phase == PhaseReleased:
		c.free = true
		c.rewrite(now, e.Revision)
	case e.Record.Phase == PhaseDone:
		c.answer(Answer{Outcome: Ran, Body: e.Record.Answer, Part: e.Record.Part, FromEarlierRun: true})
	default:
		c.answer(Answer{Outcome: Unknown, Reason: "an earlier run of the request has no known outcome"})
	}
}

func (c *Claim) readAgain(now time.Time) {
	c.reads++
	if c.reads > maxReads || !now.Before(c.deadline) {
		c.giveUp("the key-value service does not answer")
		return
	}
	c.fire("uncertain")
	c.emit(ReadClaim{})
}

func (c *Claim) record(p Phase, answer json.RawMessage) Record {
	return Record{Nonce: c.nonce, Phase: p, Digest: c.digest, Answer: answer}
}

func (c *Claim) rewrite(now time.Time, revision uint64) {
	if c.reads > maxReads || !now.Before(c.deadline) {
		c.giveUp("the claim changes all the time")
		return
	}
	c.fire("free")
	c.emit(WriteClaim{Record: c.record(PhaseClaimed, nil), Revision: revision})
}

// run starts the one run, unless it is too late.
func (c *Claim) run(now time.Time) {
	if !now.Before(c.deadline) {
		c.giveUp("the deadline passed before the run")
		return
	}
	c.fire("claimed")
	c.emit(Run{Record: c.record(PhaseClaimed, nil)})
}
