// Package booking ensures that a non-idempotent request runs at most once,
// whichever hosts its caller sends it to. It does no I/O, reads no clock and
// starts no goroutine.
//
// Before a request is run, a claim with a nonce is created in the key-value
// service. Only the host whose nonce is certainly stored, because its write
// succeeded or it read the nonce back, may run the request. A claim is released
// only by a host that is certain that the request was not run under it.
//
// The driver of a Claim is the code that calls New and Step, performs the actions that
// they return, and reports the results to Step as events.
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

// maxReads bounds how often one request reads its claim before the run. The claim is
// read after each write that did not succeed and each read that failed.
const maxReads = 4

// The phases of a claim in the key-value service.
const (
	// PhaseClaimed claims belong to a run that may have started and whose outcome
	// is not stored yet.
	PhaseClaimed Phase = "claimed"
	// PhaseReleased claims belong to a request that was not run and may be
	// claimed again.
	PhaseReleased Phase = "released"
	// PhaseDone claims belong to a run that was answered completely.
	PhaseDone Phase = "done"
	// PhaseUnknown claims belong to a run that may have happened, in whole or in
	// part.
	PhaseUnknown Phase = "unknown"
)

const (
	stateClaiming chart.State = "claiming"
	stateReading  chart.State = "reading"
	stateRunning  chart.State = "running"
)

// A Phase states how far the run of a claim is known to have got, as stored in its
// Record.
type Phase string

// phaseOrder ranks the phases by how much they say about the run. The claim of
// one run only advances to a higher rank, so that a known outcome is not replaced
// by PhaseUnknown.
var phaseOrder = map[Phase]int{PhaseClaimed: 1, PhaseUnknown: 2, PhaseReleased: 3, PhaseDone: 4}

// A Record is the stored value of a claim.
type Record struct {
	// Nonce identifies the single run that the claim allows.
	Nonce string `json:"nonce"`
	Phase Phase  `json:"phase"`
	// Digest identifies the content of the request, so that its id cannot be
	// used for another request.
	Digest string `json:"digest"`
	// Answer is the answer document of the run, encoded by the entry after the run,
	// whatever its outcome. It is empty before the end of the run, and if the
	// document is longer than maxStoredAnswerBytes of package entry. It is returned
	// to a caller that sends the request again only if Phase is PhaseDone.
	Answer json.RawMessage `json:"answer,omitempty"`
	// Part is the answer of the single shard, if the gate finalized the claim
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

// An Outcome says whether a request was run, as far as is known.
type Outcome int

// The outcomes of a request.
const (
	// Ran requests were run and answered completely. The answer of an earlier run
	// is not always stored.
	Ran Outcome = iota + 1
	// NotRun requests were not run, and may be sent again.
	NotRun
	// Unknown requests may have been run.
	Unknown
	// Conflicting requests use the id of another request. They were not run.
	Conflicting
)

// An Event is something that happened to a Claim.
type Event interface{ isEvent() }

// WriteEnded reports the end of a WriteClaim. Written is false without Err if the
// stored claim was at another revision. Err is set if the result is uncertain.
type WriteEnded struct {
	Written bool
	Err     error
}

// ReadEnded reports the stored claim. Revision is zero if no claim is stored. Err
// is set if the read failed.
type ReadEnded struct {
	Record   Record
	Revision uint64
	Err      error
}

// RunEnded reports the end of the run. Answer is the answer document to store;
// empty if it is too long.
type RunEnded struct {
	Outcome Outcome
	Answer  json.RawMessage
}

func (WriteEnded) isEvent() {}
func (ReadEnded) isEvent()  {}
func (RunEnded) isEvent()   {}

// An Action is an operation that the driver must perform.
type Action interface{ isAction() }

// WriteClaim requests a compare-and-swap of the claim. It succeeds only if the
// stored claim is at Revision or, if Revision is zero, no claim is stored. The
// driver reports WriteEnded.
type WriteClaim struct {
	Record   Record
	Revision uint64
}

// ReadClaim requests a read of the claim. The driver reports ReadEnded.
type ReadClaim struct{}

// Run requests the single run that a claim allows. The driver reports RunEnded.
type Run struct{ Record Record }

// AnswerCaller requests that the caller be answered. Each Claim emits exactly one Answer,
// as its last action.
type AnswerCaller struct {
	Outcome Outcome
	Body    json.RawMessage
	Reason  string
	// FromEarlierRun is set if Body or Part is the stored answer of an earlier run.
	// Both are empty if that answer was not stored.
	FromEarlierRun bool
	// Part is the answer of an earlier run that a gate stored.
	Part *Part
}

// FinalizeClaim requests that the stored claim be advanced to Record. The entry
// tries once before it answers the caller and, if that fails, again in the
// background with claims.Finalize, which gives up after finalizeAttempts. Nothing
// is written if the claim of another run or a phase of at least the same rank is
// stored. No event reports the result.
type FinalizeClaim struct{ Record Record }

func (WriteClaim) isAction()    {}
func (ReadClaim) isAction()     {}
func (Run) isAction()           {}
func (AnswerCaller) isAction()  {}
func (FinalizeClaim) isAction() {}

// A Claim is the state of one non-idempotent request. It is not safe for
// concurrent use.
type Claim struct {
	recorder *invariant.Recorder
	nonce    string
	digest   string
	// state is a state of claim.chart.json.
	state    chart.State
	deadline time.Time
	// noEarlierRun is set once it is certain that the request was not run when it
	// was sent earlier. Only then may a refusal say that the request was not run.
	noEarlierRun bool
	reads        int
	actions      []Action
}

// New returns a claim and its first actions. firstSending is set if the caller
// states that it never sent the request before.
func New(nonce, digest string, deadline time.Time, firstSending bool, recorder *invariant.Recorder) (*Claim, []Action) {
	c := &Claim{recorder: recorder, nonce: nonce, digest: digest, deadline: deadline, state: claimChart.Initial(), noEarlierRun: firstSending}
	c.emit(WriteClaim{Record: c.newRecord(PhaseClaimed, nil)})
	return c, c.actions
}

// ParseRecord decodes the stored value of a claim.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("parse claim: %w", err)
	}
	return r, nil
}

// Encode returns the stored value of a claim.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("claim cannot be encoded: %v", err))
	}
	return data
}

// Supersedes reports whether p says more about the run than q, so that a claim may
// advance from q to p.
func (p Phase) Supersedes(q Phase) bool {
	return phaseOrder[p] > phaseOrder[q]
}

// Step handles one event and returns the actions to perform.
func (c *Claim) Step(now time.Time, event Event) []Action {
	c.actions = nil
	switch e := event.(type) {
	case WriteEnded:
		c.handleWriteEnded(now, e)
	case ReadEnded:
		c.handleReadEnded(now, e)
	case RunEnded:
		c.handleRunEnded(e)
	}
	return c.actions
}

func (c *Claim) answer(a AnswerCaller) {
	c.fire("answer")
	c.emit(a)
}

func (c *Claim) handleWriteEnded(now time.Time, e WriteEnded) {
	if c.state != stateClaiming {
		return
	}
	if e.Err == nil && e.Written {
		c.noEarlierRun = true
		c.runOrGiveUp(now)
		return
	}
	c.readOrGiveUp(now)
}

func (c *Claim) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Claim) handleRunEnded(e RunEnded) {
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
	c.emit(FinalizeClaim{Record: c.newRecord(phase, e.Answer)})
	c.answer(AnswerCaller{Outcome: e.Outcome, Body: e.Answer})
}

func (c *Claim) fire(e chart.Event) {
	next, err := claimChart.Next(c.state, e)
	c.recorder.Check(err == nil, invariant.StateChart, "%v", err)
	c.state = next
}

// giveUp answers a request that this claim has not run, and releases the claim,
// which may be stored even if no write is known to have succeeded.
func (c *Claim) giveUp(reason string) {
	outcome := Unknown
	if c.noEarlierRun {
		outcome = NotRun
	}
	c.emit(FinalizeClaim{Record: c.newRecord(PhaseReleased, nil)})
	c.answer(AnswerCaller{Outcome: outcome, Reason: reason})
}

func (c *Claim) handleReadEnded(now time.Time, e ReadEnded) {
	if c.state != stateReading {
		return
	}
	switch {
	case e.Err != nil:
		c.readOrGiveUp(now)
	case e.Revision == 0:
		c.noEarlierRun = true
		c.writeOrGiveUp(now, 0)
	case e.Record.Nonce == c.nonce && e.Record.Phase == PhaseClaimed:
		c.noEarlierRun = true
		c.runOrGiveUp(now)
	case e.Record.Digest != c.digest:
		c.answer(AnswerCaller{Outcome: Conflicting, Reason: "the request id was used for another request"})
	case e.Record.Phase == PhaseReleased:
		c.noEarlierRun = true
		c.writeOrGiveUp(now, e.Revision)
	case e.Record.Phase == PhaseDone:
		c.answer(AnswerCaller{Outcome: Ran, Body: e.Record.Answer, Part: e.Record.Part, FromEarlierRun: true})
	default:
		c.answer(AnswerCaller{Outcome: Unknown, Reason: "an earlier run of the request has no known outcome"})
	}
}

func (c *Claim) readOrGiveUp(now time.Time) {
	c.reads++
	if c.reads > maxReads || !now.Before(c.deadline) {
		c.giveUp("the key-value service does not answer")
		return
	}
	c.fire("uncertain")
	c.emit(ReadClaim{})
}

func (c *Claim) newRecord(p Phase, answer json.RawMessage) Record {
	return Record{Nonce: c.nonce, Phase: p, Digest: c.digest, Answer: answer}
}

func (c *Claim) writeOrGiveUp(now time.Time, revision uint64) {
	if c.reads > maxReads || !now.Before(c.deadline) {
		c.giveUp("the claim changes all the time")
		return
	}
	c.fire("free")
	c.emit(WriteClaim{Record: c.newRecord(PhaseClaimed, nil), Revision: revision})
}

// runOrGiveUp starts the run, unless the deadline has passed.
func (c *Claim) runOrGiveUp(now time.Time) {
	if !now.Before(c.deadline) {
		c.giveUp("the deadline passed before the run")
		return
	}
	c.fire("claimed")
	c.emit(Run{Record: c.newRecord(PhaseClaimed, nil)})
}
