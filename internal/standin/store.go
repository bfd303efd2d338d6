package standin

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// StoreFaults are the faults of the key-value service.
type StoreFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMilliseconds is added to each call.
	DelayMilliseconds int64 `json:"delay-milliseconds"`
	// LoseReplies makes writes take effect and fail.
	LoseReplies bool `json:"lose-replies"`
}

// A Store is a key-value service in memory. The zero value is ready.
type Store struct {
	mu       sync.Mutex
	entries  map[string]keyvalue.Entry
	revision uint64
	faults   StoreFaults
	// changed is closed and replaced with each write.
	changed       chan struct{}
	reads, writes int
}

var (
	errStoreDown = errors.New("the key-value service is down")
	errReplyLost = errors.New("the reply of the key-value service was lost")

	_ keyvalue.Store = (*Store)(nil)
)

// Calls returns how many reads (a watch counts as one) and writes there were.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// CompareAndSwap implements keyvalue.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	return s.write(ctx, key, revision, func() {
		s.entries[key] = keyvalue.NewEntry(key, append([]byte(nil), value...), s.revision)
	})
}

// Delete implements keyvalue.Store.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	return s.write(ctx, key, revision, func() { delete(s.entries, key) })
}

// DeleteTree implements keyvalue.Store.
func (s *Store) DeleteTree(ctx context.Context, prefix string) error {
	if err := s.begin(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			delete(s.entries, key)
		}
	}
	s.wake()
	return s.lost()
}

// Get implements keyvalue.Store.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return keyvalue.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return keyvalue.Entry{}, &keyvalue.NotFoundError{Key: key}
	}
	return e, nil
}

// Keys returns how many keys start with a prefix.
func (s *Store) Keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// SetFaults replaces the faults; waiting watches fail if the service is down.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Watch implements keyvalue.Store.
func (s *Store) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (keyvalue.Entry, error) {
	if err := s.begin(ctx, false); err != nil {
		return keyvalue.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		e, ok := s.entries[key]
		down, changed := s.faults.Down, s.changes()
		s.mu.Unlock()
		switch {
		case down:
			return keyvalue.Entry{}, errStoreDown
		case e.Revision() != revision:
			return e, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return keyvalue.Entry{}, &keyvalue.NotFoundError{Key: key}
			}
			return e, nil
		case <-ctx.Done():
			return keyvalue.Entry{}, ctx.Err()
		}
	}
}

// begin counts a call and applies the faults that come before it.
func (s *Store) begin(ctx context.Context, write bool) error {
	s.mu.Lock()
	if s.entries == nil {
		s.entries = make(map[string]keyvalue.Entry)
	}
	if write {
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

func (s *Store) changes() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) wake() {
	close(s.changes())
	s.changed = make(chan struct{})
}

func (s *Store) write(ctx context.Context, key string, revision uint64, apply func()) (bool, error) {
	if err := s.begin(ctx, true); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision() != revision {
		return false, s.lost()
	}
	s.revision++
	apply()
	s.wake()
	return true, s.lost()
}

func (s *Store) lost() error {
	if s.faults.LoseReplies {
		return errReplyLost
	}
	return nil
}
