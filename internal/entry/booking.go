package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailshelf/foxtailshelf/internal/booking"
	"github.com/foxtailshelf/foxtailshelf/internal/claims"
	"github.com/foxtailshelf/foxtailshelf/internal/query"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// claimReadDelay is the delay before a claim is read, because a write of the
	// claim did not succeed or a read failed.
	claimReadDelay = 50 * time.Millisecond
	// bookingRetryAfter is the retry time sent to callers with answers whose outcome
	// is not booking.Ran, unless the answer has a retry time of its own.
	bookingRetryAfter = 500 * time.Millisecond
	// finalizeTimeout bounds how long the answer to a caller is delayed to finalize
	// the claim first.
	finalizeTimeout = 100 * time.Millisecond
	// maxStoredAnswerBytes is the largest answer stored in a claim.
	maxStoredAnswerBytes = 512 << 10
)

// bookingRun is the processing of one non-idempotent request.
type bookingRun struct {
	entry   *Entry
	request *request
	key     string
	claim   *booking.Claim
	// document is the answer to the caller; nil until the claim has determined it.
	document *AnswerDocument
	// runAnswer is the answer of the run, if the request ran from this entry.
	runAnswer AnswerDocument
}

// book runs a non-idempotent request at most once.
func (e *Entry) book(ctx context.Context, r *request) AnswerDocument {
	if booking.Expired(r.id, time.Now()) {
		return refusalDocument(r.id, query.Unknown, "the request id is too old, or ahead of the clock", bookingRetryAfter)
	}
	b := &bookingRun{entry: e, request: r, key: booking.Key(r.service.Name(), r.id)}
	var actions []booking.Action
	b.claim, actions = booking.New(uuid.NewString(), fmt.Sprintf("%016x", r.fingerprint), r.deadline, r.firstSending, e.Recorder)
	b.performActions(ctx, actions)
	return *b.document
}

func (b *bookingRun) performActions(ctx context.Context, actions []booking.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case booking.WriteClaim:
			b.step(ctx, b.writeClaim(ctx, a))
		case booking.ReadClaim:
			work.Sleep(ctx, claimReadDelay)
			b.step(ctx, b.readClaim(ctx))
		case booking.Run:
			b.step(ctx, b.run(ctx, a.Record))
		case booking.FinalizeClaim:
			b.finalize(a.Record)
		case booking.AnswerCaller:
			b.document = b.buildAnswer(a)
		}
	}
}

func (b *bookingRun) step(ctx context.Context, event booking.Event) {
	b.performActions(ctx, b.claim.Step(time.Now(), event))
}

func (b *bookingRun) writeClaim(ctx context.Context, w booking.WriteClaim) booking.WriteEnded {
	ctx, cancel := context.WithTimeout(ctx, claims.OperationTimeout)
	defer cancel()
	written, err := b.entry.Store.CompareAndSwap(ctx, b.key, w.Record.Encode(), w.Revision)
	return booking.WriteEnded{Written: written, Err: err}
}

func (b *bookingRun) readClaim(ctx context.Context) booking.ReadEnded {
	ctx, cancel := context.WithTimeout(ctx, claims.OperationTimeout)
	defer cancel()
	record, revision, err := claims.Read(ctx, b.entry.Store, b.key)
	return booking.ReadEnded{Record: record, Revision: revision, Err: err}
}

// finalize writes the final phase of the claim. It waits for the write for at most
// finalizeTimeout before the caller is answered, so that a request that is sent
// again finds the final phase. If that time is too short or the write fails, it
// repeats the write in the background.
func (b *bookingRun) finalize(record booking.Record) {
	if claims.TryFinalize(b.entry.Store, b.key, record, finalizeTimeout) {
		return
	}
	b.entry.tasks.Go(func() {
		if !claims.Finalize(b.entry.Store, b.key, record) {
			b.entry.Log.WithField("key", b.key).Warn("claim could not be finalized")
		}
	})
}

// run runs the request once. The run continues if the caller disconnects, because
// the caller may send the request again to get its outcome.
func (b *bookingRun) run(ctx context.Context, record booking.Record) booking.RunEnded {
	b.request.claimKey, b.request.claim = b.key, record.Encode()
	answer := b.entry.runQuery(context.WithoutCancel(ctx), b.request)
	b.runAnswer = answerDocument(b.request.id, answer)
	ended := booking.RunEnded{Outcome: booking.Unknown}
	switch answer.Status {
	case query.Complete:
		ended.Outcome = booking.Ran
	case query.NotRun:
		ended.Outcome = booking.NotRun
	}
	data, err := json.Marshal(b.runAnswer)
	if err == nil && len(data) <= maxStoredAnswerBytes {
		ended.Answer = data
	}
	return ended
}

func (b *bookingRun) buildAnswer(a booking.AnswerCaller) *AnswerDocument {
	d := b.runAnswer
	if a.FromEarlierRun && a.Part != nil {
		d = partDocument(*a.Part)
	}
	if a.FromEarlierRun && a.Part == nil {
		d = AnswerDocument{}
		if err := json.Unmarshal(a.Body, &d); err != nil {
			a = booking.AnswerCaller{Outcome: booking.Unknown, Reason: "the request ran, but its answer was not kept"}
		}
	}
	d.FromEarlierRun = a.FromEarlierRun
	d.RequestID = b.request.id
	switch a.Outcome {
	case booking.NotRun:
		d.Status = string(query.NotRun)
	case booking.Unknown:
		d.Status = string(query.Unknown)
	case booking.Conflicting:
		d.Status = statusConflict
	}
	if a.Reason != "" {
		d.Reason = a.Reason
	}
	if a.Outcome != booking.Ran && d.RetryAfterMilliseconds == 0 {
		d.RetryAfterMilliseconds = bookingRetryAfter.Milliseconds()
	}
	if d.Results == nil {
		d.Results, d.Missing = []ResultDocument{}, []string{}
	}
	return &d
}

// partDocument returns the answer that a gate stored in the claim because the
// entry was lost.
func partDocument(p booking.Part) AnswerDocument {
	return AnswerDocument{
		Status: string(query.Complete), Coverage: 1, Snapshot: &VersionDocument{Version: p.Version, Map: p.Map}, Attempts: 1,
		Results: []ResultDocument{{Shard: p.Shard, Body: jsonBody(p.Body)}}, Missing: []string{},
	}
}
