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
	// HeartbeatInterval is how often a gate shows that it works on a request.
	HeartbeatInterval = 80 * time.Millisecond
	// SilenceTimeout is how long a gate may show no sign of life before its
	// connection counts as silent.
	SilenceTimeout = 250 * time.Millisecond
	// callTimeout bounds calls other than Scatter.
	callTimeout = time.Second
	// idleTime is how long an unused connection is trusted.
	idleTime = 10 * time.Second
	// maxIdle is how many unused connections are kept for one gate.
	maxIdle = 32
	// cancelGrace is how long a cancelled call may keep its connection.
	cancelGrace = 5 * time.Millisecond
)

var errSilent = errors.New("connection is silent")

// A GateClient is the Gates over drpc. A connection carries one call at a time,
// so that calls with different deadlines never wait for each other.
type GateClient struct {
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn *drpcconn.Conn
	// since is when the connection was last seen to work.
	since time.Time
}

var _ GateTransport = (*GateClient)(nil)

// NewGateClient returns a Client without connections.
func NewGateClient() *GateClient {
	return &GateClient{idle: make(map[string][]idleConn)}
}

// Close closes all idle connections.
func (c *GateClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.idle {
		c.dropIdle(address)
	}
}

// Documents implements Gates.
func (c *GateClient) Documents(ctx context.Context, address string, request *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return unary(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.DocumentsReply, error) {
		return wire.NewDRPCGateClient(conn).Documents(ctx, request)
	})
}

// Exchange implements Gates.
func (c *GateClient) Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return unary(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.ExchangeReply, error) {
		return wire.NewDRPCGateClient(conn).Exchange(ctx, request)
	})
}

// Scatter implements Gates.
func (c *GateClient) Scatter(ctx context.Context, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
	conn, reused, err := c.takeFor(ctx, address, request.GetIdempotent())
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	err = c.scatterOn(ctx, conn, address, request, deliver)
	if !errors.Is(err, errSilent) || !reused || !request.GetIdempotent() {
		return err
	}
	c.retire(address)
	conn, err = dial(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	return c.scatterOn(ctx, conn, address, request, deliver)
}

// Survey implements Gates.
func (c *GateClient) Survey(ctx context.Context, address string, request *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return unary(ctx, c, address, func(ctx context.Context, conn drpc.Conn) (*wire.SurveyReply, error) {
		return wire.NewDRPCGateClient(conn).Survey(ctx, request)
	})
}

func (c *GateClient) dropIdle(address string) {
	for _, i := range c.idle[address] {
		_ = i.conn.Close()
	}
	delete(c.idle, address)
}

// give returns a connection that worked.
func (c *GateClient) give(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isClosed(conn) {
		return
	}
	if c.closed || len(c.idle[address]) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, since: time.Now()})
}

// retire closes all idle connections to a gate, after one was silent.
func (c *GateClient) retire(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropIdle(address)
}

func (c *GateClient) scatterOn(
	ctx context.Context, conn *drpcconn.Conn, address string, request *wire.ScatterRequest, deliver func(*wire.ScatterReply),
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(SilenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	err := receive(ctx, conn, request, func(r *wire.ScatterReply) {
		silence.Reset(SilenceTimeout)
		deliver(r)
	})
	if err == nil {
		c.give(address, conn)
		return nil
	}
	_ = conn.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &UnreachableError{Address: address, Sent: true, Err: err}
}

// take returns an idle connection or a new one.
func (c *GateClient) take(ctx context.Context, address string) (*drpcconn.Conn, bool, error) {
	if conn := c.takeIdle(address); conn != nil {
		return conn, true, nil
	}
	conn, err := dial(ctx, address)
	return conn, false, err
}

// takeFor is take, but makes sure that a connection works before it carries a
// request that must not be sent twice.
func (c *GateClient) takeFor(ctx context.Context, address string, idempotent bool) (*drpcconn.Conn, bool, error) {
	conn, reused, err := c.take(ctx, address)
	if err != nil || !reused || idempotent {
		return conn, reused, err
	}
	check, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	if _, err := wire.NewDRPCGateClient(conn).Survey(check, &wire.SurveyRequest{}); err == nil {
		return conn, reused, nil
	}
	_ = conn.Close()
	c.retire(address)
	conn, err = dial(ctx, address)
	return conn, false, err
}

func (c *GateClient) takeIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		last := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if time.Since(last.since) < idleTime && !isClosed(last.conn) {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	transport, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial gate: %w", err)
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{
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

func receive(ctx context.Context, conn *drpcconn.Conn, request *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
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

func unary[R any](ctx context.Context, c *GateClient, address string, call func(context.Context, drpc.Conn) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callOnce(ctx, c, address, c.take, call)
}

// callOnce makes one call over a connection that take returns.
func callOnce[R any](
	ctx context.Context, c *GateClient, address string,
	take func(ctx context.Context, address string) (*drpcconn.Conn, bool, error), call func(context.Context, drpc.Conn) (R, error),
) (R, error) {
	var none R
	conn, _, err := take(ctx, address)
	if err != nil {
		return none, &UnreachableError{Address: address, Err: err}
	}
	reply, err := call(ctx, conn)
	if err != nil {
		_ = conn.Close()
		// A call that was given up says nothing about the other connections.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.retire(address)
		}
		return none, &UnreachableError{Address: address, Sent: true, Err: err}
	}
	c.give(address, conn)
	return reply, nil
}
