package keyvalue_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/proxytest"
	"github.com/foxtailshelf/foxtailshelf/internal/standin"
)

// maxRecoveryDuration bounds the duration of a call on a silent connection, which
// times out after 2 s, and of the next call together.
const maxRecoveryDuration = 2500 * time.Millisecond

func TestHTTPStore(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer((&standin.Store{}).Handler())
	defer server.Close()
	store := keyvalue.NewHTTPStore(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	_, err := store.Get(ctx, "a/b c")
	var missing *keyvalue.NotFoundError
	c.Assert(err, qt.ErrorAs, &missing)
	for _, test := range []struct {
		revision uint64
		written  bool
	}{{7, false}, {0, true}, {0, false}, {1, true}} {
		written, err := store.CompareAndSwap(ctx, "a/b c", []byte("value"), test.revision)
		c.Assert(err, qt.IsNil)
		c.Check(written, qt.Equals, test.written)
	}
	e, err := store.Watch(ctx, "a/b c", 1, time.Second)
	c.Assert(err, qt.IsNil)
	c.Check(e.Revision(), qt.Equals, uint64(2))
	c.Check(string(e.Value()), qt.Equals, "value")
	c.Check(store.DeleteTree(ctx, "a/"), qt.IsNil)
	_, err = store.Get(ctx, "a/b c")
	c.Check(err, qt.ErrorAs, &missing)
}

// TestSilentConnectionIsNotReused checks that a call on a connection that went silent
// fails, that the next call succeeds on a new connection, and that both calls
// together take less than maxRecoveryDuration.
func TestSilentConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer((&standin.Store{}).Handler())
	defer server.Close()
	proxy := proxytest.NewProxy(t, strings.TrimPrefix(server.URL, "http://"))
	store := keyvalue.NewHTTPStore(proxy.Address())
	written, err := store.CompareAndSwap(context.Background(), "a", []byte("x"), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(written, qt.IsTrue)
	proxy.SilenceOpenConnections()
	startedAt := time.Now()
	_, err = store.Get(context.Background(), "a")
	c.Check(err, qt.IsNotNil)
	_, err = store.Get(context.Background(), "a")
	c.Check(err, qt.IsNil)
	c.Check(time.Since(startedAt) < maxRecoveryDuration, qt.IsTrue)
}

func TestWrappers(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &standin.Store{}
	recording := &keyvalue.RecordingStore{Store: &keyvalue.DryRunStore{Store: &keyvalue.ReadOnlyStore{Store: store}}}
	written, err := recording.CompareAndSwap(ctx, "a", nil, 0)
	c.Check(err, qt.IsNil)
	c.Check(written, qt.IsTrue)
	c.Check(recording.Writes(), qt.DeepEquals, []string{"put a at 0: true, <nil>"})
	_, err = (&keyvalue.ReadOnlyStore{Store: store}).Delete(ctx, "a", 1)
	c.Check(err, qt.ErrorMatches, `write of "a" refused: the store is open for reading only`)
	_, writes := store.CallCounts()
	c.Check(writes, qt.Equals, 0)
}
