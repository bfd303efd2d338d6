package footprint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// The phases.
const (
	// Idle connections wait for the next request.
	Idle Phase = iota
	// Head connections receive the head of a request.
	Head
	// Body connections receive the body of a request.
	Body
	// Run connections have a request that is complete and not answered.
	Run
	// Answer connections send an answer.
	Answer
)

const (
	// readAheadBytes is how much the server reads beyond a head.
	readAheadBytes = 4 << 10
	// fieldBytes is what a line of a head costs beyond its bytes: the entry in the map of fields, its
	// list of values, and the memory that the map keeps free.
	fieldBytes = 160
	// headCopies is how often the bytes of a head are held: as fields, and as they are forwarded,
	// in a buffer that has grown by doubling.
	headCopies = 3
	// firstBodyBytes is the first size of the buffer of a body.
	firstBodyBytes = 4 << 10
	// lingerTimeout and lingerBytes bound how long a connection that was refused goes on reading, so
	// that the caller receives the refusal: a connection closed with unread bytes is reset.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// The refusals of heads.
const (
	refusalTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalBusy    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// RetryDelay is when a caller may come back whose request was refused because there was no room for
// it.
const RetryDelay = time.Second

// ErrNoRoom means that a request was refused because connections hold too much.
var ErrNoRoom = errors.New("connections hold too much")

// A Phase is what a connection does.
type Phase int

// A Conn is the connection of a caller. A nil Conn bounds nothing.
type Conn struct {
	net.Conn
	budget *Budget

	// What follows is guarded by the mutex of the budget.

	phase Phase
	// since is when the connection was opened, its current request began, its answer began or it
	// became idle.
	since time.Time
	// demand is what the request holds, held the part of it that is counted beyond connectionBytes.
	demand, held int64
	// headBytes and headLines are what was received of the current head.
	headBytes, headLines int64
	// hasHeadDeadline is set while reads are bounded by the time for a head.
	hasHeadDeadline bool
	// ended is set once the connection must end; lingers if its caller is to receive a refusal first.
	ended, lingers bool
}

type contextKey struct{}

// String returns the phase as it is logged and counted.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "run", "answer"}[p]
}

// NewContext returns a context from which FromContext returns a connection.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection on which a request was received; nil if it is not bounded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// TrackState follows the state that an http.Server reports of a connection.
func TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	switch state {
	case http.StateActive:
		// The head was read, or cannot be.
		c.phase = Body
		c.clearHeadDeadline()
	case http.StateIdle:
		c.budget.giveBack(c)
		c.phase, c.since = Idle, time.Now()
		c.headBytes, c.headLines = 0, 0
	}
}

// BeginRun states that the request is complete. It reports false if the connection was ended before:
// the request must be refused.
func (c *Conn) BeginRun() bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.ended {
		c.phase = Run
	}
	return !c.ended
}

// BeginAnswer states that an answer of a size is sent. An answer that its caller does not read may be
// cut.
func (c *Conn) BeginAnswer(size int) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.ended {
		return
	}
	c.phase, c.since = Answer, time.Now()
	c.demand += int64(size)
	if n := c.uncounted(); n > 0 {
		c.held += n
		c.budget.held += n
		if c.budget.exceeds(c.budget.memoryLimit) {
			c.budget.shed(c.since, c.budget.memoryLimit, c)
		}
	}
}

// Linger has the connection closed only after its caller had time to receive a refusal, although
// not all of the request was read.
func (c *Conn) Linger() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lingers = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// ReadBody reads a body of a stated length, or -1 if none is stated. The error wraps ErrNoRoom if the
// connection was ended.
func (c *Conn) ReadBody(body io.Reader, length int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) && int64(len(buffer)) != length {
			size := int64(max(firstBodyBytes, 2*cap(buffer)))
			if length >= 0 {
				size = min(size, length)
			}
			if !c.grow(size - int64(cap(buffer))) {
				return nil, ErrNoRoom
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		var beyond [1]byte
		space := buffer[len(buffer):cap(buffer)]
		if len(space) == 0 {
			space = beyond[:]
		}
		n, err := body.Read(space)
		if cap(buffer) > len(buffer) {
			buffer = buffer[:len(buffer)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil && c.hasEnded():
			return nil, errors.Join(ErrNoRoom, err)
		case err != nil:
			return nil, err
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if refusal, ok := c.beginRead(); !ok {
		c.refuseHead(refusal)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if refusal, ok := c.endRead(p[:n], err); !ok {
		c.refuseHead(refusal)
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of a connection that was ended stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.hasHeadDeadline = false
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side of the connection, which then waits for its caller to receive what
// was sent. A server closes it after a while.
func (c *Conn) CloseWrite() error {
	c.budget.mu.Lock()
	c.budget.linger(c)
	c.budget.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection that lingers is closed later.
func (c *Conn) Close() error {
	c.budget.mu.Lock()
	lingers := c.lingers && c.budget.linger(c)
	c.lingers = false
	c.budget.giveBack(c)
	if lingers {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	} else {
		c.budget.remove(c)
	}
	c.budget.mu.Unlock()
	if lingers && c.budget.group.Go(c.linger) {
		return nil
	}
	return c.Conn.Close()
}

// linger closes the sending side, reads until the caller has closed its own, and closes the
// connection.
func (c *Conn) linger() {
	// An error means that the caller has disconnected.
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.Close()
}

// beginRead prepares a read. It reports false if the connection was ended, with what refuses the
// request whose head is not complete.
func (c *Conn) beginRead() (refusal string, ok bool) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.ended {
		return c.beginRefusal(refusalBusy), false
	}
	if c.phase == Head && !c.hasHeadDeadline {
		c.hasHeadDeadline = true
		_ = c.Conn.SetReadDeadline(c.since.Add(c.budget.limits().HeadTimeout))
	}
	return "", true
}

// endRead counts what a read has received. Its results are those of beginRead.
func (c *Conn) endRead(received []byte, err error) (refusal string, ok bool) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.phase == Idle && len(received) > 0 {
		c.phase, c.since = Head, time.Now()
	}
	switch {
	case c.phase != Head:
		return "", true
	case c.ended:
		return c.beginRefusal(refusalBusy), false
	case c.headBytes > 0 && isTimeout(err):
		c.budget.count(c, CauseHeadTimeout)
	}
	c.headBytes += int64(len(received))
	c.headLines += int64(bytes.Count(received, []byte("\n")))
	if c.headBytes > c.budget.limits().HeadBytes+readAheadBytes {
		c.budget.end(c, CauseHeadTooLong)
		return c.beginRefusal(refusalTooLong), false
	}
	c.demand = c.headLines*fieldBytes + c.headBytes*headCopies
	if n := c.uncounted(); n > 0 && !c.budget.take(c, n) {
		return c.beginRefusal(refusalBusy), false
	}
	return "", true
}

// beginRefusal returns a refusal of the request whose head is not complete. A caller that has sent
// nothing waits for no answer. The caller holds the mutex of the budget.
func (c *Conn) beginRefusal(refusal string) string {
	if c.phase != Head || c.headBytes == 0 || c.lingers {
		return ""
	}
	c.lingers = true
	return refusal
}

// refuseHead sends a refusal, unless it is empty.
func (c *Conn) refuseHead(refusal string) {
	if refusal == "" {
		return
	}
	// A caller that has not read earlier answers does not receive this one.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusal)
}

// grow lets the request hold more; it reports false if there is no room for it.
func (c *Conn) grow(n int64) bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.demand += n
	if more := c.uncounted(); more > 0 {
		return c.budget.take(c, more)
	}
	return !c.ended
}

func (c *Conn) hasEnded() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.ended
}

// uncounted returns how much of the demand is not counted yet. The caller holds the mutex of the
// budget.
func (c *Conn) uncounted() int64 { return c.demand - smallRequestBytes - c.held }

// clearHeadDeadline ends the bound on the time for a head. The caller holds the mutex of the budget.
func (c *Conn) clearHeadDeadline() {
	if c.hasHeadDeadline && !c.ended {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.hasHeadDeadline = false
}

// interrupt ends the reads and writes of the connection. A refusal needs a new deadline. The caller
// holds the mutex of the budget.
func (c *Conn) interrupt() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
