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
	// readPause is the pause before a claim is read again.
	readPause = 50 * time.Millisecond
	// comeBack is told to callers whose outcome is not known.
	comeBack = 500 * time.Millisecond
	// promptSettle is how long an answer waits for the claim to be settled.
	promptSettle = 100 * time.Millisecond
	// maxStoredAnswer is the largest answer kept in a claim, in bytes.
	maxStoredAnswer = 512 << 10
)

// bookingRun is one non-idempotent request on its way.
type bookingRun struct {
	entry   *Entry
	request *request
	key     string
	claim   *booking.Claim
	// document is the answer once there is one.
	document *AnswerDocument
	// last is the answer of the run, if it ran here.
	last AnswerDocument
}

// book runs a non-idempotent request at most once.
func (e *Entry) book(ctx context.Context, r *request) AnswerDocument {
	if booking.Expired(r.id, time.Now()) {
		return refusalDocument(r.id, query.Unknown, "the request id is too old, or ahead of the clock", comeBack)
	}
	b := &bookingRun{entry: e, request: r, key: booking.Key(r.service.Name(), r.id)}
	var actions []booking.Action
	b.claim, actions = booking.New(uuid.NewString(), fmt.Sprintf("%016x", r.fingerprint), r.deadline, r.first, e.Recorder)
	b.perform(ctx, actions)
	return *b.document
}

func (b *bookingRun) perform(ctx context.Context, actions []booking.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case booking.WriteClaim:
			b.step(ctx, b.write(ctx, a))
		case booking.ReadClaim:
			work.Sleep(ctx, readPause)
			b.step(ctx, b.read(ctx))
		case booking.Run:
			b.step(ctx, b.run(ctx, a.Record))
		case booking.FinalizeClaim:
			b.settle(a.Record)
		case booking.Answer:
			b.document = b.describe(a)
		}
	}
}

func (b *bookingRun) step(ctx context.Context, event booking.Event) {
	b.perform(ctx, b.claim.Step(time.Now(), event))
}

func (b *bookingRun) write(ctx context.Context, w booking.WriteClaim) booking.WriteEnded {
	ctx, cancel := context.WithTimeout(ctx, claims.CallTimeout)
	defer cancel()
	written, err := b.entry.Store.CompareAndSwap(ctx, b.key, w.Record.Encode(), w.Revision)
	return booking.WriteEnded{Written: written, Err: err}
}

func (b *bookingRun) read(ctx context.Context) booking.ReadEnded {
	ctx, cancel := context.WithTimeout(ctx, claims.CallTimeout)
	defer cancel()
	record, revision, err := claims.Read(ctx, b.entry.Store, b.key)
	return booking.ReadEnded{Record: record, Revision: revision, Err: err}
}

// settle brings the claim to its last phase, if possible before the caller is
// answered, so that a caller that comes again finds it there.
func (b *bookingRun) settle(record booking.Record) {
	if claims.TryFinalize(b.entry.Store, b.key, record, promptSettle) {
		return
	}
	b.entry.group.Go(func() {
		if !claims.Finalize(b.entry.Store, b.key, record) {
			b.entry.Log.WithField("key", b.key).Warn("claim could not be settled")
		}
	})
}

// run sends the request once. It goes on when the caller leaves: the caller
// will ask for the outcome.
func (b *bookingRun) run(ctx context.Context, record booking.Record) booking.RunEnded {
	b.request.claimKey, b.request.claim = b.key, record.Encode()
	answer := b.entry.serve(context.WithoutCancel(ctx), b.request)
	b.last = answerDocument(b.request.id, answer)
	f := booking.RunEnded{Outcome: booking.Unknown}
	switch answer.Status {
	case query.Complete:
		f.Outcome = booking.Ran
	case query.NotRun:
		f.Outcome = booking.NotRun
	}
	data, err := json.Marshal(b.last)
	if err == nil && len(data) <= maxStoredAnswer {
		f.Answer = data
	}
	return f
}

func (b *bookingRun) describe(a booking.Answer) *AnswerDocument {
	d := b.last
	if a.FromEarlierRun && a.Part != nil {
		d = partDocument(*a.Part)
	}
	if a.FromEarlierRun && a.Part == nil {
		d = AnswerDocument{}
		if err := json.Unmarshal(a.Body, &d); err != nil {
			a = booking.Answer{Outcome: booking.Unknown, Reason: "the request ran, but its answer was not kept"}
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
		d.RetryAfterMilliseconds = comeBack.Milliseconds()
	}
	if d.Results == nil {
		d.Results, d.Missing = []ResultDocument{}, []string{}
	}
	return &d
}

// partDocument returns the answer that a gate kept for a lost entry.
func partDocument(p booking.Part) AnswerDocument {
	return AnswerDocument{
		Status: string(query.Complete), Coverage: 1, Snapshot: &VersionDocument{Version: p.Version, Map: p.Map}, Attempts: 1,
		Results: []ResultDocument{{Shard: p.Shard, Body: rawBody(p.Body)}}, Missing: []string{},
	}
}
