package footprint

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

const (
	testMemory      = 24 << 20
	testDescriptors = descriptorsForFiles + 2*40
	testTimeout     = 10 * time.Second
)

// A testServer is an HTTP server whose handler reads bodies as hosts do.
type testServer struct {
	c       *qt.C
	budget  *Budget
	address string
	// answer is what handlers answer with once hold is closed.
	answer []byte
	hold   chan struct{}
	// endedAnswers is how many connections were ended that sent an answer.
	endedAnswers atomic.Int64
}

func startServer(t *testing.T) *testServer { return startServerWith(t, testMemory, nil) }

// startServerWith is startServer with the memory of the process and the limits.
func startServerWith(t *testing.T, memory int64, limits func() Limits) *testServer {
	c := qt.New(t)
	s := &testServer{c: c, budget: NewBudget(memory, testDescriptors), hold: make(chan struct{})}
	s.budget.Limits = limits
	s.budget.OnEnd = func(_ Cause, phase Phase) {
		if phase == Answer {
			s.endedAnswers.Add(1)
		}
	}
	listener, err := Listen(context.Background(), "127.0.0.1:0", s.budget)
	c.Assert(err, qt.IsNil)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ConnState: TrackState, ConnContext: NewContext}
	var group work.Group
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	body, err := conn.ReadBody(r.Body, r.ContentLength)
	if err != nil || !conn.BeginRun() {
		conn.Linger()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/held" {
		<-s.hold
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(testTimeout))
	conn.BeginAnswer(len(s.answer))
	_, _ = fmt.Fprintf(w, "%d %s", len(body), s.answer)
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	s.c.TB.Cleanup(func() { _ = conn.Close() })
	return conn
}

// open returns a connection on which some text was sent.
func (s *testServer) open(text string) net.Conn {
	conn := s.dial()
	_, err := io.WriteString(conn, text)
	s.c.Assert(err, qt.IsNil)
	return conn
}

// statusOf returns the status of the next answer; 0 if the connection ended without one.
func statusOf(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// await waits until a condition is met.
func (s *testServer) await(isMet func() bool) {
	for deadline := time.Now().Add(testTimeout); !isMet(); time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// TestLongestHoldersEndFirst guards against connections without a complete request that keep others out.
func TestLongestHoldersEndFirst(t *testing.T) {
	s := startServer(t)
	const size = 1 << 20
	var held []net.Conn
	for range 10 {
		before := s.budget.HeldByRequests()
		held = append(held, s.open(post("/", size, strings.Repeat("x", size-1))))
		s.await(func() bool { return s.budget.HeldByRequests() > before || s.budget.Connections() < len(held) })
	}
	s.c.Check(statusOf(held[0]), qt.Equals, http.StatusServiceUnavailable)
	last := held[len(held)-1]
	_, err := io.WriteString(last, "x")
	s.c.Assert(err, qt.IsNil)
	s.c.Check(statusOf(last), qt.Equals, http.StatusOK)
}

// TestHeldNeverExceedsTheLimit checks the bound while many connections take as much as they can.
func TestHeldNeverExceedsTheLimit(t *testing.T) {
	s := startServer(t)
	var group work.Group
	for range 200 {
		group.Go(func() {
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(conn, post("/", 1<<20, strings.Repeat("x", 1<<20-1)))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	done := make(chan struct{})
	var waiting work.Group
	waiting.Go(func() {
		group.Wait()
		close(done)
	})
	most, mostConnections := int64(0), 0
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		case <-time.After(time.Millisecond):
		}
		most, mostConnections = max(most, s.budget.HeldBytes()), max(mostConnections, s.budget.Connections())
	}
	s.c.Check(most <= s.budget.memoryLimit+share(s.budget.memoryLimit, overdraft), qt.IsTrue, qt.Commentf("%d", most))
	s.c.Check(mostConnections <= s.budget.connectionLimit*5/4, qt.IsTrue, qt.Commentf("%d", mostConnections))
	s.await(func() bool { return s.budget.HeldBytes() == 0 && s.budget.Connections() == 0 })
	s.c.Check(s.budget.ending, qt.Equals, int64(0))
	s.c.Check(s.budget.endingCount, qt.Equals, 0)
}

// TestKeptConnectionsOutliveUnfinishedHeads guards against connections that end because of others although they are
// within the limits.
func TestKeptConnectionsOutliveUnfinishedHeads(t *testing.T) {
	s := startServer(t)
	kept := s.open(post("/", 1, "x"))
	s.c.Assert(statusOf(kept), qt.Equals, http.StatusOK)
	running := s.open(post("/held", 1, "x"))
	for range s.budget.connectionLimit - 2 {
		s.open("GET / HTTP/1.1\r\n")
	}
	time.Sleep(promptPeriod + 100*time.Millisecond)
	for range s.budget.connectionLimit / 2 {
		s.open("GET / HTTP/1.1\r\n")
	}
	close(s.hold)
	s.c.Check(statusOf(running), qt.Equals, http.StatusOK)
	_, err := io.WriteString(kept, post("/", 1, "x"))
	s.c.Assert(err, qt.IsNil)
	s.c.Check(statusOf(kept), qt.Equals, http.StatusOK)
	s.c.Check(statusOf(s.open(post("/", 1, "x"))), qt.Equals, http.StatusOK)
}

// TestIdleConnectionsMakeRoom guards against idle connections that keep new callers out for good. They end without a
// byte, as no request of theirs waits.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := startServer(t)
	var idle []net.Conn
	for range s.budget.connectionLimit {
		conn := s.open(post("/", 1, "x"))
		s.c.Assert(statusOf(conn), qt.Equals, http.StatusOK)
		idle = append(idle, conn)
	}
	s.c.Check(statusOf(s.open(post("/", 1, "x"))), qt.Equals, http.StatusOK)
	rest, err := io.ReadAll(idle[0])
	s.c.Check(err, qt.IsNil)
	s.c.Check(rest, qt.HasLen, 0)
}

// TestFewConnectionsWaitToBeAccepted guards against connections that the process has not accepted and that send as much
// as their receive buffers hold.
func TestFewConnectionsWaitToBeAccepted(t *testing.T) {
	c := qt.New(t)
	budget := NewBudget(testMemory, testDescriptors)
	listener, err := Listen(context.Background(), "127.0.0.1:0", budget)
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	const tries = 200
	var opened atomic.Int64
	var group work.Group
	for range tries {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
			if err != nil {
				return
			}
			opened.Add(1)
			c.TB.Cleanup(func() { _ = conn.Close() })
		})
	}
	group.Wait()
	c.Check(opened.Load() <= tries/4, qt.IsTrue, qt.Commentf("%d of %d", opened.Load(), tries))
}

// TestHeads checks the refusals of heads that are too long or cost too much, and that a head within the limits is
// served however many fields it has.
func TestHeads(t *testing.T) {
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"within the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 15_000) + "\r\n", http.StatusOK},
		{"too long", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 20_000), http.StatusRequestHeaderFieldsTooLarge},
		{"empty lines", strings.Repeat("\r\n", 100), http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t)
			s.c.Check(statusOf(s.open(test.text)), qt.Equals, test.status)
		})
	}
}

// TestShortFieldsCount guards against heads within the limit whose fields cost more than a host has.
func TestShortFieldsCount(t *testing.T) {
	s := startServer(t)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 15_000)
	var held []net.Conn
	for range 5 {
		before := s.budget.HeldByRequests()
		held = append(held, s.open(head))
		s.await(func() bool { return s.budget.HeldByRequests() > before || s.budget.Connections() < len(held) })
	}
	s.c.Check(statusOf(held[0]), qt.Equals, http.StatusServiceUnavailable)
	last := held[len(held)-1]
	_, err := io.WriteString(last, "\r\n")
	s.c.Assert(err, qt.IsNil)
	s.c.Check(statusOf(last), qt.Equals, http.StatusOK)
}

// TestHeadTimeout guards against heads that are sent for longer than the limit, and against a limit that also applies to
// what follows the head.
func TestHeadTimeout(t *testing.T) {
	s := startServerWith(t, testMemory, func() Limits {
		return Limits{HeadBytes: 1 << 10, HeadTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute}
	})
	slow := s.open("GET / HTTP/1.1\r\n")
	body := s.open(post("/", 2, "x"))
	rest, err := io.ReadAll(slow)
	s.c.Check(err, qt.IsNil)
	s.c.Check(rest, qt.HasLen, 0)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(body, "x")
	s.c.Assert(err, qt.IsNil)
	s.c.Check(statusOf(body), qt.Equals, http.StatusOK)
}

// TestUnreadAnswersMakeRoom guards against callers who do not read their answers and keep others out.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	// The answers are larger than the buffers of the system.
	s := startServerWith(t, 8*testMemory, nil)
	s.answer = make([]byte, s.budget.memoryLimit/4)
	var unread []net.Conn
	for range 3 {
		conn := s.dial()
		s.c.Assert(conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		_, err := io.WriteString(conn, post("/", 1, "x"))
		s.c.Assert(err, qt.IsNil)
		unread = append(unread, conn)
	}
	s.await(func() bool { return s.budget.HeldByRequests() > s.budget.memoryLimit/2 })
	time.Sleep(promptPeriod + 100*time.Millisecond)
	body := strings.Repeat("x", int(s.budget.memoryLimit/4))
	s.c.Check(statusOf(s.open(post("/", len(body), body))), qt.Equals, http.StatusOK)
	s.c.Check(s.endedAnswers.Load() > 0, qt.IsTrue)
	for _, conn := range unread {
		_ = conn.Close()
	}
	s.await(func() bool { return s.budget.HeldByRequests() == 0 })
}
