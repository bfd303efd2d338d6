package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// plainProtocol marks messages with fields of its own.
type plainProtocol struct{}

func (plainProtocol) Encode(a *Attempt, left time.Duration) []Field {
	return []Field{{"Request", a.RequestID}, {"Left", left.String()}}
}

func (plainProtocol) Decode(r *http.Response) ResponseMetadata {
	return ResponseMetadata{
		RequestID: r.Header.Get("Request"), Signature: r.Header.Get("Signature"), NotRun: r.Header.Get("Not-Run") != "",
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
	}
}

// listen answers each request on each connection with the text that reply
// returns for the n-th request of all; "" closes the connection.
func listen(t *testing.T, reply func(n int64, id string) string) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group work.Group
	var requests atomic.Int64
	accepted = new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			text := reply(requests.Add(1), request.Header.Get("Request"))
			if text == "" {
				return
			}
			if _, err := conn.Write([]byte(text)); err != nil || strings.Contains(text, "Connection: close") {
				return
			}
		}
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			group.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), accepted
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nSignature: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func exchange(c *ConnectionPool, address, id string, left time.Duration) Outcome {
	return c.Exchange(context.Background(), &Attempt{
		Method: http.MethodGet, Target: "/a/b?c=%20d", Host: "h.example", RequestID: id, UpstreamID: "u", Address: address,
		Deadline: time.Now().Add(left),
	})
}

// TestExchangeEndings lists what a faulty upstream may send.
func TestExchangeEndings(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  func(id string) string
		result Result
		kept   int
	}{
		{"whole answer", func(id string) string { return ok(id, "body") }, Answered, 1},
		{"answer to another request", func(string) string { return ok("other", "body") + ok("other", "x") + ok("other", "y") }, Broken, 0},
		{"late second answer before ours", func(id string) string { return ok("other", "body") + ok(id, "body") }, Answered, 0},
		{"bytes after the answer", func(id string) string { return ok(id, "body") + "more" }, Answered, 0},
		{"no id", func(string) string { return ok("", "body") }, Broken, 0},
		{"no signature", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nContent-Length: 1\r\n\r\nb"
		}, Broken, 0},
		{"cut short", func(id string) string {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: " + id + "\r\nSignature: s\r\nContent-Length: 9\r\n\r\nb"
		}, Broken, 0},
		{"no answer in the protocol", func(string) string { return "garbage Connection: close\r\n\r\n" }, Broken, 0},
		{"closed", func(string) string { return "" }, Broken, 0},
		{"not run", func(id string) string {
			return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}, Refused, 1},
		{"another upstream", func(id string) string {
			return "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nRequest: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}, Misdirected, 1},
		{"informational answer first", func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + ok(id, "b") }, Answered, 1},
		{"ends with the connection", func(id string) string {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: " + id + "\r\nSignature: s\r\n\r\nbody"
		}, Answered, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := listen(t, func(_ int64, id string) string { return test.reply(id) })
			connections := &ConnectionPool{Protocol: plainProtocol{}}
			defer connections.CloseIdleConnections("u")
			e := exchange(connections, address, "r1", time.Second)
			c.Check(e.Result, qt.Equals, test.result, qt.Commentf("%v", e.Err))
			c.Check(connections.IdleCount("u"), qt.Equals, test.kept)
		})
	}
}

// TestKeptConnectionOutlivesTheDeadline uses a connection again after the
// deadline of the request before has passed.
func TestKeptConnectionOutlivesTheDeadline(t *testing.T) {
	c := qt.New(t)
	address, accepted := listen(t, func(_ int64, id string) string { return ok(id, "body") })
	connections := &ConnectionPool{Protocol: plainProtocol{}}
	defer connections.CloseIdleConnections("u")
	const left = 30 * time.Millisecond
	c.Assert(exchange(connections, address, "r1", left).Result, qt.Equals, Answered)
	time.Sleep(2 * left)
	c.Assert(exchange(connections, address, "r2", time.Second).Result, qt.Equals, Answered)
	c.Check(accepted.Load(), qt.Equals, int64(1))
}

// TestClosedConnectionIsNotUsed closes a kept connection at the other end.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	address, accepted := listen(t, func(n int64, id string) string {
		if n == 1 {
			// The field is not understood as an announcement, so the connection is kept.
			return strings.Replace(ok(id, "body"), "\r\n\r\n", "\r\nNote: Connection: close\r\n\r\n", 1)
		}
		return ok(id, "body")
	})
	connections := &ConnectionPool{Protocol: plainProtocol{}}
	defer connections.CloseIdleConnections("u")
	c.Assert(exchange(connections, address, "r1", time.Second).Result, qt.Equals, Answered)
	c.Assert(connections.IdleCount("u"), qt.Equals, 1)
	for end := time.Now().Add(time.Second); connections.idle["u"][0].quiet() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	e := exchange(connections, address, "r2", time.Second)
	c.Check(e.Result, qt.Equals, Answered, qt.Commentf("%v", e.Err))
	c.Check(accepted.Load(), qt.Equals, int64(2))
}

// TestSilentUpstreamIsAborted never answers; nobody listens afterwards.
func TestSilentUpstreamIsAborted(t *testing.T) {
	c := qt.New(t)
	block := make(chan struct{})
	address, _ := listen(t, func(int64, string) string { <-block; return "" })
	connections := &ConnectionPool{Protocol: plainProtocol{}}
	c.Check(exchange(connections, address, "r1", 30*time.Millisecond).Result, qt.Equals, Aborted)
	close(block)
	e := exchange(connections, "127.0.0.1:1", "r2", time.Second)
	c.Check(e.Result, qt.Equals, Unreachable)
	c.Check(e.ConnectionRefused, qt.IsTrue)
}

// TestFreshAttemptLeavesNoConnection neither uses a kept connection nor leaves one
// that nobody would take.
func TestFreshAttemptLeavesNoConnection(t *testing.T) {
	c := qt.New(t)
	address, accepted := listen(t, func(_ int64, id string) string { return ok(id, "body") })
	connections := &ConnectionPool{Protocol: plainProtocol{}}
	c.Assert(exchange(connections, address, "kept", time.Second).Result, qt.Equals, Answered)
	for i := range 3 {
		ending := connections.Exchange(context.Background(), &Attempt{
			Method: http.MethodPost, Target: "/", Host: "h.example", RequestID: fmt.Sprint(i), UpstreamID: "u", Address: address,
			Deadline: time.Now().Add(time.Second), RequireNewConnection: true,
		})
		c.Assert(ending.Result, qt.Equals, Answered)
	}
	c.Check(accepted.Load(), qt.Equals, int64(4))
	c.Check(connections.IdleCount("u"), qt.Equals, 1)
}
