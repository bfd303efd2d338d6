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
	errDead   = errors.New("the host is dead")
	errSilent = errors.New("no answer")
)

// A Network carries the messages between hosts. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu    sync.Mutex
	nodes map[string]*Node
	// cut holds the pairs "from>to" whose messages are lost.
	cut map[string]bool
	// storeCut holds the hosts that do not reach the key-value service.
	storeCut map[string]bool
	bytes    map[string]int
	// clients are all connections to upstreams ever made.
	clients []*remoteUpstream
}

// link is the peer.Gates of one host.
type link struct {
	network *Network
	from    string
	// node is the host itself: once it is dead, it sends nothing.
	node *Node
}

// nodeStore is the key-value service as one host sees it.
type nodeStore struct {
	*standin.Store
	network *Network
	from    string
	node    *Node
}

// remoteUpstream is an upstream as one gate sees it.
type remoteUpstream struct {
	upstream *standin.Upstream
	network  *Network
	node     *Node

	mu sync.Mutex
	// silent connections swallow what is sent, until they are given up.
	silent bool
}

var (
	_ peer.GateTransport = (*link)(nil)
	_ keyvalue.Store     = (*nodeStore)(nil)
	_ upstream.Client    = (*remoteUpstream)(nil)
)

func newNetwork(delay time.Duration) *Network {
	return &Network{
		delay: delay, nodes: make(map[string]*Node), cut: make(map[string]bool), storeCut: make(map[string]bool), bytes: make(map[string]int),
	}
}

// Bytes returns how many bytes of membership a host sent.
func (w *Network) Bytes(host string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes[host]
}

// Cut loses all messages from one host to another.
func (w *Network) Cut(from, to string, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = lost
}

// CutStore keeps a host from the key-value service.
func (w *Network) CutStore(host string, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCut[host] = lost
}

// Heal ends all cuts.
func (w *Network) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cut)
	clear(w.storeCut)
}

func (w *Network) attach(address string, n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[address] = n
}

// Clients returns all connections to upstreams ever made.
func (w *Network) Clients() []*remoteUpstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.clients)
}

func (w *Network) track(c *remoteUpstream) *remoteUpstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clients = append(w.clients, c)
	return c
}

func (w *Network) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[from+">"+to]
}

// pass carries one message; it returns an error if the message is lost.
func (w *Network) pass(ctx context.Context, from, to string) error {
	if w.isCut(from, to) {
		<-ctx.Done()
		return errSilent
	}
	if from == to {
		return ctx.Err()
	}
	select {
	case <-time.After(w.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reach carries a message to the gate at an address.
func (l *link) reach(ctx context.Context, address string) (*Node, error) {
	l.network.mu.Lock()
	n := l.network.nodes[address]
	l.network.mu.Unlock()
	if n == nil || n.Dead() || l.node.Dead() {
		return nil, &peer.UnreachableError{Address: address, Err: errDead}
	}
	dial, cancel := context.WithTimeout(ctx, peer.SilenceTimeout)
	defer cancel()
	if err := l.network.pass(dial, l.from, n.Name); err != nil {
		return nil, &peer.UnreachableError{Address: address, Err: err}
	}
	return n, nil
}

func unary[Q proto.Message, R proto.Message](ctx context.Context, l *link, address string, request Q, call func(peer.GateHandler, context.Context, Q) (R, error)) (R, error) {
	var none R
	n, err := l.reach(ctx, address)
	if err != nil {
		return none, err
	}
	ctx, cancel := untilDead(ctx, n, l.node)
	defer cancel()
	l.network.count(l.from, request)
	reply, err := call(n.Gate, ctx, proto.CloneOf(request))
	if err == nil {
		err = l.network.pass(ctx, n.Name, l.from)
	}
	if err != nil {
		return none, &peer.UnreachableError{Address: address, Sent: true, Err: err}
	}
	l.network.count(n.Name, reply)
	return proto.CloneOf(reply), nil
}

func (w *Network) count(host string, m proto.Message) {
	switch m.(type) {
	case *wire.ExchangeRequest, *wire.ExchangeReply:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.bytes[host] += proto.Size(m)
	}
}

// Documents implements peer.Gates.
func (l *link) Documents(ctx context.Context, address string, r *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return unary(ctx, l, address, r, peer.GateHandler.Documents)
}

// Exchange implements peer.Gates.
func (l *link) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return unary(ctx, l, address, r, peer.GateHandler.Exchange)
}

// Survey implements peer.Gates.
func (l *link) Survey(ctx context.Context, address string, r *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return unary(ctx, l, address, r, peer.GateHandler.Survey)
}

// Scatter implements peer.Gates.
func (l *link) Scatter(ctx context.Context, address string, r *wire.ScatterRequest, deliver func(*wire.ScatterReply)) error {
	n, err := l.reach(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := untilDead(ctx, n, l.node)
	defer cancel()
	silence := time.AfterFunc(peer.SilenceTimeout, cancel)
	defer silence.Stop()
	lost := false
	err = n.Gate.Scatter(ctx, proto.CloneOf(r), func(reply *wire.ScatterReply) error {
		if lost = lost || l.network.isCut(n.Name, l.from); lost {
			<-ctx.Done()
			return errSilent
		}
		if err := l.network.pass(ctx, n.Name, l.from); err != nil {
			return err
		}
		silence.Reset(peer.SilenceTimeout)
		deliver(proto.CloneOf(reply))
		return nil
	})
	if err != nil {
		return &peer.UnreachableError{Address: address, Sent: true, Err: err}
	}
	return nil
}

// CompareAndSwap implements keyvalue.Store.
func (s *nodeStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	if err := s.reach(ctx); err != nil {
		return false, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, revision)
}

// Get implements keyvalue.Store.
func (s *nodeStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.reach(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// Watch implements keyvalue.Store.
func (s *nodeStore) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (keyvalue.Entry, error) {
	if err := s.reach(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return s.Store.Watch(ctx, key, revision, wait)
}

func (s *nodeStore) reach(ctx context.Context) error {
	if s.node.Dead() {
		return errDead
	}
	s.network.mu.Lock()
	cut := s.network.storeCut[s.from]
	s.network.mu.Unlock()
	if !cut {
		return s.network.pass(ctx, s.from, "store")
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return errSilent
}

// setSilent makes the gate's connections to the upstream silent.
func (u *remoteUpstream) setSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = silent
}

// Cancel implements upstream.Client.
func (u *remoteUpstream) Cancel(ctx context.Context, attemptID string) error {
	if err := u.network.pass(ctx, u.node.Name, "upstream"); err != nil {
		return err
	}
	return u.upstream.Cancel(ctx, attemptID)
}

// Close implements upstream.Client.
func (u *remoteUpstream) Close() {}

// CloseIdleConnections implements upstream.Client.
func (u *remoteUpstream) CloseIdleConnections() { u.setSilent(false) }

// Report implements upstream.Client.
func (u *remoteUpstream) Report(ctx context.Context) (upstream.Report, error) {
	if err := u.network.pass(ctx, u.node.Name, "upstream"); err != nil {
		return upstream.Report{}, err
	}
	return u.upstream.Report(ctx)
}

// Run implements upstream.Client.
func (u *remoteUpstream) Run(ctx context.Context, call upstream.Call) (upstream.Reply, error) {
	ctx, cancel := untilDead(ctx, u.node)
	defer cancel()
	if u.node.Dead() {
		return upstream.Reply{}, &upstream.UnreachableError{Err: errDead}
	}
	u.mu.Lock()
	silent := u.silent && call.Idempotent
	u.mu.Unlock()
	if silent {
		<-ctx.Done()
		return upstream.Reply{}, ctx.Err()
	}
	if err := u.network.pass(ctx, u.node.Name, "upstream"); err != nil {
		return upstream.Reply{}, ctx.Err()
	}
	reply, err := u.upstream.Run(ctx, call)
	if passErr := u.network.pass(ctx, "upstream", u.node.Name); passErr != nil {
		return upstream.Reply{}, ctx.Err()
	}
	return reply, err
}

// untilDead returns a context that ends when one of some hosts dies.
func untilDead(ctx context.Context, nodes ...*Node) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stops := []func() bool{}
	for _, n := range nodes {
		stops = append(stops, context.AfterFunc(n.ctx, cancel))
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancel()
	}
}
