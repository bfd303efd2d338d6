package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

const (
	dialTimeout = 300 * time.Millisecond
	// HeartbeatInterval is how often a gate sends a heartbeat while it works on a
	// request.
	HeartbeatInterval = 80 * time.Millisecond
	// SilenceTimeout is how long a gate that works on a request may send neither a
	// heartbeat nor a reply before its connection counts as silent. It also bounds the
	// check of a reused connection before a request that is not idempotent.
	SilenceTimeout = 250 * time.Millisecond
	// callTimeout bounds all calls but Scatter and Relay, which are bounded only by
	// the contexts of their callers.
	callTimeout = time.Second
	// idleTimeout is how long a connection may be idle and still be reused.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections to one address.
	maxIdleConns = 32
	// cancelGrace bounds how long a cancelled call waits for a pending send to end.
	// If the send does not end in time, drpc closes the connection instead of
	// sending a cancellation over it.
	cancelGrace = 5 * time.Millisecond
)

var errConnectionSilent = errors.New("connection is silent")

// A GateClient is the GateTransport over drpc. A connection carries one call at a
// time, so that calls with different deadlines never wait for each other.
type GateClient struct {
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn *drpcconn.Conn
	// lastUsedAt is when the last successful call on the connection ended.
	lastUsedAt time.Time
}

var _ GateTransport = (*GateClient)(nil)

// NewGateClient returns a GateClient without connections.
func NewGateClient() *GateClient {
	return &GateClient{idle: make(map[string][]idleConn)}
}

// Close closes all idle connections. Connections in use are closed after their
// call.
func (c *GateClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.idle {
		c.closeIdleLocked(address)
	}
}

// Documents implements GateTransport.
func (c *GateClient) Documents(ctx context.Context, address string, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return callWithTimeout(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.DocumentsReply, error) {
		return wire.NewDRPCGateClient(conn).Documents(ctx, request)
	})
}

// Exchange implements GateTransport.
func (c *GateClient) Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return callWithTimeout(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.ExchangeReply, error) {
		return wire.NewDRPCGateClient(conn).Exchange(ctx, request)
	})
}

// Scatter implements GateTransport. If a reused connection is silent, it sends an
// idempotent request once more, on a new connection.
func (c *GateClient) Scatter(ctx context.Context, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
	conn, reused, err := c.acquireFor(ctx, address, request.GetIdempotent())
	if err != nil {
		return &CallError{Address: address, Err: err}
	}
	err = c.scatterOn(ctx, conn, address, request, deliver)
	if !errors.Is(err, errConnectionSilent) || !reused || !request.GetIdempotent() {
		return err
	}
	c.closeIdle(address)
	conn, err = dial(ctx, address)
	if err != nil {
		return &CallError{Address: address, Err: err}
	}
	return c.scatterOn(ctx, conn, address, request, deliver)
}

// Survey implements GateTransport.
func (c *GateClient) Survey(ctx context.Context, address string, request *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return callWithTimeout(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.SurveyReply, error) {
		return wire.NewDRPCGateClient(conn).Survey(ctx, request)
	})
}

// closeIdleLocked is closeIdle for callers that hold mu.
func (c *GateClient) closeIdleLocked(address string) {
	for _, i := range c.idle[address] {
		_ = i.conn.Close()
	}
	delete(c.idle, address)
}

// release makes a connection idle after a successful call.
func (c *GateClient) release(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isClosed(conn) {
		return
	}
	if c.closed || len(c.idle[address]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, lastUsedAt: time.Now()})
}

// closeIdle closes all idle connections to an address after a connection to it has
// failed.
func (c *GateClient) closeIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleLocked(address)
}

func (c *GateClient) scatterOn(
	ctx context.Context, conn *drpcconn.Conn, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(SilenceTimeout, func() { cancel(errConnectionSilent) })
	defer silenceTimer.Stop()
	err := runScatter(ctx, conn, request, func(r *wire.ScatterReply) {
		silenceTimer.Reset(SilenceTimeout)
		deliver(r)
	})
	if err == nil {
		c.release(address, conn)
		return nil
	}
	_ = conn.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &CallError{Address: address, Sent: true, Err: err}
}

// acquire returns an idle connection or a new one, and whether it is reused.
func (c *GateClient) acquire(ctx context.Context, address string) (*drpcconn.Conn, bool, error) {
	if conn := c.popIdle(address); conn != nil {
		return conn, true, nil
	}
	conn, err := dial(ctx, address)
	return conn, false, err
}

// acquireFor returns an idle connection or a new one for a request, and whether it
// is reused. A non-idempotent request cannot be sent again if its connection proves
// silent, so it gets a reused connection only after a Survey call over that
// connection has succeeded.
func (c *GateClient) acquireFor(ctx context.Context, address string, idempotent bool) (*drpcconn.Conn, bool, error) {
	conn, reused, err := c.acquire(ctx, address)
	if err != nil || !reused || idempotent {
		return conn, reused, err
	}
	checkCtx, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	if _, err := wire.NewDRPCGateClient(conn).Survey(checkCtx, &wire.SurveyRequest{}); err == nil {
		return conn, reused, nil
	}
	_ = conn.Close()
	c.closeIdle(address)
	conn, err = dial(ctx, address)
	return conn, false, err
}

func (c *GateClient) popIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[address]; len(conns) > 0; conns = c.idle[address] {
		last := conns[len(conns)-1]
		c.idle[address] = conns[:len(conns)-1]
		if time.Since(last.lastUsedAt) < idleTimeout && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	netConn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	return drpcconn.NewWithOptions(netConn, drpcconn.Options{
		Manager: drpcmanager.Options{SoftCancel: true, SoftCancelGrace: cancelGrace},
	}), nil
}

func isClosed(conn drpc.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// runScatter sends a scatter request and delivers the replies and heartbeats until
// the gate ends the call.
func runScatter(ctx context.Context, conn *drpcconn.Conn, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
	stream, err := wire.NewDRPCGateClient(conn).Scatter(ctx, request)
	if err != nil {
		return fmt.Errorf("send scatter request: %w", err)
	}
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive scatter reply: %w", err)
		}
		deliver(reply)
	}
}

// callWithTimeout makes one call, bounded by callTimeout, over an idle or a new
// connection.
func callWithTimeout[R any](ctx context.Context, c *GateClient, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callOnce(ctx, c, address, c.acquire, call)
}

// callOnce makes one call over a connection returned by acquire.
func callOnce[R any](
	ctx context.Context, c *GateClient, address string,
	acquire func(ctx context.Context, address string) (*drpcconn.Conn, bool, error), call func(context.Context, drpc.Conn) (R, error),
) (R, error) {
	var zero R
	conn, _, err := acquire(ctx, address)
	if err != nil {
		return zero, &CallError{Address: address, Err: err}
	}
	replies := &replyConn{Conn: conn}
	reply, err := call(ctx, replies)
	if err != nil {
		_ = conn.Close()
		// A call that the caller cancelled says nothing about the other connections.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.closeIdle(address)
		}
		return zero, &CallError{Address: address, Sent: true, Err: err}
	}
	if replies.hasEnded {
		_ = conn.Close()
		return reply, nil
	}
	c.release(address, conn)
	return reply, nil
}
