package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		leases := &Leases{Store: &Store{}}
		first, second := leases.Grant(time.Second), leases.Grant(time.Minute)
		written, err := leases.Acquire(ctx, first, "k", []byte("a"))
		c.Assert(err, qt.IsNil)
		c.Check(written, qt.IsTrue)
		written, _ = leases.Acquire(ctx, second, "k", []byte("b"))
		c.Check(written, qt.IsFalse)
		time.Sleep(900 * time.Millisecond)
		c.Check(leases.Renew(first), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		c.Check(leases.Store.CountKeys("k"), qt.Equals, 1)
		time.Sleep(200 * time.Millisecond)
		c.Check(leases.Store.CountKeys("k"), qt.Equals, 0)
		c.Check(leases.Renew(first), qt.Equals, ErrLeaseNotFound)
		written, _ = leases.Acquire(ctx, second, "k", []byte("b"))
		c.Check(written, qt.IsTrue)
		time.Sleep(2 * time.Minute)
	})
}
