package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reconnect makes all reconnects that are due, with one result, and returns the upstreams.
func (f *fixture) reconnect(isReached bool) (ids []string) {
	due, _ := f.DueReconnects(f.now)
	for _, u := range due {
		ids = append(ids, u.ID())
		f.RecordReconnect(f.now, u, isReached)
	}
	return ids
}

// TestReconnectsAreDue checks when reconnects are due, that only one of an upstream runs at a time, and that
// an upstream that responds meanwhile needs none.
func TestReconnectsAreDue(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	_, next := f.DueReconnects(f.now)
	c.Check(next.IsZero(), qt.IsTrue)
	f.members[0].recordUnreachable(f.now)
	_, next = f.DueReconnects(f.now)
	c.Check(next, qt.Equals, f.now.Add(minDownPeriod))
	f.now = next
	due, next := f.DueReconnects(f.now)
	c.Assert(due, qt.HasLen, 1)
	c.Check(next.IsZero(), qt.IsTrue)
	due, _ = f.DueReconnects(f.now)
	c.Check(due, qt.HasLen, 0)

	f.members[1].recordUnreachable(f.now)
	f.now = f.now.Add(10 * time.Second)
	due, _ = f.DueReconnects(f.now)
	c.Assert(due, qt.HasLen, 1)
	f.members[1].recordReachable(f.now)
	f.RecordReconnect(f.now, due[0], false)
	c.Check(f.members[1].isUsable(f.now), qt.IsTrue)
}

// TestNoReconnectToRestingUpstreams checks that an upstream that wants no requests is left alone.
func TestNoReconnectToRestingUpstreams(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	f.members[0].recordUnreachable(f.now)
	f.members[0].restUntil = f.now.Add(time.Minute)
	due, next := f.DueReconnects(f.now.Add(time.Second))
	c.Check(due, qt.HasLen, 0)
	c.Check(next, qt.Equals, f.members[0].restUntil)
}

// TestSlowDial checks that an upstream to which a connection takes long to open gets no attempts
// until a reconnect, unless it has responded meanwhile.
func TestSlowDial(t *testing.T) {
	c := qt.New(t)
	f := newFixture(newPolicy())
	m := f.members[0]
	m.respondedAt = f.now
	c.Check(f.RecordSlowDial(f.now.Add(time.Second), m.upstream, f.now.Add(-time.Second)), qt.IsFalse)
	c.Check(m.isUsable(f.now), qt.IsTrue)
	c.Check(f.RecordSlowDial(f.now, m.upstream, f.now), qt.IsTrue)
	c.Check(m.isUsable(f.now), qt.IsFalse)
	c.Check(f.RecordSlowDial(f.now, m.upstream, f.now), qt.IsFalse, qt.Commentf("known"))
	f.now = f.now.Add(minDownPeriod)
	c.Check(f.reconnect(true), qt.DeepEquals, []string{"a"})
	c.Check(m.isUsable(f.now), qt.IsTrue)
}
