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

// silenceBound is how long a silent connection to the service may be used.
const silenceBound = 2500 * time.Millisecond

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

func TestSilentConnectionIsGivenUp(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer((&standin.Store{}).Handler())
	defer server.Close()
	proxy := proxytest.NewProxy(t, strings.TrimPrefix(server.URL, "http://"))
	store := keyvalue.NewHTTPStore(proxy.Address())
	written, err := store.CompareAndSwap(context.Background(), "a", []byte("x"), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(written, qt.IsTrue)
	proxy.SilenceOpen()
	startAt := time.Now()
	_, err = store.Get(context.Background(), "a")
	c.Check(err, qt.IsNotNil)
	_, err = store.Get(context.Background(), "a")
	c.Check(err, qt.IsNil)
	c.Check(time.Since(startAt) < silenceBound, qt.IsTrue)
}

func TestWrappers(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	real := &standin.Store{}
	recording := &keyvalue.RecordingStore{Store: &keyvalue.DryRunStore{Store: &keyvalue.ReadOnlyStore{Store: real}}}
	written, err := recording.CompareAndSwap(ctx, "a", nil, 0)
	c.Check(err, qt.IsNil)
	c.Check(written, qt.IsTrue)
	c.Check(recording.Writes(), qt.DeepEquals, []string{"put a at 0: true, <nil>"})
	_, err = (&keyvalue.ReadOnlyStore{Store: real}).Delete(ctx, "a", 1)
	c.Check(err, qt.ErrorMatches, `write of "a" refused: the store is open for reading only`)
	_, writes := real.Calls()
	c.Check(writes, qt.Equals, 0)
}
