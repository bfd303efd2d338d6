package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAlertsEnd guards against alerts that hosts keep alive among each other: events reach a host
// several times, late, in any order and with ages that are too small by the delay of messages. An
// alert must hold for AlertPeriod after the last event that happened, and end soon after that.
func TestAlertsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Alerts{NewAlerts(), NewAlerts(), NewAlerts()}
		now, last := start, start
		hosts[0].Raise(now, 7, now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			if now.Sub(start) < AlertPeriod/2 && rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				hosts[from].Raise(now, 7, now)
				last = now
			}
			// The message is lost, or arrives up to 250 ms late with the age as it was sent.
			delay := time.Duration(rapid.IntRange(0, 250).Draw(t, "delay")) * time.Millisecond
			if sent := hosts[from].Recent(now, 16); len(sent) > 0 && rapid.Bool().Draw(t, "arrives") {
				hosts[to].Raise(now.Add(delay), 7, now.Add(delay).Add(-now.Sub(sent[0].At)))
			}
		}
		for _, h := range hosts {
			if h.Holds(last.Add(AlertPeriod+minAlertAdvance), 7) {
				t.Fatalf("the alert holds %v after the last event", AlertPeriod+minAlertAdvance)
			}
		}
	})
}

// TestRaise checks which events are news for other hosts, and that implausible ones count for
// nothing.
func TestRaise(t *testing.T) {
	for _, test := range []struct {
		name       string
		age        time.Duration
		later      time.Duration
		wantNews   bool
		wantRaised bool
	}{
		{"the first event", 0, 0, true, true},
		{"a late message", 9 * time.Second, 0, true, true},
		{"a message that is too late", AlertPeriod, 0, false, false},
		{"an event in the future", -time.Hour, 0, true, true},
		{"the same event again", 0, time.Millisecond, false, true},
		{"another event while the alert holds", 0, AlertPeriod - 1, false, true},
		{"another event after the alert", 0, AlertPeriod, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := NewAlerts()
			now := start
			if test.later > 0 {
				a.Raise(start, 7, start)
				now = start.Add(test.later)
			}
			c.Check(a.Raise(now, 7, now.Add(-test.age)), qt.Equals, test.wantNews)
			c.Check(a.Holds(now, 7), qt.Equals, test.wantRaised)
			c.Check(a.Holds(now, 8), qt.IsFalse)
			c.Check(a.Holds(now.Add(AlertPeriod), 7), qt.IsFalse)
		})
	}
}

// TestAlertsAreBounded guards against memory that grows with messages of other hosts, and against
// test runs that cost a replica each.
func TestAlertsAreBounded(t *testing.T) {
	c := qt.New(t)
	a := NewAlerts()
	for s := range uint64(3 * maxAlerts) {
		a.Raise(start, s, start)
	}
	c.Check(a.Len(), qt.Equals, maxAlerts)
	c.Check(a.Recent(start, 16), qt.HasLen, 16)
	permitted := 0
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if a.PermitTestRun(at) == 0 {
			permitted++
		}
	}
	c.Check(permitted, qt.Equals, int(20*time.Second/alertTestInterval))
	a.RemoveExpired(start.Add(AlertPeriod))
	c.Check(a.Len(), qt.Equals, 0)
}

// TestKnownRequestsAreBounded checks that answered requests are known for a while, and that many
// of them do not grow the memory.
func TestKnownRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	var k KnownRequests
	c.Check(k.Contains(start, 1), qt.IsFalse)
	k.Add(start, 1)
	c.Check(k.Contains(start.Add(knownPeriod), 1), qt.IsTrue)
	c.Check(k.Contains(start.Add(2*knownPeriod), 1), qt.IsFalse)
	for f := range uint64(5 * maxKnown) {
		k.Add(start, f)
	}
	c.Check(len(k.recent)+len(k.older) <= 2*maxKnown, qt.IsTrue)
	c.Check(k.Contains(start, 5*maxKnown-1), qt.IsTrue)
	c.Check(k.Contains(start, 1), qt.IsFalse)
}
