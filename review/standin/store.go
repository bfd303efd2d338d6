//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historySeconds is how long the store keeps its changes, as the site files state.
const historySeconds = 20

// A storeItem is a key with its value, as the store sends it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// A store is a stand-in for the platform's store. While it is down it answers nothing.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	floor    uint64
	revision uint64
	era      uint64
	leases   map[uint64]*storeLease
	lastID   uint64
	// down is how the store is down: "" (it works), "silent", "busy" or "reset".
	down    string
	changed chan struct{}
}

func startStore(address string) *store {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, revision: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s
}

func (s *store) setDown(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = how
	s.notify()
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a leaf.
func (s *store) put(key string, value any) time.Time {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Value: data})
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(storeItem{Key: key, Deleted: true})
	}
}

// apply applies one change. The caller holds s.mu.
func (s *store) apply(i storeItem) {
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySeconds*time.Second {
		s.floor = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.notify()
}

// expire ends the leases that have run out. The caller holds s.mu.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.apply(storeItem{Key: k, Deleted: true})
		}
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body map[string]json.RawMessage
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.down {
	case "silent":
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		panic(http.ErrAbortHandler)
	case "busy":
		s.reply(w, 503, nil)
		return
	case "reset":
		panic(http.ErrAbortHandler)
	}
	s.expire()
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			s.reply(w, 404, map[string]any{"at": s.revision})
			return
		}
		s.reply(w, 200, i)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.serveTransaction(w, body)
	case r.URL.Path == "/kv-lease":
		var ms int64
		_ = json.Unmarshal(body["ttl_ms"], &ms)
		ms = max(ms, 1000)
		s.lastID++
		s.leases[s.lastID] = &storeLease{ttl: time.Duration(ms) * time.Millisecond, expires: time.Now().Add(time.Duration(ms) * time.Millisecond)}
		s.reply(w, 200, map[string]any{"lease": s.lastID, "ttl_ms": ms})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			s.reply(w, 404, nil)
			return
		}
		l.expires = time.Now().Add(l.ttl)
		s.reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		s.reply(w, 200, map[string]any{})
	default:
		s.reply(w, 404, nil)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []storeItem{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	s.reply(w, 200, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

// serveWatch waits for changes. The caller holds s.mu, which is released meanwhile.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	era := s.era
	until := time.Now().Add(wait)
	for {
		if s.down != "" {
			panic(http.ErrAbortHandler)
		}
		if after < s.floor || after > s.revision || s.era != era {
			s.reply(w, 410, nil)
			return
		}
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || !time.Now().Before(until) {
			s.reply(w, 200, map[string]any{"events": events, "at": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		s.mu.Lock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, body map[string]json.RawMessage) {
	var expected []storeItem
	var puts []storeItem
	var remove []string
	_ = json.Unmarshal(body["expected_rev"], &expected)
	_ = json.Unmarshal(body["puts"], &puts)
	_ = json.Unmarshal(body["remove"], &remove)
	current := []storeItem{}
	holds := true
	for _, e := range expected {
		i := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if i.Key != "" {
			current = append(current, i)
		}
	}
	if !holds {
		s.reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			s.reply(w, 403, nil)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			s.reply(w, 404, nil)
			return
		}
	}
	for _, p := range puts {
		s.apply(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			s.apply(storeItem{Key: k, Deleted: true})
		}
	}
	s.reply(w, 200, map[string]any{"revision": s.revision})
}
