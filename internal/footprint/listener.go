package footprint

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// A Listener accepts the connections of callers for which the budget has room, and closes others.
type Listener struct {
	net.Listener
	Budget *Budget
}

// Listen listens on a TCP address for connections that a budget bounds.
func Listen(ctx context.Context, address string, budget *Budget) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Connections inherit the size. If it cannot be set, they have that of the system.
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Listener{Listener: listener, Budget: budget}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := (&Conn{Conn: conn, budget: l.Budget}); l.Budget.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}
