package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// A connection is one connection to an upstream, used for one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// bounds limits what reader reads.
	bounds *boundedReader
	// address is the dialled address. A connection is not reused after the address
	// of the upstream has changed.
	address string
	// expiresAt is when the connection must be closed if it is still idle.
	expiresAt time.Time
}

// abandon closes the connection of an attempt that is given up. It resets the connection: the
// network may still hold the request, and would deliver it after the end of a cut.
func (c *connection) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, the connection is closed as usual.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isQuiet reports whether the upstream has neither closed an idle connection nor
// sent unexpected bytes on it.
func (c *connection) isQuiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// A read would fail if the deadline of the previous request, which is still set, has passed.
	// Control does not depend on the deadline.
	err = rawConn.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(receiveErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
