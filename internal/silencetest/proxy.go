// Package silencetest makes open connections silent while new ones work, as a
// box between the two ends does that has lost track of them.
package silencetest

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// A Proxy passes connections on to one address.
type Proxy struct {
	address    string
	target     string
	listener   net.Listener
	generation atomic.Int64
	group      work.Group
}

// NewProxy returns a proxy that ends with the test.
func NewProxy(t *testing.T, target string) *Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{address: listener.Addr().String(), target: target, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	p.group.Go(p.accept)
	return p
}

// Address returns where to connect.
func (p *Proxy) Address() string { return p.address }

// SilenceOpen swallows, from now on, all bytes of the open connections.
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
		p.group.Go(func() { p.pass(to, conn, born) })
		p.group.Go(func() { p.pass(conn, to, born) })
	}
}

func (p *Proxy) pass(to io.WriteCloser, from io.Reader, born int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.generation.Load() == born {
			_, _ = to.Write(buffer[:n])
		}
	}
}
