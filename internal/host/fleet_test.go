package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
	"github.com/foxtailshelf/foxtailshelf/internal/dialling"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
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
	networkDelay = time.Millisecond
	// callTimeout is the timeout of calls between hosts, as in peer.HostClient.
	callTimeout     = time.Second
	fleetExtraSlack = 54.0
	// watchWait is how long one watch of the store waits, as in package mirror.
	watchWait = 700 * time.Millisecond
	tableKey  = "table"
	// upstreamKeyPrefix is the prefix of the keys of simulated upstreams.
	upstreamKeyPrefix = "upstreams/"
	// evacuationKeyPrefix is the prefix of the keys that evacuate data centres.
	evacuationKeyPrefix = "evacuated/"
)

var errUnreachable = errors.New("host or store unreachable")

// A testFleet simulates hosts, their network and the store under virtual time.
type testFleet struct {
	mu       sync.Mutex
	hosts    map[string]*hostProcess
	records  map[string]keyvalue.Change
	history  []keyvalue.Change
	revision uint64
	// leases are the leases that have been granted, lastLease the last of them.
	leases    map[uint64]bool
	lastLease uint64
	// era counts the returns of the store from a copy.
	era uint64
	// discardedRevision is the revision up to which the store has discarded its
	// history.
	discardedRevision uint64
	// storeDown makes all calls to the store fail.
	storeDown  bool
	storeCalls int
	// dataCenters is the number of data centres; zero for one.
	dataCenters int
	// mixedCapacities makes all hosts but the first 6 small.
	mixedCapacities bool
	// peerCalls counts the calls between hosts, tokenCalls those for tokens.
	peerCalls, tokenCalls int
	// sides are the hosts that reach only hosts of the same side; others are on side 0.
	sides map[string]int
	// routes are the routes of each configuration besides the one for "/".
	routes []routing.RouteSpec
	// services are the services with a connection limit.
	services []routing.ServiceSpec
	// accounts returns the client accounts of a configuration version; nil for none.
	accounts func(version uint64) []account.Spec
	// logCounts counts the log lines of each message by host.
	logCounts map[string]map[string]int
	// upstreams are the simulated upstreams; nil if the test sends no requests.
	upstreams *simulatedUpstreams
	// recorder records violations; if it is nil, a violation fails the test.
	recorder *invariant.Recorder
}

// A hostProcess is one lifetime of one host.
type hostProcess struct {
	host   *Host
	cancel context.CancelFunc
	// An isolated host reaches neither other hosts nor the store: new calls time out,
	// and a running watch fails. For a storeFailing host, calls to the store fail.
	isolated, storeFailing bool
	// A storeSilent host gets neither a response nor an error from the store.
	storeSilent bool
	group       *work.Group
	// highestVersion is the highest version of the active configuration that
	// checkInvariants has seen in this lifetime.
	highestVersion uint64
}

// A logCounter counts the log lines of a host.
type logCounter struct {
	fleet *testFleet
	host  string
}

// A simulatedNetwork connects one host to the other hosts and to the store.
type simulatedNetwork struct {
	fleet *testFleet
	self  string
}

var (
	_ logrus.Hook         = logCounter{}
	_ keyvalue.Feed       = simulatedNetwork{}
	_ keyvalue.LeaseStore = simulatedNetwork{}
	_ peer.HostTransport  = simulatedNetwork{}
	_ RecordDecoder       = testDecoder{}
)

// A testDecoder decodes hosts/ADDRESS as a registration, upstreams/ID as an upstream whose
// value is its specification, other keys that start with "up" as an upstream, and all others
// as a configuration whose value is its version.
type testDecoder struct {
	// routes are the routes of each configuration besides the one for "/".
	routes   []routing.RouteSpec
	services []routing.ServiceSpec
	// accounts returns the client accounts of a version; nil for none.
	accounts func(version uint64) []account.Spec
}

func (d testDecoder) DecodeRecord(r keyvalue.Change) (DecodedRecord, error) {
	if address, ok := strings.CutPrefix(r.Key(), "hosts/"); ok {
		return DecodedRecord{PeerAddress: address, PeerRegistration: string(r.Value())}, nil
	}
	if dataCenter, ok := strings.CutPrefix(r.Key(), evacuationKeyPrefix); ok {
		return DecodedRecord{EvacuatedDataCenter: dataCenter}, nil
	}
	if strings.HasPrefix(r.Key(), upstreamKeyPrefix) {
		var spec inventory.UpstreamSpec
		if err := json.Unmarshal(r.Value(), &spec); err != nil {
			return DecodedRecord{}, fmt.Errorf("read upstream: %w", err)
		}
		return DecodedRecord{Upstream: &spec}, nil
	}
	if strings.HasPrefix(r.Key(), "up") {
		return DecodedRecord{Upstream: &inventory.UpstreamSpec{ID: r.Key(), Service: "s", Address: r.Key(), Slots: 2}}, nil
	}
	var version uint64
	if _, err := fmt.Sscan(string(r.Value()), &version); err != nil {
		return DecodedRecord{}, fmt.Errorf("read version: %w", err)
	}
	spec := routing.RouteSpec{Host: "h", Prefix: "/", Destinations: []routing.Destination{{Service: "s", Weight: 1}}}
	table := routing.NewTable(version, append([]routing.RouteSpec{spec}, d.routes...), d.services, routing.Limits{})
	if accounts := d.accounts(version); accounts != nil {
		table.WithAccounts(account.NewDirectory(accounts))
	}
	return DecodedRecord{Table: table}, nil
}

func (testDecoder) RegistrationKey(address string) string { return "hosts/" + address }

func newTestFleet() *testFleet {
	return &testFleet{hosts: make(map[string]*hostProcess), sides: make(map[string]int), logCounts: make(map[string]map[string]int), leases: make(map[uint64]bool), records: make(map[string]keyvalue.Change), revision: 1}
}

// Levels implements logrus.Hook.
func (logCounter) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (l logCounter) Fire(e *logrus.Entry) error {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.fleet.logCounts[e.Message] == nil {
		l.fleet.logCounts[e.Message] = make(map[string]int)
	}
	l.fleet.logCounts[e.Message][l.host]++
	return nil
}

// accountsOf returns the client accounts of a configuration version; nil for none.
func (f *testFleet) accountsOf(version uint64) []account.Spec {
	f.mu.Lock()
	accounts := f.accounts
	f.mu.Unlock()
	if accounts == nil {
		return nil
	}
	return accounts(version)
}

func (f *testFleet) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(keyvalue.NewChange(key, []byte(value), keyvalue.NewRevision(0, f.revision+1)))
}

// write applies a change to the store. The caller holds f.mu.
func (f *testFleet) write(c keyvalue.Change) {
	f.revision = c.Revision().Number()
	f.records[c.Key()] = c
	f.history = append(f.history, c)
}

func (f *testFleet) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(keyvalue.NewRemoval(key, keyvalue.NewRevision(0, f.revision+1)))
	delete(f.records, key)
}

func (f *testFleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

func (f *testFleet) loseHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discardedRevision, f.history = f.revision, nil
}

// start starts a new lifetime of a host whose settings list the seeds as its peers.
func (f *testFleet) start(address string, seeds []string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(logCounter{fleet: f, host: address})
	p := simulatedNetwork{fleet: f, self: address}
	incarnation := uint64(time.Now().UnixMicro())
	h := &Host{
		Settings: Settings{
			DataCenter: f.dataCenterOf(address), Peers: seeds, ExtraRatio: 0.2, ExtraSlack: fleetExtraSlack, ExtraWindowSeconds: 10, CallerListen: address, PeerListen: address,
			GraceSeconds: 6, AccountWindowSeconds: 5, AccountTolerance: 0.1, AccountSlack: 20,
		},
		Self: roster.NewMember(address, f.dataCenterOf(address), address, "", incarnation, roster.Alive).WithCapacity(f.capacityOf(address)), Feed: p, LeaseStore: p, HostTransport: p, Decoder: testDecoder{routes: f.routes, services: f.services, accounts: f.accountsOf},
		Upstreams: f.upstreamTransport(address), Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, Seed: incarnation, Recorder: f.recorder,
	}
	if h.Recorder == nil {
		h.Recorder = &invariant.Recorder{OnViolation: func(v invariant.Violation) { panic(fmt.Sprintf("%s: %s", address, v.Error())) }}
	}
	h.Init()
	ctx, cancel := context.WithCancel(context.Background())
	r := &hostProcess{host: h, cancel: cancel, group: &work.Group{}}
	f.mu.Lock()
	f.hosts[address] = r
	f.mu.Unlock()
	r.group.Go(func() { _ = h.Run(ctx) })
}

// upstreamTransport returns the connections of a host to the upstreams.
func (f *testFleet) upstreamTransport(host string) UpstreamTransport {
	if f.upstreams == nil {
		return &upstream.ConnectionPool{}
	}
	return &simulatedTransport{upstreams: f.upstreams, host: host, idle: make(map[string]int), usedAt: make(map[string]time.Time), aborted: make(chan struct{})}
}

// dataCenterOf returns the data centre of a host or an upstream.
func (f *testFleet) dataCenterOf(address string) string {
	if f.dataCenters == 0 {
		return "z"
	}
	return fmt.Sprint("z", xxhash.Sum64String(address)%uint64(f.dataCenters))
}

// capacityOf returns the capacity of a host. In a fleet with mixed capacities, the
// first 6 hosts are large and the others small.
func (f *testFleet) capacityOf(address string) int {
	const largeHosts, large, small = 6, 800, 140
	var number int
	if _, err := fmt.Sscanf(address, "host-%d", &number); err == nil && number >= largeHosts && f.mixedCapacities {
		return small
	}
	return large
}

// stop stops a host without notice, as if it were killed.
func (f *testFleet) stop(address string) {
	f.mu.Lock()
	r := f.hosts[address]
	delete(f.hosts, address)
	f.mu.Unlock()
	r.cancel()
	r.group.Wait()
	r.host.group.Wait()
}

func (f *testFleet) stopAll() {
	for _, a := range f.hostAddresses() {
		f.stop(a)
	}
}

func (f *testFleet) hostAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for a := range f.hosts {
		list = append(list, a)
	}
	return list
}

// connect returns the host at an address after networkDelay, or an error if that host
// does not run. If one of the two hosts is isolated, connect waits for the end of the
// context and returns an error.
func (p simulatedNetwork) connect(ctx context.Context, address string) (*Host, error) {
	timer := time.NewTimer(networkDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.fleet.mu.Lock()
	from, to := p.fleet.hosts[p.self], p.fleet.hosts[address]
	p.fleet.peerCalls++
	if from == nil || to == nil {
		p.fleet.mu.Unlock()
		return nil, errUnreachable
	}
	isIsolated := from.isolated || to.isolated || p.fleet.sides[p.self] != p.fleet.sides[address]
	p.fleet.mu.Unlock()
	if isIsolated {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return to.host, nil
}

func (p simulatedNetwork) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.Exchange(ctx, r)
}

func (p simulatedNetwork) Difference(ctx context.Context, address string, r *wire.DifferenceRequest) (*wire.DifferenceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.Difference(ctx, r)
}

func (p simulatedNetwork) Relay(ctx context.Context, address string, r *wire.RelayRequest) (*wire.RelayReply, error) {
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, &peer.CallError{Address: address, Err: err}
	}
	return h.Relay(ctx, r)
}

func (p simulatedNetwork) CheckUpstream(ctx context.Context, address string, r *wire.CheckUpstreamRequest) (*wire.CheckUpstreamReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.CheckUpstream(ctx, r)
}

func (p simulatedNetwork) IssueTokens(ctx context.Context, address string, r *wire.IssueTokensRequest) (*wire.IssueTokensReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	p.fleet.mu.Lock()
	p.fleet.tokenCalls++
	p.fleet.mu.Unlock()
	return h.IssueTokens(ctx, r)
}

func (p simulatedNetwork) TestRun(ctx context.Context, address string, r *wire.TestRunRequest) (*wire.TestRunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return h.TestRun(ctx, r)
}

// checkInvariants asserts that the version of no host's active configuration has
// decreased in the lifetime of the host and, in fleets of at least dialling.MinFleetSize
// hosts, that the fleet keeps to the limit on extra attempts.
func (f *testFleet) checkInvariants(c *qt.C) {
	f.mu.Lock()
	defer f.mu.Unlock()
	totalSlack := 0.0
	for a, r := range f.hosts {
		if t := r.host.Table(); t != nil {
			c.Assert(t.Version() >= r.highestVersion, qt.IsTrue, qt.Commentf("%s returned to a version before %d", a, r.highestVersion))
			r.highestVersion = t.Version()
		}
		r.host.mu.Lock()
		totalSlack += r.host.poolPolicy(dialling.Plan{}).ExtraSlack
		r.host.mu.Unlock()
	}
	if len(f.hosts) >= dialling.MinFleetSize {
		f.checkExtraSlack(c, totalSlack)
	}
}

// checkExtraSlack asserts that the slack of all hosts together is within the limit.
// It checks nothing while a host lacks some of the others in its list of members.
func (f *testFleet) checkExtraSlack(c *qt.C, totalSlack float64) {
	for _, r := range f.hosts {
		if len(r.host.fleet.Members()) < len(f.hosts) {
			return
		}
	}
	c.Assert(totalSlack <= fleetExtraSlack, qt.IsTrue, qt.Commentf("%d hosts use a slack of %f", len(f.hosts), totalSlack))
}

// hostsBehind returns the hosts that are not isolated and have no configuration or a
// configuration with a lower version.
func (f *testFleet) hostsBehind(version uint64) (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, r := range f.hosts {
		if t := r.host.Table(); !r.isolated && (t == nil || t.Version() < version) {
			list = append(list, a)
		}
	}
	return list
}

// startFleet starts hosts that have configuration 1 in the store, and waits until
// they have discovered each other. A fleet of more than 7 hosts has mixed capacities.
func startFleet(size int) (*testFleet, []string) {
	f := newTestFleet()
	f.put(tableKey, "1")
	f.mixedCapacities = size > 7
	return f, f.startHosts(size)
}

// startHosts starts hosts and waits until they have discovered each other.
func (f *testFleet) startHosts(size int) []string {
	var addresses []string
	for i := range size {
		addresses = append(addresses, fmt.Sprint("host-", i))
	}
	for _, a := range addresses {
		f.start(a, addresses[:3])
	}
	// The hosts discover each other during the sleep; each host sends 2 probes a
	// second.
	time.Sleep(8*time.Second + time.Duration(size)*50*time.Millisecond)
	return addresses
}

// disconnect disconnects count random hosts: from the store if storeOnly is set, else
// from the store and the other hosts. It returns a function that reconnects them.
func (f *testFleet) disconnect(addresses []string, random *rand.Rand, count int, storeOnly bool) func() {
	set := func(value bool, chosen []string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, a := range chosen {
			if r := f.hosts[a]; r != nil {
				r.storeFailing = value && storeOnly
				r.isolated = value && !storeOnly
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

// restart kills count random hosts and starts them again. It returns a function that
// does nothing, where disconnect returns one that reconnects the hosts.
func (f *testFleet) restart(addresses []string, random *rand.Rand, count int) func() {
	for _, i := range random.Perm(len(addresses))[:count] {
		f.stop(addresses[i])
		f.start(addresses[i], addresses[:3])
	}
	return func() {}
}
