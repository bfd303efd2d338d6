package allowance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

// TestTokensOfFailedIssuersAreGivenBack guards against a host that refuses requests while issuers do
// not answer, because requests that have not run have used its part of their tokens.
func TestTokensOfFailedIssuersAreGivenBack(t *testing.T) {
	c := qt.New(t)
	issuer := Member{Host: "issuer", Address: "issuer:1", DataCenter: "dc"}
	v := NewView(Member{Host: "self", DataCenter: "dc"}, []Member{issuer}, 2, 2, Share{})
	now := time.Unix(1000, 0)
	r := Request{Account: "a", Limit: account.Limit{RatePerSecond: 10, Burst: 10}, Version: 1}
	var h Holder
	c.Assert(h.Take(now, r, v, true).Kind, qt.Equals, Ask)
	h.Fail(now, "a", issuer.Host)
	now = now.Add(400 * time.Millisecond)
	h.holdings["a"].missing.tokens = 1
	d := h.Take(now, r, v, true)
	c.Assert(d.Kind, qt.Equals, Admitted)
	c.Assert(h.Take(now, r, v, true).Kind, qt.Equals, Refused)
	h.GiveBack(now, d.Ticket)
	c.Check(h.Take(now, r, v, true).Kind, qt.Equals, Admitted)
}
