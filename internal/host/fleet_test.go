package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	hop = time.Millisecond
	// callTimeout is that of the client between hosts.
	callTimeout = time.Second
	slack       = 54.0
	// watchPeriod is how long one watch of the store waits.
	watchPeriod = 700 * time.Millisecond
	keyOfTable  = "table"
)

var errCut = errors.New("cut off")

// A fleet is hosts, their network and the store, under virtual time.
type fleet struct {
	mu       sync.Mutex
	hosts    map[string]*running
	records  map[string]keyvalue.Change
	history  []keyvalue.Change
	revision uint64
	// forgotten is the revision up to which the history is lost.
	forgotten uint64
	// away turns every host away from the store.
	away  bool
	calls int
	// unlike is set if most hosts are small.
	unlike bool
	// messages counts the calls between hosts, bytes their records.
	messages int
}

// A running host is one lifetime of one host.
type running struct {
	host   *Host
	cancel context.CancelFunc
	// cut hosts reach nobody; barred ones not the store.
	cut, barred bool
	// silent hosts hear nothing from the store, and no error either.
	silent bool
	group  *work.Group
	// highest is the highest version that this lifetime had.
	highest uint64
}

// port is how one host reaches the others and the store.
type port struct {
	fleet *fleet
	self  string
}

var (
	_ keyvalue.Feed       = port{}
	_ keyvalue.LeaseStore = port{}
	_ peer.HostTransport  = port{}
	_ RecordDecoder       = tableTranslator{}
)

// tableTranslator reads keys named table as versions, and hosts/ADDRESS.
type tableTranslator struct{}

func (tableTranslator) DecodeRecord(r keyvalue.Change) (DecodedRecord, error) {
	if address, ok := strings.CutPrefix(r.Key(), "hosts/"); ok {
		return DecodedRecord{PeerAddress: address, PeerRegistration: string(r.Value())}, nil
	}
	if strings.HasPrefix(r.Key(), "up") {
		return DecodedRecord{Upstream: &inventory.UpstreamSpec{ID: r.Key(), Service: "s", Address: r.Key(), Slots: 2}}, nil
	}
	var version uint64
	if _, err := fmt.Sscan(string(r.Value()), &version); err != nil {
		return DecodedRecord{}, fmt.Errorf("read version: %w", err)
	}
	spec := routing.RouteSpec{Host: "h", Prefix: "/", Destinations: []routing.Destination{{Service: "s", Weight: 1}}}
	return DecodedRecord{Table: routing.NewTable(version, []routing.RouteSpec{spec}, nil, routing.Limits{})}, nil
}

func (tableTranslator) RegistrationKey(address string) string { return "hosts/" + address }

func newFleet() *fleet {
	return &fleet{hosts: make(map[string]*running), records: make(map[string]keyvalue.Change), revision: 1}
}

func (f *fleet) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(keyvalue.NewChange(key, []byte(value), f.revision+1))
}

// write takes a change; the caller holds the lock.
func (f *fleet) write(c keyvalue.Change) {
	f.revision = c.Revision()
	f.records[c.Key()] = c
	f.history = append(f.history, c)
}

func (f *fleet) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *fleet) loseHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten, f.history = f.revision, nil
}

// start starts a new lifetime of a host that knows some addresses.
func (f *fleet) start(address string, seeds []string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := port{fleet: f, self: address}
	started := uint64(time.Now().UnixMicro())
	h := &Host{
		Settings: Settings{
			DataCenter: "z", Peers: seeds, ExtraRatio: 0.2, ExtraSlack: slack, ExtraWindowSeconds: 10, CallerListen: address, PeerListen: address,
			GraceSeconds: 6,
		},
		Self: roster.NewMember(address, "z", address, "", started, roster.Alive).WithCapacity(f.capacityOf(address)), Feed: p, LeaseStore: p, HostTransport: p, Decoder: tableTranslator{},
		Connections: &upstream.ConnectionPool{}, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, Seed: started,
	}
	h.Init()
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{host: h, cancel: cancel, group: &work.Group{}}
	f.mu.Lock()
	f.hosts[address] = r
	f.mu.Unlock()
	r.group.Go(func() { _ = h.Run(ctx) })
}

// capacityOf returns the capacity of a host: few of a large fleet are large.
func (f *fleet) capacityOf(address string) int {
	const largeHosts, large, small = 6, 800, 140
	var number int
	if _, err := fmt.Sscanf(address, "host-%d", &number); err == nil && number >= largeHosts && f.unlike {
		return small
	}
	return large
}

// stop ends a host as if it were killed.
func (f *fleet) stop(address string) {
	f.mu.Lock()
	r := f.hosts[address]
	delete(f.hosts, address)
	f.mu.Unlock()
	r.cancel()
	r.group.Wait()
	r.host.group.Wait()
}

func (f *fleet) stopAll() {
	for _, a := range f.addresses() {
		f.stop(a)
	}
}

func (f *fleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for a := range f.hosts {
		list = append(list, a)
	}
	return list
}

// reach returns the host at an address if the caller reaches it.
func (p port) reach(ctx context.Context, address string) (*Host, error) {
	timer := time.NewTimer(hop)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.fleet.mu.Lock()
	from, to := p.fleet.hosts[p.self], p.fleet.hosts[address]
	p.fleet.messages++
	if from == nil || to == nil {
		p.fleet.mu.Unlock()
		return nil, errCut
	}
	cut := from.cut || to.cut
	p.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	return to.host, nil
}

func (p port) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.Exchange(ctx, r)
}

func (p port) Difference(ctx context.Context, address string, r *wire.DifferenceRequest) (*wire.DifferenceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.Difference(ctx, r)
}

func (p port) Relay(ctx context.Context, address string, r *wire.RelayRequest) (*wire.RelayReply, error) {
	h, err := p.reach(ctx, address)
	if err != nil {
		return nil, &peer.UnreachableError{Address: address, Err: err}
	}
	return h.Relay(ctx, r)
}

// call counts a call to the store and tells whether it arrives.
func (p port) call(ctx context.Context) error {
	time.Sleep(hop)
	p.fleet.mu.Lock()
	p.fleet.calls++
	r := p.fleet.hosts[p.self]
	fails := p.fleet.away || r == nil || r.barred
	cut := r != nil && (r.cut || r.silent)
	p.fleet.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return errCut
	case fails:
		return errCut
	default:
		return nil
	}
}

func (p port) List(ctx context.Context, _ string) ([]keyvalue.Change, uint64, error) {
	if err := p.call(ctx); err != nil {
		return nil, 0, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var all []keyvalue.Change
	for _, r := range p.fleet.records {
		all = append(all, r)
	}
	return all, p.fleet.revision, nil
}

func (p port) WatchPrefix(ctx context.Context, _ string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	if err := p.call(ctx); err != nil {
		return nil, 0, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		p.fleet.mu.Lock()
		revision, lost := p.fleet.revision, after < p.fleet.forgotten
		var events []keyvalue.Change
		for _, h := range p.fleet.history {
			if h.Revision() > after {
				events = append(events, h)
			}
		}
		r := p.fleet.hosts[p.self]
		gone := p.fleet.away || r == nil || r.barred || r.cut
		silent := r != nil && r.silent
		p.fleet.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case gone:
			return nil, 0, errCut
		case lost:
			return nil, 0, &keyvalue.HistoryLostError{After: after}
		case len(events) > 0 || !time.Now().Before(end) || ctx.Err() != nil:
			return events, revision, ctx.Err()
		}
	}
}

func (p port) GrantLease(ctx context.Context, _ time.Duration) (uint64, error) { return 1, p.call(ctx) }

func (p port) RenewLease(ctx context.Context, _ uint64) (bool, error) { return true, p.call(ctx) }

func (p port) PutLeased(ctx context.Context, key string, value []byte, _ uint64) error {
	if err := p.call(ctx); err != nil {
		return err
	}
	p.fleet.put(key, string(value))
	return nil
}

// check asserts what must hold at every moment.
func (f *fleet) check(c *qt.C) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shares := 0.0
	for a, r := range f.hosts {
		if t := r.host.Table(); t != nil {
			c.Assert(t.Version() >= r.highest, qt.IsTrue, qt.Commentf("%s went back from version %d", a, r.highest))
			r.highest = t.Version()
		}
		r.host.mu.Lock()
		shares += r.host.policy(dialPlan{}).ExtraSlack
		r.host.mu.Unlock()
	}
	if len(f.hosts) >= minFleet {
		f.checkShares(c, shares)
	}
}

// checkShares asserts that all hosts together keep to the slack, once they know
// each other.
func (f *fleet) checkShares(c *qt.C, shares float64) {
	for _, r := range f.hosts {
		if len(r.host.fleet.Members()) < len(f.hosts) {
			return
		}
	}
	c.Assert(shares <= slack, qt.IsTrue, qt.Commentf("%d hosts share %f", len(f.hosts), shares))
}

// behind returns the hosts that are in touch and do not have a version.
func (f *fleet) behind(version uint64) (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, r := range f.hosts {
		if t := r.host.Table(); !r.cut && (t == nil || t.Version() < version) {
			list = append(list, a)
		}
	}
	return list
}

func startFleet(size int) (*fleet, []string) {
	f := newFleet()
	f.put(keyOfTable, "1")
	f.unlike = size > 7
	var addresses []string
	for i := range size {
		addresses = append(addresses, fmt.Sprint("host-", i))
	}
	for _, a := range addresses {
		f.start(a, addresses[:3])
	}
	// Hosts meet at 2 probes a second each.
	time.Sleep(8*time.Second + time.Duration(size)*50*time.Millisecond)
	return f, addresses
}

// bar takes the store, or everything, away from some hosts; it returns how to
// end that.
func (f *fleet) bar(addresses []string, random *rand.Rand, count int, storeOnly bool) func() {
	set := func(value bool, chosen []string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range chosen {
			if r := f.hosts[a]; r != nil {
				r.barred = value && storeOnly
				r.cut = value && !storeOnly
			}
		}
	}
	var chosen []string
	for _, i := range random.Perm(len(addresses))[:count] {
		chosen = append(chosen, addresses[i])
	}
	set(true, chosen)
	return func() { set(false, chosen) }
}

// restart kills some hosts and starts them again; nothing is left to heal.
func (f *fleet) restart(addresses []string, random *rand.Rand, count int) func() {
	for _, i := range random.Perm(len(addresses))[:count] {
		f.stop(addresses[i])
		f.start(addresses[i], addresses[:3])
	}
	return func() {}
}
