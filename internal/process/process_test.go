package process

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// TestFirstOnConnection checks that the first request on a connection is distinguished
// from later requests on the same connection.
func TestFirstOnConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var first []bool
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		first = append(first, MarkFirstOnConnection(r.Context()))
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() { _ = ServeHTTP(ctx, listener, handler) })
	transport := &http.Transport{}
	for i := range 4 {
		if i == 2 {
			transport.CloseIdleConnections()
		}
		request, _ := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
		response, err := transport.RoundTrip(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	transport.CloseIdleConnections()
	cancel()
	group.Wait()
	c.Check(first, qt.DeepEquals, []bool{true, false, true, false})
	c.Check(MarkFirstOnConnection(context.Background()), qt.IsFalse)
}

// TestUnreadResponseIsGivenUp guards against requests that hold their response for as long as a client keeps its connection
// and reads nothing.
func TestUnreadResponseIsGivenUp(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	s := &Server{WriteTimeout: 300 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The response is longer than what the buffers of a connection hold.
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() { _ = s.Serve(ctx, listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	select {
	case err := <-ended:
		c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	case <-time.After(5 * time.Second):
		t.Error("the request still holds its response")
	}
	_ = conn.Close()
	cancel()
	group.Wait()
}
