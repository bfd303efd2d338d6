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
	// connectTimeout bounds the time to open a connection, which takes one round
	// trip: a few milliseconds within a region.
	connectTimeout = 400 * time.Millisecond
	// slowDialDelay is how long opening a connection takes at most if neither the network nor
	// the upstream has a problem.
	slowDialDelay = 50 * time.Millisecond
	// maxIdleTimeout bounds how long an idle connection is kept. It applies unless
	// the upstream states a shorter time.
	maxIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's stated timeout an idle
	// connection is closed.
	idleMargin = 500 * time.Millisecond
	// maxStrayResponses is how many responses to other requests are skipped before
	// the exchange fails.
	maxStrayResponses = 2
	// readBufferBytes is the size of a connection's read buffer, large enough to
	// read a typical response of a shard at once.
	readBufferBytes = 2 << 10
	// maxJoinedBytes is the size of a request up to which it is sent with one write. Longer ones are sent
	// through a buffer of sendBufferBytes, so that the attempts of a request share its long parts.
	maxJoinedBytes  = 16 << 10
	sendBufferBytes = 4 << 10
	// typicalHeadBytes is the typical size of a request head without the caller's
	// fields.
	typicalHeadBytes = 384
)

// ConnectionPool is an Exchanger that keeps idle connections by upstream. Unlike an
// http.Transport, it determines for each attempt whether the request may have been
// sent. Its exported fields must be set before use.
type ConnectionPool struct {
	Protocol Protocol

	// onSlowDial is called for each connection that has not opened after slowDialDelay. It may
	// be nil.
	onSlowDial func(upstreamID string, startedAt time.Time)
	// longBodies bounds the long bodies that are being read.
	longBodies byteBudget

	mu   sync.Mutex
	idle map[string][]*connection
	// dials holds the functions that give up the connections that are being opened.
	dials    map[uint64]context.CancelFunc
	lastDial uint64
}

var (
	_ Exchanger = (*ConnectionPool)(nil)

	errDialAborted = errors.New("given up by this host")
)

// Exchange implements Exchanger.
func (c *ConnectionPool) Exchange(ctx context.Context, a *Attempt) Outcome {
	conn, connectDuration, err := c.acquire(ctx, a)
	if err != nil {
		return Outcome{
			Result: Unreachable, Err: err, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), AtConnectionLimit: errors.Is(err, syscall.ECONNRESET),
			ConnectAborted: errors.Is(err, errDialAborted),
		}
	}
	sentAt := time.Now()
	stop := context.AfterFunc(ctx, conn.abandon)
	outcome, idleTimeout := c.exchangeOn(ctx, conn, a)
	outcome.ConnectDuration = connectDuration
	// A reset within connectDuration after a new connection was opened is too early
	// for the end of a run, so the upstream has rejected the connection.
	outcome.AtConnectionLimit = connectDuration > 0 && errors.Is(outcome.Err, syscall.ECONNRESET) && time.Since(sentAt) <= connectDuration
	// The connection of an attempt with RequireNewConnection is not kept: other such
	// attempts would not reuse it, and it would count against the upstream's
	// connection limit.
	if stop() && idleTimeout > 0 && !a.RequireNewConnection {
		c.release(a.UpstreamID, conn, idleTimeout)
		return outcome
	}
	if outcome.Result == Broken || outcome.Result == Aborted {
		conn.abandon()
		return outcome
	}
	_ = conn.Close()
	return outcome
}

// Held returns how many connections are being opened, and how many bytes of long bodies are being
// read.
func (c *ConnectionPool) Held() (dials int, bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dials), c.longBodies.used.Load()
}

// AbortDials gives up all connections that are being opened. Their attempts are not sent.
func (c *ConnectionPool) AbortDials() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.dials {
		cancel()
	}
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

// Probe implements Exchanger.
func (c *ConnectionPool) Probe(ctx context.Context, address string) Reachability {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	case errors.Is(err, syscall.ECONNRESET):
		return Rejecting
	default:
		return NoResponse
	}
}

// CloseExpired closes the idle connections that have expired.
func (c *ConnectionPool) CloseExpired(now time.Time) {
	var expired []*connection
	c.mu.Lock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		clear(list[len(kept):])
		c.idle[id] = kept
		if len(kept) == 0 {
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// exchangeOn sends the attempt and reads the response. idleTimeout is how long the
// connection may stay open afterwards; it must be closed if idleTimeout is zero or
// negative.
func (c *ConnectionPool) exchangeOn(ctx context.Context, conn *connection, a *Attempt) (outcome Outcome, idleTimeout time.Duration) {
	_ = conn.SetDeadline(a.Deadline)
	if err := c.send(conn, a); err != nil {
		return failedOutcome(ctx, fmt.Errorf("send request: %w", err)), 0
	}
	strayResponses, interimResponses := 0, 0
	isLeaving := false
	defer func() { outcome.Leaving = isLeaving }()
	for {
		conn.bounds.allow("head", maxHeadBytes)
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: a.Method})
		if err == nil && len(response.Header) > maxHeadFields {
			err = &TooLargeError{What: "fields", Bound: maxHeadFields}
		}
		if err != nil {
			return failedOutcome(ctx, fmt.Errorf("read response: %w", conn.bounds.errorFor(err))), 0
		}
		if isInterim(response.StatusCode) {
			if interimResponses++; interimResponses > maxInterimResponses {
				return failedOutcome(ctx, &TooLargeError{What: "interim responses", Bound: maxInterimResponses}), 0
			}
			continue
		}
		conn.bounds.allow("body with framing", maxWireBodyBytes)
		metadata := c.Protocol.Decode(response)
		isLeaving = isLeaving || metadata.Leaving
		body, err := readBody(response, &c.longBodies)
		if err != nil {
			return failedOutcome(ctx, fmt.Errorf("read response: %w", conn.bounds.errorFor(err))), 0
		}
		if metadata.RequestID != "" && metadata.RequestID != a.RequestID && strayResponses < maxStrayResponses {
			// This is a second response to an earlier request. The response to this
			// request may follow.
			strayResponses++
			continue
		}
		outcome = newOutcome(a, response, body, metadata)
		if outcome.Result == Broken || isLeaving || strayResponses > 0 || conn.reader.Buffered() > 0 {
			return outcome, 0
		}
		return outcome, keepAlivePeriod(response)
	}
}

// send sends the request of an attempt.
func (c *ConnectionPool) send(conn io.Writer, a *Attempt) error {
	if size := typicalHeadBytes + len(a.Target) + len(a.Header) + len(a.Body); size <= maxJoinedBytes {
		var b bytes.Buffer
		b.Grow(size)
		c.writeRequest(&b, a)
		_, err := conn.Write(b.Bytes())
		return err
	}
	w := bufio.NewWriterSize(conn, sendBufferBytes)
	c.writeRequest(w, a)
	return w.Flush()
}

// A requestWriter keeps the first error of its writes, or none of them fails.
type requestWriter interface {
	io.Writer
	io.StringWriter
}

func (c *ConnectionPool) writeRequest(w requestWriter, a *Attempt) {
	for _, s := range []string{a.Method, " ", a.Target, " HTTP/1.1\r\nHost: ", a.Host, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	_, _ = w.Write(a.Header)
	for _, f := range c.Protocol.Encode(a, time.Until(a.Deadline)) {
		writeField(w, f)
	}
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		writeField(w, Field{Name: "Content-Length", Value: strconv.Itoa(len(a.Body))})
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(a.Body)
}

// release adds a connection to the idle ones.
func (c *ConnectionPool) release(upstreamID string, conn *connection, idleTimeout time.Duration) {
	conn.expiresAt = time.Now().Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	c.idle[upstreamID] = append(c.idle[upstreamID], conn)
}

// acquire returns an idle connection that is still usable, or a new one with the
// time that it took to open.
func (c *ConnectionPool) acquire(ctx context.Context, a *Attempt) (*connection, time.Duration, error) {
	for !a.RequireNewConnection {
		conn := c.popIdle(a.UpstreamID)
		if conn == nil {
			break
		}
		if conn.address == a.Address && time.Now().Before(conn.expiresAt) && conn.isQuiet() {
			return conn, 0, nil
		}
		_ = conn.Close()
	}
	startedAt := time.Now()
	ctx, done := c.beginDial(ctx, a.UpstreamID)
	defer done()
	dialer := net.Dialer{Timeout: connectTimeout, Deadline: a.Deadline}
	conn, err := dialer.DialContext(ctx, "tcp", a.Address)
	if err != nil && ctx.Err() != nil {
		return nil, 0, fmt.Errorf("connect to upstream: %w", errDialAborted)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("connect to upstream: %w", err)
	}
	bounds := &boundedReader{Reader: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(bounds, readBufferBytes), bounds: bounds, address: a.Address}, time.Since(startedAt), nil
}

// beginDial returns the context in which a connection is opened, and a function that must be
// called after that.
func (c *ConnectionPool) beginDial(ctx context.Context, upstreamID string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dials == nil {
		c.dials = make(map[uint64]context.CancelFunc)
	}
	c.lastDial++
	id := c.lastDial
	c.dials[id] = cancel
	startedAt := time.Now()
	slow := time.AfterFunc(slowDialDelay, func() {
		if c.onSlowDial != nil {
			c.onSlowDial(upstreamID, startedAt)
		}
	})
	return ctx, func() {
		slow.Stop()
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.dials, id)
	}
}

// NotifySlowDials has a function called while a connection takes longer than slowDialDelay to
// open. It must be called before the first attempt.
func (c *ConnectionPool) NotifySlowDials(onSlowDial func(upstreamID string, startedAt time.Time)) {
	c.onSlowDial = onSlowDial
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (c *ConnectionPool) popIdle(upstreamID string) *connection {
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

func writeField(w requestWriter, f Field) {
	for _, s := range []string{f.Name, ": ", f.Value, "\r\n"} {
		_, _ = w.WriteString(s)
	}
}

func failedOutcome(ctx context.Context, err error) Outcome {
	var netErr net.Error
	if ctx.Err() != nil || (errors.As(err, &netErr) && netErr.Timeout()) {
		return Outcome{Result: Aborted, Err: &shortError{err: err}}
	}
	var tooLarge *TooLargeError
	return Outcome{Result: Broken, ConnectionLost: !errors.As(err, &tooLarge), Err: &shortError{err: err}}
}

// newOutcome returns the outcome of an exchange with a complete response.
func newOutcome(a *Attempt, response *http.Response, body []byte, metadata ResponseMetadata) Outcome {
	outcome := Outcome{
		Result: Answered, Load: metadata.Load, Limit: metadata.Limit, LimitErr: metadata.LimitErr,
		Response: Response{Status: response.StatusCode, Header: response.Header, Body: body, Signature: metadata.Signature},
	}
	if metadata.Rest > 0 {
		outcome.RestUntil = time.Now().Add(metadata.Rest)
	}
	outcome.RestErr = metadata.RestErr
	switch {
	case !IsFinal(response.StatusCode):
		return Outcome{Result: Broken, Err: fmt.Errorf("response has status %03d, which is none of an answer", response.StatusCode)}
	case metadata.RequestID != a.RequestID && (metadata.RequestID != "" || !metadata.NotRun):
		return Outcome{Result: Broken, Err: fmt.Errorf("response states request id %q instead of the attempt's", metadata.RequestID)}
	case metadata.Misdirected:
		outcome.Result = Misdirected
	case metadata.NotRun:
		outcome.Result = Refused
	case metadata.Signature == "":
		return Outcome{Result: Broken, Load: metadata.Load, Err: errors.New("response has no signature")}
	}
	return outcome
}

// IsFinal reports whether a status is that of an answer, 200 to 599.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// isInterim reports whether a status is that of a response before the answer. No attempt asks to switch
// protocols.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// keepAlivePeriod returns how long the connection may stay open after a response; it
// must be closed if the period is zero or negative.
func keepAlivePeriod(response *http.Response) time.Duration {
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	if response.Close || isUnframed {
		return 0
	}
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return min(maxIdleTimeout, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdleTimeout
}
