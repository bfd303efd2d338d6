package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/proxytest"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
)

// newTestClient serves a handler over HTTP and returns a client of that server.
func newTestClient(t *testing.T, h http.HandlerFunc) *HTTPClient {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client := NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), 2, 25)
	t.Cleanup(client.Close)
	return client
}

func TestRunResults(t *testing.T) {
	call := Call{AttemptID: "a1", Version: snapshot.New(3, "m1"), Remaining: time.Second, Idempotent: true}
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		check   func(*qt.C, Reply, error)
	}{
		{"answered", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
			w.Header().Set(HeaderVersion, r.Header.Get(HeaderVersion))
			w.Header().Set(HeaderMap, r.Header.Get(HeaderMap))
		}, func(c *qt.C, r Reply, err error) {
			c.Check(err, qt.IsNil)
			c.Check(r.Version, qt.Equals, snapshot.New(3, "m1"))
		}},
		{"response to another attempt", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderAttempt, "a0")
			w.Header().Set(HeaderVersion, "3")
		}, func(c *qt.C, _ Reply, err error) { c.Check(err, qt.ErrorMatches, ".*belongs to another attempt") }},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "overload")
			w.Header().Set(HeaderRetryAfter, "1500")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(c *qt.C, _ Reply, err error) {
			var refused *RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Check(*refused, qt.Equals, RefusedError{Reason: "overload", RetryAfter: 1500 * time.Microsecond})
		}},
		{"broken", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, func(c *qt.C, _ Reply, err error) {
			var broken *BrokenError
			c.Check(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
		}},
		{"status 500 without headers", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, func(c *qt.C, _ Reply, err error) {
			c.Check(err, qt.ErrorMatches, ".*status 500")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			reply, err := newTestClient(t, test.handler).Run(context.Background(), call)
			test.check(qt.New(t), reply, err)
		})
	}
}

func TestUnreachableIsNotBroken(t *testing.T) {
	client := NewHTTPClient("127.0.0.1:1", 2, 25)
	_, err := client.Run(context.Background(), Call{})
	var unreachable *UnreachableError
	qt.New(t).Check(errors.As(err, &unreachable), qt.IsTrue)
}

// TestCallsAfterConnectionFallsSilent simulates a network failure in which open
// connections silently drop all bytes both ways while new connections work. An
// idempotent call reuses the open connection and times out. A call that is not
// idempotent opens a new connection and succeeds. After CloseIdleConnections, an
// idempotent call must succeed again.
func TestCallsAfterConnectionFallsSilent(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.Header().Set(HeaderVersion, "1")
	}))
	defer server.Close()
	proxy := proxytest.NewProxy(t, strings.TrimPrefix(server.URL, "http://"))
	client := NewHTTPClient(proxy.Address(), 2, 25)
	defer client.Close()
	run := func(idempotent bool, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := client.Run(ctx, Call{AttemptID: "a", Idempotent: idempotent})
		return err
	}
	c.Assert(run(true, time.Second), qt.IsNil)
	proxy.SilenceOpenConnections()
	c.Check(run(true, 200*time.Millisecond), qt.ErrorIs, context.DeadlineExceeded)
	c.Check(run(false, time.Second), qt.IsNil, qt.Commentf("calls that must not run twice use new connections"))
	client.CloseIdleConnections()
	c.Check(run(true, time.Second), qt.IsNil)
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"versions":[{"number":1,"map":"m1"}],"draining":true}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeReport(data) })
}

// TestConnectionLimit checks that a client never has more connections open than its
// limit while it runs calls, load reports and cancellations concurrently.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	const limit = 5
	var open, maxOpen atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		w.Header().Set(HeaderVersion, "1")
	}))
	defer server.Close()
	client := NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), 2, limit)
	defer client.Close()
	for _, transport := range []*http.Transport{client.reusing, client.singleUse, client.control} {
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			current := open.Add(1)
			for previous := maxOpen.Load(); current > previous && !maxOpen.CompareAndSwap(previous, current); previous = maxOpen.Load() {
			}
			return &countedConn{Conn: conn, open: &open}, err
		}
	}
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Go(func() {
			for range 40 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_, _ = client.Run(ctx, Call{AttemptID: "a", Idempotent: i%2 == 0})
				_, _ = client.FetchReport(ctx)
				_ = client.Cancel(ctx, "a")
				cancel()
			}
		})
	}
	calls.Wait()
	c.Check(maxOpen.Load() <= limit, qt.IsTrue, qt.Commentf("%d connections open at once", maxOpen.Load()))
}

// countedConn decrements a counter when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
