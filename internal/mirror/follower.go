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
	// watchWait is how long one watch waits. A change is missed for that long at
	// most if the connection of the watch went silent.
	watchWait = 700 * time.Millisecond
	// callSlack is how much longer than its wait a call may take.
	callSlack = 300 * time.Millisecond
	// listTimeout bounds the reading of all keys.
	listTimeout = 1500 * time.Millisecond
	// batchPause is the pause after a change before the next watch: changes that
	// come together cost one call.
	batchPause = 250 * time.Millisecond
	// failurePause is the pause after a failed call. Hosts that do not read the store
	// for all double it with each failure up to maxFailurePause: one that reaches the
	// store again tells them.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 1500 * time.Millisecond
	// idlePause is how often a host that does not watch looks whether it must.
	idlePause = 200 * time.Millisecond
	// peerTimeout bounds one call to a peer.
	peerTimeout = 700 * time.Millisecond
	// hintCount is how many hints may wait.
	hintCount = 4
)

// A Difference is what a peer knows more.
type Difference struct {
	Changes []keyvalue.Change
	// Full is set if the changes are all keys there are.
	Full     bool
	Revision uint64
	// Age is how long ago the revision was known to be the newest.
	Age time.Duration
}

// A Follower keeps the Mirror of one host current, from the store or from
// peers. Its exported fields are set before Run.
type Follower struct {
	Feed keyvalue.Feed
	// Fetch asks a peer for what it knows more than a revision.
	Fetch func(ctx context.Context, address string, have uint64) (Difference, error)
	// ShouldWatch reports whether this host reads the store itself, given how long
	// ago its copy was known to be current. Those that do at any age read it for all.
	ShouldWatch func(age time.Duration) bool
	// OnChange is called after each change, never twice at once.
	OnChange func(records []keyvalue.Change, revision uint64)
	Log      logrus.FieldLogger

	mu     sync.Mutex
	mirror *Mirror
	// current is when the copy was last known to be the newest.
	current time.Time
	// reached tells whether the last call to the store succeeded.
	reached bool
	// applying makes sure that OnChange sees the changes in order.
	applying sync.Mutex
	hints    chan string
	started  time.Time
}

// Init must be called before anything else.
func (f *Follower) Init() {
	f.mirror = New()
	f.hints = make(chan string, hintCount)
	f.started = time.Now()
	f.reached = true
}

// Age returns how long ago the copy was known to be the newest.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.IsZero() {
		return time.Since(f.started) + time.Hour
	}
	return time.Since(f.current)
}

// Difference returns what a peer with a revision lacks.
func (f *Follower) Difference(have uint64) Difference {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Difference{Revision: f.mirror.Revision(), Age: age}
	if f.mirror.Revision() > have {
		d.Changes, d.Full = f.mirror.Difference(have)
	}
	return d
}

// HandlePeerRevision takes the revision and the age that a peer told.
func (f *Follower) HandlePeerRevision(address string, revision uint64, age time.Duration) {
	f.mu.Lock()
	behind := revision > f.mirror.Revision()
	if !behind && revision == f.mirror.Revision() {
		f.confirm(age)
	}
	f.mu.Unlock()
	if !behind {
		return
	}
	select {
	case f.hints <- address:
	default:
	}
}

// Revision returns the revision up to which the copy is complete.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Revision()
}

// Run follows the store and the peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.followStore(ctx) })
	return group.Wait()
}

// followPeers takes what a peer knows more as soon as one says so.
func (f *Follower) followPeers(ctx context.Context) error {
	for {
		select {
		case address := <-f.hints:
			f.fetch(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Follower) followStore(ctx context.Context) error {
	listed := false
	failed := failurePause
	for ctx.Err() == nil {
		if !f.ShouldWatch(f.Age()) {
			listed = false
			work.Sleep(ctx, idlePause)
			continue
		}
		err := f.follow(ctx, listed)
		listed = err == nil
		if ctx.Err() != nil {
			break
		}
		f.noteReach(err)
		if err == nil || f.ShouldWatch(0) {
			failed = failurePause
		}
		if err != nil {
			work.Sleep(ctx, failed)
			failed = min(2*failed, maxFailurePause)
		}
	}
	return nil
}

// Apply applies a difference; it reports whether anything changed.
func (f *Follower) Apply(d Difference) bool {
	return f.update(d.Age, func(m *Mirror) bool {
		if d.Full {
			return d.Revision > m.Revision() && m.Replace(d.Changes, d.Revision)
		}
		return m.Apply(d.Changes, d.Revision)
	})
}

// confirm notes that the copy was the newest some time ago; the caller holds
// the lock.
func (f *Follower) confirm(age time.Duration) {
	if at := time.Now().Add(-age); at.After(f.current) {
		f.current = at
	}
}

// follow makes one call to the store: it reads everything if the changes since
// the copy are not known, or else waits for changes.
func (f *Follower) follow(ctx context.Context, listed bool) error {
	after := f.Revision()
	if after == 0 || !listed {
		return f.list(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+callSlack)
	defer cancel()
	changes, revision, err := f.Feed.WatchPrefix(watchCtx, "", after, watchWait)
	if err != nil {
		return fmt.Errorf("watch the store: %w", err)
	}
	changed := f.update(0, func(m *Mirror) bool { return m.Apply(changes, revision) })
	if changed {
		work.Sleep(ctx, batchPause)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, revision, err := f.Feed.List(listCtx, "")
	if err != nil {
		return fmt.Errorf("read the store: %w", err)
	}
	f.update(0, func(m *Mirror) bool { return m.Replace(all, revision) })
	return nil
}

// noteReach logs when the store is lost and when it is back.
func (f *Follower) noteReach(err error) {
	var lost *keyvalue.HistoryLostError
	if errors.As(err, &lost) {
		f.Log.WithField("revision", lost.After).Info("history of the store lost, reading all keys")
		return
	}
	f.mu.Lock()
	changed := f.reached != (err == nil)
	f.reached = err == nil
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		f.Log.WithError(err).Warn("store lost")
	case changed:
		f.Log.WithField("revision", f.Revision()).Info("store is back")
	}
}

// update changes the copy and tells of it.
func (f *Follower) update(age time.Duration, change func(*Mirror) bool) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	changed := change(f.mirror)
	f.confirm(age)
	var records []keyvalue.Change
	if changed {
		records = f.mirror.Records()
	}
	revision := f.mirror.Revision()
	f.mu.Unlock()
	if changed {
		f.OnChange(records, revision)
	}
	return changed
}

func (f *Follower) fetch(ctx context.Context, address string) {
	fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	d, err := f.Fetch(fetchCtx, address, f.Revision())
	if err != nil {
		f.Log.WithError(err).WithField("peer", address).Debug("peer did not tell what changed")
		return
	}
	f.Apply(d)
}
