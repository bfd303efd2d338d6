package peer

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// A replyConn is a connection whose calls succeed once their reply was received whole. drpc closes
// a call after its reply, and fails it if the connection ends meanwhile: a peer that is stopping
// closes its connections right after the last replies.
type replyConn struct {
	drpc.Conn
	// hasEnded is set if the connection ended after a reply.
	hasEnded bool
}

// Invoke implements drpc.Conn.
func (c *replyConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	e := &replyEncoding{Encoding: encoding}
	err := c.Conn.Invoke(ctx, rpc, e, in, out)
	if err != nil && e.isReceived {
		c.hasEnded = true
		return nil
	}
	return err
}

// A replyEncoding knows whether the reply to its only call was decoded.
type replyEncoding struct {
	drpc.Encoding
	isReceived bool
}

// MarshalAppend implements the optional method of drpc.Encoding that reuses buffers.
func (e *replyEncoding) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(message, e.Encoding, buffer)
}

// Unmarshal implements drpc.Encoding.
func (e *replyEncoding) Unmarshal(data []byte, message drpc.Message) error {
	if err := e.Encoding.Unmarshal(data, message); err != nil {
		return err
	}
	e.isReceived = true
	return nil
}
