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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// keptRequest is the id of requests that get a whole response on a connection that stays open.
const keptRequest = "kept"

// A cut is what a server sends before it ends the connection.
type cut struct {
	text  string
	reset bool
}

// startCuttingServer serves connections with the cut in next: it reads a request, sends the text
// and ends the connection.
func startCuttingServer(t *testing.T, next *atomic.Pointer[cut]) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group work.Group
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Header.Get("Request") != keptRequest {
				break
			}
			_, _ = io.WriteString(conn, okResponse(keptRequest, "body"))
		}
		c := next.Load()
		_, _ = io.WriteString(conn, c.text)
		if c.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestCutResponseIsNoAnswer guards against responses that stop before their end and count as answers.
func TestCutResponseIsNoAnswer(t *testing.T) {
	const fields = "Request: r\r\nSignature: s\r\n"
	for _, test := range []struct {
		name, head, body string
		// isUnframed is set if the body lasts until the end of the connection.
		isUnframed bool
	}{
		{"length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
		{"length before other fields", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + fields + "\r\n", "twelve bytes", false},
		{"no body", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", "", false},
		{"no content", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", "", false},
		{"lines without carriage returns", "HTTP/1.1 200 OK\nRequest: r\nSignature: s\nContent-Length: 4\n\n", "body", false},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", "7\r\nsome by\r\n3;x=y\r\ntes\r\n0\r\n\r\n", false},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", "4\r\nbody\r\n0\r\nT: x\r\n\r\n", false},
		{"no length", "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n", "twelve bytes", true},
		{"no length and no close", "HTTP/1.1 200 OK\r\n" + fields + "\r\n", "twelve bytes", true},
		{"old protocol", "HTTP/1.0 200 OK\r\n" + fields + "\r\n", "twelve bytes", true},
		{"old protocol with length", "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n", "body", false},
		{"interim response without end", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n", "body", true},
		{"response to another request", okResponse("other", "body") + "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n", "body", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var next atomic.Pointer[cut]
			address := startCuttingServer(t, &next)
			p := &ConnectionPool{Protocol: plainProtocol{}}
			defer p.CloseIdleConnections("u")
			ask := func(id, method string) Outcome {
				a := &Attempt{Method: method, Target: "/", Host: "h", RequestID: id, UpstreamID: "u", Address: address, Deadline: time.Now().Add(10 * time.Second)}
				if method == http.MethodPost {
					a.Body, a.RequireNewConnection = []byte("b"), true
				}
				return p.Exchange(context.Background(), a)
			}
			whole := test.head + test.body
			next.Store(&cut{text: whole})
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				c.Assert(ask("r", method).Result, qt.Equals, Answered)
			}
			for n := range whole {
				for i, method := range []string{http.MethodGet, http.MethodGet, http.MethodPost, http.MethodHead} {
					for _, reset := range []bool{false, true} {
						if method == http.MethodHead && n >= len(test.head) {
							continue
						}
						if test.isUnframed && n >= len(test.head) && !reset {
							// Nothing tells such a body from a whole one.
							continue
						}
						next.Store(&cut{text: whole[:n], reset: reset})
						if isReused := i == 1; isReused {
							c.Assert(ask(keptRequest, method).Result, qt.Equals, Answered)
						}
						o := ask("r", method)
						c.Check(o.Result, qt.Equals, Broken, qt.Commentf("%s, %d of %d bytes, reset %t: %v", method, n, len(whole), reset, o.Err))
						c.Check(o.Response.Status, qt.Equals, 0)
						c.Check(p.IdleCount("u"), qt.Equals, 0)
					}
				}
			}
			if test.isUnframed {
				next.Store(&cut{text: whole, reset: true})
				c.Check(ask("r", http.MethodGet).Result, qt.Equals, Broken)
			}
		})
	}
}

// TestCutReplyIsNoReply guards against the same in an HTTPClient.
func TestCutReplyIsNoReply(t *testing.T) {
	const fields = HeaderAttempt + ": a\r\n" + HeaderVersion + ": 1\r\n" + HeaderMap + ": m\r\n"
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\ntwelve bytes",
		"chunks": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n7\r\nsome by\r\n3\r\ntes\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var next atomic.Pointer[cut]
			client := NewHTTPClient(startCuttingServer(t, &next), 4, 8)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			for _, isIdempotent := range []bool{false, true} {
				for n := range text {
					for _, reset := range []bool{false, true} {
						next.Store(&cut{text: text[:n], reset: reset})
						_, err := client.Run(ctx, Call{AttemptID: "a", Idempotent: isIdempotent})
						var broken *BrokenError
						c.Check(err, qt.ErrorAs, &broken, qt.Commentf("%d of %d bytes, reset %t", n, len(text), reset))
					}
				}
				next.Store(&cut{text: text})
				_, err := client.Run(ctx, Call{AttemptID: "a", Idempotent: isIdempotent})
				c.Check(err, qt.IsNil)
			}
		})
	}
}

// TestTooLongReplyIsNoReply guards against replies that are cut at the bound on bodies and count as whole.
func TestTooLongReplyIsNoReply(t *testing.T) {
	c := qt.New(t)
	for _, length := range []int{maxResponseBytes, maxResponseBytes + 1} {
		var next atomic.Pointer[cut]
		next.Store(&cut{text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\n%s: 1\r\n%s: m\r\nContent-Length: %d\r\n\r\n", HeaderAttempt, HeaderVersion, HeaderMap, length) + strings.Repeat("x", length)})
		client := NewHTTPClient(startCuttingServer(t, &next), 4, 8)
		reply, err := client.Run(context.Background(), Call{AttemptID: "a", Idempotent: true})
		client.Close()
		if length <= maxResponseBytes {
			c.Check(err, qt.IsNil)
			c.Check(len(reply.Body), qt.Equals, length)
			continue
		}
		var broken *BrokenError
		c.Check(err, qt.ErrorAs, &broken, qt.Commentf("%d of %d bytes", len(reply.Body), length))
	}
}
