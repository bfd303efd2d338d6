package allowance

import (
	"fmt"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

const (
	// hedgeDelay is how long an issuer may take before the next one is asked as well. A call
	// takes a few milliseconds.
	hedgeDelay = 25 * time.Millisecond
	// unreachablePeriod is how long an issuer is not asked after a call has failed, and
	// notIssuerPeriod after it has answered that it is none: views of the members differ for
	// as long as gossip takes.
	unreachablePeriod = 500 * time.Millisecond
	notIssuerPeriod   = 250 * time.Millisecond
	// maxEmptyPeriod bounds how long an issuer that had no token is not asked.
	maxEmptyPeriod = maxPromise
	// horizon is the time for which a host asks for tokens. Tokens for a longer time would
	// often expire.
	horizon = 300 * time.Millisecond
	// holderIdlePeriod is how long an unused account is kept. Nothing that is known of it
	// matters for longer, besides the requests within the window.
	holderIdlePeriod = 10 * time.Second
	// rateMemory is the time constant of the estimate of an account's rate.
	rateMemory = time.Second
	// MaxWanted bounds the tokens of one call.
	MaxWanted = 64
	// shortPeriod is how long an account counts as above its limit after no issuer has had a
	// token. Callers that were refused come back within about that time.
	shortPeriod = time.Second
	// undecidedWait is the wait of requests that no issuer has answered.
	undecidedWait = time.Second
)

// The kinds of decisions.
const (
	// Admitted requests may run.
	Admitted Kind = iota
	// Ask asks for a call to Issuer for Wanted tokens, which is decided again at its end, and
	// at Until at the latest.
	Ask
	// Wait asks to wait for the end of a call, until Until if it is set.
	Wait
	// Refused requests must not run.
	Refused
)

// A Kind is the kind of a Decision.
type Kind int

// A Request is a request of an account as one version of the configuration knows it.
type Request struct {
	Account string
	Limit   account.Limit
	Version uint64
	// IsOverdue is set if the answer will be late in any case, because the caller was refused
	// before or has come by a long way.
	IsOverdue bool
}

// A Decision is what to do with a request.
type Decision struct {
	Kind   Kind
	Ticket Ticket
	Issuer Member
	Wanted int
	Until  time.Time
	// Wait is the time until a refused request can expect a token.
	Wait time.Duration
	// Empty is how many issuers have no token, Unreachable how many did not answer.
	Empty, Unreachable int
}

// A Ticket is what an admitted request has used.
type Ticket struct {
	Account string
	// Issuer is the host that has issued the token; empty for a request out of the own
	// allowance.
	Issuer  string
	expires time.Time
	at      time.Time
	// isMissing is set for a token of the part of issuers that have not answered.
	isMissing bool
}

// A Holder spends the tokens of accounts on one host. It is not safe for concurrent use.
type Holder struct {
	Margin Margin

	holdings map[string]*holding
}

// Take decides on a request. While the account is above its limit, overdue requests are refused:
// each token that they use is missing to a request whose answer can be on time. The load is an
// account that sends several times its limit, whose refused callers come back.
func (h *Holder) Take(now time.Time, r Request, v *View, arrived bool) Decision {
	k := h.holding(now, r, v)
	if arrived {
		k.arrivals = k.rate(now)*rateMemory.Seconds() + 1
		k.arrivedAt = now
	}
	if r.IsOverdue && now.Before(k.shortUntil) {
		return Decision{Kind: Refused, Wait: k.shortUntil.Sub(now)}
	}
	if g := k.firstGrant(now); g != nil {
		g.count--
		return Decision{Kind: Admitted, Ticket: Ticket{Account: r.Account, Issuer: g.issuer, expires: g.expires, at: now}}
	}
	waiting := false
	for n := range k.issuers {
		s := &k.issuers[n]
		switch {
		case !s.calledAt.IsZero() && s.failed:
			// A request waits for an issuer whose last call has failed only if it would be
			// refused.
		case !s.calledAt.IsZero() && now.Sub(s.calledAt) < hedgeDelay:
			return Decision{Kind: Wait, Until: s.calledAt.Add(hedgeDelay)}
		case !s.calledAt.IsZero():
			waiting = true
		case !now.Before(s.askAgainAt):
			s.calledAt = now
			d := Decision{Kind: Ask, Issuer: *s.Member, Wanted: min(1+int(k.rate(now)*horizon.Seconds()), MaxWanted), Until: now}
			if !s.failed {
				d.Until = now.Add(hedgeDelay)
			}
			return d
		}
	}
	if waiting {
		return Decision{Kind: Wait}
	}
	d := h.Conclude(now, r, v)
	for _, s := range k.issuers {
		// A host that was cut off until now would refuse the first request of each account.
		if d.Kind == Refused && !s.calledAt.IsZero() && now.Sub(s.calledAt) < hedgeDelay {
			return Decision{Kind: Wait, Until: s.calledAt.Add(hedgeDelay)}
		}
	}
	return d
}

// Conclude decides on a request that can wait for no issuer any more. It is run out of the own
// allowance if possible, also if the issuers have no token: most accounts send few requests, at
// random times, and several at once must not be refused. For each issuer to which the last call
// has failed, the host also has its part of what this issuer may issue: the issuer is dead, or
// it does without this part, see Issuer.fraction.
func (h *Holder) Conclude(now time.Time, r Request, v *View) Decision {
	k := h.holding(now, r, v)
	k.fillMissing(now)
	d := Decision{Kind: Refused, Wait: undecidedWait}
	for n := range k.issuers {
		s := &k.issuers[n]
		s.failed = s.failed || !s.calledAt.IsZero()
		if s.failed || !now.Before(s.emptyUntil) {
			d.Unreachable++
			continue
		}
		d.Empty++
		if wait := s.emptyUntil.Sub(now); d.Empty == 1 || wait < d.Wait {
			d.Wait = wait
		}
	}
	k.expireOwnUses(now, h.Margin.Window)
	admitted := Decision{Kind: Admitted, Ticket: Ticket{Account: r.Account, at: now}, Empty: d.Empty, Unreachable: d.Unreachable}
	if len(k.ownUses) < v.part(h.Margin.OwnAllowance(r.Limit, v.hosts), r.Account) {
		k.ownUses = append(k.ownUses, now)
		return admitted
	}
	if k.missing.tokens >= 1 {
		k.missing.tokens--
		admitted.Ticket.isMissing = true
		return admitted
	}
	return d
}

// Receive records the answer of an issuer to a call that was made at calledAt. version is the
// version of the configuration of the issuer.
func (h *Holder) Receive(now, calledAt time.Time, name, issuer string, reply Reply, version uint64) {
	k := h.holdings[name]
	if k == nil {
		return
	}
	issued := reply.Issued
	if version < k.version {
		issued = k.boundByOwnLimit(now, issued)
	}
	if expires := calledAt.Add(min(reply.Validity, Validity)); issued > 0 && now.Before(expires) {
		k.grants = append(k.grants, grant{issuer: issuer, count: issued, expires: expires})
	}
	s := k.issuer(issuer)
	if s == nil {
		return
	}
	k.fillMissing(now)
	s.calledAt, s.failed = time.Time{}, false
	switch {
	case reply.NotIssuer:
		s.emptyUntil, s.askAgainAt = time.Time{}, now.Add(notIssuerPeriod)
	case reply.Issued == 0:
		s.emptyUntil = now.Add(reply.Wait)
		s.askAgainAt = now.Add(min(reply.Wait, maxEmptyPeriod))
		if k.isShort(now) {
			k.shortUntil = now.Add(shortPeriod)
		}
	}
}

// Fail records that a call to an issuer has failed.
func (h *Holder) Fail(now time.Time, name, issuer string) {
	if k := h.holdings[name]; k != nil {
		if s := k.issuer(issuer); s != nil {
			k.fillMissing(now)
			s.calledAt, s.failed, s.askAgainAt = time.Time{}, true, now.Add(unreachablePeriod)
		}
	}
}

// GiveBack returns the token of a request that has not run. It can be used until it expires.
func (h *Holder) GiveBack(now time.Time, t Ticket) {
	k := h.holdings[t.Account]
	switch {
	case k == nil:
	case t.Issuer != "" && now.Before(t.expires):
		k.grants = append(k.grants, grant{issuer: t.Issuer, count: 1, expires: t.expires})
	case t.isMissing:
		k.missing.tokens = min(k.missing.capacity, k.missing.tokens+1)
	case t.Issuer == "":
		for n, at := range k.ownUses {
			if at.Equal(t.at) {
				k.ownUses = append(k.ownUses[:n], k.ownUses[n+1:]...)
				return
			}
		}
	}
}

// Maintain drops the accounts that are unused.
func (h *Holder) Maintain(now time.Time) {
	for name, k := range h.holdings {
		if now.Sub(k.arrivedAt) >= max(holderIdlePeriod, h.Margin.Window) {
			delete(h.holdings, name)
		}
	}
}

// Describe describes what is known of the issuers of an account: the state of each, and for how
// long it will not be asked.
func (h *Holder) Describe(now time.Time, name string) []string {
	k := h.holdings[name]
	if k == nil {
		return nil
	}
	var list []string
	for _, s := range k.issuers {
		state := "empty"
		switch {
		case s.failed:
			state = "unreachable"
		case !s.calledAt.IsZero():
			state = "asked"
		}
		list = append(list, fmt.Sprintf("%s: %s, not asked for %d ms", s.Host, state, max(0, s.askAgainAt.Sub(now)).Milliseconds()))
	}
	return list
}

// Calls returns the number of outstanding calls to issuers.
func (h *Holder) Calls() int {
	calls := 0
	for _, k := range h.holdings {
		for _, s := range k.issuers {
			if !s.calledAt.IsZero() {
				calls++
			}
		}
	}
	return calls
}

// Len returns the number of accounts in use.
func (h *Holder) Len() int { return len(h.holdings) }

// holding returns the state of an account, adapted to the version and the view of a request.
func (h *Holder) holding(now time.Time, r Request, v *View) *holding {
	if h.holdings == nil {
		h.holdings = make(map[string]*holding)
	}
	k, ok := h.holdings[r.Account]
	if !ok {
		k = &holding{limit: r.Limit, version: r.Version, arrivedAt: now}
		h.holdings[r.Account] = k
	}
	if r.Version > k.version {
		if r.Limit.RatePerSecond < k.limit.RatePerSecond || r.Limit.Burst < k.limit.Burst {
			k.grants = nil
		}
		k.version, k.limit = r.Version, r.Limit
	}
	if k.view != v {
		k.setView(now, v, r.Account)
	}
	return k
}
