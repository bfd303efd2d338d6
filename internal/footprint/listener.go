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
	if tcp, ok := listener.(*net.TCPListener); ok {
		shortenQueue(tcp, budget.queueLimit())
	}
	return &Listener{Listener: listener, Budget: budget}, nil
}

// shortenQueue limits the connections that wait to be accepted: the system holds what they send. If that
// fails, as many wait as the system allows.
func shortenQueue(listener *net.TCPListener, limit int) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), limit) })
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
