package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// A LimitListener refuses connections beyond a limit, as servers with few
// connections do. Its exported fields are set before use.
type LimitListener struct {
	net.Listener
	Limit int64

	open    atomic.Int64
	refused atomic.Int64
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	listener *LimitListener
	once     sync.Once
}

// Accept implements net.Listener.
func (l *LimitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.Limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// Refused returns how many connections were refused.
func (l *LimitListener) Refused() int64 { return l.refused.Load() }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
