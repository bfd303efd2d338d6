package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

// TestOverdueRequestsUseNoScarceTokens guards against callers of an account above its limit that all get late answers: those
// that were refused come back and use the tokens of those whose answers can be on time.
func TestOverdueRequestsUseNoScarceTokens(t *testing.T) {
	c := qt.New(t)
	issuer := Member{Host: "issuer", Address: "issuer:1", DataCenter: "dc"}
	v := NewView(Member{Host: "self", DataCenter: "dc"}, []Member{issuer}, 2, 2, Share{})
	now := time.Unix(1000, 0)
	fresh := Request{Account: "a", Limit: account.Limit{RatePerSecond: 10, Burst: 10}, Version: 1}
	overdue := fresh
	overdue.IsOverdue = true
	var h Holder

	c.Check(h.Take(now, overdue, v, true).Kind, qt.Equals, Ask)
	h.Receive(now, now, "a", issuer.Host, Reply{Issued: 1, Validity: Validity}, 1)
	c.Check(h.Take(now, overdue, v, false).Kind, qt.Equals, Admitted)

	c.Check(h.Take(now, fresh, v, true).Kind, qt.Equals, Ask)
	h.Receive(now, now, "a", issuer.Host, Reply{Wait: 100 * time.Millisecond}, 1)
	c.Check(h.Take(now, fresh, v, false).Kind, qt.Equals, Refused)

	later := now.Add(200 * time.Millisecond)
	d := h.Take(later, overdue, v, true)
	c.Check(d.Kind, qt.Equals, Refused)
	c.Check(d.Wait, qt.Equals, shortPeriod-200*time.Millisecond)
	c.Check(h.Take(later, fresh, v, true).Kind, qt.Equals, Ask)
	h.Receive(later, later, "a", issuer.Host, Reply{Issued: 1, Validity: Validity}, 1)
	c.Check(h.Take(later, overdue, v, true).Kind, qt.Equals, Refused)
	c.Check(h.Take(later, fresh, v, false).Kind, qt.Equals, Admitted)

	c.Check(h.Take(now.Add(shortPeriod), overdue, v, true).Kind, qt.Equals, Ask)
}
