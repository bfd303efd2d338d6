package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/proxytest"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// countingHandler replies once for each shard of a scatter request and counts the
// requests. If silent is set, it accepts requests and then sends neither heartbeats
// nor replies.
type countingHandler struct {
	GateHandler
	requests atomic.Int64
	silent   bool
}

func (c *countingHandler) Scatter(ctx context.Context, r *wire.ScatterRequest, deliver func(*wire.ScatterReply) error) error {
	c.requests.Add(1)
	if err := deliver(&wire.ScatterReply{Accepted: true}); err != nil {
		return err
	}
	if c.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, path := range r.GetShards() {
		if err := deliver(&wire.ScatterReply{Shard: path}); err != nil {
			return err
		}
	}
	return nil
}

func (c *countingHandler) Survey(context.Context, *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return &wire.SurveyReply{}, nil
}

// startGate serves a handler and returns a client and a proxy. Calls to the proxy's
// address reach the handler, and the proxy's connections can be silenced.
func startGate(t *testing.T, handler GateHandler) (*GateClient, *proxytest.Proxy) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group work.Group
	group.Go(func() { _ = ServeGate(ctx, listener, handler) })
	client := NewGateClient()
	t.Cleanup(func() {
		client.Close()
		cancel()
		group.Wait()
	})
	return client, proxytest.NewProxy(t, listener.Addr().String())
}

// TestScatterReplacesSilentConnection opens a connection with a first Scatter call
// and makes it drop all bytes silently. A second Scatter call must replace the
// connection and return all replies within 2*SilenceTimeout, and the gate must
// receive each of the two requests once, whether or not they are idempotent.
func TestScatterReplacesSilentConnection(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := qt.New(t)
		handler := &countingHandler{}
		client, proxy := startGate(t, handler)
		scatter := func() (replies int, err error) {
			err = client.Scatter(context.Background(), proxy.Address(), &wire.ScatterRequest{Idempotent: idempotent, Shards: []string{"a", "b"}}, func(r *wire.ScatterReply) {
				if r.GetShard() != "" {
					replies++
				}
			})
			return replies, err
		}
		replies, err := scatter()
		c.Assert(err, qt.IsNil)
		c.Check(replies, qt.Equals, 2)
		proxy.SilenceOpenConnections()
		startedAt := time.Now()
		replies, err = scatter()
		c.Assert(err, qt.IsNil)
		c.Check(replies, qt.Equals, 2)
		c.Check(time.Since(startedAt) < 2*SilenceTimeout, qt.IsTrue)
		c.Check(handler.requests.Load(), qt.Equals, int64(2), qt.Commentf("idempotent %v", idempotent))
	}
}

func TestRequestToSilentGateCountsAsSent(t *testing.T) {
	c := qt.New(t)
	client, proxy := startGate(t, &countingHandler{silent: true})
	startedAt := time.Now()
	err := client.Scatter(context.Background(), proxy.Address(), &wire.ScatterRequest{Shards: []string{"a"}}, func(*wire.ScatterReply) {})
	var unreachable *CallError
	c.Assert(errors.As(err, &unreachable), qt.IsTrue)
	c.Check(unreachable.Sent, qt.IsTrue)
	c.Check(time.Since(startedAt) < 2*SilenceTimeout, qt.IsTrue)
}

func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	c := qt.New(t)
	err := NewGateClient().Scatter(context.Background(), "127.0.0.1:1", &wire.ScatterRequest{}, nil)
	var unreachable *CallError
	c.Assert(errors.As(err, &unreachable), qt.IsTrue)
	c.Check(unreachable.Sent, qt.IsFalse)
}
