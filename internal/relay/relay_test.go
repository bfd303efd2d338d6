package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// runner is a host that runs attempts at one upstream.
type runner struct {
	peer.HostHandler
	// asked is the last attempt, ending how each ends; hang lets them wait for the
	// end of their context.
	asked  chan *upstream.Attempt
	ending upstream.Outcome
	chosen string
	hang   bool
	gone   chan struct{}
}

func (r *runner) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	r.asked <- DecodeAttempt(time.Now(), request)
	if r.hang {
		<-ctx.Done()
		close(r.gone)
		return nil, ctx.Err()
	}
	return EncodeOutcome(r.chosen, r.ending), nil
}

// serve runs a host and returns its address and how to kill it.
func serve(t *testing.T, r *runner) (address string, kill func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.asked, r.gone = make(chan *upstream.Attempt, 1), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() { _ = peer.ServeHost(ctx, listener, r) })
	kill = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(kill)
	return listener.Addr().String(), kill
}

func attempt(address string) *upstream.Attempt {
	return &upstream.Attempt{
		Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: []byte("X: y\r\n"), Body: []byte("body"), RequestID: "id",
		UpstreamID: address, Address: address, Deadline: time.Now().Add(5 * time.Second), RequireNewConnection: true,
		Relay: &upstream.Relay{Service: "s", Route: "r", LatencyTarget: time.Second, Gathers: true, Fingerprint: 7, TriedUpstreams: []string{"u-0"}},
	}
}

// TestEndings asks another host for an attempt: whatever may have run is never
// said not to have.
func TestEndings(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}, "Twice": {"1", "2"}}
	answer := upstream.Response{Status: 200, Header: header, Body: []byte("records"), Signature: "signed"}
	for _, test := range []struct {
		name   string
		chosen string
		ending upstream.Outcome
		want   upstream.Outcome
	}{
		{"answered", "u-1", upstream.Outcome{Result: upstream.Answered, Response: answer}, upstream.Outcome{Result: upstream.Answered, Response: answer, ForwardedTo: "u-1"}},
		{"refused", "u-1", upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 503}}, upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 503}, ForwardedTo: "u-1"}},
		{"another upstream has the address", "u-1", upstream.Outcome{Result: upstream.Misdirected, Response: upstream.Response{Status: 421}}, upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 421}, ForwardedTo: "u-1"}},
		{"unreachable", "u-1", upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}, upstream.Outcome{Result: upstream.Refused, NotForwarded: true}},
		{"no upstream", "", upstream.Outcome{Result: upstream.Refused}, upstream.Outcome{Result: upstream.Refused, NotForwarded: true}},
		{"broken", "u-1", upstream.Outcome{Result: upstream.Broken}, upstream.Outcome{Result: upstream.Broken, ForwardedTo: "u-1"}},
		{"aborted there", "u-1", upstream.Outcome{Result: upstream.Aborted}, upstream.Outcome{Result: upstream.Broken, ForwardedTo: "u-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &runner{chosen: test.chosen, ending: test.ending}
			address, _ := serve(t, r)
			a := attempt(address)
			e := &Exchanger{HostTransport: peer.NewHostClient()}
			got := e.Exchange(context.Background(), a)
			if test.want.Response.Header == nil {
				got.Response.Header = nil
			}
			c.Check(got, qt.DeepEquals, test.want)
			asked := <-r.asked
			c.Check(asked.Deadline.Sub(a.Deadline) < time.Second, qt.IsTrue)
			asked.Deadline, asked.UpstreamID, asked.Address, asked.Relay = a.Deadline, a.UpstreamID, a.Address, a.Relay
			c.Check(asked, qt.DeepEquals, a)
		})
	}
}

// TestLostHosts ends attempts without a report: nothing was sent to a host that
// does not listen; one that died may have given it to an upstream.
func TestLostHosts(t *testing.T) {
	c := qt.New(t)
	r := &runner{hang: true}
	address, kill := serve(t, r)
	e := &Exchanger{HostTransport: peer.NewHostClient()}
	var group work.Group
	group.Go(func() {
		<-r.asked
		kill()
	})
	c.Check(e.Exchange(context.Background(), attempt(address)).Result, qt.Equals, upstream.Broken)
	group.Wait()
	ending := e.Exchange(context.Background(), attempt(address))
	c.Check(ending.Result, qt.Equals, upstream.Unreachable)
	c.Check(ending.ConnectionRefused, qt.IsFalse, qt.Commentf("a host that is gone is no upstream that crashed"))
}

// TestCancelledAttemptEndsThere gives an attempt up: the other host hears of it
// within the time that the platform allows for work without a caller.
func TestCancelledAttemptEndsThere(t *testing.T) {
	c := qt.New(t)
	r := &runner{hang: true}
	address, _ := serve(t, r)
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() {
		<-r.asked
		cancel()
	})
	e := &Exchanger{HostTransport: peer.NewHostClient()}
	ending := e.Exchange(ctx, attempt(address))
	c.Check(ending.Result, qt.Equals, upstream.Aborted)
	c.Check(errors.Is(ctx.Err(), context.Canceled), qt.IsTrue)
	select {
	case <-r.gone:
	case <-time.After(500 * time.Millisecond):
		c.Error("the other host goes on")
	}
	group.Wait()
}
