package process

import (
	"context"
	"net"
	"net/http"
	"testing"

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
