package keyvalue

import (
	"context"
	"fmt"
	"sync"
)

// A ReadOnlyError means that a ReadOnlyStore has refused a write.
type ReadOnlyError struct{ Key string }

// A ReadOnlyStore forwards reads and returns a *ReadOnlyError for writes.
type ReadOnlyStore struct{ Store }

// A DryRunStore forwards reads and reports success for writes without making them.
type DryRunStore struct{ Store }

// A RecordingStore forwards all calls and records each write with its result.
type RecordingStore struct {
	Store

	mu sync.Mutex
	// writes holds one line per write, also for failed writes, in order.
	writes []string
}

var (
	_ Store = (*ReadOnlyStore)(nil)
	_ Store = (*DryRunStore)(nil)
	_ Store = (*RecordingStore)(nil)
)

// Error implements error.
func (e *ReadOnlyError) Error() string {
	return fmt.Sprintf("write of %q refused: the store is open for reading only", e.Key)
}

// CompareAndSwap implements Store.
func (s *ReadOnlyStore) CompareAndSwap(_ context.Context, key string, _ []byte, _ uint64) (bool, error) {
	return false, &ReadOnlyError{Key: key}
}

// Delete implements Store.
func (s *ReadOnlyStore) Delete(_ context.Context, key string, _ uint64) (bool, error) {
	return false, &ReadOnlyError{Key: key}
}

// DeleteTree implements Store.
func (s *ReadOnlyStore) DeleteTree(_ context.Context, prefix string) error {
	return &ReadOnlyError{Key: prefix}
}

// CompareAndSwap implements Store.
func (s *DryRunStore) CompareAndSwap(context.Context, string, []byte, uint64) (bool, error) {
	return true, nil
}

// Delete implements Store.
func (s *DryRunStore) Delete(context.Context, string, uint64) (bool, error) {
	return true, nil
}

// DeleteTree implements Store.
func (s *DryRunStore) DeleteTree(context.Context, string) error {
	return nil
}

// CompareAndSwap implements Store.
func (s *RecordingStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (bool, error) {
	ok, err := s.Store.CompareAndSwap(ctx, key, value, revision)
	s.record("put %s at %d: %v, %v", key, revision, ok, err)
	return ok, err
}

// Delete implements Store.
func (s *RecordingStore) Delete(ctx context.Context, key string, revision uint64) (bool, error) {
	ok, err := s.Store.Delete(ctx, key, revision)
	s.record("delete %s at %d: %v, %v", key, revision, ok, err)
	return ok, err
}

// DeleteTree implements Store.
func (s *RecordingStore) DeleteTree(ctx context.Context, prefix string) error {
	err := s.Store.DeleteTree(ctx, prefix)
	s.record("delete all of %s: %v", prefix, err)
	return err
}

// Writes returns one line per write, also for failed writes, in order.
func (s *RecordingStore) Writes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.writes...)
}

func (s *RecordingStore) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, fmt.Sprintf(format, args...))
}
