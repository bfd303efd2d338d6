package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

// A HostTransport carries calls to hosts that run entry and gate in one process. It
// is safe for concurrent use.
type HostTransport interface {
	Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Difference(ctx context.Context, address string, request *wire.DifferenceRequest) (*wire.DifferenceReply, error)
	// Relay runs one attempt at an upstream that the host chooses. It returns at the
	// latest when the context ends. Its error is a *CallError, whose Sent states
	// whether the request may have been received.
	Relay(ctx context.Context, address string, request *wire.RelayRequest) (*wire.RelayReply, error)
	// TestRun asks for permission for a test run, or reports its end.
	TestRun(ctx context.Context, address string, request *wire.TestRunRequest) (*wire.TestRunReply, error)
	// CheckUpstream asks whether an upstream runs.
	CheckUpstream(ctx context.Context, address string, request *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error)
	// AnswerTimes asks how long requests have recently taken.
	AnswerTimes(ctx context.Context, address string, request *wire.AnswerTimesRequest) (*wire.AnswerTimesReply, error)
	// IssueTokens asks for tokens for requests of a client account.
	IssueTokens(ctx context.Context, address string, request *wire.IssueTokensRequest) (*wire.IssueTokensReply, error)
}

// A HostHandler handles the calls of peers on a host.
type HostHandler interface {
	Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Difference(ctx context.Context, request *wire.DifferenceRequest) (*wire.DifferenceReply, error)
	Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error)
	TestRun(ctx context.Context, request *wire.TestRunRequest) (*wire.TestRunReply, error)
	CheckUpstream(ctx context.Context, request *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error)
	IssueTokens(ctx context.Context, request *wire.IssueTokensRequest) (*wire.IssueTokensReply, error)
	AnswerTimes(ctx context.Context, request *wire.AnswerTimesRequest) (*wire.AnswerTimesReply, error)
}

// maxKeptMessageBytes is the size of a message after which a connection is not reused: both of its ends
// keep a buffer for the longest message that it has carried.
const maxKeptMessageBytes = 64 << 10

// A HostClient is the HostTransport over drpc.
type HostClient struct{ client *GateClient }

var _ HostTransport = (*HostClient)(nil)

// NewHostClient returns a HostClient without connections.
func NewHostClient() *HostClient { return &HostClient{client: NewGateClient()} }

// AnswerTimes implements HostTransport.
func (c *HostClient) AnswerTimes(ctx context.Context, address string, request *wire.AnswerTimesRequest) (*wire.AnswerTimesReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.AnswerTimesReply, error) {
		return wire.NewDRPCHostClient(conn).AnswerTimes(ctx, request)
	})
}

// CheckUpstream implements HostTransport.
func (c *HostClient) CheckUpstream(ctx context.Context, address string, request *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.CheckUpstreamReply, error) {
		return wire.NewDRPCHostClient(conn).CheckUpstream(ctx, request)
	})
}

// Close closes all idle connections.
func (c *HostClient) Close() { c.client.Close() }

// Difference implements HostTransport.
func (c *HostClient) Difference(ctx context.Context, address string, request *wire.DifferenceRequest) (*wire.DifferenceReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.DifferenceReply, error) {
		return wire.NewDRPCHostClient(conn).Difference(ctx, request)
	})
}

// Exchange implements HostTransport.
func (c *HostClient) Exchange(ctx context.Context, address string, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.ExchangeReply, error) {
		return wire.NewDRPCHostClient(conn).Exchange(ctx, request)
	})
}

// IssueTokens implements HostTransport.
func (c *HostClient) IssueTokens(ctx context.Context, address string, request *wire.IssueTokensRequest) (*wire.IssueTokensReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.IssueTokensReply, error) {
		return wire.NewDRPCHostClient(conn).IssueTokens(ctx, request)
	})
}

// Relay implements HostTransport.
func (c *HostClient) Relay(ctx context.Context, address string, request *wire.RelayRequest) (*wire.RelayReply, error) {
	acquire := c.client.acquire
	if request.GetFresh() {
		acquire = func(ctx context.Context, address string) (*drpcconn.Conn, bool, error) {
			conn, err := dial(ctx, address)
			return conn, false, err
		}
	}
	return callOnce(ctx, c.client, address, acquire, func(ctx context.Context, conn drpc.Conn) (*wire.RelayReply, error) {
		reply, err := wire.NewDRPCHostClient(conn).Relay(ctx, request)
		if max(messageBytes(request), len(reply.GetBody())) > maxKeptMessageBytes {
			_ = conn.Close()
		}
		return reply, err
	})
}

// messageBytes returns the size of the parts of a request that have no bound of their own.
func messageBytes(r *wire.RelayRequest) int {
	return len(r.GetTarget()) + len(r.GetHeader()) + len(r.GetBody())
}

// TestRun implements HostTransport.
func (c *HostClient) TestRun(ctx context.Context, address string, request *wire.TestRunRequest) (*wire.TestRunReply, error) {
	return callWithTimeout(ctx, c.client, address, func(ctx context.Context, conn drpc.Conn) (*wire.TestRunReply, error) {
		return wire.NewDRPCHostClient(conn).TestRun(ctx, request)
	})
}

// replyTimeout is how long ServeHost waits for the replies to the calls in flight once its context
// has ended.
const replyTimeout = 100 * time.Millisecond

// ServeHost serves the calls of peers on a listener until the context ends. It then waits for the
// replies to the calls in flight, as drpc cuts these with its own context.
func ServeHost(ctx context.Context, listener net.Listener, handler HostHandler) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, handler); err != nil {
		return fmt.Errorf("register host calls: %w", err)
	}
	counted := &countedHandler{Handler: mux}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		defer cancel()
		timer := time.NewTimer(replyTimeout)
		defer timer.Stop()
		select {
		case <-counted.inFlight.Idle():
		case <-timer.C:
		}
	})()
	if err := drpcserver.New(counted).Serve(serving, &boundedListener{Listener: listener, writeTimeout: writeTimeout}); err != nil {
		return fmt.Errorf("serve host calls: %w", err)
	}
	return nil
}

// A countedHandler counts the calls whose reply is not sent yet.
type countedHandler struct {
	drpc.Handler
	inFlight work.InFlight
}

// HandleRPC implements drpc.Handler.
func (h *countedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	defer h.inFlight.Begin()()
	return h.Handler.HandleRPC(stream, rpc)
}
