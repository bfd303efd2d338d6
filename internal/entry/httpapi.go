package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/maphash"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailshelf/foxtailshelf/internal/query"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

const (
	statusBadRequest = http.StatusBadRequest
	statusNotFound   = http.StatusNotFound
	statusTooLarge   = http.StatusRequestEntityTooLarge
	// statusConflict is the status of an answer, not of HTTP.
	statusConflict = "conflict"
)

// An AddressesDocument is the JSON of the address answer.
type AddressesDocument struct {
	Addresses              []string `json:"addresses"`
	TimeToLiveMilliseconds int64    `json:"time-to-live-milliseconds"`
	Revision               uint64   `json:"revision"`
}

// A ErrorDocument is the JSON of a request that was not understood.
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

// Handler returns what callers reach over HTTP.
func (e *Entry) Handler() http.Handler {
	e.init()
	router := mux.NewRouter()
	router.HandleFunc("/v1/addresses", e.handleAddresses).Methods(http.MethodGet)
	router.HandleFunc("/v1/services/{service}/requests", e.handleRequest).Methods(http.MethodPost)
	return router
}

// Serve runs one decoded request; it is what the handler does.
func (e *Entry) Serve(ctx context.Context, service string, d RequestDocument) (AnswerDocument, error) {
	e.init()
	defer e.inFlight.Begin()()
	startAt := time.Now()
	if reason := e.NotReadyReason(); reason != "" {
		return e.notReady(service, d, reason), nil
	}
	r, err := e.accept(service, d, startAt)
	if err != nil {
		return AnswerDocument{}, err
	}
	e.Timeline.Add("admitted", r.id, "%s/%s, %s, %s left", service, r.kind.Name(), r.kind.Urgency(), time.Until(r.deadline).Round(time.Millisecond))
	answer := e.answer(ctx, r)
	e.Timeline.Add("answered", r.id, "%s, coverage %.3f, %d attempts %s", answer.Status, answer.Coverage, answer.Attempts, answer.Reason)
	e.Metrics.answered(r, answer, time.Since(startAt))
	return answer, nil
}

// notReady refuses a request. Whether it ran when it was sent before cannot be
// known here, so only what may run twice or was never sent is called not run.
func (e *Entry) notReady(service string, d RequestDocument, reason string) AnswerDocument {
	answer := refusalDocument(d.RequestID, query.Unknown, reason, viewPeriod)
	if s, ok := e.follower.Current().Service(service); ok {
		kind, known := s.Kind(d.Kind)
		if known && kind.Idempotent() {
			answer.Status = string(query.NotRun)
		}
	}
	if d.FirstSending {
		answer.Status = string(query.NotRun)
	}
	return answer
}

// Addresses returns the entries that a caller of a data centre may use.
func (e *Entry) Addresses(dataCenter string) AddressesDocument {
	e.init()
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	var live []roster.Member
	for _, m := range e.view.list() {
		own := m.Host() == e.Host
		if m.CanOwn() && m.EntryAddress() != "" && !(own && leaving) {
			live = append(live, m)
		}
	}
	spread := maphash.MakeSeed()
	slices.SortFunc(live, func(a, b roster.Member) int {
		return cmp.Or(
			cmp.Compare(distance(a, dataCenter), distance(b, dataCenter)),
			cmp.Compare(maphash.String(spread, a.Host()), maphash.String(spread, b.Host())),
		)
	})
	d := AddressesDocument{Addresses: []string{}, TimeToLiveMilliseconds: e.AddressTTL.Milliseconds(), Revision: e.follower.Current().Revision()}
	for _, m := range live {
		d.Addresses = append(d.Addresses, m.EntryAddress())
	}
	return d
}

func (e *Entry) answer(ctx context.Context, r *request) AnswerDocument {
	if !r.kind.Idempotent() {
		return e.book(ctx, r)
	}
	return answerDocument(r.id, e.serve(ctx, r))
}

func (e *Entry) handleAddresses(w http.ResponseWriter, r *http.Request) {
	if reason := e.NotReadyReason(); reason != "" {
		// An entry without news may know addresses that are gone.
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, ErrorDocument{Field: "addresses", Problem: reason})
		return
	}
	writeJSON(w, http.StatusOK, e.Addresses(r.URL.Query().Get("data-center")))
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	d, err := DecodeRequest(r.Body)
	if err != nil {
		writeFault(w, err)
		return
	}
	answer, err := e.Serve(r.Context(), mux.Vars(r)["service"], d)
	if err != nil {
		writeFault(w, err)
		return
	}
	if answer.RetryAfterMilliseconds > 0 {
		seconds := (answer.RetryAfterMilliseconds + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, httpStatuses[answer.Status], answer)
}

func distance(m roster.Member, dataCenter string) int {
	if m.DataCenter() == dataCenter {
		return 0
	}
	return 1
}

func writeFault(w http.ResponseWriter, err error) {
	var bad *BadRequestError
	if !errors.As(err, &bad) {
		bad = &BadRequestError{Status: statusBadRequest, Field: "body", Problem: err.Error()}
	}
	writeJSON(w, bad.Status, ErrorDocument{Field: bad.Field, Problem: bad.Problem})
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}
