package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout is how long an upstream may take to accept a connection;
	// one round trip within a region takes a few milliseconds.
	connectTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept if the upstream
	// does not say.
	maxIdleTime = 4 * time.Second
	// idleMargin is how much earlier a connection is given up than the
	// upstream says that it will close it.
	idleMargin = 500 * time.Millisecond
	// maxStrays is how many answers to other requests are passed over.
	maxStrays = 2
	// readBufferSize holds an answer of a shard in one read, in bytes.
	readBufferSize = 2 << 10
	// headRoom is the usual size of a request without the caller's fields.
	headRoom = 384
)

// ConnectionPool is the Exchanger over connections of its own, so that it is known
// for each request whether it may have left. Its exported fields are set before
// use.
type ConnectionPool struct {
	Protocol Protocol

	mu   sync.Mutex
	idle map[string][]*connection
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	// address tells connections of different lifetimes apart.
	address string
	// goodUntil is when the connection is given up if it is not used.
	goodUntil time.Time
}

var _ Exchanger = (*ConnectionPool)(nil)

// Exchange implements Exchanger.
func (c *ConnectionPool) Exchange(ctx context.Context, a *Attempt) Outcome {
	conn, connected, err := c.take(ctx, a)
	if err != nil {
		return Outcome{
			Result: Unreachable, Err: err, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), AtConnectionLimit: errors.Is(err, syscall.ECONNRESET),
		}
	}
	sent := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	ending, keep := c.exchangeOn(ctx, conn, a)
	ending.ConnectDuration = connected
	// A reset that comes sooner than any run could end is one of the connection.
	ending.AtConnectionLimit = connected > 0 && errors.Is(ending.Err, syscall.ECONNRESET) && time.Since(sent) <= connected
	// Nobody takes what a fresh attempt leaves, and it counts against the limit of
	// the upstream.
	if stop() && keep > 0 && !a.RequireNewConnection {
		c.give(a.UpstreamID, conn, keep)
		return ending
	}
	_ = conn.Close()
	return ending
}

// CloseIdleConnections implements Exchanger.
func (c *ConnectionPool) CloseIdleConnections(upstreamID string) {
	c.mu.Lock()
	list := c.idle[upstreamID]
	delete(c.idle, upstreamID)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// IdleCount implements Exchanger.
func (c *ConnectionPool) IdleCount(upstreamID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[upstreamID])
}

// CloseExpired closes the connections that were unused for too long.
func (c *ConnectionPool) CloseExpired(now time.Time) {
	var old []*connection
	c.mu.Lock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.goodUntil) {
				kept = append(kept, conn)
			} else {
				old = append(old, conn)
			}
		}
		clear(list[len(kept):])
		c.idle[id] = kept
		if len(kept) == 0 {
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// exchangeOn sends the attempt and reads the answer; keep is how long the
// connection may stay open.
func (c *ConnectionPool) exchangeOn(ctx context.Context, conn *connection, a *Attempt) (ending Outcome, keep time.Duration) {
	_ = conn.SetDeadline(a.Deadline)
	if _, err := conn.Write(c.encode(a)); err != nil {
		return broken(ctx, fmt.Errorf("send request: %w", err)), 0
	}
	strays := 0
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: a.Method})
		if err != nil {
			return broken(ctx, fmt.Errorf("read answer: %w", err)), 0
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := readBody(response)
		if err != nil {
			return broken(ctx, fmt.Errorf("read answer: %w", err)), 0
		}
		signs := c.Protocol.Decode(response)
		if signs.RequestID != "" && signs.RequestID != a.RequestID && strays < maxStrays {
			// A late second answer to an earlier request; ours follows.
			strays++
			continue
		}
		ending = conclude(a, response, body, signs)
		if ending.Result == Broken || strays > 0 || conn.reader.Buffered() > 0 {
			return ending, 0
		}
		return ending, keepFor(response)
	}
}

func (c *ConnectionPool) encode(a *Attempt) []byte {
	var b bytes.Buffer
	b.Grow(headRoom + len(a.Header) + len(a.Body))
	for _, s := range []string{a.Method, " ", a.Target, " HTTP/1.1\r\nHost: ", a.Host, "\r\n"} {
		b.WriteString(s)
	}
	b.Write(a.Header)
	for _, f := range c.Protocol.Encode(a, time.Until(a.Deadline)) {
		writeField(&b, f)
	}
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		writeField(&b, Field{Name: "Content-Length", Value: strconv.Itoa(len(a.Body))})
	}
	b.WriteString("\r\n")
	b.Write(a.Body)
	return b.Bytes()
}

// give keeps a connection for later.
func (c *ConnectionPool) give(upstreamID string, conn *connection, keep time.Duration) {
	conn.goodUntil = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	c.idle[upstreamID] = append(c.idle[upstreamID], conn)
}

// take returns an unused connection that still works, or a new one.
func (c *ConnectionPool) take(ctx context.Context, a *Attempt) (*connection, time.Duration, error) {
	for !a.RequireNewConnection {
		conn := c.takeIdle(a.UpstreamID)
		if conn == nil {
			break
		}
		if conn.address == a.Address && time.Now().Before(conn.goodUntil) && conn.quiet() {
			return conn, 0, nil
		}
		_ = conn.Close()
	}
	started := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout, Deadline: a.Deadline}
	conn, err := dialer.DialContext(ctx, "tcp", a.Address)
	if err != nil {
		return nil, 0, fmt.Errorf("connect to upstream: %w", err)
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), address: a.Address}, time.Since(started), nil
}

// takeIdle returns the connection that was used last, or nil.
func (c *ConnectionPool) takeIdle(upstreamID string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[upstreamID]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[upstreamID] = list[:len(list)-1]
	return conn
}

// quiet reports whether nothing has come on an unused connection: neither its
// end nor bytes that belong to no request.
func (c *connection) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control works although the deadline of the last request has passed.
	err = control.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(receiveErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// readBody returns the whole body of an answer.
func readBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxReplySize {
		body := make([]byte, n)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("read %d bytes: %w", n, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxReplySize {
		return nil, fmt.Errorf("body is larger than %d bytes", maxReplySize)
	}
	return body, nil
}

func writeField(b *bytes.Buffer, f Field) {
	b.WriteString(f.Name)
	b.WriteString(": ")
	b.WriteString(f.Value)
	b.WriteString("\r\n")
}

func broken(ctx context.Context, err error) Outcome {
	var timeout net.Error
	if ctx.Err() != nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return Outcome{Result: Aborted, Err: err}
	}
	return Outcome{Result: Broken, Err: err}
}

// conclude tells from a whole answer how the exchange ended.
func conclude(a *Attempt, response *http.Response, body []byte, signs ResponseMetadata) Outcome {
	ending := Outcome{
		Result: Answered, Load: signs.Load, ConnectionClosing: response.Close,
		Response: Response{Status: response.StatusCode, Header: response.Header, Body: body, Signature: signs.Signature},
	}
	switch {
	case signs.RequestID != a.RequestID && (signs.RequestID != "" || !signs.NotRun):
		return Outcome{Result: Broken, Err: fmt.Errorf("the answer belongs to request %q", signs.RequestID)}
	case signs.Misdirected:
		ending.Result = Misdirected
	case signs.NotRun:
		ending.Result = Refused
	case signs.Signature == "":
		return Outcome{Result: Broken, Load: signs.Load, Err: errors.New("the answer has no signature")}
	}
	return ending
}

// keepFor returns how long the connection of an answer may stay open.
func keepFor(response *http.Response) time.Duration {
	if response.Close || (response.ContentLength < 0 && len(response.TransferEncoding) == 0) {
		return 0
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdleTime
}
