package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

const maxBody = 2 << 20

// Handler serves the upstream protocol, and the faults under /faults.
func (u *Upstream) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run", u.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/attempts/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		_ = u.Cancel(r.Context(), mux.Vars(r)["attempt"])
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", func(w http.ResponseWriter, r *http.Request) {
		report, err := u.Report(r.Context())
		if err != nil {
			hangUp(w)
			return
		}
		reply(w, upstream.EncodeReport(report))
	}).Methods(http.MethodGet)
	router.HandleFunc("/faults", putFaults(u.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc("/versions", u.handleVersions).Methods(http.MethodPut)
	router.HandleFunc("/runs", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		reply(w, u.Ledger.Runs(q.Get("service"), q.Get("request")))
	}).Methods(http.MethodGet)
	return router
}

// Handler serves the key-value protocol, and the faults under /faults.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/v1/kv/").Methods(http.MethodGet).HandlerFunc(s.handleGet)
	router.PathPrefix("/v1/kv/").Methods(http.MethodPut, http.MethodDelete).HandlerFunc(s.handleWrite)
	router.HandleFunc("/faults", putFaults(s.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := s.Calls()
		reply(w, struct{ Reads, Writes int }{reads, writes})
	}).Methods(http.MethodGet)
	return router
}

// Handler serves the host list; PUT replaces it.
func (h *Hosts) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := h.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		reply(w, hosts)
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts", putFaults(func(hosts []hostlist.Host) { h.Set(hosts) })).Methods(http.MethodPut)
	return router
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	query := r.URL.Query()
	var entry keyvalue.Entry
	var err error
	if query.Has("index") {
		index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
		wait, _ := time.ParseDuration(query.Get("wait"))
		entry, err = s.Watch(r.Context(), key, index, wait)
	} else {
		entry, err = s.Get(r.Context(), key)
	}
	var missing *keyvalue.NotFoundError
	switch {
	case errors.As(err, &missing):
		http.NotFound(w, r)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("X-Consul-Index", strconv.FormatUint(entry.Revision(), 10))
		reply(w, []struct {
			Key         string
			Value       []byte
			ModifyIndex uint64
		}{{entry.Key(), entry.Value(), entry.Revision()}})
	}
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	if r.Method == http.MethodDelete && r.URL.Query().Has("recurse") {
		if err := s.DeleteTree(r.Context(), key); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		reply(w, true)
		return
	}
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas must be given", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	var written bool
	if r.Method == http.MethodDelete {
		written, err = s.Delete(r.Context(), key, revision)
	} else {
		written, err = s.CompareAndSwap(r.Context(), key, body, revision)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply(w, written)
}

func (u *Upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		hangUp(w)
		return
	}
	h := r.Header
	micros, _ := strconv.ParseInt(h.Get(upstream.HeaderDeadline), 10, 64)
	number, _ := strconv.ParseUint(h.Get(upstream.HeaderVersion), 10, 64)
	answer, err := u.Run(r.Context(), upstream.Call{
		AttemptID: h.Get(upstream.HeaderAttempt), RequestID: h.Get(upstream.HeaderRequest), Service: h.Get(upstream.HeaderService),
		ShardPath: h.Get(upstream.HeaderShard), Kind: h.Get(upstream.HeaderKind), Body: body,
		Version: snapshot.New(number, h.Get(upstream.HeaderMap)), Remaining: time.Duration(micros) * time.Microsecond,
	})
	var refused *upstream.RefusedError
	switch {
	case errors.As(err, &refused):
		w.Header().Set(upstream.HeaderNotRun, refused.Reason)
		w.Header().Set(upstream.HeaderRetryAfter, strconv.FormatInt(refused.RetryAfter.Microseconds(), 10))
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		hangUp(w)
	default:
		writeAnswer(w, answer)
	}
}

func (u *Upstream) handleVersions(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := upstream.DecodeReport(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetVersions(report.Versions...)
	w.WriteHeader(http.StatusNoContent)
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func putFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
		w.WriteHeader(http.StatusNoContent)
	}
}

func reply(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func writeAnswer(w http.ResponseWriter, a upstream.Reply) {
	h := w.Header()
	h.Set(upstream.HeaderAttempt, a.AttemptID)
	h.Set(upstream.HeaderVersion, strconv.FormatUint(a.Version.Number(), 10))
	h.Set(upstream.HeaderMap, a.Version.ShardMap())
	if a.Draining {
		h.Set(upstream.HeaderDraining, "yes")
	}
	if a.Cold {
		h.Set(upstream.HeaderCold, "yes")
	}
	_, _ = w.Write(a.Body)
}
