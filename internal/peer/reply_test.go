package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// An endingConn is a connection that ends right after the reply to a call, or before it.
type endingConn struct {
	drpc.Conn
	endsBeforeReply bool
}

var errConnectionEnded = errors.New("connection has ended")

func (c *endingConn) Invoke(_ context.Context, _ string, encoding drpc.Encoding, _, out drpc.Message) error {
	if c.endsBeforeReply {
		return errConnectionEnded
	}
	data, err := encoding.Marshal(&wire.RelayReply{Status: 200})
	if err != nil {
		return err
	}
	return errors.Join(encoding.Unmarshal(data, out), errConnectionEnded)
}

// TestReplyBeforeTheEndOfItsConnectionCounts guards against replies of stopping hosts that are lost
// although they were received.
func TestReplyBeforeTheEndOfItsConnectionCounts(t *testing.T) {
	c := qt.New(t)
	conn := &replyConn{Conn: &endingConn{}}
	reply, err := wire.NewDRPCHostClient(conn).Relay(context.Background(), &wire.RelayRequest{})
	c.Assert(err, qt.IsNil)
	c.Check(reply.GetStatus(), qt.Equals, int32(200))
	c.Check(conn.hasEnded, qt.IsTrue)
	conn = &replyConn{Conn: &endingConn{endsBeforeReply: true}}
	_, err = wire.NewDRPCHostClient(conn).Relay(context.Background(), &wire.RelayRequest{})
	c.Check(err, qt.ErrorIs, errConnectionEnded)
}

// A lastCallHandler ends its server right after each reply.
type lastCallHandler struct {
	HostHandler
	drpc.Handler
	end func()
}

func (h *lastCallHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	defer h.end()
	return h.Handler.HandleRPC(stream, rpc)
}

func (h *lastCallHandler) Relay(context.Context, *wire.RelayRequest) (*wire.RelayReply, error) {
	return &wire.RelayReply{Status: 200}, nil
}

// TestLastReplyOfAServerIsReceived guards against calls that fail because their server ends right after the reply.
func TestLastReplyOfAServerIsReceived(t *testing.T) {
	const servers = 1000
	c := qt.New(t)
	for range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		mux := drpcmux.New()
		handler := &lastCallHandler{Handler: mux, end: cancel}
		c.Assert(wire.DRPCRegisterHost(mux, handler), qt.IsNil)
		var group work.Group
		group.Go(func() { _ = drpcserver.New(handler).Serve(ctx, listener) })
		reply, err := NewHostClient().Relay(context.Background(), listener.Addr().String(), &wire.RelayRequest{})
		c.Check(err, qt.IsNil)
		c.Check(reply.GetStatus(), qt.Equals, int32(200))
		group.Wait()
	}
}
