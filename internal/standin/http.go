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

const maxBodyBytes = 2 << 20

// Handler returns a handler that serves the upstream protocol. The handler also accepts
// faults under /faults and, as a load report, versions under /versions, and returns the
// number of finished runs of a request under /runs.
func (u *Upstream) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run", u.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/attempts/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		_ = u.Cancel(r.Context(), mux.Vars(r)["attempt"])
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", func(w http.ResponseWriter, r *http.Request) {
		report, err := u.FetchReport(r.Context())
		if err != nil {
			closeConnection(w)
			return
		}
		writeJSON(w, upstream.EncodeReport(report))
	}).Methods(http.MethodGet)
	router.HandleFunc("/faults", handlePut(u.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc("/versions", u.handleVersions).Methods(http.MethodPut)
	router.HandleFunc("/runs", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeJSON(w, u.RunCounter.RunCount(q.Get("service"), q.Get("request")))
	}).Methods(http.MethodGet)
	return router
}

// Handler returns a handler that serves the key-value protocol. The handler also
// accepts faults under /faults, and returns the numbers of reads and writes under /calls.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/v1/kv/").Methods(http.MethodGet).HandlerFunc(s.handleGet)
	router.PathPrefix("/v1/kv/").Methods(http.MethodPut, http.MethodDelete).HandlerFunc(s.handleWrite)
	router.HandleFunc("/faults", handlePut(s.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := s.CallCounts()
		writeJSON(w, struct{ Reads, Writes int }{reads, writes})
	}).Methods(http.MethodGet)
	return router
}

// Handler returns a handler that serves the host list. A PUT request replaces the list.
func (h *HostList) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := h.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, hosts)
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts", handlePut(func(hosts []hostlist.Host) { h.Set(hosts) })).Methods(http.MethodPut)
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
	var notFound *keyvalue.NotFoundError
	switch {
	case errors.As(err, &notFound):
		http.NotFound(w, r)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("X-Consul-Index", strconv.FormatUint(entry.Revision(), 10))
		writeJSON(w, []struct {
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
		writeJSON(w, true)
		return
	}
	revision, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas must be given", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	writeJSON(w, written)
}

func (u *Upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		closeConnection(w)
		return
	}
	h := r.Header
	micros, _ := strconv.ParseInt(h.Get(upstream.HeaderDeadline), 10, 64)
	number, _ := strconv.ParseUint(h.Get(upstream.HeaderVersion), 10, 64)
	reply, err := u.Run(r.Context(), upstream.Call{
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
		closeConnection(w)
	default:
		writeReply(w, reply)
	}
}

func (u *Upstream) handleVersions(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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

// closeConnection closes the connection of a request without a response.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// handlePut returns a handler that decodes the JSON body of a request and passes it
// to set.
func handlePut[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func writeReply(w http.ResponseWriter, reply upstream.Reply) {
	h := w.Header()
	h.Set(upstream.HeaderAttempt, reply.AttemptID)
	h.Set(upstream.HeaderVersion, strconv.FormatUint(reply.Version.Number(), 10))
	h.Set(upstream.HeaderMap, reply.Version.ShardMap())
	if reply.Draining {
		h.Set(upstream.HeaderDraining, "yes")
	}
	if reply.Cold {
		h.Set(upstream.HeaderCold, "yes")
	}
	_, _ = w.Write(reply.Body)
}
