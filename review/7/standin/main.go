//go:build review

// Command standin plays case 7 of the review: a request that crashes each leaf that begins to run
// it comes again after all machines of the system were killed at the same moment. It starts the
// hosts as processes, and stands in for the platform's store, the leafs and the clients.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment is that of sites/vn-haku.toml with fewer machines and one service.
const (
	hostCount      = 4
	leafCount      = 9
	leafSlots      = 3
	maxConns       = 100
	callerHost     = "leno12.example"
	service        = "ajanvaraus"
	prefix         = "/slot/"
	crashingTarget = "/slot/crash"
	// orderPrefix is that of the requests that must not run twice, which the same leafs run.
	orderPrefix  = "/order/"
	stableWindow = 4 * time.Second
	graceSeconds = 6
	heartbeat    = 1200 * time.Millisecond
	// leafDownTime is how long after a crash a leaf is back, as a new lifetime with a new id.
	leafDownTime = 3 * time.Second
	runDuration  = 60 * time.Millisecond
	// restartDelay is the short delay after which a killed process is started again.
	restartDelay = 500 * time.Millisecond
	// crashDelay is how long a leaf works on the crashing request until it crashes.
	crashDelay = 150 * time.Millisecond
	// crashPeriod is how often the crashing request comes, each time from two clients at two
	// machines. killDelay is how long after the second time all machines are killed.
	crashPeriod = 8 * time.Second
	killDelay   = 2 * time.Second
	crashTimes  = 11
	// clientRetries is how often a client sends a request again that has failed, within its time
	// limit.
	clientRetries = 1
	timeLimit     = 2500 * time.Millisecond
	// maxRetries is how many retries of the crashing request the rule allows.
	maxRetries = 3
	// orderClients send one order after the other.
	orderClients = 6
	orderPause   = 5 * time.Millisecond
)

// A record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// A play is one run of the case.
type play struct {
	record  *record
	dir     string
	program string
	store   *store
	hosts   []*host

	mu      sync.Mutex
	leafs   map[string]*leaf
	lastID  int
	crashes []time.Time
	// sentTo holds the machine to which each crashing attempt was sent, by id, and reached when a
	// leaf first began to run it.
	sentTo  map[string]*host
	reached map[string]time.Time
	// served and lost count orders.
	served, lost int
	ending       bool
	wait         sync.WaitGroup
}

func main() {
	program := flag.String("program", "target/foxtail-platform", "program of a host")
	recordPath := flag.String("record", "record.txt", "file of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "kill all machines at the same moment")
	flag.Parse()
	code, err := run(*program, *recordPath, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func run(program, recordPath string, trouble bool) (code int, err error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return 2, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "foxtail-review-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	p := &play{
		record: &record{file: file, startAt: time.Now()}, dir: dir, program: program,
		leafs: make(map[string]*leaf), sentTo: make(map[string]*host), reached: make(map[string]time.Time),
	}
	defer p.end()
	p.endOnSignal()
	if err := p.start(); err != nil {
		return 2, err
	}
	if err := p.awaitServing(); err != nil {
		return 2, err
	}
	// All machines are in touch before the first crashing request.
	time.Sleep(stableWindow + time.Second)
	for k := range orderClients {
		p.wait.Go(func() { p.sendOrders(k) })
	}
	begin := time.Now()
	for n := range crashTimes {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * crashPeriod)))
		p.sendCrashing(n)
		if trouble && n == 1 {
			time.Sleep(time.Until(begin.Add(crashPeriod + killDelay)))
			p.killAll()
		}
	}
	time.Sleep(time.Second)
	return p.judge(), nil
}

// start starts the store, the leafs and the hosts.
func (p *play) start() error {
	var err error
	if p.store, err = newStore(); err != nil {
		return err
	}
	for range leafCount {
		if err := p.startLeaf(); err != nil {
			return err
		}
	}
	configuration, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-1", "host": callerHost, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 2500,
				"target_latency_ms": 250, "priority": 2, "service": service, "max_attempts": 2,
			},
			map[string]any{
				"name": "r-2", "host": callerHost, "prefix": orderPrefix, "route_type": "non_idempotent", "timeout_ms": 2500,
				"target_latency_ms": 250, "priority": 2, "service": service, "max_attempts": 2,
			},
		},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p.store.put("op/config", configuration, 0)
	for n := range hostCount {
		h, err := newHost(n)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	for _, h := range p.hosts {
		h.settings = filepath.Join(p.dir, h.name+".jsonc")
		if err := h.configure(p); err != nil {
			return err
		}
		if err := h.start(p); err != nil {
			return err
		}
	}
	return nil
}

// awaitServing waits until all hosts are ready and serve.
func (p *play) awaitServing() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range p.hosts {
		for {
			if a := p.send(h, "warm-"+h.name, prefix+"warm", timeLimit); a.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// sendCrashing sends the crashing request from two clients to two machines at once. A client whose
// attempt has failed sends it again to another machine, as the pages say.
func (p *play) sendCrashing(n int) {
	var calls sync.WaitGroup
	for k := range 2 {
		calls.Go(func() {
			deadline := time.Now().Add(timeLimit)
			for try := range 1 + clientRetries {
				h := p.hosts[(n+k+2*try)%hostCount]
				a := p.sendCrashingTo(h, fmt.Sprintf("crash-%d-%d-%d", n+1, k+1, try+1), time.Until(deadline))
				left := time.Until(deadline)
				if a.status == http.StatusOK || left <= 0 {
					return
				}
				time.Sleep(min(a.retryAfter, left/3))
			}
		})
	}
	calls.Wait()
}

func (p *play) sendCrashingTo(h *host, id string, timeout time.Duration) answer {
	p.mu.Lock()
	p.sentTo[id] = h
	p.mu.Unlock()
	p.record.add("client sends %s (GET %s) to %s", id, crashingTarget, h.name)
	a := p.send(h, id, crashingTarget, timeout)
	p.record.add("client gets %s for %s from %s", a, id, h.name)
	return a
}

// sendOrders sends orders, each another one, to the machines in turn until the end. They must not
// run twice, so that one whose leaf crashes is lost.
func (p *play) sendOrders(k int) {
	for n := k; !p.isEnding(); n++ {
		h := p.hosts[n%hostCount]
		id := fmt.Sprintf("order-%d-%d", k+1, n)
		a := p.send(h, id, fmt.Sprint(orderPrefix, k, "-", n), timeLimit)
		p.mu.Lock()
		if a.status == http.StatusOK {
			p.served++
		} else {
			p.lost++
		}
		p.mu.Unlock()
		if a.status != http.StatusOK && a.status != 0 {
			p.record.add("client gets %s for %s from %s", a, id, h.name)
		}
		time.Sleep(orderPause)
	}
}

// killAll kills all machines at the same moment; each is started again after a short delay.
func (p *play) killAll() {
	p.record.add("all machines are killed")
	for _, h := range p.hosts {
		h.kill()
	}
	time.Sleep(restartDelay)
	for _, h := range p.hosts {
		if err := h.start(p); err != nil {
			p.record.add("%s does not start: %v", h.name, err)
			continue
		}
		p.record.add("%s is started again", h.name)
	}
}

// judge counts the crashing attempts that reached leafs later than stableWindow after the third
// crash, sent by machines in touch.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		p.record.add("only %d leafs were crashed", len(p.crashes))
		return 2
	}
	settledAt := p.crashes[2].Add(stableWindow)
	var late []string
	for id, at := range p.reached {
		if at.After(settledAt) && p.sentTo[id].isInTouch(at) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	p.record.add("orders: %d served, %d not", p.served, p.lost)
	p.record.add("%d leafs were crashed; the third one at %.3f s", len(p.crashes), p.crashes[2].Sub(p.record.startAt).Seconds())
	p.record.add("retries that reached leafs later than %v after that, from machines in touch: %d %v (at most %d are allowed)", stableWindow, len(late), late, maxRetries)
	if len(late) > maxRetries {
		p.record.add("BUDGET is broken")
		return 1
	}
	p.record.add("BUDGET held")
	return 0
}

func (p *play) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending
}

// end ends all processes that the play has started.
func (p *play) end() {
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	p.wait.Wait()
	for _, h := range p.hosts {
		h.kill()
	}
	p.mu.Lock()
	leafs := p.leafs
	p.leafs = nil
	p.mu.Unlock()
	for _, l := range leafs {
		l.close()
	}
	if p.store != nil {
		_ = p.store.listener.Close()
	}
}

// endOnSignal ends all processes if this one is told to end.
func (p *play) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		for _, h := range p.hosts {
			h.kill()
		}
		_ = os.RemoveAll(p.dir)
		os.Exit(2)
	}()
}

// An answer is what a client got; its status is zero if there was no complete answer.
type answer struct {
	status     int
	retryAfter time.Duration
	err        error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	if a.retryAfter > 0 {
		return fmt.Sprintf("%d, Retry-After %v", a.status, a.retryAfter)
	}
	return strconv.Itoa(a.status)
}

// send sends one request on a new connection.
func (p *play) send(h *host, id, target string, timeout time.Duration) answer {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := http.Client{Transport: transport, Timeout: timeout}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.front+target, nil)
	if err != nil {
		return answer{err: err}
	}
	r.Host = callerHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return answer{err: err}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// A host is one machine of the system with one process.
type host struct {
	name, zone                               string
	front, ready, control, directory, metric string
	settings                                 string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// lives are the starts and kills of its processes.
	lives []life
}

type life struct{ from, to time.Time }

// newHost returns the host on machine n, with a loopback address of its own, so that no connection of
// another process takes its ports while it is restarted. The ports are those of the pages' example.
func newHost(n int) (*host, error) {
	h := &host{name: fmt.Sprintf("frontend-%d", n+1), zone: fmt.Sprintf("fi-south-%c", 'a'+rune(n%3))}
	const tries = 200
	for try := range tries {
		number := os.Getpid() + try
		ip := fmt.Sprintf("127.%d.%d.%d", 64+number/256%64, number%256, n+1)
		h.front, h.ready, h.control = net.JoinHostPort(ip, "8226"), net.JoinHostPort(ip, "8227"), net.JoinHostPort(ip, "8224")
		h.directory, h.metric = net.JoinHostPort(ip, "8225"), net.JoinHostPort(ip, "9464")
		if areFree(h.front, h.ready, h.control, h.directory, h.metric) {
			return h, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

// areFree reports whether nothing listens at any of the addresses.
func areFree(addresses ...string) bool {
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// configure writes the settings as the platform makes them from deploy/host.jsonc.tmpl.
func (h *host) configure(p *play) error {
	var seeds []string
	for _, o := range p.hosts[:min(3, len(p.hosts))] {
		seeds = append(seeds, o.control)
	}
	text, err := json.MarshalIndent(map[string]any{
		"host": h.name, "data-center": h.zone, "caller-listen": h.front, "ready-listen": h.ready, "address-listen": h.directory,
		"peer-listen": h.control, "operations-listen": h.metric, "peers": seeds, "store": p.store.address(), "grace-seconds": graceSeconds,
		"extra-ratio": 0.2, "extra-slack": 54, "extra-window-seconds": 10, "most-address-seconds": 5, "cpu-share": 0.4, "cores": 1,
		"link-megabits": 1000, "log-level": "info", "memory-megabytes": 284,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, text, 0o600)
}

func (h *host) start(p *play) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := exec.Command(p.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILSHELF_BOOT=" + h.settings}
	log, err := os.OpenFile(filepath.Join(p.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = c, exited
	h.lives = append(h.lives, life{from: time.Now()})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL)
	<-h.exited
	h.process = nil
	h.lives[len(h.lives)-1].to = time.Now()
}

// isInTouch reports whether the process ran for the whole stable window before a time.
func (h *host) isInTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.lives, func(l life) bool {
		return !l.from.After(at.Add(-stableWindow)) && (l.to.IsZero() || l.to.After(at))
	})
}

// A leaf is one lifetime of a leaf.
type leaf struct {
	play     *play
	id, zone string
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	born     int64

	mu      sync.Mutex
	crashed bool
	stop    chan struct{}
}

// startLeaf starts a new lifetime of a leaf, which registers itself and writes each heartbeat.
func (p *play) startLeaf() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leafs == nil {
		_ = l.Close()
		return errors.New("the play has ended")
	}
	p.lastID++
	f := &leaf{
		play: p, id: fmt.Sprintf("i-%08x", 0x7f3a0000+p.lastID), zone: fmt.Sprintf("fi-south-%c", 'a'+rune(p.lastID%3)), listener: l,
		slots: make(chan struct{}, leafSlots), born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	f.server = &http.Server{Handler: f}
	p.leafs[f.id] = f
	f.write(0)
	go func() { _ = f.server.Serve(l) }()
	go f.beat()
	return nil
}

// beat writes the entry each heartbeat until the leaf ends. The platform removes the entry of a
// crashed leaf after three heartbeats of silence.
func (f *leaf) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		select {
		case <-ticker.C:
			f.write(sequence)
		case <-f.stop:
			time.Sleep(3 * heartbeat)
			f.play.store.remove("servers/" + f.id)
			return
		}
	}
}

func (f *leaf) write(sequence int) {
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": f.listener.Addr().String(), "zone": f.zone, "version": "v1", "slots": leafSlots, "state": "ready",
		"warmup_left_ms": 0, "sequence": sequence, "born": f.born,
	})
	f.play.store.put("servers/"+f.id, entry, 0)
}

// ServeHTTP runs a request as a sound leaf does. The crashing request ends the leaf.
func (f *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != f.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case f.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-f.slots }()
	if r.URL.Path == crashingTarget {
		f.play.recordReached(id, f.id)
		time.Sleep(crashDelay)
		f.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(runDuration):
	case <-r.Context().Done():
		return
	}
	body := []byte("answer to " + id)
	w.Header().Set("X-Server-Stamp", "stamp."+f.id+"."+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(f.slots), leafSlots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// recordReached records that a leaf began to run a crashing attempt, which crashes it.
func (p *play) recordReached(id, leafID string) {
	p.mu.Lock()
	now := time.Now()
	if _, known := p.reached[id]; !known {
		p.reached[id] = now
	}
	p.mu.Unlock()
	p.record.add("leaf %s begins to run %s", leafID, id)
}

// crash ends the leaf at once with all its connections; another lifetime starts later.
func (f *leaf) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return
	}
	f.crashed = true
	close(f.stop)
	_ = f.server.Close()
	p := f.play
	p.mu.Lock()
	delete(p.leafs, f.id)
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.record.add("leaf %s crashes", f.id)
	time.AfterFunc(leafDownTime, func() { _ = p.startLeaf() })
}

func (f *leaf) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.crashed {
		f.crashed = true
		close(f.stop)
		_ = f.server.Close()
	}
}

// A store stands in for the platform's store: items, watches, transactions and leases.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 100, items: make(map[string]storeItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) put(key string, value []byte, lease uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Value: value, Lease: lease})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(storeItem{Key: key, Deleted: true})
	}
}

// apply applies one change. The caller holds the lock.
func (s *store) apply(i storeItem) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Deleted {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended. The caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.until) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.apply(storeItem{Key: key, Deleted: true})
			}
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if i, ok := s.items[query.Get("key")]; ok {
			reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": s.revision})
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Path == "/kv-lease" && r.Method == http.MethodPost:
		s.serveLease(w, body)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.serveKeep(w, r)
	case r.URL.Path == "/kv-txn" && r.Method == http.MethodPost:
		s.serveTransaction(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(list) > pageSize
	reply(w, map[string]any{"items": list[:min(pageSize, len(list))], "has_more": hasMore, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	isOver := false
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveLease(w http.ResponseWriter, body []byte) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(request.TTL) * time.Millisecond
	id := uint64(len(s.leases)) + s.revision*1000 + 1
	s.leases[id] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": id, "ttl_ms": request.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	if r.Method == http.MethodDelete {
		l.until = time.Time{}
		s.expire()
	}
	reply(w, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var t struct {
		Expected []storeItem `json:"expected_rev"`
		Puts     []storeItem `json:"puts"`
		Remove   []string    `json:"remove"`
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Puts {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Puts {
		s.apply(storeItem{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(storeItem{Key: key, Deleted: true})
		}
	}
	reply(w, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
