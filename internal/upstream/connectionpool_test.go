package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// plainProtocol is a Protocol with fields for these tests.
type plainProtocol struct{}

func (plainProtocol) Encode(a *Attempt, remaining time.Duration) []Field {
	return []Field{{"Request", a.RequestID}, {"Left", remaining.String()}}
}

func (plainProtocol) Decode(r *http.Response) ResponseMetadata {
	return ResponseMetadata{
		RequestID: r.Header.Get("Request"), Signature: r.Header.Get("Signature"), NotRun: r.Header.Get("Not-Run") != "",
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
	}
}

// startServer serves HTTP requests. It responds to each request with the text that
// reply returns for the request's number n, counted from 1 over all connections, and
// its id. It closes the connection if the text is empty, or after a text that
// contains "Connection: close". accepted counts the connections.
func startServer(t *testing.T, reply func(n int64, id string) string) (address string, accepted *atomic.Int64) {
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

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nSignature: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// withStatus is an okResponse without a body, with another status.
func withStatus(status, id string) string {
	return strings.Replace(okResponse(id, ""), "200 OK", status+" Odd", 1)
}

func exchange(p *ConnectionPool, address, id string, remaining time.Duration) Outcome {
	return p.Exchange(context.Background(), &Attempt{
		Method: http.MethodGet, Target: "/a/b?c=%20d", Host: "h.example", RequestID: id, UpstreamID: "u", Address: address,
		Deadline: time.Now().Add(remaining),
	})
}

// TestExchangeOutcomes covers the valid and invalid responses that an upstream may
// send, and whether the connection is kept.
func TestExchangeOutcomes(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  func(id string) string
		result Result
		idle   int
	}{
		{"complete response", func(id string) string { return okResponse(id, "body") }, Answered, 1},
		{"responses to another request only", func(string) string {
			return okResponse("other", "body") + okResponse("other", "x") + okResponse("other", "y")
		}, Broken, 0},
		{"stray response to another request first", func(id string) string { return okResponse("other", "body") + okResponse(id, "body") }, Answered, 0},
		{"bytes after the response", func(id string) string { return okResponse(id, "body") + "more" }, Answered, 0},
		{"no request id", func(string) string { return okResponse("", "body") }, Broken, 0},
		{"no signature", func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nContent-Length: 1\r\n\r\nb"
		}, Broken, 0},
		{"truncated body", func(id string) string {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: " + id + "\r\nSignature: s\r\nContent-Length: 9\r\n\r\nb"
		}, Broken, 0},
		{"not HTTP", func(string) string { return "garbage Connection: close\r\n\r\n" }, Broken, 0},
		{"closed", func(string) string { return "" }, Broken, 0},
		{"not run", func(id string) string {
			return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}, Refused, 1},
		{"another upstream", func(id string) string {
			return "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nRequest: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}, Misdirected, 1},
		{"informational response first", func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + okResponse(id, "b") }, Answered, 1},
		{"switched protocols", func(id string) string {
			return "HTTP/1.1 101 Switching Protocols\r\nRequest: " + id + "\r\nSignature: s\r\n\r\n"
		}, Broken, 0},
		{"status 000", func(id string) string { return withStatus("000", id) }, Broken, 0},
		{"status 099", func(id string) string { return withStatus("099", id) }, Broken, 0},
		{"status 599", func(id string) string { return withStatus("599", id) }, Answered, 1},
		{"status 600", func(id string) string { return withStatus("600", id) }, Broken, 0},
		{"status 999", func(id string) string { return withStatus("999", id) }, Broken, 0},
		{"status 000 of a request that was not run", func(id string) string {
			return strings.Replace(withStatus("000", id), "Signature: s-", "Not-Run: ", 1)
		}, Broken, 0},
		{"body ends with the connection", func(id string) string {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: " + id + "\r\nSignature: s\r\n\r\nbody"
		}, Answered, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startServer(t, func(_ int64, id string) string { return test.reply(id) })
			pool := &ConnectionPool{Protocol: plainProtocol{}}
			defer pool.CloseIdleConnections("u")
			outcome := exchange(pool, address, "r1", time.Second)
			c.Check(outcome.Result, qt.Equals, test.result, qt.Commentf("%v", outcome.Err))
			c.Check(pool.IdleCount("u"), qt.Equals, test.idle)
		})
	}
}

// TestResponsesWithoutBody guards against waiting for the body of a response that has none.
func TestResponsesWithoutBody(t *testing.T) {
	for _, test := range []struct {
		name, method, status, fields string
		idle                         int
	}{
		{"HEAD with length", http.MethodHead, "200 OK", "Content-Length: 12\r\n", 1},
		{"HEAD with a length above the bound", http.MethodHead, "200 OK", "Content-Length: 99999999999\r\n", 1},
		{"HEAD with chunks", http.MethodHead, "200 OK", "Transfer-Encoding: chunked\r\n", 1},
		{"HEAD without length", http.MethodHead, "200 OK", "", 1},
		{"HEAD with a closed connection", http.MethodHead, "200 OK", "Connection: close\r\nContent-Length: 12\r\n", 0},
		{"failed HEAD", http.MethodHead, "500 Failed", "Content-Length: 12\r\n", 1},
		{"HEAD after an interim response", http.MethodHead, "103 Early Hints\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 12\r\n", 1},
		{"no content", http.MethodGet, "204 No Content", "", 1},
		{"no content with length", http.MethodGet, "204 No Content", "Content-Length: 12\r\n", 1},
		{"not modified", http.MethodGet, "304 Not Modified", "", 1},
		{"not modified with length", http.MethodGet, "304 Not Modified", "Content-Length: 12\r\n", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, accepted := startServer(t, func(_ int64, id string) string {
				return "HTTP/1.1 " + test.status + "\r\nRequest: " + id + "\r\nSignature: s\r\n" + test.fields + "\r\n"
			})
			p := &ConnectionPool{Protocol: plainProtocol{}}
			defer p.CloseIdleConnections("u")
			for i := range 3 {
				o := p.Exchange(context.Background(), &Attempt{
					Method: test.method, Target: "/", Host: "h", RequestID: fmt.Sprint(i), UpstreamID: "u", Address: address, Deadline: time.Now().Add(time.Second),
				})
				c.Assert(o.Result, qt.Equals, Answered, qt.Commentf("%v", o.Err))
				c.Check(o.Response.Body, qt.HasLen, 0)
				c.Check(p.IdleCount("u"), qt.Equals, test.idle)
			}
			c.Check(accepted.Load(), qt.Equals, int64(3-2*test.idle))
		})
	}
	t.Run("HEAD with a body", func(t *testing.T) {
		c := qt.New(t)
		address, _ := startServer(t, func(_ int64, id string) string { return okResponse(id, "body") })
		p := &ConnectionPool{Protocol: plainProtocol{}}
		o := p.Exchange(context.Background(), &Attempt{
			Method: http.MethodHead, Target: "/", Host: "h", RequestID: "r", UpstreamID: "u", Address: address, Deadline: time.Now().Add(time.Second),
		})
		c.Check(o.Result, qt.Equals, Answered, qt.Commentf("%v", o.Err))
		c.Check(p.IdleCount("u"), qt.Equals, 0)
	})
}

// TestIdleConnectionIsReusedAfterPreviousDeadline guards against taking an idle
// connection for closed because the previous request's deadline, which is still set
// on the connection, has passed.
func TestIdleConnectionIsReusedAfterPreviousDeadline(t *testing.T) {
	c := qt.New(t)
	address, accepted := startServer(t, func(_ int64, id string) string { return okResponse(id, "body") })
	pool := &ConnectionPool{Protocol: plainProtocol{}}
	defer pool.CloseIdleConnections("u")
	const remaining = 30 * time.Millisecond
	c.Assert(exchange(pool, address, "r1", remaining).Result, qt.Equals, Answered)
	time.Sleep(2 * remaining)
	c.Assert(exchange(pool, address, "r2", time.Second).Result, qt.Equals, Answered)
	c.Check(accepted.Load(), qt.Equals, int64(1))
}

// TestConnectionClosedWhileIdleIsNotReused guards against sending a request on a
// connection that the upstream closed while the connection was idle.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	c := qt.New(t)
	address, accepted := startServer(t, func(n int64, id string) string {
		if n == 1 {
			// The value of the "Note" field makes startServer close the connection.
			// The client ignores this field, so it keeps the connection.
			return strings.Replace(okResponse(id, "body"), "\r\n\r\n", "\r\nNote: Connection: close\r\n\r\n", 1)
		}
		return okResponse(id, "body")
	})
	pool := &ConnectionPool{Protocol: plainProtocol{}}
	defer pool.CloseIdleConnections("u")
	c.Assert(exchange(pool, address, "r1", time.Second).Result, qt.Equals, Answered)
	c.Assert(pool.IdleCount("u"), qt.Equals, 1)
	for deadline := time.Now().Add(time.Second); pool.idle["u"][0].isQuiet() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	outcome := exchange(pool, address, "r2", time.Second)
	c.Check(outcome.Result, qt.Equals, Answered, qt.Commentf("%v", outcome.Err))
	c.Check(accepted.Load(), qt.Equals, int64(2))
}

// TestOutcomesWithoutResponse checks that an exchange with an upstream that does not
// respond is aborted at its deadline, and that an exchange with an address at which
// no process listens is unreachable, with ConnectionRefused set.
func TestOutcomesWithoutResponse(t *testing.T) {
	c := qt.New(t)
	block := make(chan struct{})
	address, _ := startServer(t, func(int64, string) string { <-block; return "" })
	pool := &ConnectionPool{Protocol: plainProtocol{}}
	c.Check(exchange(pool, address, "r1", 30*time.Millisecond).Result, qt.Equals, Aborted)
	close(block)
	outcome := exchange(pool, "127.0.0.1:1", "r2", time.Second)
	c.Check(outcome.Result, qt.Equals, Unreachable)
	c.Check(outcome.ConnectionRefused, qt.IsTrue)
}

// TestExchangeWithUpstreamThatReadsNothingEnds guards against attempts that wait beyond their deadline or their context until
// an upstream reads the request.
func TestExchangeWithUpstreamThatReadsNothingEnds(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	const timeout = 200 * time.Millisecond
	for _, deadline := range []time.Duration{timeout, time.Minute} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		pool := &ConnectionPool{Protocol: plainProtocol{}}
		startedAt := time.Now()
		outcome := pool.Exchange(ctx, &Attempt{
			Method: http.MethodPost, Target: "/", Host: "h.example", RequestID: "r", UpstreamID: "u", Address: listener.Addr().String(),
			Body: make([]byte, 32<<20), Deadline: startedAt.Add(deadline),
		})
		cancel()
		c.Check(outcome.Result, qt.Equals, Aborted, qt.Commentf("%v", outcome.Err))
		c.Check(outcome.Err, qt.ErrorMatches, "send request: .*")
		c.Check(time.Since(startedAt) < timeout+2*time.Second, qt.IsTrue)
	}
}

// TestRequireNewConnection checks that attempts with RequireNewConnection neither
// reuse an idle connection nor leave their own idle, where it would only count
// against the upstream's connection limit.
func TestRequireNewConnection(t *testing.T) {
	c := qt.New(t)
	address, accepted := startServer(t, func(_ int64, id string) string { return okResponse(id, "body") })
	pool := &ConnectionPool{Protocol: plainProtocol{}}
	c.Assert(exchange(pool, address, "kept", time.Second).Result, qt.Equals, Answered)
	for i := range 3 {
		outcome := pool.Exchange(context.Background(), &Attempt{
			Method: http.MethodPost, Target: "/", Host: "h.example", RequestID: fmt.Sprint(i), UpstreamID: "u", Address: address,
			Deadline: time.Now().Add(time.Second), RequireNewConnection: true,
		})
		c.Assert(outcome.Result, qt.Equals, Answered)
	}
	c.Check(accepted.Load(), qt.Equals, int64(4))
	c.Check(pool.IdleCount("u"), qt.Equals, 1)
}

// TestProbe checks what a probe tells of an address with a listener, without one, and of
// one that does not respond in time.
func TestProbe(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &ConnectionPool{}
	address := listener.Addr().String()
	c.Check(p.Probe(context.Background(), address), qt.Equals, Reachable)
	c.Assert(listener.Close(), qt.IsNil)
	c.Check(p.Probe(context.Background(), address), qt.Equals, NotListening)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(p.Probe(ended, address), qt.Equals, NoResponse)
}

// TestAbandonedAttemptIsNotDeliveredLater checks that the connection of an attempt that is given up is reset.
func TestAbandonedAttemptIsNotDeliveredLater(t *testing.T) {
	for name, abandon := range map[string]func(a *Attempt, cancel context.CancelFunc){
		"canceled": func(_ *Attempt, cancel context.CancelFunc) { time.AfterFunc(50*time.Millisecond, cancel) },
		"deadline": func(a *Attempt, _ context.CancelFunc) { a.Deadline = time.Now().Add(50 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			ended := make(chan error, 1)
			var group work.Group
			defer group.Wait()
			group.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer conn.Close()
				_, err = io.Copy(io.Discard, conn)
				ended <- err
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := &Attempt{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "r", UpstreamID: "u", Address: listener.Addr().String(), Deadline: time.Now().Add(time.Minute)}
			abandon(a, cancel)
			p := &ConnectionPool{Protocol: plainProtocol{}}
			c.Check(p.Exchange(ctx, a).Result, qt.Equals, Aborted)
			c.Check(<-ended, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}

// TestUpstreamConnectionsSetNoUserTimeout checks that no library sets TCP_USER_TIMEOUT, which would decide when keep-alive probes give up.
func TestUpstreamConnectionsSetNoUserTimeout(t *testing.T) {
	c := qt.New(t)
	address, _ := startServer(t, func(int64, string) string { return "" })
	conn, _, err := (&ConnectionPool{Protocol: plainProtocol{}}).acquire(context.Background(), &Attempt{Address: address, Deadline: time.Now().Add(time.Minute)})
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	const tcpUserTimeout = 18
	c.Assert(raw.Control(func(descriptor uintptr) {
		millis, err := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout)
		c.Check(err, qt.IsNil)
		c.Check(millis, qt.Equals, 0)
	}), qt.IsNil)
}
