package allowance

// This file keeps what one host holds of the limit of one account: grants of issuers, and what it
// has used.

import (
	"math"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

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
	// emptyUntil is when the issuer expects to have a token again.
	emptyUntil time.Time
	// askAgainAt is when this host may call the issuer again, after it had no token or the call
	// failed.
	askAgainAt time.Time
	// failed is set if the last call has failed or takes longer than a request waits.
	failed bool
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
