package fleettest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

var (
	errHostStopped = errors.New("the host has stopped")
	errNoResponse  = errors.New("no response: messages are dropped")
)

// A Network carries the messages of hosts and callers and injects faults into them. It
// is safe for concurrent use.
type Network struct {
	messageDelay time.Duration

	mu             sync.Mutex
	hostsByAddress map[string]*Host
	// droppedLinks holds the host pairs "from>to" whose messages are dropped.
	droppedLinks map[string]bool
	// cutFromStore holds the hosts that cannot reach the key-value service.
	cutFromStore map[string]bool
	// membershipBytes counts the bytes of membership messages that each host has sent.
	membershipBytes map[string]int
	// clients holds every upstream client that a gate has created.
	clients []*upstreamClient
}

// gateTransport is the peer.GateTransport of one host.
type gateTransport struct {
	network  *Network
	hostName string
	// host is the sender; once it has stopped, it sends nothing.
	host *Host
}

// hostStore is the key-value service as one host reaches it over the network. Its
// Delete and DeleteTree are those of the Store and bypass the network.
type hostStore struct {
	*standin.Store
	network  *Network
	hostName string
	host     *Host
}

// upstreamClient is the client of one gate for one upstream.
type upstreamClient struct {
	upstream *standin.Upstream
	network  *Network
	host     *Host

	mu sync.Mutex
	// isSilent makes the open connections drop all idempotent calls, until the gate
	// closes its idle connections. Non-idempotent calls arrive, since each of them uses a
	// new connection; so do cancellations and requests for load reports.
	isSilent bool
}

var (
	_ peer.GateTransport = (*gateTransport)(nil)
	_ keyvalue.Store     = (*hostStore)(nil)
	_ upstream.Client    = (*upstreamClient)(nil)
)

func newNetwork(delay time.Duration) *Network {
	return &Network{
		messageDelay: delay, hostsByAddress: make(map[string]*Host), droppedLinks: make(map[string]bool), cutFromStore: make(map[string]bool), membershipBytes: make(map[string]int),
	}
}

// MembershipBytes returns how many bytes of membership messages a host has sent.
func (n *Network) MembershipBytes(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membershipBytes[host]
}

// SetDropped sets whether all messages from one host to another are dropped. It does
// not affect the messages in the other direction.
func (n *Network) SetDropped(from, to string, dropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.droppedLinks[from+">"+to] = dropped
}

// SetCutFromStore sets whether a host is cut from the key-value service.
func (n *Network) SetCutFromStore(host string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutFromStore[host] = isCut
}

// Heal ends all drops of messages and connects all hosts to the key-value service
// again. Silent connections to upstreams stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.droppedLinks)
	clear(n.cutFromStore)
}

func (n *Network) registerGate(address string, h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hostsByAddress[address] = h
}

// Clients returns every upstream client that a gate has created.
func (n *Network) Clients() []*upstreamClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.clients)
}

func (n *Network) registerClient(c *upstreamClient) *upstreamClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients = append(n.clients, c)
	return c
}

func (n *Network) isDropped(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.droppedLinks[from+">"+to]
}

// transmit delays a message by the latency of the network. If messages from
// sender to receiver are dropped, it returns an error once ctx ends. A message of a
// host to itself arrives at once.
func (n *Network) transmit(ctx context.Context, sender, receiver string) error {
	if n.isDropped(sender, receiver) {
		<-ctx.Done()
		return errNoResponse
	}
	if sender == receiver {
		return ctx.Err()
	}
	select {
	case <-time.After(n.messageDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect carries a message to the gate at an address and returns its host. It fails at
// once if either host has stopped, and after peer.SilenceTimeout if the message is
// dropped.
func (t *gateTransport) connect(ctx context.Context, address string) (*Host, error) {
	t.network.mu.Lock()
	h := t.network.hostsByAddress[address]
	t.network.mu.Unlock()
	if h == nil || h.Stopped() || t.host.Stopped() {
		return nil, &peer.CallError{Address: address, Err: errHostStopped}
	}
	dialCtx, cancel := context.WithTimeout(ctx, peer.SilenceTimeout)
	defer cancel()
	if err := t.network.transmit(dialCtx, t.hostName, h.Name); err != nil {
		return nil, &peer.CallError{Address: address, Err: err}
	}
	return h, nil
}

// callUnary calls a method of the gate at an address. It copies the request and the
// reply, so that the two hosts share no message.
func callUnary[Q proto.Message, R proto.Message](ctx context.Context, t *gateTransport, address string, request Q, method func(peer.GateHandler, context.Context, Q) (R, error)) (R, error) {
	var zero R
	h, err := t.connect(ctx, address)
	if err != nil {
		return zero, err
	}
	ctx, cancel := cancelOnStop(ctx, h, t.host)
	defer cancel()
	t.network.countMembershipBytes(t.hostName, request)
	reply, err := method(h.Gate, ctx, proto.CloneOf(request))
	if err == nil {
		err = t.network.transmit(ctx, h.Name, t.hostName)
	}
	if err != nil {
		return zero, &peer.CallError{Address: address, Sent: true, Err: err}
	}
	t.network.countMembershipBytes(h.Name, reply)
	return proto.CloneOf(reply), nil
}

func (n *Network) countMembershipBytes(host string, m proto.Message) {
	switch m.(type) {
	case *wire.ExchangeRequest, *wire.ExchangeReply:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.membershipBytes[host] += proto.Size(m)
	}
}

// Documents implements peer.GateTransport.
func (t *gateTransport) Documents(ctx context.Context, address string, r *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return callUnary(ctx, t, address, r, peer.GateHandler.Documents)
}

// Exchange implements peer.GateTransport.
func (t *gateTransport) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return callUnary(ctx, t, address, r, peer.GateHandler.Exchange)
}

// Survey implements peer.GateTransport.
func (t *gateTransport) Survey(ctx context.Context, address string, r *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return callUnary(ctx, t, address, r, peer.GateHandler.Survey)
}

// Scatter implements peer.GateTransport.
func (t *gateTransport) Scatter(ctx context.Context, address string, r *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
	h, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := cancelOnStop(ctx, h, t.host)
	defer cancel()
	silenceTimer := time.AfterFunc(peer.SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	// After a dropped reply, the stream delivers no further reply, even once the
	// network is healed.
	dropped := false
	err = h.Gate.Scatter(ctx, proto.CloneOf(r), func(reply *wire.ScatterReply) error {
		if dropped = dropped || t.network.isDropped(h.Name, t.hostName); dropped {
			<-ctx.Done()
			return errNoResponse
		}
		if err := t.network.transmit(ctx, h.Name, t.hostName); err != nil {
			return err
		}
		silenceTimer.Reset(peer.SilenceTimeout)
		deliver(proto.CloneOf(reply))
		return nil
	})
	if err != nil {
		return &peer.CallError{Address: address, Sent: true, Err: err}
	}
	return nil
}

// CompareAndSwap implements keyvalue.Store.
func (s *hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	if err := s.connect(ctx); err != nil {
		return false, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, revision)
}

// Get implements keyvalue.Store.
func (s *hostStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.connect(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// Watch implements keyvalue.Store.
func (s *hostStore) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (keyvalue.Entry, error) {
	if err := s.connect(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return s.Store.Watch(ctx, key, revision, wait)
}

// connect carries a call to the key-value service. It fails at once if the host has
// stopped, and after 1 s, or when ctx ends, if the host is cut from the service.
func (s *hostStore) connect(ctx context.Context) error {
	if s.host.Stopped() {
		return errHostStopped
	}
	s.network.mu.Lock()
	isCut := s.network.cutFromStore[s.hostName]
	s.network.mu.Unlock()
	if !isCut {
		return s.network.transmit(ctx, s.hostName, "store")
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return errNoResponse
}

// setSilent sets whether the gate's open connections to the upstream are silent.
func (u *upstreamClient) setSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isSilent = silent
}

// Cancel implements upstream.Client.
func (u *upstreamClient) Cancel(ctx context.Context, attemptID string) error {
	if err := u.network.transmit(ctx, u.host.Name, "upstream"); err != nil {
		return err
	}
	return u.upstream.Cancel(ctx, attemptID)
}

// Close implements upstream.Client.
func (u *upstreamClient) Close() {}

// CloseIdleConnections implements upstream.Client.
func (u *upstreamClient) CloseIdleConnections() { u.setSilent(false) }

// FetchReport implements upstream.Client.
func (u *upstreamClient) FetchReport(ctx context.Context) (upstream.Report, error) {
	if err := u.network.transmit(ctx, u.host.Name, "upstream"); err != nil {
		return upstream.Report{}, err
	}
	return u.upstream.FetchReport(ctx)
}

// Run implements upstream.Client.
func (u *upstreamClient) Run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	ctx, cancel := cancelOnStop(ctx, u.host)
	defer cancel()
	if u.host.Stopped() {
		return upstream.Reply{}, &upstream.UnreachableError{Err: errHostStopped}
	}
	u.mu.Lock()
	silent := u.isSilent && call.Idempotent
	u.mu.Unlock()
	if silent {
		<-ctx.Done()
		return upstream.Reply{}, ctx.Err()
	}
	if err := u.network.transmit(ctx, u.host.Name, "upstream"); err != nil {
		return upstream.Reply{}, ctx.Err()
	}
	reply, err := u.upstream.Run(ctx, call)
	if transmitErr := u.network.transmit(ctx, "upstream", u.host.Name); transmitErr != nil {
		return upstream.Reply{}, ctx.Err()
	}
	return reply, err
}

// cancelOnStop returns a context that is cancelled when one of the hosts stops.
func cancelOnStop(ctx context.Context, hosts ...*Host) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unregister := []func() bool{}
	for _, h := range hosts {
		unregister = append(unregister, context.AfterFunc(h.ctx, cancel))
	}
	return ctx, func() {
		for _, stop := range unregister {
			stop()
		}
		cancel()
	}
}
