package peer

import (
	"net"
	"time"
)

// writeTimeout is how long a peer may take to read what one write sends, until its connection is
// closed.
const writeTimeout = 10 * time.Second

// A boundedListener accepts connections whose writes fail if the peer does not read.
type boundedListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: conn, writeTimeout: l.writeTimeout}, nil
}

type boundedConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
