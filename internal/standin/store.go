package standin

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// StoreFaults are the faults that can be injected into the key-value service.
type StoreFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMilliseconds is added to the duration of each call.
	DelayMilliseconds int64 `json:"delay-milliseconds"`
	// LoseReplies makes each write return an error, whether or not it took effect.
	LoseReplies bool `json:"lose-replies"`
}

// A Store is an in-memory key-value service. The zero value is ready to use.
type Store struct {
	mu       sync.Mutex
	entries  map[string]keyvalue.Entry
	revision uint64
	faults   StoreFaults
	// changed is closed and replaced on each write that takes effect and each change of
	// the faults.
	changed       chan struct{}
	reads, writes int
}

var (
	errStoreDown = errors.New("the key-value service is down")
	errReplyLost = errors.New("the reply of the key-value service was lost")

	_ keyvalue.Store = (*Store)(nil)
)

// CallCounts returns the numbers of reads and writes so far, with those that failed. A
// watch counts as one read.
func (s *Store) CallCounts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// CompareAndSwap implements keyvalue.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (bool, error) {
	return s.write(ctx, key, expectedRevision, func() {
		s.entries[key] = keyvalue.NewEntry(key, append([]byte(nil), value...), s.revision)
	})
}

// Delete implements keyvalue.Store.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return s.write(ctx, key, revision, func() { delete(s.entries, key) })
}

// DeleteTree implements keyvalue.Store.
func (s *Store) DeleteTree(ctx context.Context, prefix string) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			delete(s.entries, key)
		}
	}
	s.notifyWatchers()
	return s.replyError()
}

// Get implements keyvalue.Store.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return keyvalue.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return keyvalue.Entry{}, &keyvalue.NotFoundError{Key: key}
	}
	return entry, nil
}

// CountKeys returns the number of keys that start with a prefix.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// SetFaults replaces the faults. Setting Down makes the pending watches fail.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Watch implements keyvalue.Store.
func (s *Store) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (keyvalue.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return keyvalue.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		entry, ok := s.entries[key]
		down, changed := s.faults.Down, s.changedChannel()
		s.mu.Unlock()
		switch {
		case down:
			return keyvalue.Entry{}, errStoreDown
		case entry.Revision() != revision:
			return entry, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return keyvalue.Entry{}, &keyvalue.NotFoundError{Key: key}
			}
			return entry, nil
		case <-ctx.Done():
			return keyvalue.Entry{}, ctx.Err()
		}
	}
}

// beginCall counts a call and applies the faults DelayMilliseconds and Down.
func (s *Store) beginCall(ctx context.Context, isWrite bool) error {
	s.mu.Lock()
	if s.entries == nil {
		s.entries = make(map[string]keyvalue.Entry)
	}
	if isWrite {
		s.writes++
	} else {
		s.reads++
	}
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMilliseconds > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMilliseconds) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Down {
		return errStoreDown
	}
	return nil
}

// changedChannel returns the channel that the next change closes. The caller holds
// the lock.
func (s *Store) changedChannel() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notifyWatchers wakes the pending watches. The caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changedChannel())
	s.changed = make(chan struct{})
}

func (s *Store) write(ctx context.Context, key string, revision uint64, apply func()) (bool, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision() != revision {
		return false, s.replyError()
	}
	s.revision++
	apply()
	s.notifyWatchers()
	return true, s.replyError()
}

// replyError returns an error if the replies to writes are lost. The caller holds
// the lock.
func (s *Store) replyError() error {
	if s.faults.LoseReplies {
		return errReplyLost
	}
	return nil
}
