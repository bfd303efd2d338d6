package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// watchWait is how long one watch waits for changes. If the connection of the
	// watch has gone silent, a change is delayed until the watch has timed out and
	// has been retried.
	watchWait = 700 * time.Millisecond
	// watchGracePeriod is added to the wait of a watch to give the timeout of the call.
	watchGracePeriod = 300 * time.Millisecond
	// listTimeout is how long the next part of a list may take. A list of a large store has
	// many parts.
	listTimeout = 1500 * time.Millisecond
	// staleListAge is the age of a list that may be stale. It makes ShouldWatch true on
	// any host.
	staleListAge = time.Hour
	// batchDelay is the delay after a change before the next watch, so that changes in
	// quick succession cost one call.
	batchDelay = 250 * time.Millisecond
	// minRetryDelay is the delay after a failed call to the store. Hosts that are not
	// watchers double the delay with each failure up to maxRetryDelay. They can wait
	// longer because they get changes from the first host that reaches the store again.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// idleInterval is how often a host that does not watch the store checks whether
	// ShouldWatch has become true.
	idleInterval = 200 * time.Millisecond
	// partialListInterval is how often the store is listed again while keys of the list cannot be
	// read. Until then watches tell what changes.
	partialListInterval = 10 * time.Second
	// peerTimeout is the timeout of a call to a peer.
	peerTimeout = 700 * time.Millisecond
	// maxPendingHints bounds the queue of peers with a newer revision. Hints above the
	// bound are dropped.
	maxPendingHints = 4
)

// A Difference holds the changes that a peer has and the receiver lacks or, if Full is
// set, all keys of the peer.
type Difference struct {
	Changes []keyvalue.Change
	// Full is set if Changes holds all keys and replaces the receiver's copy.
	Full     bool
	Revision keyvalue.Revision
	// Age is the time since Revision was last confirmed to be the newest.
	Age time.Duration
}

// A Follower keeps the Mirror of one host up to date, from the store or from peers. Its
// exported fields are set before Run.
type Follower struct {
	Feed keyvalue.Feed
	// Fetch requests the changes after haveRevision from the peer at an address.
	Fetch func(ctx context.Context, address string, haveRevision keyvalue.Revision) (Difference, error)
	// ShouldWatch reports whether this host reads the store itself, given the age of
	// its mirror. For a watcher, a host that reads the store for all hosts,
	// ShouldWatch is true at any age.
	ShouldWatch func(age time.Duration) bool
	// OnChange is called with all records after each change of the mirror, never
	// concurrently.
	OnChange func(records []keyvalue.Change, revision keyvalue.Revision)
	// OnPartialList is called when keys of a list cannot be read, once as long as the problem is
	// the same. It may be nil.
	OnPartialList func(*keyvalue.PartialListError)
	Log           logrus.FieldLogger

	mu     sync.Mutex
	mirror *Mirror
	// confirmedAt is when the mirror was last confirmed to be up to date.
	confirmedAt time.Time
	// appliedAt is confirmedAt without the confirmations of a change for which OnChange has
	// not returned; isApplying is set while there is such a change.
	appliedAt  time.Time
	isApplying bool
	// storeReachable is set if the last call to the store succeeded, not counting calls
	// that failed because the store had discarded changes. It is set initially.
	storeReachable bool
	// hasListed is set once a list was read from the store. The first one may be stale:
	// a watch that follows it brings the rest.
	hasListed bool
	// hasCurrent is set once a list that was not stale, or a watch, has succeeded. Only
	// followStore uses it.
	hasCurrent bool
	// listedAt is when the store was last listed, and listProblem why keys of that list could not
	// be read; empty if all could. Only followStore uses them.
	listedAt    time.Time
	listProblem string
	// applyMu ensures that OnChange receives the changes in order.
	applyMu sync.Mutex
	// hints holds the addresses of peers that have announced a newer revision.
	hints     chan string
	startedAt time.Time
}

// Init must be called before anything else.
func (f *Follower) Init() {
	f.mirror = New()
	f.hints = make(chan string, maxPendingHints)
	f.startedAt = time.Now()
	f.storeReachable = true
}

// Age returns the time since the mirror was last confirmed to be up to date. Before
// the first confirmation it returns at least an hour, so that ShouldWatch is true on
// any host.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return time.Since(f.startedAt) + time.Hour
	}
	return time.Since(f.confirmedAt)
}

// AppliedAge returns the age of what OnChange has been called with. It differs from Age while
// OnChange runs, which takes a while for a large store that comes back after an outage.
func (f *Follower) AppliedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.appliedAt.IsZero() {
		return time.Since(f.startedAt) + time.Hour
	}
	return time.Since(f.appliedAt)
}

// Difference returns the changes that a peer at haveRevision lacks.
func (f *Follower) Difference(haveRevision keyvalue.Revision) Difference {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Difference{Revision: f.mirror.Revision(), Age: age}
	if f.mirror.Revision() > haveRevision {
		d.Changes, d.Full = f.mirror.Difference(haveRevision)
	}
	return d
}

// HandlePeerRevision handles the revision and the age in a message of a peer. If the
// peer's revision is newer than the mirror, it queues a fetch of the peer's changes.
// If the revisions are equal, the mirror was up to date when the peer's copy was, so
// it records the peer's age.
func (f *Follower) HandlePeerRevision(address string, revision keyvalue.Revision, age time.Duration) {
	f.mu.Lock()
	own := f.mirror.Revision()
	isBehind := revision > own && revision.IsPlausibleAfter(own)
	if revision == own {
		f.confirm(age)
	}
	f.mu.Unlock()
	if !isBehind {
		if revision > own {
			f.Log.WithField("peer", address).WithField("revision", revision.String()).Warn("revision of a peer is implausible; ignored")
		}
		return
	}
	select {
	case f.hints <- address:
	default:
	}
}

// Revision returns the revision up to which the mirror is complete.
func (f *Follower) Revision() keyvalue.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision()
}

// Run updates the mirror from the store and from peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.followStore(ctx) })
	return group.Wait()
}

// followPeers fetches the changes from each peer that has announced a newer revision.
func (f *Follower) followPeers(ctx context.Context) error {
	for {
		select {
		case address := <-f.hints:
			f.fetchFromPeer(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

// followStore reads and watches the store while ShouldWatch is true.
func (f *Follower) followStore(ctx context.Context) error {
	inSync := false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !f.ShouldWatch(f.Age()) {
			inSync = false
			work.Sleep(ctx, idleInterval)
			continue
		}
		err := f.syncOnce(ctx, inSync)
		inSync = err == nil
		if ctx.Err() != nil {
			break
		}
		f.logReachability(err)
		if err == nil || f.ShouldWatch(0) {
			retryDelay = minRetryDelay
		}
		if err != nil {
			work.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return nil
}

// Apply applies a difference and records its age. It reports whether the mirror
// changed. The changes of a full difference are skipped if its revision is not newer
// than the mirror.
func (f *Follower) Apply(d Difference) bool {
	return f.update(d.Age, func(m *Mirror) bool {
		if d.Full {
			return d.Revision > m.Revision() && m.Replace(d.Changes, d.Revision)
		}
		return m.Apply(d.Changes, d.Revision)
	})
}

// confirm records that the mirror was up to date at the time that lies age in
// the past, unless a later time has been recorded. The caller holds f.mu.
func (f *Follower) confirm(age time.Duration) {
	if at := time.Now().Add(-age); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	if !f.isApplying {
		f.appliedAt = f.confirmedAt
	}
}

// syncOnce makes one call to the store and updates the mirror. It waits for changes
// if inSync is set and the mirror is not empty, and reads all keys otherwise. inSync
// means that the previous call succeeded and that this host has watched the store
// without interruption since.
func (f *Follower) syncOnce(ctx context.Context, inSync bool) error {
	after := f.Revision()
	isPartialListDue := f.listProblem != "" && time.Since(f.listedAt) >= partialListInterval
	if after == 0 || !inSync || isPartialListDue {
		return f.list(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchGracePeriod)
	defer cancel()
	changes, revision, err := f.Feed.WatchPrefix(watchCtx, "", after, watchWait)
	if err != nil {
		return fmt.Errorf("watch the store: %w", err)
	}
	if revision.Era() > after.Era() {
		return fmt.Errorf("watch the store, now at %v: %w", revision, &keyvalue.HistoryLostError{AfterRevision: after})
	}
	if revision < after {
		return fmt.Errorf("watch the store: response at %v is older than the mirror at %v", revision, after)
	}
	f.hasCurrent = true
	changed := f.update(0, func(m *Mirror) bool { return m.Apply(changes, revision) })
	if changed {
		work.Sleep(ctx, batchDelay)
	}
	return nil
}

// list reads all keys of the store and updates the mirror with them. Only followStore
// calls it.
func (f *Follower) list(ctx context.Context) error {
	listCtx, cancel := keyvalue.WithProgress(ctx, listTimeout)
	defer cancel()
	allowStale := !f.hasListed
	all, revision, err := f.Feed.List(listCtx, "", allowStale)
	var partial *keyvalue.PartialListError
	if err != nil && !errors.As(err, &partial) {
		return fmt.Errorf("read the store: %w", err)
	}
	f.recordList(partial)
	apply := (*Mirror).Replace
	if partial != nil {
		apply = (*Mirror).Merge
	}
	f.hasListed = true
	if allowStale {
		f.update(staleListAge, func(m *Mirror) bool { return apply(m, all, revision) })
		return nil
	}
	if own := f.Revision(); revision.Era() < own.Era() {
		return fmt.Errorf("read the store: list at %v is of an earlier era than the mirror at %v", revision, own)
	}
	isFirst := !f.hasCurrent
	f.hasCurrent = true
	f.update(0, func(m *Mirror) bool {
		if isFirst && revision < m.Revision() {
			// The first list was stale, of before the store's return from a copy.
			m.Reset()
		}
		return apply(m, all, revision)
	})
	return nil
}

// recordList records that the store was listed, and whether keys could not be read. Only
// followStore calls it.
func (f *Follower) recordList(partial *keyvalue.PartialListError) {
	before := f.listProblem
	f.listedAt, f.listProblem = time.Now(), ""
	if partial == nil {
		return
	}
	f.listProblem = partial.Problem
	if f.listProblem != before && f.OnPartialList != nil {
		f.OnPartialList(partial)
	}
}

// logReachability logs when the store becomes unreachable or reachable again, and when it has
// discarded the changes after the mirror's revision.
func (f *Follower) logReachability(err error) {
	var lost *keyvalue.HistoryLostError
	if errors.As(err, &lost) {
		f.Log.WithField("revision", lost.AfterRevision.String()).Info("store has discarded the changes after this revision; reading all keys")
		return
	}
	f.mu.Lock()
	changed := f.storeReachable != (err == nil)
	f.storeReachable = err == nil
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		f.Log.WithError(err).Warn("store lost")
	case changed:
		f.Log.WithField("revision", f.Revision().String()).Info("store is back")
	}
}

// update calls change with the mirror, records the age of the mirror and, if the mirror
// changed, calls OnChange. It reports whether the mirror changed.
func (f *Follower) update(age time.Duration, change func(*Mirror) bool) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	changed := change(f.mirror)
	f.isApplying = changed
	f.confirm(age)
	var records []keyvalue.Change
	if changed {
		records = f.mirror.Records()
	}
	revision := f.mirror.Revision()
	f.mu.Unlock()
	if changed {
		f.OnChange(records, revision)
		f.mu.Lock()
		f.isApplying, f.appliedAt = false, f.confirmedAt
		f.mu.Unlock()
	}
	return changed
}

func (f *Follower) fetchFromPeer(ctx context.Context, address string) {
	fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	d, err := f.Fetch(fetchCtx, address, f.Revision())
	if err != nil {
		f.Log.WithError(err).WithField("peer", address).Debug("could not fetch changes from peer")
		return
	}
	f.Apply(d)
}
