// Package entry runs an entry: the process that faces callers.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/follow"
	"github.com/foxtailshelf/foxtailshelf/internal/hostlist"
	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	viewPeriod = 250 * time.Millisecond
	// cutOffAfter is how long an entry serves without news from any gate.
	cutOffAfter = 3 * time.Second
	// withdrawTime is how long other entries may take to learn that this one
	// withdrew; until then they still tell callers its address.
	withdrawTime = 3 * time.Second
	// DefaultAddressTTL is how long callers may keep the address answer.
	DefaultAddressTTL = 10 * time.Second
)

// An Entry is the state of the process. Its exported fields are set before
// Run.
type Entry struct {
	Host       string
	DataCenter string
	// Address is where callers connect.
	Address string
	// LocalGateAddress is the gate of the same host, asked first for news.
	LocalGateAddress string
	Store            keyvalue.Store
	Hosts            hostlist.List
	GateTransport    peer.GateTransport
	Recorder         *invariant.Recorder
	Timeline         *timeline.Ring
	Metrics          *Metrics
	Log              logrus.FieldLogger
	// AddressTTL is how long callers may keep the address answer.
	AddressTTL time.Duration
	// NoAdmission accepts requests that cannot be done by their deadline.
	NoAdmission bool

	follower *follow.Follower
	group    work.Group
	view     *view

	mu sync.Mutex
	// boards has an entry for each service in use.
	boards map[string]*board
	// proven remembers requests that were answered before.
	proven recent
	// lastBroken is when an upstream of a service last broke.
	lastBroken map[string]time.Time
	leaving    bool
	newsAt     time.Time
	inFlight   work.InFlight
	start      sync.Once
}

// Catalog returns the catalog in force.
func (e *Entry) Catalog() *catalog.Catalog {
	e.init()
	return e.follower.Current()
}

// Leave withdraws from the addresses, serves callers that still have the
// address, and returns when nothing is in flight any more.
func (e *Entry) Leave(ctx context.Context) {
	e.init()
	e.Timeline.Add("leave", "", "entry withdraws")
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.refreshView(ctx)
	work.Sleep(ctx, withdrawTime+e.AddressTTL)
	select {
	case <-e.inFlight.Idle():
	case <-ctx.Done():
	}
}

// NotReadyReason returns an empty string if the entry can serve, or else why not.
func (e *Entry) NotReadyReason() string {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.follower.HasCatalog():
		return "no source of the configuration has answered yet"
	case time.Since(e.newsAt) > cutOffAfter:
		return "cut off from all gates"
	default:
		return ""
	}
}

// Run works until the context ends; call Leave first for a graceful stop.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error { return e.followView(ctx) })
	err := group.Wait()
	e.group.Wait()
	return err
}

func (e *Entry) init() {
	e.start.Do(func() {
		e.view = newView()
		e.boards = make(map[string]*board)
		e.lastBroken = make(map[string]time.Time)
		if e.AddressTTL == 0 {
			e.AddressTTL = DefaultAddressTTL
		}
		e.follower = &follow.Follower{
			Store: e.Store, GateTransport: e.GateTransport, Peers: e.gateAddresses, ShouldWatch: func() bool { return false },
			OnChange: func(*catalog.Catalog) {}, Log: e.Log,
		}
	})
}

func (e *Entry) board(service string) *board {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.boards[service]
	if !ok {
		b = newBoard()
		e.boards[service] = b
	}
	return b
}
