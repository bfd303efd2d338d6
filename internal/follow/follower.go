// Package follow keeps the catalog of a process at the newest revision. It watches the catalog
// head in the store, or fetches the catalog from peers.
package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// HeadKey is the key of the catalog head.
	HeadKey = "foxtailshelf/head"
	// DocumentPrefix is the prefix of the keys of documents; the hash of the document follows.
	DocumentPrefix = "foxtailshelf/documents/"
	watchWait      = 10 * time.Second
	retryDelay     = 500 * time.Millisecond
	// idleInterval is how often a process that does not watch the store checks whether
	// ShouldWatch has become true.
	idleInterval = 250 * time.Millisecond
	// warnInterval is the minimum time between two warnings.
	warnInterval      = time.Minute
	maxBootstrapPeers = 5
)

// A Follower holds the active catalog of this process. Its exported fields are set before Run.
type Follower struct {
	Store         keyvalue.Store
	GateTransport peer.GateTransport
	// Peers returns the addresses of gates that may have the catalog, preferred ones first.
	Peers func() []string
	// ShouldWatch reports whether this process watches the store itself.
	ShouldWatch func() bool
	// OnChange is called with each new active catalog, in the order of revisions.
	OnChange func(*catalog.Catalog)
	Log      logrus.FieldLogger

	mu      sync.RWMutex
	current *catalog.Catalog
	// recentCatalogs holds up to maxRecentCatalogs catalogs, oldest first: current
	// and those before it, without the empty catalog.
	recentCatalogs []*catalog.Catalog
	// lastStoreContactAt is when the store last answered.
	lastStoreContactAt time.Time
	// applyMu ensures that OnChange receives the revisions in order.
	applyMu sync.Mutex
	// lastWarningAt is when the last warning was logged.
	lastWarningAt time.Time
	hintOnce      sync.Once
	hints         chan revisionHint
}

// A revisionHint is a newer revision that the gate at an address has announced.
type revisionHint struct {
	revision uint64
	address  string
}

// Current returns the active catalog, or the empty catalog if none is active yet.
func (f *Follower) Current() *catalog.Catalog {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.current == nil {
		return catalog.Empty()
	}
	return f.current
}

// HandlePeerRevision handles the revision that the gate at an address has announced.
// If the revision is newer than the active catalog, it queues a hint to fetch that
// gate's catalog. The hint is dropped if another hint is pending.
func (f *Follower) HandlePeerRevision(revision uint64, address string) {
	if revision <= f.Current().Revision() {
		return
	}
	select {
	case f.hintChannel() <- revisionHint{revision: revision, address: address}:
	default:
	}
}

// HasCatalog reports whether a catalog is active, which may be the empty catalog.
func (f *Follower) HasCatalog() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.current != nil
}

// Run fetches a first catalog and keeps the active catalog up to date until the
// context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.bootstrap(ctx)
	for ctx.Err() == nil {
		if f.ShouldWatch() {
			f.watch(ctx)
			continue
		}
		f.handleNextHint(ctx)
	}
	return nil
}

// LastStoreContactAt returns when the store last answered.
func (f *Follower) LastStoreContactAt() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastStoreContactAt
}

// RefreshFromStore reads the catalog head from the store, which also checks that the store
// is reachable, and activates the catalog of that head if it is newer. If the store has no
// head and no catalog is active, the empty catalog is activated.
func (f *Follower) RefreshFromStore(ctx context.Context) error {
	entry, err := f.Store.Get(ctx, HeadKey)
	var missing *keyvalue.NotFoundError
	if errors.As(err, &missing) {
		f.recordStoreContact()
		f.apply(catalog.Empty())
		return nil
	}
	if err != nil {
		return fmt.Errorf("read catalog head: %w", err)
	}
	f.recordStoreContact()
	return f.applyHead(ctx, entry)
}

// apply activates a catalog if it is newer than the active catalog or none is active.
func (f *Follower) apply(c *catalog.Catalog) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	previous := f.current
	if previous != nil && c.Revision() <= previous.Revision() {
		f.mu.Unlock()
		return
	}
	f.current = c
	f.keepCatalog(c)
	f.mu.Unlock()
	f.Log.WithField("revision", c.Revision()).Info("catalog activated")
	f.OnChange(c)
}

// bootstrap tries the store and up to maxBootstrapPeers peers, again after each
// retryDelay, until a catalog is active or the context ends.
func (f *Follower) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		storeErr := f.RefreshFromStore(ctx)
		for i, address := range f.Peers() {
			if i == maxBootstrapPeers {
				break
			}
			f.fetchFromPeer(ctx, address)
		}
		if f.HasCatalog() {
			return
		}
		f.warnRateLimited(storeErr, "no catalog from the store or from peers yet")
		work.Sleep(ctx, retryDelay)
	}
}

func (f *Follower) recordStoreContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastStoreContactAt = time.Now()
}

// readDocument reads a document from the store.
func (f *Follower) readDocument(ctx context.Context, hash string) ([]byte, error) {
	entry, err := f.Store.Get(ctx, DocumentPrefix+hash)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return entry.Value(), nil
}

// assemble builds the catalog of a head and activates it if it is newer. It calls
// fetchDocument with the hash of each document that the active catalog lacks.
func (f *Follower) assemble(head catalog.Head, fetchDocument func(string) ([]byte, error)) error {
	c, err := catalog.Assemble(head, f.Current(), fetchDocument)
	if err != nil {
		return fmt.Errorf("assemble catalog %d: %w", head.Revision, err)
	}
	f.apply(c)
	return nil
}

func (f *Follower) hintChannel() chan revisionHint {
	f.hintOnce.Do(func() { f.hints = make(chan revisionHint, 1) })
	return f.hints
}

// applyHead activates the catalog of a head that was read from the store, if it is newer.
func (f *Follower) applyHead(ctx context.Context, entry keyvalue.Entry) error {
	head, err := catalog.ParseHead(entry.Value())
	if err != nil {
		return err
	}
	if f.HasCatalog() && head.Revision <= f.Current().Revision() {
		return nil
	}
	return f.assemble(head, func(hash string) ([]byte, error) { return f.readDocument(ctx, hash) })
}

// handleNextHint waits up to idleInterval for a hint and fetches the catalog of the
// gate that the hint names. Without a hint it returns, and Run checks again whether
// to watch the store.
func (f *Follower) handleNextHint(ctx context.Context) {
	select {
	case h := <-f.hintChannel():
		f.fetchFromPeer(ctx, h.address)
	case <-time.After(idleInterval):
	case <-ctx.Done():
	}
}

// watch watches the catalog head in the store and handles hints of peers at the same
// time, until watchHead returns. After a failure of watchHead it waits for
// retryDelay.
func (f *Follower) watch(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { done <- f.watchHead(watchCtx) })
	defer group.Wait()
	for {
		select {
		case h := <-f.hintChannel():
			f.fetchFromPeer(ctx, h.address)
		case err := <-done:
			if err != nil && ctx.Err() == nil {
				f.warnRateLimited(err, "catalog watch failed")
				work.Sleep(ctx, retryDelay)
			}
			return
		case <-ctx.Done():
			return
		}
	}
}

// watchHead activates the catalog of each new head in the store, until a call fails,
// ShouldWatch returns false or the context ends.
func (f *Follower) watchHead(ctx context.Context) error {
	entry, err := f.Store.Get(ctx, HeadKey)
	var missing *keyvalue.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return fmt.Errorf("read catalog head: %w", err)
	}
	f.recordStoreContact()
	for ctx.Err() == nil {
		if entry.Revision() != 0 {
			if err := f.applyHead(ctx, entry); err != nil {
				return err
			}
		}
		entry, err = f.Store.Watch(ctx, HeadKey, entry.Revision(), watchWait)
		if errors.As(err, &missing) {
			work.Sleep(ctx, retryDelay)
			err = nil
		}
		if err != nil {
			return fmt.Errorf("watch catalog head: %w", err)
		}
		f.recordStoreContact()
		if !f.ShouldWatch() {
			return nil
		}
	}
	return nil
}

// warnRateLimited logs a warning at most once per warnInterval, since failures repeat during a
// long outage.
func (f *Follower) warnRateLimited(err error, message string) {
	f.mu.Lock()
	isDue := time.Since(f.lastWarningAt) >= warnInterval
	if isDue {
		f.lastWarningAt = time.Now()
	}
	f.mu.Unlock()
	if isDue {
		f.Log.WithError(err).Warn(message)
	}
}
