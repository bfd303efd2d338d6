package inventory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNewsBoard checks which news is new, how much is kept and for how long it is passed on.
func TestNewsBoard(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := &NewsBoard{}
	limit := func(lifetime uint64, limit float64, age time.Duration) News {
		return News{lifetime: lifetime, limit: limit, at: now.Add(-age)}
	}
	c.Check(b.Record(now, limit(1, 30, time.Second)), qt.IsTrue)
	c.Check(b.Record(now, limit(1, 30, 0)), qt.IsFalse, qt.Commentf("the same limit"))
	c.Check(b.Record(now, limit(1, 20, 2*time.Second)), qt.IsFalse, qt.Commentf("an older one"))
	c.Check(b.Record(now, limit(1, 0, 0)), qt.IsTrue, qt.Commentf("its end"))
	c.Check(b.Record(now, News{lifetime: 1, leaving: true, at: now}), qt.IsTrue)
	c.Check(b.Record(now, News{lifetime: 1, leaving: true, at: now.Add(time.Second)}), qt.IsFalse)
	c.Check(b.Recent(now), qt.HasLen, 2)
	c.Check(b.Recent(now.Add(newsPeriod+1)), qt.HasLen, 0)

	for n := range uint64(2 * maxNews) {
		c.Check(b.Record(now.Add(time.Duration(n)), limit(10+n, 30, 0)), qt.IsTrue)
	}
	c.Check(len(b.items) <= maxNews, qt.IsTrue)
	c.Check(b.Recent(now), qt.HasLen, MaxNewsPerMessage)
	c.Check(b.Record(now, limit(10+2*maxNews-1, 30, 0)), qt.IsFalse, qt.Commentf("the newest is kept"))
}
