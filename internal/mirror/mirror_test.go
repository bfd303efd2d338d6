package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

func put(key string, revision keyvalue.Revision) keyvalue.Change {
	return keyvalue.NewChange(key, []byte(fmt.Sprint(key, revision)), revision)
}

// formatKeys returns the sorted keys of a mirror, each followed by its revision.
func formatKeys(m *Mirror) string {
	var list []string
	for _, r := range m.Records() {
		list = append(list, fmt.Sprint(r.Key(), r.Revision(), " "))
	}
	slices.Sort(list)
	return strings.Join(list, "")
}

func TestApply(t *testing.T) {
	c := qt.New(t)
	m := New()
	c.Check(m.Apply([]keyvalue.Change{put("a", 2), put("b", 3)}, 3), qt.IsTrue)
	c.Check(m.Apply([]keyvalue.Change{put("a", 1), put("b", 3)}, 2), qt.IsFalse)
	c.Check(m.Revision(), qt.Equals, keyvalue.Revision(3))
	c.Check(m.Apply([]keyvalue.Change{keyvalue.NewRemoval("a", 4)}, 4), qt.IsTrue)
	c.Check(m.Apply([]keyvalue.Change{put("a", 2)}, 4), qt.IsFalse, qt.Commentf("older write after its removal"))
	c.Check(m.Replace([]keyvalue.Change{put("c", 6)}, 5), qt.IsTrue, qt.Commentf("written between two pages of the list"))
	c.Check(formatKeys(m), qt.Equals, "c6 ")
	m.Apply([]keyvalue.Change{put("d", 9)}, 9)
	c.Check(m.Replace([]keyvalue.Change{put("c", 6)}, 7), qt.IsFalse, qt.Commentf("mirror is newer than the list"))
	c.Check(formatKeys(m), qt.Equals, "c6 d9 ")
}

// TestReorderedMessages covers two failures that TestEveryInterleaving found: a
// response that is older than the mirror arrives after a list, and must not restore a
// removed key; and a mirror that was replaced by a list sends a difference to a
// mirror that still has a key removed before the list, and must send all keys.
func TestReorderedMessages(t *testing.T) {
	c := qt.New(t)
	m := New()
	m.Replace([]keyvalue.Change{put("b", 2)}, 3)
	c.Check(m.Apply([]keyvalue.Change{put("a", 1)}, 1), qt.IsFalse, qt.Commentf("a was removed before the list"))
	c.Check(m.Replace([]keyvalue.Change{put("a", 1)}, 1), qt.IsFalse)
	c.Check(formatKeys(m), qt.Equals, "b2 ")
	old := New()
	old.Apply([]keyvalue.Change{put("a", 1), put("b", 2)}, 2)
	changes, full := m.Difference(old.Revision())
	c.Assert(full, qt.IsTrue)
	old.Replace(changes, m.Revision())
	c.Check(formatKeys(old), qt.Equals, "b2 ")
}

// TestRandomReplication changes a store at random and updates three copies at random
// times, by watches, by lists and by differences between the copies. No key of a copy
// may return to an older revision, and after a last list all copies must be equal to
// the store.
func TestRandomReplication(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	store := New()
	var history []keyvalue.Change
	copies := []*Mirror{New(), New(), New()}
	seen := make([]map[string]keyvalue.Revision, len(copies))
	for i := range seen {
		seen[i] = make(map[string]keyvalue.Revision)
	}
	revision := keyvalue.Revision(1)
	for range 20_000 {
		i := random.IntN(len(copies))
		m := copies[i]
		switch random.IntN(5) {
		case 0, 1:
			revision++
			change := put(fmt.Sprint("k", random.IntN(20)), revision)
			if random.IntN(3) == 0 {
				change = keyvalue.NewRemoval(change.Key(), revision)
			}
			store.Apply([]keyvalue.Change{change}, revision)
			history = append(history, change)
		case 2:
			var events []keyvalue.Change
			for _, h := range history[max(0, len(history)-200):] {
				if h.Revision() > m.Revision() {
					events = append(events, h)
				}
			}
			if len(events) > 0 && events[0].Revision() == m.Revision()+1 {
				m.Apply(events, revision)
			}
		case 3:
			m.Replace(store.Records(), store.Revision())
		case 4:
			other := copies[random.IntN(len(copies))]
			if other.Revision() > m.Revision() {
				changes, full := other.Difference(m.Revision())
				if full {
					m.Replace(changes, other.Revision())
				} else {
					m.Apply(changes, other.Revision())
				}
			}
		}
		for _, r := range m.Records() {
			c.Assert(r.Revision() >= seen[i][r.Key()], qt.IsTrue, qt.Commentf("copy %d: key %s returned to an older revision", i, r.Key()))
			seen[i][r.Key()] = r.Revision()
		}
	}
	for _, m := range copies {
		m.Replace(store.Records(), store.Revision())
		c.Check(formatKeys(m), qt.Equals, formatKeys(store))
	}
}

// TestFullDifferenceAfterDiscardedRemovals checks that a peer at a revision from
// before a discarded removal gets all keys, since with an incremental difference it
// would keep removed keys. A peer that lacks only the last removal must get that
// removal alone.
func TestFullDifferenceAfterDiscardedRemovals(t *testing.T) {
	c := qt.New(t)
	m := New()
	m.Apply([]keyvalue.Change{put("kept", 1)}, 1)
	revision := keyvalue.Revision(1)
	for i := range maxRemovals + 10 {
		key := fmt.Sprint("k", i)
		m.Apply([]keyvalue.Change{put(key, revision+1), keyvalue.NewRemoval(key, revision+2)}, revision+2)
		revision += 2
	}
	_, full := m.Difference(3)
	c.Check(full, qt.IsTrue)
	changes, full := m.Difference(revision - 2)
	c.Check(full, qt.IsFalse)
	c.Check(changes, qt.HasLen, 1)
}

// A fakeFeed is a store that can be silent, fail or lose its history.
type fakeFeed struct {
	mu          sync.Mutex
	store       *Mirror
	history     []keyvalue.Change
	silent      bool
	failing     bool
	historyLost bool
	calls       int
	lists       int
	// partial is why keys of lists cannot be read; empty if all can. partialProblems holds what
	// the follower has reported.
	partial         string
	partialProblems []string
	// staleRecords and staleRevision are what a list that may be stale returns; if
	// staleRevision is zero, such a list is current.
	staleRecords  []keyvalue.Change
	staleRevision keyvalue.Revision
	staleLists    int
}

var errStore = errors.New("store fails")

func (f *fakeFeed) write(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := put(key, f.store.Revision()+1)
	f.store.Apply([]keyvalue.Change{c}, c.Revision())
	f.history = append(f.history, c)
}

func (f *fakeFeed) List(ctx context.Context, _ string, allowStale bool) ([]keyvalue.Change, keyvalue.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.lists++
	if f.silent {
		f.waitUnlocked(ctx)
		return nil, 0, ctx.Err()
	}
	if f.failing {
		return nil, 0, errStore
	}
	if f.partial != "" {
		return f.store.Records(), f.store.Revision(), &keyvalue.PartialListError{Problem: f.partial}
	}
	if allowStale {
		f.staleLists++
	}
	if allowStale && f.staleRevision > 0 {
		return f.staleRecords, f.staleRevision, nil
	}
	return f.store.Records(), f.store.Revision(), nil
}

func (f *fakeFeed) listCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func (f *fakeFeed) problems() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.partialProblems)
}

func (f *fakeFeed) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// configure changes the behaviour of the store.
func (f *fakeFeed) configure(change func(*fakeFeed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// waitUnlocked waits for the end of the context. It releases f.mu, which the caller holds,
// while it waits.
func (f *fakeFeed) waitUnlocked(ctx context.Context) {
	f.mu.Unlock()
	defer f.mu.Lock()
	<-ctx.Done()
}

func (f *fakeFeed) WatchPrefix(ctx context.Context, _ string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Change, keyvalue.Revision, error) {
	f.configure(func(f *fakeFeed) { f.calls++ })
	for deadline := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		events, revision, done, err := f.poll(ctx, after)
		if done || err != nil || !time.Now().Before(deadline) || ctx.Err() != nil {
			return events, revision, errors.Join(err, ctx.Err())
		}
	}
}

// poll returns the changes after a revision. done is set if poll returns changes or
// an error.
func (f *fakeFeed) poll(ctx context.Context, after keyvalue.Revision) (events []keyvalue.Change, revision keyvalue.Revision, done bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.silent:
		f.waitUnlocked(ctx)
		return nil, 0, true, ctx.Err()
	case f.failing:
		return nil, 0, true, errStore
	case f.historyLost:
		f.historyLost = false
		return nil, 0, true, &keyvalue.HistoryLostError{AfterRevision: after}
	}
	for _, h := range f.history {
		if h.Revision() > after {
			events = append(events, h)
		}
	}
	return events, f.store.Revision(), len(events) > 0, nil
}

func newTestFollower(feed *fakeFeed) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &Follower{
		Feed: feed, ShouldWatch: func(time.Duration) bool { return true }, OnChange: func([]keyvalue.Change, keyvalue.Revision) {}, Log: log,
	}
	f.Init()
	return f
}

// TestWatchRecoveryTime checks that a watching host has read the store 1.5 s after
// its start, and that a later change reaches it within maxPropagationTime, also when
// the watch goes silent, fails or finds the history discarded.
func TestWatchRecoveryTime(t *testing.T) {
	for _, test := range []struct {
		name               string
		injectFailure      func(*fakeFeed)
		maxPropagationTime time.Duration
	}{
		{"no failure", func(*fakeFeed) {}, 10 * time.Millisecond},
		{"silent connection", func(f *fakeFeed) {
			f.configure(func(f *fakeFeed) { f.silent = true })
			time.AfterFunc(100*time.Millisecond, func() { f.configure(func(f *fakeFeed) { f.silent = false }) })
		}, watchWait + watchGracePeriod + minRetryDelay + 50*time.Millisecond},
		{"short outage", func(f *fakeFeed) {
			f.configure(func(f *fakeFeed) { f.failing = true })
			time.AfterFunc(500*time.Millisecond, func() { f.configure(func(f *fakeFeed) { f.failing = false }) })
		}, 500*time.Millisecond + minRetryDelay + 10*time.Millisecond},
		{"lost history", func(f *fakeFeed) { f.configure(func(f *fakeFeed) { f.historyLost = true }) }, minRetryDelay + 10*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				feed := &fakeFeed{store: New()}
				feed.write("a")
				f := newTestFollower(feed)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				run := func() { done <- f.Run(ctx) }
				startInBubble(run)
				time.Sleep(1500 * time.Millisecond)
				c.Assert(f.Revision(), qt.Equals, keyvalue.Revision(1))
				test.injectFailure(feed)
				feed.write("b")
				time.Sleep(test.maxPropagationTime)
				c.Check(f.Revision(), qt.Equals, keyvalue.Revision(2))
				cancel()
				c.Check(<-done, qt.IsNil)
			})
		})
	}
}

// TestFetchFromPeer checks that a host that does not watch the store fetches a change
// from a peer with a newer revision, without a call to the store. After that, a
// message of a peer at the same revision must update the age of the mirror, and a
// message of a peer at a lower revision must not.
func TestFetchFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		feed := &fakeFeed{store: New()}
		source := newTestFollower(feed)
		source.Apply(Difference{Changes: []keyvalue.Change{put("a", 4)}, Full: true, Revision: 4})
		f := newTestFollower(feed)
		f.ShouldWatch = func(time.Duration) bool { return false }
		f.Fetch = func(_ context.Context, _ string, have keyvalue.Revision) (Difference, error) {
			return source.Difference(have), nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		startInBubble(func() { done <- f.Run(ctx) })
		f.HandlePeerRevision("peer", 4, 0)
		time.Sleep(time.Millisecond)
		c.Check(f.Revision(), qt.Equals, keyvalue.Revision(4))
		c.Check(feed.callCount(), qt.Equals, 0)
		time.Sleep(time.Second)
		f.HandlePeerRevision("peer", 4, 100*time.Millisecond)
		c.Check(f.Age(), qt.Equals, 100*time.Millisecond, qt.Commentf("a peer at the same revision confirms the mirror"))
		f.HandlePeerRevision("peer", 3, 0)
		c.Check(f.Age(), qt.Equals, 100*time.Millisecond, qt.Commentf("a peer that is behind does not confirm the mirror"))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}

// TestChangesAreBatched changes the store 25 times a second for 10 s. Because changes
// in quick succession cost one call, the host must make at most 45 calls, and one
// second later it must have all changes.
func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		feed := &fakeFeed{store: New()}
		feed.write("a")
		f := newTestFollower(feed)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		startInBubble(func() { done <- f.Run(ctx) })
		for range 250 {
			time.Sleep(40 * time.Millisecond)
			feed.write("a")
		}
		c.Check(feed.callCount() <= 45, qt.IsTrue, qt.Commentf("%d calls in 10 s", feed.callCount()))
		time.Sleep(time.Second)
		c.Check(f.Revision(), qt.Equals, keyvalue.Revision(251))
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}

// TestFirstListMayBeStale lets the store answer the first list, which may be stale, with
// the keys of some seconds ago. A watch must bring the rest at once, without a second
// list, and the mirror must not count as up to date before. After the store has lost its
// history, the list must be current.
func TestFirstListMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		feed := &fakeFeed{store: New()}
		feed.write("a")
		feed.write("b")
		feed.staleRecords, feed.staleRevision = feed.store.Records()[:1], 1
		feed.write("c")
		follower := newTestFollower(feed)
		ages, appliedAges := make(chan time.Duration, 10), make(chan time.Duration, 10)
		follower.OnChange = func([]keyvalue.Change, keyvalue.Revision) {
			ages <- follower.Age()
			appliedAges <- follower.AppliedAge()
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var group errgroup.Group
		group.Go(func() error { return follower.Run(ctx) })
		time.Sleep(10 * time.Millisecond)
		c.Check(follower.Revision(), qt.Equals, keyvalue.Revision(3))
		c.Check(feed.callCount(), qt.Equals, 2)
		c.Assert(ages, qt.HasLen, 2)
		stale := <-ages
		c.Check(stale >= staleListAge, qt.IsTrue, qt.Commentf("age of the stale list: %s", stale))
		c.Check(<-ages, qt.Equals, time.Duration(0))
		c.Check(<-appliedAges >= time.Hour, qt.IsTrue)
		c.Check(<-appliedAges >= staleListAge, qt.IsTrue, qt.Commentf("a change that is being applied counts as applied"))
		c.Check(follower.AppliedAge() <= 10*time.Millisecond, qt.IsTrue)
		feed.configure(func(f *fakeFeed) { f.historyLost = true })
		time.Sleep(5 * time.Second)
		feed.write("d")
		time.Sleep(time.Second)
		c.Check(follower.Revision(), qt.Equals, keyvalue.Revision(4))
		cancel()
		c.Check(group.Wait(), qt.IsNil)
		c.Check(feed.staleLists, qt.Equals, 1)
	})
}

// TestPartialListRemovesNothing checks that a list without some keys leaves these in the mirror and in those of peers, and that a complete one removes them.
func TestPartialListRemovesNothing(t *testing.T) {
	c := qt.New(t)
	m, behind := New(), New()
	m.Replace([]keyvalue.Change{put("a", 1), put("b", 2)}, 2)
	behind.Replace([]keyvalue.Change{put("a", 1), put("b", 2)}, 2)
	c.Check(m.Merge([]keyvalue.Change{put("c", 4)}, 5), qt.IsTrue)
	c.Check(formatKeys(m), qt.Equals, "a1 b2 c4 ")
	c.Check(m.Revision(), qt.Equals, keyvalue.Revision(5))
	restarted := New()
	restarted.Merge([]keyvalue.Change{put("c", 4)}, 5)
	changes, full := restarted.Difference(2)
	c.Check(full, qt.IsFalse)
	behind.Apply(changes, restarted.Revision())
	c.Check(formatKeys(behind), qt.Equals, "a1 b2 c4 ")
	c.Check(m.Replace([]keyvalue.Change{put("a", 1), put("c", 4)}, 6), qt.IsTrue)
	c.Check(formatKeys(m), qt.Equals, "a1 c4 ")
	_, full = m.Difference(3)
	c.Check(full, qt.IsTrue)
}

// TestPartialListsAreFollowed guards against a host that does not watch the store because keys of its list cannot be read.
func TestPartialListsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		feed := &fakeFeed{store: New(), partial: "first"}
		feed.write("a")
		f := newTestFollower(feed)
		f.OnPartialList = func(err *keyvalue.PartialListError) {
			feed.configure(func(f *fakeFeed) { f.partialProblems = append(f.partialProblems, err.Problem) })
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		startInBubble(func() { done <- f.Run(ctx) })
		time.Sleep(time.Second)
		feed.write("b")
		time.Sleep(300 * time.Millisecond)
		c.Check(f.Revision(), qt.Equals, keyvalue.Revision(2))
		c.Check(f.AppliedAge() < time.Second, qt.IsTrue)
		time.Sleep(5 * partialListInterval)
		c.Check(feed.problems(), qt.DeepEquals, []string{"first"})
		lists := feed.listCount()
		c.Check(lists >= 5 && lists <= 8, qt.IsTrue, qt.Commentf("%d lists", lists))
		feed.configure(func(f *fakeFeed) { f.partial = "second" })
		time.Sleep(partialListInterval + time.Second)
		c.Check(feed.problems(), qt.DeepEquals, []string{"first", "second"})
		feed.configure(func(f *fakeFeed) { f.partial = "" })
		time.Sleep(partialListInterval + time.Second)
		lists = feed.listCount()
		time.Sleep(3 * partialListInterval)
		c.Check(feed.listCount(), qt.Equals, lists)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
}
