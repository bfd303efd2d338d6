// Package proxytest disturbs connections between two processes: it delays, resets
// and silences them, as a network does that loses track of them.
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

// A Proxy passes connections on to one address.
type Proxy struct {
	address    string
	target     string
	listener   net.Listener
	generation atomic.Int64
	delay      atomic.Int64
	// dropTo and dropFrom drop all bytes to and from the target.
	dropTo, dropFrom atomic.Bool
	group            work.Group

	mu   sync.Mutex
	open map[net.Conn]bool
}

// NewProxy returns a proxy that ends with the test.
func NewProxy(t testing.TB, target string) *Proxy { return NewProxyAt(t, "127.0.0.1", target) }

// NewProxyAt is NewProxy at another loopback address.
func NewProxyAt(t testing.TB, ip, target string) *Proxy {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{address: listener.Addr().String(), target: target, listener: listener, open: make(map[net.Conn]bool)}
	t.Cleanup(p.Close)
	p.group.Go(p.accept)
	return p
}

// Address returns where to connect.
func (p *Proxy) Address() string { return p.address }

// Close stops the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// Delay holds up all bytes from now on.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// Drop drops the bytes to the target, from it, or both, until it is called again.
func (p *Proxy) Drop(to, from bool) {
	p.dropTo.Store(to)
	p.dropFrom.Store(from)
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// SilenceOpen drops, from now on, all bytes of the open connections.
func (p *Proxy) SilenceOpen() { p.generation.Add(1) }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		born := p.generation.Load()
		p.hold(conn, true)
		p.hold(to, true)
		p.group.Go(func() { p.pass(to, conn, born, &p.dropTo) })
		p.group.Go(func() { p.pass(conn, to, born, &p.dropFrom) })
	}
}

func (p *Proxy) hold(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[conn] = true
		return
	}
	delete(p.open, conn)
}

func (p *Proxy) pass(to, from net.Conn, born int64, drop *atomic.Bool) {
	defer p.hold(to, false)
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !errors.Is(err, io.EOF) && !drop.Load() {
				// What was reset on one side is reset on the other.
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if p.generation.Load() == born && !drop.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}
