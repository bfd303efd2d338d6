package allowance

import (
	"fmt"
	"math"
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
}

// A Holder spends the tokens of accounts on one host. It is not safe for concurrent use.
type Holder struct {
	Margin Margin

	holdings map[string]*holding
}

// A holding is the state of one account.
type holding struct {
	limit   account.Limit
	version uint64
	grants  []grant
	view    *View
	issuers []issuerState
	// arrivals is a count of the arrivals that decays with rateMemory, as of arrivedAt.
	arrivals  float64
	arrivedAt time.Time
	// ownUses are the times of requests out of the own allowance within the window.
	ownUses []time.Time
	// shortUntil is until when the account counts as above its limit.
	shortUntil time.Time
	// older bounds the tokens of issuers with an older version of the configuration.
	older *store
	// missing holds this host's part of the tokens of the issuers to which calls have failed.
	missing store
}

// A grant is the tokens of one call.
type grant struct {
	issuer  string
	count   int
	expires time.Time
}

// An issuerState is what a holder knows of one issuer of an account.
type issuerState struct {
	*Member
	// calledAt is when the outstanding call was made; zero if there is none.
	calledAt time.Time
	// emptyUntil is when it expects to have a token again. askAgainAt is when it is asked
	// again after that or after a failure.
	emptyUntil, askAgainAt time.Time
	// failed is set if the last call has failed or takes longer than a request waits.
	failed bool
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

// setView sets the issuers, and keeps what is known of those that remain.
func (k *holding) setView(now time.Time, v *View, name string) {
	if k.view != nil {
		k.fillMissing(now)
	}
	k.view = v
	members := v.issuers(name)
	states := make([]issuerState, len(members))
	for n, m := range members {
		states[n] = issuerState{Member: m}
		if s := k.issuer(m.Host); s != nil {
			states[n] = *s
		}
	}
	k.issuers = states
}

// fillMissing adds this host's part of what the failed issuers may issue. It is called before
// the set of failed issuers changes.
func (k *holding) fillMissing(now time.Time) {
	failed := 0
	for _, s := range k.issuers {
		if s.failed {
			failed++
		}
	}
	if failed == 0 {
		k.missing = store{updatedAt: now}
		return
	}
	part := (k.view.shareTo - k.view.shareFrom) * float64(failed) / float64(len(k.issuers))
	k.missing.rate, k.missing.capacity = part*k.limit.RatePerSecond, max(1, part*k.limit.Burst)
	k.missing.fill(now)
}

// isShort reports whether no issuer has a token.
func (k *holding) isShort(now time.Time) bool {
	for _, s := range k.issuers {
		if s.failed || !now.Before(s.emptyUntil) {
			return false
		}
	}
	return true
}

func (k *holding) issuer(host string) *issuerState {
	for n := range k.issuers {
		if k.issuers[n].Host == host {
			return &k.issuers[n]
		}
	}
	return nil
}

// firstGrant returns the tokens that expire first, or nil if there are none.
func (k *holding) firstGrant(now time.Time) *grant {
	valid := k.grants[:0]
	first := 0
	for _, g := range k.grants {
		if g.count == 0 || !now.Before(g.expires) {
			continue
		}
		valid = append(valid, g)
		if g.expires.Before(valid[first].expires) {
			first = len(valid) - 1
		}
	}
	k.grants = valid
	if len(valid) == 0 {
		return nil
	}
	return &k.grants[first]
}

// rate returns the number of arrivals per second.
func (k *holding) rate(now time.Time) float64 {
	return k.arrivals * math.Exp(-now.Sub(k.arrivedAt).Seconds()/rateMemory.Seconds()) / rateMemory.Seconds()
}

func (k *holding) expireOwnUses(now time.Time, window time.Duration) {
	for len(k.ownUses) > 0 && now.Sub(k.ownUses[0]) > window {
		k.ownUses = k.ownUses[1:]
	}
}

// boundByOwnLimit returns how many of the tokens of an issuer with an older version may be
// used: this host takes no more than the limit that it knows allows.
func (k *holding) boundByOwnLimit(now time.Time, issued int) int {
	if k.limit.IsUnlimited() {
		return issued
	}
	if k.older == nil {
		k.older = &store{tokens: 1, updatedAt: now}
	}
	b := k.older
	b.rate, b.capacity = k.limit.RatePerSecond, max(1, k.limit.Burst)
	b.fill(now)
	issued = min(issued, int(b.tokens))
	b.tokens -= float64(issued)
	return issued
}
