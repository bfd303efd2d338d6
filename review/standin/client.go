//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// A request is one client attempt, and what became of it.
type request struct {
	id, method, host, target, key string
	body                          []byte
	timeout                       time.Duration
	to                            string
	sentAt, endedAt               time.Time
	// status is 0 if no complete answer came.
	status int
	header http.Header
	answer []byte
	err    error
}

func (t *trial) newRequest(method, target string, timeout time.Duration) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestCount++
	r := &request{id: fmt.Sprintf("%08x%08x", t.nonce, t.requestCount), method: method, host: "a.example", target: target, timeout: timeout}
	t.requests = append(t.requests, r)
	return r
}

func (r *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.target, r.host, r.id, r.timeout.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// A connection is a client's connection to a host.
type connection struct {
	net.Conn
	reader *bufio.Reader
	to     string
}

func dialHost(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), to: address}, nil
}

// do sends a request and reads the answer. It reports whether the connection may be reused.
func (c *connection) do(r *request) bool {
	r.to, r.sentAt = c.to, time.Now()
	_ = c.SetDeadline(time.Now().Add(r.timeout + time.Second))
	if _, err := c.Write(r.encode()); err != nil {
		r.err, r.endedAt = err, time.Now()
		return false
	}
	return c.read(r)
}

func (c *connection) read(r *request) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		r.err, r.endedAt = err, time.Now()
		return false
	}
	body, err := io.ReadAll(response.Body)
	r.endedAt = time.Now()
	if err != nil {
		r.err = err
		return false
	}
	r.status, r.header, r.answer = response.StatusCode, response.Header, body
	return !response.Close
}

// once sends a request on a connection of its own.
func once(address string, r *request) {
	c, err := dialHost(address)
	if err != nil {
		r.to, r.sentAt, r.endedAt, r.err = address, time.Now(), time.Now(), err
		return
	}
	defer c.Close()
	c.do(r)
}

func (r *request) outcome() string {
	if r.status != 0 {
		return strconv.Itoa(r.status)
	}
	return fmt.Sprintf("no complete answer (%v)", r.err)
}
