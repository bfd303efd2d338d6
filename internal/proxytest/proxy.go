// Package proxytest has a TCP proxy that injects network faults into connections
// between two processes. It delays or drops their bytes, resets the connections, or
// silences them, as a network does that has lost the state of its connections.
package proxytest

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// A Proxy forwards connections to one target address.
type Proxy struct {
	address  string
	target   string
	listener net.Listener
	// generation is incremented to silence the open connections: connections of
	// earlier generations forward nothing.
	generation atomic.Int64
	// delay is the time.Duration before each received block of bytes is forwarded.
	delay atomic.Int64
	// isDroppingToTarget and isDroppingFromTarget make the proxy drop all bytes to the
	// target and from the target.
	isDroppingToTarget, isDroppingFromTarget atomic.Bool
	group                                    work.Group

	mu sync.Mutex
	// openConnections holds the connections of both sides.
	openConnections map[net.Conn]bool
}

// NewProxy returns a proxy that listens on 127.0.0.1 and is closed at the end of the
// test.
func NewProxy(t testing.TB, target string) *Proxy { return NewProxyAt(t, "127.0.0.1", target) }

// NewProxyAt is like NewProxy but listens on another loopback address.
func NewProxyAt(t testing.TB, ip, target string) *Proxy {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{address: listener.Addr().String(), target: target, listener: listener, openConnections: make(map[net.Conn]bool)}
	t.Cleanup(p.Close)
	p.group.Go(p.accept)
	return p
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Close stops the proxy and resets all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

// SetDelay sets the delay before each received block of bytes is forwarded.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetDropped sets whether all bytes to the target and all bytes from the target are
// dropped.
func (p *Proxy) SetDropped(toTarget, fromTarget bool) {
	p.isDroppingToTarget.Store(toTarget)
	p.isDroppingFromTarget.Store(fromTarget)
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.openConnections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// SilenceOpenConnections makes the proxy drop all further bytes of the connections
// that are open now. New connections work.
func (p *Proxy) SilenceOpenConnections() { p.generation.Add(1) }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		generation := p.generation.Load()
		p.setOpen(conn, true)
		p.setOpen(target, true)
		p.group.Go(func() { p.forward(target, conn, generation, &p.isDroppingToTarget) })
		p.group.Go(func() { p.forward(conn, target, generation, &p.isDroppingFromTarget) })
	}
}

// setOpen records whether a connection is open.
func (p *Proxy) setOpen(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.openConnections[conn] = true
		return
	}
	delete(p.openConnections, conn)
}

// forward copies bytes between two connections, from one and to the other, until
// reading fails, and then closes the connection to which it writes. It discards the
// bytes while isDropping is set, and for good once SilenceOpenConnections was called.
func (p *Proxy) forward(to, from net.Conn, generation int64, isDropping *atomic.Bool) {
	defer p.setOpen(to, false)
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !errors.Is(err, io.EOF) && !isDropping.Load() {
				// Reset the other connection too, instead of closing it.
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if p.generation.Load() == generation && !isDropping.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}
