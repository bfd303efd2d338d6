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
	// MaxBodySize bounds the JSON document of a request, in bytes.
	MaxBodySize = 1 << 20
	// MaxTimeout bounds the time to the deadline that a caller may request.
	MaxTimeout  = 10 * time.Minute
	maxIDLength = 128
)

// A RequestDocument is the JSON document of a request.
type RequestDocument struct {
	RequestID            string          `json:"request-id,omitempty"`
	Kind                 string          `json:"kind"`
	Key                  string          `json:"key,omitempty"`
	DeadlineMilliseconds int64           `json:"deadline-milliseconds,omitempty"`
	Query                json.RawMessage `json:"query,omitempty"`
	// FirstSending states that the request id was never sent before. A refusal can
	// then state that the request was not run.
	FirstSending bool `json:"first-sending,omitempty"`
}

// An AnswerDocument is the JSON document of an answer.
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
	// FromEarlierRun is set if the answer is that of an earlier run of the request.
	FromEarlierRun bool `json:"from-earlier-run,omitempty"`
}

// A VersionDocument identifies the snapshot of an answer.
type VersionDocument struct {
	Version uint64 `json:"version"`
	Map     string `json:"map"`
}

// A ResultDocument is the result of one shard.
type ResultDocument struct {
	Shard string          `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

// An InvalidRequestError identifies the invalid field of a request.
type InvalidRequestError struct {
	// Status is the HTTP status of the answer.
	Status  int
	Field   string
	Problem string
}

// request is a request that was validated against the catalog.
type request struct {
	id          string
	service     *catalog.Service
	kind        catalog.Kind
	key         string
	deadline    time.Time
	body        []byte
	fingerprint uint64
	// claimKey and claim are the key and the encoded record of the claim under
	// which a non-idempotent request runs.
	claimKey string
	claim    []byte
	// firstSending is set if the caller states that it never sent the request
	// before.
	firstSending bool
}

var errUnreadable = &InvalidRequestError{Status: statusBadRequest, Field: "body", Problem: "cannot be read"}

// Error implements error.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

// DecodeRequest reads and validates the JSON document of a request. It rejects
// unknown fields and trailing data. Its errors are of type *InvalidRequestError.
func DecodeRequest(r io.Reader) (RequestDocument, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBodySize+1))
	if err != nil {
		return RequestDocument{}, errUnreadable
	}
	return decodeDocument(data)
}

func decodeDocument(data []byte) (RequestDocument, error) {
	var d RequestDocument
	if len(data) > MaxBodySize {
		return d, &InvalidRequestError{Status: statusTooLarge, Field: "body", Problem: fmt.Sprintf("larger than %d bytes", MaxBodySize)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return d, decodeError(err, decoder.InputOffset())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return d, &InvalidRequestError{Status: statusBadRequest, Field: "body", Problem: "more text after the request"}
	}
	return d, d.validate()
}

func (d RequestDocument) validate() error {
	fieldError := func(field, problem string) error {
		return &InvalidRequestError{Status: statusBadRequest, Field: field, Problem: problem}
	}
	switch {
	case d.Kind == "":
		return fieldError("kind", "must be given")
	case d.DeadlineMilliseconds < 0:
		return fieldError("deadline-milliseconds", "must not be negative")
	case d.DeadlineMilliseconds > MaxTimeout.Milliseconds():
		return fieldError("deadline-milliseconds", fmt.Sprintf("must be at most %d", MaxTimeout.Milliseconds()))
	case len(d.RequestID) > maxIDLength:
		return fieldError("request-id", fmt.Sprintf("must have at most %d characters", maxIDLength))
	case strings.ContainsFunc(d.RequestID, isInvalidInID):
		return fieldError("request-id", "may hold letters, digits, '-', '_', '.' and ':' only")
	default:
		return nil
	}
}

// resolveRequest validates a request against the active catalog and fills in its
// defaults.
func (e *Entry) resolveRequest(serviceName string, d RequestDocument, now time.Time) (*request, error) {
	s, ok := e.follower.Current().Service(serviceName)
	if !ok {
		return nil, &InvalidRequestError{Status: statusNotFound, Field: "service", Problem: fmt.Sprintf("%q is not known", serviceName)}
	}
	kind, ok := s.Kind(d.Kind)
	if !ok {
		return nil, &InvalidRequestError{Status: statusNotFound, Field: "kind", Problem: fmt.Sprintf("%q is not a kind of service %q", d.Kind, serviceName)}
	}
	if kind.Keyed() && d.Key == "" {
		return nil, &InvalidRequestError{Status: statusBadRequest, Field: "key", Problem: "must be given for this kind"}
	}
	if !kind.Idempotent() && d.RequestID == "" {
		return nil, &InvalidRequestError{Status: statusBadRequest, Field: "request-id", Problem: "must be given for kinds that are not idempotent"}
	}
	r := &request{id: d.RequestID, service: s, kind: kind, key: d.Key, deadline: now.Add(kind.DefaultTimeout()), body: d.Query, firstSending: d.FirstSending}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	if d.DeadlineMilliseconds > 0 {
		r.deadline = now.Add(time.Duration(d.DeadlineMilliseconds) * time.Millisecond)
	}
	r.fingerprint = requestFingerprint(serviceName, d)
	return r, nil
}

func answerDocument(id string, a query.Answer) AnswerDocument {
	d := AnswerDocument{
		RequestID: id, Status: string(a.Status), Coverage: a.Coverage, Reason: string(a.Reason),
		RetryAfterMilliseconds: ceilMilliseconds(a.RetryAfter), Attempts: a.Attempts,
		Results: []ResultDocument{}, Missing: []string{},
	}
	if !a.Version.IsZero() {
		d.Snapshot = &VersionDocument{Version: a.Version.Number(), Map: a.Version.ShardMap()}
	}
	for _, r := range a.Results {
		d.Results = append(d.Results, ResultDocument{Shard: r.Part.Name, Body: jsonBody(r.Body)})
	}
	for _, m := range a.Missing {
		d.Missing = append(d.Missing, m.Name)
	}
	return d
}

func decodeError(err error, offset int64) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &InvalidRequestError{Status: statusBadRequest, Field: typeError.Field, Problem: "cannot hold a JSON " + typeError.Value}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return &InvalidRequestError{Status: statusBadRequest, Field: strings.Trim(name, `"`), Problem: "unknown field"}
	}
	return &InvalidRequestError{Status: statusBadRequest, Field: "body", Problem: fmt.Sprintf("is not JSON at byte %d", offset)}
}

// refusalDocument returns an answer without results.
func refusalDocument(id string, status query.Status, reason string, retryAfter time.Duration) AnswerDocument {
	return AnswerDocument{
		RequestID: id, Status: string(status), Reason: reason, RetryAfterMilliseconds: ceilMilliseconds(retryAfter),
		Results: []ResultDocument{}, Missing: []string{},
	}
}

// requestFingerprint returns a hash of the request's content, without its id and
// deadline.
func requestFingerprint(service string, d RequestDocument) uint64 {
	h := xxhash.New()
	for _, part := range []string{service, d.Kind, d.Key, string(d.Query)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return h.Sum64()
}

func isInvalidInID(r rune) bool {
	alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !alphanumeric && !strings.ContainsRune("-_.:", r)
}

// jsonBody returns a body unchanged if it is valid JSON, and otherwise as a JSON
// string.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
