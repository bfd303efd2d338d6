package peer

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// longBodyBytes is more than two buffers of bufferBytes hold.
	longBodyBytes = 3 << 20
	bufferBytes   = 64 << 10
	// unreadSlack is for busy machines.
	unreadSlack = 2 * time.Second
)

// An unreadConn reads nothing until it is closed.
type unreadConn struct {
	net.Conn
	closed context.CancelFunc
	ctx    context.Context
}

func (u *unreadConn) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, net.ErrClosed
}

func (u *unreadConn) Close() error {
	u.closed()
	return u.Conn.Close()
}

// A smallListener accepts connections that buffer bufferBytes.
type smallListener struct{ net.Listener }

func (l smallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(bufferBytes)
}

// longReplyHandler replies with a long body. replying is closed when it does.
type longReplyHandler struct {
	HostHandler
	replying chan struct{}
}

func (h *longReplyHandler) Relay(context.Context, *wire.RelayRequest) (*wire.RelayReply, error) {
	close(h.replying)
	return &wire.RelayReply{Body: make([]byte, longBodyBytes)}, nil
}

// TestCallToHostThatReadsNothingEnds guards against calls that wait beyond their context until a host reads the request.
func TestCallToHostThatReadsNothingEnds(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	const timeout = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := NewHostClient()
	defer client.Close()
	startedAt := time.Now()
	_, err = client.Relay(ctx, listener.Addr().String(), &wire.RelayRequest{Body: make([]byte, longBodyBytes)})
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Check(time.Since(startedAt) < timeout+unreadSlack, qt.IsTrue)
}

// TestUnreadReplyDoesNotDelayTheStop guards against a stop that waits until another host reads a reply.
func TestUnreadReplyDoesNotDelayTheStop(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &longReplyHandler{replying: make(chan struct{})}
	var group work.Group
	served := make(chan struct{})
	group.Go(func() {
		defer close(served)
		_ = ServeHost(ctx, smallListener{listener}, handler)
	})
	netConn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(netConn.(*net.TCPConn).SetReadBuffer(bufferBytes), qt.IsNil)
	u := &unreadConn{Conn: netConn}
	u.ctx, u.closed = context.WithCancel(context.Background())
	conn := drpcconn.New(u)
	group.Go(func() { _, _ = wire.NewDRPCHostClient(conn).Relay(u.ctx, &wire.RelayRequest{}) })
	<-handler.replying
	select {
	case <-served:
		t.Error("the server has ended early")
	case <-time.After(100 * time.Millisecond):
	}
	stoppedAt := time.Now()
	cancel()
	select {
	case <-served:
		// Otherwise the buffers of the connection hold the reply.
		c.Check(time.Since(stoppedAt) >= replyTimeout, qt.IsTrue)
	case <-time.After(replyTimeout + unreadSlack):
		t.Error("the server still waits")
	}
	_ = u.Close()
	_ = conn.Close()
	group.Wait()
}

// TestUnreadReplyIsGivenUp guards against replies that are held for as long as another host keeps its connection and reads
// nothing.
func TestUnreadReplyIsGivenUp(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &longReplyHandler{replying: make(chan struct{})}
	var group work.Group
	const timeout = 300 * time.Millisecond
	group.Go(func() {
		_ = ServeHost(ctx, &boundedListener{Listener: smallListener{listener}, writeTimeout: timeout}, handler)
	})
	netConn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(netConn.(*net.TCPConn).SetReadBuffer(bufferBytes), qt.IsNil)
	u := &unreadConn{Conn: netConn}
	u.ctx, u.closed = context.WithCancel(context.Background())
	conn := drpcconn.New(u)
	group.Go(func() { _, _ = wire.NewDRPCHostClient(conn).Relay(u.ctx, &wire.RelayRequest{}) })
	<-handler.replying
	time.Sleep(3 * timeout)
	c.Assert(netConn.SetReadDeadline(time.Now().Add(unreadSlack)), qt.IsNil)
	received, err := io.Copy(io.Discard, netConn)
	c.Check(received < longBodyBytes, qt.IsTrue, qt.Commentf("%d bytes, %v", received, err))
	c.Check(err, qt.Not(qt.ErrorIs), os.ErrDeadlineExceeded)
	_ = u.Close()
	_ = conn.Close()
	cancel()
	group.Wait()
}
