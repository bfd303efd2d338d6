package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// A LimitListener limits the number of open connections: it closes each further
// connection immediately after accepting it, as servers with a connection limit do.
// Its exported fields are set before use.
type LimitListener struct {
	net.Listener
	MaxConnections int64

	openCount    atomic.Int64
	refusedCount atomic.Int64
}

// limitedConn counts as open until it is closed.
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
		if l.openCount.Add(1) <= l.MaxConnections {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.openCount.Add(-1)
		l.refusedCount.Add(1)
		_ = conn.Close()
	}
}

// RefusedCount returns how many connections were closed because MaxConnections were
// open.
func (l *LimitListener) RefusedCount() int64 { return l.refusedCount.Load() }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.openCount.Add(-1) })
	return c.Conn.Close()
}
