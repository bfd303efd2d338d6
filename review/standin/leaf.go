//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often a leaf writes its entry (heartbeat_ms of the settings).
const heartbeatInterval = 1200 * time.Millisecond

// A run is one request that reached a leaf.
type run struct {
	id, service, leaf, method, target, tenant string
	at, startedAt, endedAt                    time.Time
	notRun                                    bool
	answered                                  bool
}

// A leaf is a stand-in for an upstream server. Its fields are set before start.
type leaf struct {
	id, service, zone string
	slots, queue      int
	work              func(r *http.Request) time.Duration
	bodyBytes         int
	// answer may write an answer of its own instead of the usual one. It reports whether it
	// has; the connection is closed then.
	answer func(l *leaf, conn net.Conn, r *http.Request) bool
	// fields are extra header fields of all answers.
	fields func() string
	refuse func(r *http.Request) string

	address  string
	listener net.Listener
	born     int64
	store    *store
	state    atomic.Value
	sequence atomic.Int64
	running  chan struct{}
	waiting  atomic.Int64
	stopped  chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  []*run
}

func (l *leaf) start(s *store, address string) *leaf {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("leaf: %v", err)
	}
	l.store, l.listener, l.address = s, listener, listener.Addr().String()
	l.born = time.Now().UnixMilli()
	l.running = make(chan struct{}, l.slots)
	l.stopped = make(chan struct{})
	l.conns = map[net.Conn]bool{}
	l.state.Store("ready")
	l.writeEntry()
	go l.accept()
	go func() {
		for {
			select {
			case <-l.stopped:
				return
			case <-time.After(heartbeatInterval):
				if l.state.Load() != "silent" {
					l.writeEntry()
				}
			}
		}
	}()
	return l
}

func (l *leaf) writeEntry() time.Time {
	l.store.mu.Lock()
	down := l.store.down != ""
	l.store.mu.Unlock()
	if down {
		return time.Time{}
	}
	return l.store.put("servers/"+l.id, map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots,
		"state": l.state.Load(), "warmup_left_ms": 0, "sequence": l.sequence.Add(1), "born": l.born,
	})
}

// crash ends the leaf; its entry stays.
func (l *leaf) crash() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	})
}

func (l *leaf) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		l.mu.Unlock()
		go func() {
			l.serve(conn)
			_ = conn.Close()
			l.mu.Lock()
			delete(l.conns, conn)
			l.mu.Unlock()
		}()
	}
}

// serve handles the requests on a connection, one at a time.
func (l *leaf) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !l.handle(conn, reader, r, body) {
			return
		}
	}
}

func (l *leaf) record(r *http.Request) *run {
	n := &run{
		id: r.Header.Get("X-Attempt-Id"), service: l.service, leaf: l.id, method: r.Method, target: r.RequestURI,
		tenant: r.Header.Get("X-Tenant"), at: time.Now(),
	}
	l.mu.Lock()
	l.runs = append(l.runs, n)
	l.mu.Unlock()
	return n
}

func (l *leaf) allRuns() []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*run, len(l.runs))
	for i, n := range l.runs {
		c := *n
		list[i] = &c
	}
	return list
}

// handle answers one request and reports whether the connection may be used again.
func (l *leaf) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	n := l.record(r)
	if r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != l.id {
		n.notRun = true
		return l.write(conn, r, 421, "X-Not-Executed: 1\r\n", nil)
	}
	if l.refuse != nil {
		if fields := l.refuse(r); fields != "" {
			n.notRun = true
			return l.write(conn, r, 503, "X-Not-Executed: 1\r\n"+fields, nil)
		}
	}
	if l.waiting.Add(1) > int64(l.queue) {
		select {
		case l.running <- struct{}{}:
		default:
			l.waiting.Add(-1)
			n.notRun = true
			return l.write(conn, r, 503, "X-Not-Executed: 1\r\n", nil)
		}
	} else {
		l.running <- struct{}{}
	}
	l.waiting.Add(-1)
	defer func() { <-l.running }()
	l.mu.Lock()
	n.startedAt = time.Now()
	l.mu.Unlock()
	gone := make(chan bool, 1)
	if d := l.work(r); d > 0 && !l.waitWork(conn, reader, d, gone) {
		l.mu.Lock()
		n.endedAt = time.Now()
		l.mu.Unlock()
		return false
	}
	l.mu.Lock()
	n.endedAt = time.Now()
	n.answered = true
	l.mu.Unlock()
	if l.answer != nil && l.answer(l, conn, r) {
		return false
	}
	return l.write(conn, r, 200, "X-Server-Stamp: "+stampOf(l.service, n.id)+"\r\n", answerBody(l.service, n.id, l.bodyBytes))
}

// waitWork works for a duration and reports false if the connection was closed meanwhile.
func (l *leaf) waitWork(conn net.Conn, reader *bufio.Reader, d time.Duration, gone chan bool) bool {
	done := time.Now().Add(d)
	for time.Now().Before(done) {
		_ = conn.SetReadDeadline(time.Now().Add(min(time.Until(done), 50*time.Millisecond)))
		if _, err := reader.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				return false
			}
			continue
		}
		time.Sleep(time.Until(done))
	}
	_ = conn.SetReadDeadline(time.Time{})
	return true
}

func (l *leaf) write(conn net.Conn, r *http.Request, status int, fields string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Load: %d,%d,%d\r\n", status, http.StatusText(status), r.Header.Get("X-Attempt-Id"), len(l.running), l.waiting.Load(), l.slots)
	b.WriteString(fields)
	if l.fields != nil {
		b.WriteString(l.fields())
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	_, err := conn.Write(b.Bytes())
	return err == nil
}

// stampOf is the digest of a service's answers to a request.
func stampOf(service, id string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(service+" "+id)))[:24]
}

// answerBody is what the leafs of a service answer to a request.
func answerBody(service, id string, n int) []byte {
	var body []byte
	for i := 0; len(body) < n; i++ {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, id, i))
		body = append(body, sum[:16]...)
	}
	return body
}
