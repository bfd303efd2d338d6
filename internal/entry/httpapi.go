package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/query"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/shard"
)

const (
	statusBadRequest = http.StatusBadRequest
	statusNotFound   = http.StatusNotFound
	statusTooLarge   = http.StatusRequestEntityTooLarge
	// statusConflict is a status in an AnswerDocument, not an HTTP status.
	statusConflict = "conflict"
)

// An AddressesDocument is the JSON document of the address answer.
type AddressesDocument struct {
	Addresses              []string `json:"addresses"`
	TimeToLiveMilliseconds int64    `json:"time-to-live-milliseconds"`
	Revision               uint64   `json:"revision"`
}

// An ErrorDocument is the JSON document of the answer to an invalid request, to a
// request for addresses while the entry is not ready, or to a request that is not read
// whole when the entry stops.
type ErrorDocument struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

var httpStatuses = map[string]int{
	string(query.Complete): http.StatusOK,
	string(query.Partial):  http.StatusOK,
	string(query.NotRun):   http.StatusServiceUnavailable,
	string(query.Failed):   http.StatusBadGateway,
	string(query.Unknown):  http.StatusGatewayTimeout,
	statusConflict:         http.StatusConflict,
}

// Handler returns the HTTP API for callers.
func (e *Entry) Handler() http.Handler {
	e.init()
	router := mux.NewRouter()
	router.HandleFunc("/v1/addresses", e.handleAddresses).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}/requests", e.handleRequest).Methods(http.MethodPost)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.intake.Closed() {
			w.Header().Set("Connection", "close")
		}
		router.ServeHTTP(w, r)
	})
}

// Serve runs one decoded request and returns its answer. While the entry is not
// ready, or refuses requests because it stops, the answer is a refusal. The error of an
// invalid request is an *InvalidRequestError.
func (e *Entry) Serve(ctx context.Context, service string, d RequestDocument) (AnswerDocument, error) {
	e.init()
	end, accepted := e.intake.Accept()
	if !accepted {
		return e.refuseNotReady(service, d, string(shard.ReasonStopping)), nil
	}
	defer end()
	startedAt := time.Now()
	if reason := e.NotReadyReason(); reason != "" {
		return e.refuseNotReady(service, d, reason), nil
	}
	r, err := e.resolveRequest(service, d, startedAt)
	if err != nil {
		return AnswerDocument{}, err
	}
	e.Timeline.Add("admitted", r.id, "%s/%s, %s, %s remaining", service, r.kind.Name(), r.kind.Urgency(), time.Until(r.deadline).Round(time.Millisecond))
	answer := e.runRequest(ctx, r)
	e.Timeline.Add("answered", r.id, "%s, coverage %.3f, %d attempts %s", answer.Status, answer.Coverage, answer.Attempts, answer.Reason)
	e.Metrics.recordAnswer(r, answer, time.Since(startedAt))
	return answer, nil
}

// refuseNotReady returns the refusal of a request while the entry is not ready. An
// earlier run of the request cannot be looked up in this state, so the status is
// "not-run" only if the request is idempotent or was never sent before, and
// otherwise "unknown".
func (e *Entry) refuseNotReady(service string, d RequestDocument, reason string) AnswerDocument {
	answer := refusalDocument(d.RequestID, query.Unknown, reason, viewRefreshInterval)
	if s, ok := e.follower.Current().Service(service); ok {
		kind, kindExists := s.Kind(d.Kind)
		if kindExists && kind.Idempotent() {
			answer.Status = string(query.NotRun)
		}
	}
	if d.FirstSending {
		answer.Status = string(query.NotRun)
	}
	return answer
}

// Addresses returns the addresses of the entries that callers may use, those of
// the caller's data centre first and otherwise in random order. A suspect host is left
// out: it may have left while this host was cut off and could not learn it.
func (e *Entry) Addresses(dataCenter string) AddressesDocument {
	e.init()
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	var members []roster.Member
	for _, m := range e.view.memberList() {
		isSelf := m.Host() == e.Host
		if m.State() == roster.Alive && m.EntryAddress() != "" && !(isSelf && leaving) {
			members = append(members, m)
		}
	}
	shuffleSeed := maphash.MakeSeed()
	slices.SortFunc(members, func(a, b roster.Member) int {
		return cmp.Or(
			cmp.Compare(dataCenterDistance(a, dataCenter), dataCenterDistance(b, dataCenter)),
			cmp.Compare(maphash.String(shuffleSeed, a.Host()), maphash.String(shuffleSeed, b.Host())),
		)
	})
	d := AddressesDocument{Addresses: []string{}, TimeToLiveMilliseconds: e.AddressTTL.Milliseconds(), Revision: e.follower.Current().Revision()}
	for _, m := range members {
		d.Addresses = append(d.Addresses, m.EntryAddress())
	}
	return d
}

// runRequest runs a validated request: through a claim if it is not idempotent, and
// otherwise directly.
func (e *Entry) runRequest(ctx context.Context, r *request) AnswerDocument {
	if !r.kind.Idempotent() {
		return e.book(ctx, r)
	}
	return answerDocument(r.id, e.runQuery(ctx, r))
}

func (e *Entry) handleAddresses(w http.ResponseWriter, r *http.Request) {
	if reason := e.NotReadyReason(); reason != "" {
		// The view may be out of date and hold addresses of lost hosts.
		writeNotReady(w, "addresses", reason)
		return
	}
	writeJSON(w, http.StatusOK, e.Addresses(r.URL.Query().Get("data-center")))
}

// readRequest reads a request; once the entry refuses requests, for at most
// finishReadPeriod. The error wraps footprint.ErrNoRoom if callers make the entry hold too much.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (RequestDocument, error) {
	stopLimit := context.AfterFunc(e.refusing, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(finishReadPeriod))
	})
	defer stopLimit()
	connection := footprint.FromContext(r.Context())
	length := r.ContentLength
	if length > MaxBodySize {
		length = -1
	}
	data, err := connection.ReadBody(io.LimitReader(r.Body, MaxBodySize+1), length)
	if err == nil && !connection.BeginRun() {
		err = footprint.ErrNoRoom
	}
	switch {
	case errors.Is(err, footprint.ErrNoRoom):
		connection.Linger()
		return RequestDocument{}, fmt.Errorf("read request: %w", err)
	case err != nil:
		return RequestDocument{}, errUnreadable
	}
	return decodeDocument(data)
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	d, err := e.readRequest(w, r)
	if err != nil && e.refusing.Err() != nil {
		writeNotReady(w, "body", string(shard.ReasonStopping))
		return
	}
	if errors.Is(err, footprint.ErrNoRoom) {
		writeNotReady(w, "body", "no room for it")
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	// The request is in flight until its answer is written.
	end, _ := e.intake.Accept()
	defer end()
	answer, err := e.Serve(r.Context(), mux.Vars(r)["service"], d)
	if err != nil {
		writeError(w, err)
		return
	}
	if answer.RetryAfterMilliseconds > 0 {
		seconds := (answer.RetryAfterMilliseconds + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, httpStatuses[answer.Status], answer)
}

func dataCenterDistance(m roster.Member, dataCenter string) int {
	if m.DataCenter() == dataCenter {
		return 0
	}
	return 1
}

// writeNotReady answers a request that the entry cannot serve now and has not decoded.
func writeNotReady(w http.ResponseWriter, field, problem string) {
	w.Header().Set("Retry-After", "1")
	writeJSON(w, http.StatusServiceUnavailable, ErrorDocument{Field: field, Problem: problem})
}

func writeError(w http.ResponseWriter, err error) {
	var badRequest *InvalidRequestError
	if !errors.As(err, &badRequest) {
		badRequest = &InvalidRequestError{Status: statusBadRequest, Field: "body", Problem: err.Error()}
	}
	writeJSON(w, badRequest.Status, ErrorDocument{Field: badRequest.Field, Problem: badRequest.Problem})
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}
