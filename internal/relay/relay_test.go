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

// A fakeDiallingHost is a host that runs attempts at one simulated upstream.
type fakeDiallingHost struct {
	peer.HostHandler
	// received gets each attempt.
	received chan *upstream.Attempt
	// outcome is the outcome of each attempt at the upstream with upstreamID. If hangs
	// is set, an attempt has no outcome: Relay waits until its context ends, closes
	// canceled and returns the error of the context.
	outcome    upstream.Outcome
	upstreamID string
	hangs      bool
	canceled   chan struct{}
}

func (d *fakeDiallingHost) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	d.received <- DecodeAttempt(time.Now(), request)
	if d.hangs {
		<-ctx.Done()
		close(d.canceled)
		return nil, ctx.Err()
	}
	return EncodeOutcome(d.upstreamID, d.outcome), nil
}

// serve runs a dialling host and returns its address and a function that stops it.
func serve(t *testing.T, d *fakeDiallingHost) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.received, d.canceled = make(chan *upstream.Attempt, 1), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() { _ = peer.ServeHost(ctx, listener, d) })
	stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func newAttempt(address string) *upstream.Attempt {
	return &upstream.Attempt{
		Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: []byte("X: y\r\n"), Body: []byte("body"), RequestID: "id",
		UpstreamID: address, Address: address, Deadline: time.Now().Add(5 * time.Second), RequireNewConnection: true,
		Relay: &upstream.Relay{Service: "s", Route: "r", LatencyTarget: time.Second, Gathers: true, Fingerprint: 7, TriedUpstreams: []string{"u-0"}},
	}
}

// TestOutcomes checks how the outcome of an attempt is reported, and that the attempt
// arrives unchanged at the dialling host. An attempt that may have run is never
// reported as not run.
func TestOutcomes(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}, "Twice": {"1", "2"}}
	answer := upstream.Response{Status: 200, Header: header, Body: []byte("records"), Signature: "signed"}
	for _, test := range []struct {
		name       string
		upstreamID string
		outcome    upstream.Outcome
		want       upstream.Outcome
	}{
		{"answered", "u-1", upstream.Outcome{Result: upstream.Answered, Response: answer}, upstream.Outcome{Result: upstream.Answered, Response: answer, ForwardedTo: "u-1"}},
		{"refused", "u-1", upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 503}}, upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 503}, ForwardedTo: "u-1"}},
		{"another upstream has the address", "u-1", upstream.Outcome{Result: upstream.Misdirected, Response: upstream.Response{Status: 421}}, upstream.Outcome{Result: upstream.Refused, Response: upstream.Response{Status: 421}, ForwardedTo: "u-1"}},
		{"unreachable", "u-1", upstream.Outcome{Result: upstream.Unreachable, ConnectionRefused: true}, upstream.Outcome{Result: upstream.Refused, NotForwarded: true}},
		{"no upstream", "", upstream.Outcome{Result: upstream.Refused}, upstream.Outcome{Result: upstream.Refused, NotForwarded: true}},
		{"broken", "u-1", upstream.Outcome{Result: upstream.Broken}, upstream.Outcome{Result: upstream.Broken, ForwardedTo: "u-1"}},
		{"upstream leaves", "u-1", upstream.Outcome{Result: upstream.Answered, Response: answer, Leaving: true}, upstream.Outcome{Result: upstream.Answered, Response: answer, Leaving: true, ForwardedTo: "u-1"}},
		{"upstream has ended", "u-1", upstream.Outcome{Result: upstream.Broken, UpstreamEnded: true}, upstream.Outcome{Result: upstream.Broken, UpstreamEnded: true, ForwardedTo: "u-1"}},
		{"aborted at the dialling host", "u-1", upstream.Outcome{Result: upstream.Aborted}, upstream.Outcome{Result: upstream.Broken, ForwardedTo: "u-1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := &fakeDiallingHost{upstreamID: test.upstreamID, outcome: test.outcome}
			address, _ := serve(t, d)
			a := newAttempt(address)
			e := &Exchanger{HostTransport: peer.NewHostClient()}
			got := e.Exchange(context.Background(), a)
			if test.want.Response.Header == nil {
				got.Response.Header = nil
			}
			c.Check(got, qt.DeepEquals, test.want)
			received := <-d.received
			c.Check(received.Deadline.Sub(a.Deadline) < time.Second, qt.IsTrue)
			received.Deadline, received.UpstreamID, received.Address, received.Relay = a.Deadline, a.UpstreamID, a.Address, a.Relay
			c.Check(received, qt.DeepEquals, a)
		})
	}
}

// TestOddStatusIsNoAnswer guards against answers of hosts of earlier builds, which pass on any status.
func TestOddStatusIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{0, 99, 100, 101, 600, 999} {
		reply := EncodeOutcome("u-1", upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: status, Signature: "signed"}})
		c.Check(DecodeOutcome(reply).Result, qt.Equals, upstream.Broken, qt.Commentf("status %d", status))
	}
}

// TestLostHosts checks the outcomes of attempts to which the dialling host did not
// reply. The outcome is Broken if the host stopped during the attempt, because an
// upstream may have run it, and Unreachable if the host does not listen, because
// nothing was sent.
func TestLostHosts(t *testing.T) {
	c := qt.New(t)
	d := &fakeDiallingHost{hangs: true}
	address, stop := serve(t, d)
	e := &Exchanger{HostTransport: peer.NewHostClient()}
	var group work.Group
	group.Go(func() {
		<-d.received
		stop()
	})
	c.Check(e.Exchange(context.Background(), newAttempt(address)).Result, qt.Equals, upstream.Broken)
	group.Wait()
	outcome := e.Exchange(context.Background(), newAttempt(address))
	c.Check(outcome.Result, qt.Equals, upstream.Unreachable)
	c.Check(outcome.ConnectionRefused, qt.IsFalse, qt.Commentf("an unreachable host is not a crashed upstream"))
}

// TestCanceledAttemptEndsAtDiallingHost checks that the outcome of a canceled attempt
// is Aborted, and that the dialling host sees the cancellation within 500 ms, the time
// that the platform allows for work without a caller.
func TestCanceledAttemptEndsAtDiallingHost(t *testing.T) {
	c := qt.New(t)
	d := &fakeDiallingHost{hangs: true}
	address, _ := serve(t, d)
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() {
		<-d.received
		cancel()
	})
	e := &Exchanger{HostTransport: peer.NewHostClient()}
	outcome := e.Exchange(ctx, newAttempt(address))
	c.Check(outcome.Result, qt.Equals, upstream.Aborted)
	c.Check(errors.Is(ctx.Err(), context.Canceled), qt.IsTrue)
	select {
	case <-d.canceled:
	case <-time.After(500 * time.Millisecond):
		c.Error("the dialling host continues the attempt")
	}
	group.Wait()
}

// TestRestIsRelayed checks that the host that asked for an attempt learns until when the
// upstream wants no requests, and that it bounds the time.
func TestRestIsRelayed(t *testing.T) {
	c := qt.New(t)
	for _, rest := range []time.Duration{500 * time.Millisecond, 24 * time.Hour} {
		reply := EncodeOutcome("u-1", upstream.Outcome{Result: upstream.Refused, RestUntil: time.Now().Add(rest)})
		got := time.Until(DecodeOutcome(reply).RestUntil)
		c.Check(got <= min(rest, maxRelayedRest) && got > min(rest, maxRelayedRest)-time.Second, qt.IsTrue, qt.Commentf("%v for %v", got, rest))
	}
}
