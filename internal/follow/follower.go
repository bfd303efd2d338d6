// Package follow keeps a process at the newest revision of the catalog.
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
	// DocumentPrefix comes before the hash in the key of a document.
	DocumentPrefix = "foxtailshelf/documents/"
	watchWait      = 10 * time.Second
	retryPause     = 500 * time.Millisecond
	idlePause      = 250 * time.Millisecond
	// warnPeriod is the least time between two warnings.
	warnPeriod     = time.Minute
	bootstrapPeers = 5
)

// A Follower holds the catalog in force in this process. Its exported fields
// are set before Run.
type Follower struct {
	Store         keyvalue.Store
	GateTransport peer.GateTransport
	// Peers returns the addresses of gates to ask, best first.
	Peers func() []string
	// ShouldWatch reports whether this process watches the service itself.
	ShouldWatch func() bool
	// OnChange is called with each new catalog, in order.
	OnChange func(*catalog.Catalog)
	Log      logrus.FieldLogger

	mu      sync.RWMutex
	current *catalog.Catalog
	// past holds the last catalogs before current, oldest first.
	past []*catalog.Catalog
	// storeContact is when the service answered last.
	storeContact time.Time
	// applying makes sure that OnChange sees revisions in order.
	applying sync.Mutex
	// warned is when a warning was last logged.
	warned   time.Time
	hintOnce sync.Once
	hints    chan hint
}

type hint struct {
	revision uint64
	address  string
}

// Current returns the catalog in force, never nil.
func (f *Follower) Current() *catalog.Catalog {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.current == nil {
		return catalog.Empty()
	}
	return f.current
}

// HandlePeerRevision says that the gate at an address has a revision.
func (f *Follower) HandlePeerRevision(revision uint64, address string) {
	if revision <= f.Current().Revision() {
		return
	}
	select {
	case f.hintChannel() <- hint{revision: revision, address: address}:
	default:
	}
}

// HasCatalog reports whether there is a catalog.
func (f *Follower) HasCatalog() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.current != nil
}

// Run follows the catalog until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.bootstrap(ctx)
	for ctx.Err() == nil {
		if f.ShouldWatch() {
			f.watch(ctx)
			continue
		}
		f.wait(ctx)
	}
	return nil
}

// LastStoreContactAt returns when the service answered last.
func (f *Follower) LastStoreContactAt() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.storeContact
}

// RefreshFromStore asks the service whether it answers, and takes what it has.
func (f *Follower) RefreshFromStore(ctx context.Context) error {
	entry, err := f.Store.Get(ctx, HeadKey)
	var missing *keyvalue.NotFoundError
	if errors.As(err, &missing) {
		f.contacted()
		f.apply(catalog.Empty())
		return nil
	}
	if err != nil {
		return fmt.Errorf("read catalog head: %w", err)
	}
	f.contacted()
	return f.take(ctx, entry)
}

// apply puts a catalog in force unless a newer one is.
func (f *Follower) apply(c *catalog.Catalog) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	old := f.current
	if old != nil && c.Revision() <= old.Revision() {
		f.mu.Unlock()
		return
	}
	f.current = c
	f.remember(c)
	f.mu.Unlock()
	f.Log.WithField("revision", c.Revision()).Info("catalog in force")
	f.OnChange(c)
}

// bootstrap asks the service and several peers until one has a catalog.
func (f *Follower) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		storeErr := f.RefreshFromStore(ctx)
		for i, address := range f.Peers() {
			if i == bootstrapPeers {
				break
			}
			f.fetch(ctx, address)
		}
		if f.HasCatalog() {
			return
		}
		f.warn(storeErr, "no source of the catalog yet")
		work.Sleep(ctx, retryPause)
	}
}

func (f *Follower) contacted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeContact = time.Now()
}

// document returns a document from the service.
func (f *Follower) document(ctx context.Context, hash string) ([]byte, error) {
	entry, err := f.Store.Get(ctx, DocumentPrefix+hash)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return entry.Value(), nil
}

func (f *Follower) assemble(head catalog.Head, document func(string) ([]byte, error)) error {
	c, err := catalog.Assemble(head, f.Current(), document)
	if err != nil {
		return fmt.Errorf("assemble catalog %d: %w", head.Revision, err)
	}
	f.apply(c)
	return nil
}

func (f *Follower) hintChannel() chan hint {
	f.hintOnce.Do(func() { f.hints = make(chan hint, 1) })
	return f.hints
}

// take puts the head read from the service in force.
func (f *Follower) take(ctx context.Context, entry keyvalue.Entry) error {
	head, err := catalog.ParseHead(entry.Value())
	if err != nil {
		return err
	}
	if f.HasCatalog() && head.Revision <= f.Current().Revision() {
		return nil
	}
	return f.assemble(head, func(hash string) ([]byte, error) { return f.document(ctx, hash) })
}

// wait learns of new revisions from peers only.
func (f *Follower) wait(ctx context.Context) {
	select {
	case h := <-f.hintChannel():
		f.fetch(ctx, h.address)
	case <-time.After(idlePause):
	case <-ctx.Done():
	}
}

// watch waits for the next head in the service, and for hints meanwhile.
func (f *Follower) watch(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { done <- f.watchOnce(watchCtx) })
	defer group.Wait()
	for {
		select {
		case h := <-f.hintChannel():
			f.fetch(ctx, h.address)
		case err := <-done:
			if err != nil && ctx.Err() == nil {
				f.warn(err, "catalog watch failed")
				work.Sleep(ctx, retryPause)
			}
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context) error {
	entry, err := f.Store.Get(ctx, HeadKey)
	var missing *keyvalue.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return fmt.Errorf("read catalog head: %w", err)
	}
	f.contacted()
	for ctx.Err() == nil {
		if entry.Revision() != 0 {
			if err := f.take(ctx, entry); err != nil {
				return err
			}
		}
		entry, err = f.Store.Watch(ctx, HeadKey, entry.Revision(), watchWait)
		if errors.As(err, &missing) {
			work.Sleep(ctx, retryPause)
			err = nil
		}
		if err != nil {
			return fmt.Errorf("watch catalog head: %w", err)
		}
		f.contacted()
		if !f.ShouldWatch() {
			return nil
		}
	}
	return nil
}

// warn logs a warning, but not every time during a long outage.
func (f *Follower) warn(err error, message string) {
	f.mu.Lock()
	due := time.Since(f.warned) >= warnPeriod
	if due {
		f.warned = time.Now()
	}
	f.mu.Unlock()
	if due {
		f.Log.WithError(err).Warn(message)
	}
}
