package keyvalue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := WithProgress(context.Background(), time.Second)
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			c.Assert(ctx.Err(), qt.IsNil)
			RecordProgress(ctx)
		}
		time.Sleep(1001 * time.Millisecond)
		c.Check(context.Cause(ctx), qt.Equals, error(errNoProgress))
		RecordProgress(ctx)
		time.Sleep(2 * time.Second)
		c.Check(ctx.Err(), qt.IsNotNil)
		cancel()
		parent, cancelParent := context.WithCancel(context.Background())
		ctx, cancel = WithProgress(parent, time.Second)
		defer cancel()
		cancelParent()
		c.Check(errors.Is(ctx.Err(), context.Canceled), qt.IsTrue)
		RecordProgress(context.Background())
	})
}
