package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/query"
)

const (
	// MaxBodySize bounds a request, in bytes.
	MaxBodySize = 1 << 20
	// MaxTimeout bounds the time a caller may ask for.
	MaxTimeout  = 10 * time.Minute
	maxIDLength = 128
)

// A RequestDocument is the JSON of a request.
type RequestDocument struct {
	RequestID            string          `json:"request-id,omitempty"`
	Kind                 string          `json:"kind"`
	Key                  string          `json:"key,omitempty"`
	DeadlineMilliseconds int64           `json:"deadline-milliseconds,omitempty"`
	Query                json.RawMessage `json:"query,omitempty"`
	// FirstSending says that the request id was never sent before, so that
	// a refusal may say more.
	FirstSending bool `json:"first-sending,omitempty"`
}

// An AnswerDocument is the JSON of an answer.
type AnswerDocument struct {
	RequestID              string           `json:"request-id"`
	Status                 string           `json:"status"`
	Coverage               float64          `json:"coverage"`
	Snapshot               *VersionDocument `json:"snapshot,omitempty"`
	Results                []ResultDocument `json:"results"`
	Missing                []string         `json:"missing"`
	Reason                 string           `json:"reason,omitempty"`
	RetryAfterMilliseconds int64            `json:"retry-after-milliseconds,omitempty"`
	Attempts               int              `json:"attempts"`
	// FromEarlierRun is set if the request was run when it was sent before.
	FromEarlierRun bool `json:"from-earlier-run,omitempty"`
}

// A VersionDocument names the snapshot of an answer.
type VersionDocument struct {
	Version uint64 `json:"version"`
	Map     string `json:"map"`
}

// A ResultDocument is what one shard brought.
type ResultDocument struct {
	Shard string          `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

// A BadRequestError names the faulty field of a request.
type BadRequestError struct {
	// Status is the HTTP status to reply with.
	Status  int
	Field   string
	Problem string
}

// request is a checked request.
type request struct {
	id          string
	service     *catalog.Service
	kind        catalog.Kind
	key         string
	deadline    time.Time
	body        []byte
	fingerprint uint64
	// claimKey and claim are set for a request that runs under a claim.
	claimKey string
	claim    []byte
	// first is set if the caller never sent the request before.
	first bool
}

// Error implements error.
func (e *BadRequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

// DecodeRequest reads the JSON of a request, strictly.
func DecodeRequest(r io.Reader) (RequestDocument, error) {
	var d RequestDocument
	data, err := io.ReadAll(io.LimitReader(r, MaxBodySize+1))
	if err != nil {
		return d, &BadRequestError{Status: statusBadRequest, Field: "body", Problem: "cannot be read"}
	}
	if len(data) > MaxBodySize {
		return d, &BadRequestError{Status: statusTooLarge, Field: "body", Problem: fmt.Sprintf("larger than %d bytes", MaxBodySize)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return d, decodeFault(err, decoder.InputOffset())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return d, &BadRequestError{Status: statusBadRequest, Field: "body", Problem: "more text after the request"}
	}
	return d, d.check()
}

func (d RequestDocument) check() error {
	fault := func(field, problem string) error {
		return &BadRequestError{Status: statusBadRequest, Field: field, Problem: problem}
	}
	switch {
	case d.Kind == "":
		return fault("kind", "must be given")
	case d.DeadlineMilliseconds < 0:
		return fault("deadline-milliseconds", "must not be negative")
	case d.DeadlineMilliseconds > MaxTimeout.Milliseconds():
		return fault("deadline-milliseconds", fmt.Sprintf("must be at most %d", MaxTimeout.Milliseconds()))
	case len(d.RequestID) > maxIDLength:
		return fault("request-id", fmt.Sprintf("must have at most %d characters", maxIDLength))
	case strings.ContainsFunc(d.RequestID, isUnsafe):
		return fault("request-id", "may hold letters, digits, '-', '_', '.' and ':' only")
	default:
		return nil
	}
}

// accept checks a request against the catalog in force.
func (e *Entry) accept(serviceName string, d RequestDocument, now time.Time) (*request, error) {
	s, ok := e.follower.Current().Service(serviceName)
	if !ok {
		return nil, &BadRequestError{Status: statusNotFound, Field: "service", Problem: fmt.Sprintf("%q is not known", serviceName)}
	}
	kind, ok := s.Kind(d.Kind)
	if !ok {
		return nil, &BadRequestError{Status: statusNotFound, Field: "kind", Problem: fmt.Sprintf("%q is not a kind of service %q", d.Kind, serviceName)}
	}
	if kind.Keyed() && d.Key == "" {
		return nil, &BadRequestError{Status: statusBadRequest, Field: "key", Problem: "must be given for this kind"}
	}
	if !kind.Idempotent() && d.RequestID == "" {
		return nil, &BadRequestError{Status: statusBadRequest, Field: "request-id", Problem: "must be given for kinds that are not idempotent"}
	}
	r := &request{id: d.RequestID, service: s, kind: kind, key: d.Key, deadline: now.Add(kind.DefaultTimeout()), body: d.Query, first: d.FirstSending}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	if d.DeadlineMilliseconds > 0 {
		r.deadline = now.Add(time.Duration(d.DeadlineMilliseconds) * time.Millisecond)
	}
	r.fingerprint = fingerprint(serviceName, d)
	return r, nil
}

func answerDocument(id string, a query.Answer) AnswerDocument {
	d := AnswerDocument{
		RequestID: id, Status: string(a.Status), Coverage: a.Coverage, Reason: string(a.Reason),
		RetryAfterMilliseconds: roundUp(a.RetryAfter), Attempts: a.Attempts,
		Results: []ResultDocument{}, Missing: []string{},
	}
	if !a.Version.IsZero() {
		d.Snapshot = &VersionDocument{Version: a.Version.Number(), Map: a.Version.ShardMap()}
	}
	for _, r := range a.Results {
		d.Results = append(d.Results, ResultDocument{Shard: r.Part.Name, Body: rawBody(r.Body)})
	}
	for _, m := range a.Missing {
		d.Missing = append(d.Missing, m.Name)
	}
	return d
}

func decodeFault(err error, offset int64) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &BadRequestError{Status: statusBadRequest, Field: typeError.Field, Problem: "cannot hold a JSON " + typeError.Value}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return &BadRequestError{Status: statusBadRequest, Field: strings.Trim(name, `"`), Problem: "unknown field"}
	}
	return &BadRequestError{Status: statusBadRequest, Field: "body", Problem: fmt.Sprintf("is not JSON at byte %d", offset)}
}

// refusalDocument returns an answer without any part.
func refusalDocument(id string, status query.Status, reason string, after time.Duration) AnswerDocument {
	return AnswerDocument{
		RequestID: id, Status: string(status), Reason: reason, RetryAfterMilliseconds: roundUp(after),
		Results: []ResultDocument{}, Missing: []string{},
	}
}

// fingerprint names what a request does, whatever its id and deadline.
func fingerprint(service string, d RequestDocument) uint64 {
	h := xxhash.New()
	for _, part := range []string{service, d.Kind, d.Key, string(d.Query)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return h.Sum64()
}

func isUnsafe(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune("-_.:", r)
}

// rawBody returns a body as JSON: as it is, or as a string.
func rawBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

func roundUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
