package relay

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/footprint"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const longBodyBytes = 1 << 20

// TestLongRequestsNeedRoom guards against messages to other hosts that exceed what a host has room for. An attempt
// without room is not sent, and another upstream may run it.
func TestLongRequestsNeedRoom(t *testing.T) {
	c := qt.New(t)
	d := &fakeDiallingHost{upstreamID: "u-1", outcome: upstream.Outcome{Result: upstream.Answered, Response: upstream.Response{Status: 200}}}
	address, _ := serve(t, d)
	for _, test := range []struct {
		memory int64
		body   int
		result upstream.Result
	}{
		{32 << 20, longBodyBytes, upstream.Answered},
		{longBodyBytes, longBodyBytes, upstream.Refused},
		{longBodyBytes, 1, upstream.Answered},
	} {
		budget := footprint.NewBudget(test.memory, 1000)
		e := &Exchanger{HostTransport: peer.NewHostClient(), Budget: budget}
		a := newAttempt(address)
		a.Body = make([]byte, test.body)
		outcome := e.Exchange(context.Background(), a)
		c.Check(outcome.Result, qt.Equals, test.result, qt.Commentf("%v", outcome.Err))
		c.Check(outcome.NotForwarded, qt.Equals, test.result == upstream.Refused)
		if test.result == upstream.Answered {
			<-d.received
		}
		c.Check(d.received, qt.HasLen, 0)
		c.Check(budget.Reserved(), qt.Equals, int64(0))
	}
}

// A countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// TestConnectionsOfLongMessagesAreNotKept guards against idle connections between hosts that keep buffers of the longest
// message they have carried.
func TestConnectionsOfLongMessagesAreNotKept(t *testing.T) {
	long := []byte(strings.Repeat("x", longBodyBytes))
	for _, test := range []struct {
		name         string
		body, answer []byte
		connections  int64
	}{
		{"short", []byte("body"), []byte("records"), 1},
		{"long request", long, []byte("records"), 3},
		{"long answer", []byte("body"), long, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := &fakeDiallingHost{upstreamID: "u-1", received: make(chan *upstream.Attempt, 3), outcome: upstream.Outcome{
				Result: upstream.Answered, Response: upstream.Response{Status: 200, Body: test.answer},
			}}
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			listener := &countingListener{Listener: inner}
			ctx, cancel := context.WithCancel(context.Background())
			var group work.Group
			group.Go(func() { _ = peer.ServeHost(ctx, listener, d) })
			defer group.Wait()
			defer cancel()
			client := peer.NewHostClient()
			defer client.Close()
			e := &Exchanger{HostTransport: client}
			for range 3 {
				a := newAttempt(inner.Addr().String())
				a.Body, a.RequireNewConnection = test.body, false
				c.Check(e.Exchange(context.Background(), a).Result, qt.Equals, upstream.Answered)
			}
			c.Check(listener.accepted.Load(), qt.Equals, test.connections)
		})
	}
}
