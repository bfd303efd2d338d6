package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// A cuttingProxy forwards connections to a host and ends them after a number of bytes of the
// replies.
type cuttingProxy struct {
	target string
	// limit is how many bytes of replies are forwarded; reset is set if the connection is then
	// reset.
	limit atomic.Int64
	reset atomic.Bool
}

// serve starts the proxy and returns its address.
func (p *cuttingProxy) serve(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group work.Group
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { p.forward(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func (p *cuttingProxy) forward(conn net.Conn) {
	defer conn.Close()
	host, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer host.Close()
	var requests work.Group
	requests.Go(func() {
		_, _ = io.Copy(host, conn)
		_ = host.Close()
	})
	replies := bufio.NewReader(host)
	// Without bytes of the reply, the connection ends when it begins.
	_, _ = replies.Peek(1)
	_, _ = io.CopyN(conn, replies, p.limit.Load())
	if p.reset.Load() {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
	requests.Wait()
}

// TestCutReplyIsNoAnswer guards against answers that stop between two hosts and count as answers.
func TestCutReplyIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	d := &fakeDiallingHost{upstreamID: "u-1", outcome: upstream.Outcome{
		Result:   upstream.Answered,
		Response: upstream.Response{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte("records"), Signature: "signed"},
	}}
	address, _ := serve(t, d)
	p := &cuttingProxy{target: address}
	address = p.serve(t)
	client := peer.NewHostClient()
	defer client.Close()
	e := &Exchanger{HostTransport: client}
	ask := func(limit int64, reset bool) upstream.Outcome {
		p.limit.Store(limit)
		p.reset.Store(reset)
		o := e.Exchange(context.Background(), newAttempt(address))
		<-d.received
		return o
	}
	for _, reset := range []bool{false, true} {
		n := int64(0)
		for ; n < 1<<10; n++ {
			o := ask(n, reset)
			if o.Result == upstream.Answered {
				c.Check(o.Response, qt.DeepEquals, d.outcome.Response)
				break
			}
			c.Check(o.Result, qt.Equals, upstream.Broken, qt.Commentf("%d bytes, reset %t", n, reset))
			c.Check(o.Response.Status, qt.Equals, 0)
		}
		t.Logf("reset %t: answered from %d bytes on", reset, n)
		c.Check(n > int64(len("records")) && n < 1<<10, qt.IsTrue)
	}
}
