package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

const (
	// maxPause is how long an issuer may do nothing and still count as connected. It is below
	// the time after which other hosts replace it.
	maxPause = 1500 * time.Millisecond
	// maxPromise bounds how far ahead tokens are promised to hosts that were refused. A host
	// does not ask again before that time, so an account that stops exceeding its limit may be
	// refused for that long.
	maxPromise = 2 * time.Second
	// minWait bounds the calls of a host that was refused.
	minWait = 5 * time.Millisecond
	// unsettledWait is when a token is expected while the host is not connected to the others.
	unsettledWait = 500 * time.Millisecond
	// idlePeriod is how long an unused bucket is kept that is full.
	idlePeriod = 30 * time.Second
	// maxIdlePeriod is how long an unused bucket is kept that is not full, for instance
	// because its account has been removed.
	maxIdlePeriod = 10 * time.Minute
)

// A Reply is the answer of an issuer.
type Reply struct {
	Issued   int
	Validity time.Duration
	// Wait is the time until a token is expected if none was issued.
	Wait time.Duration
	// NotIssuer is set if the host does not issue tokens of the account.
	NotIssuer bool
}

// An Issuer issues the tokens of accounts on one host. It is not safe for concurrent use.
type Issuer struct {
	Margin Margin

	contacts Contacts
	view     *View
	// viewChangedAt is when the members that may issue tokens last changed.
	viewChangedAt time.Time
	// steppedAt is when the issuer last ran, which shows pauses of the process. settledAt is since
	// when the host has been connected to the others; zero if it is not.
	steppedAt, settledAt time.Time
	buckets              map[string]*bucket
}

// A store of tokens gains rate tokens per second up to its capacity.
type store struct {
	tokens, rate, capacity float64
	updatedAt              time.Time
}

// A bucket holds the tokens of one account. rate and capacity are those of the last use.
type bucket struct {
	store
	usedAt time.Time
	// reserveFrom is when the bucket began to get its reserve, reservePerSecond how much of
	// it. It is complete after reserveTime.
	reserveFrom      time.Time
	reserveTime      time.Duration
	reservePerSecond float64
	// promisedUntil is when the last token that was promised to a host is expected.
	promisedUntil time.Time
}

// RecordContact records whether a call to another host was answered.
func (i *Issuer) RecordContact(now time.Time, address string, answered bool) {
	i.contacts.Record(now, address, answered)
}

// SetView sets what the host knows of the others. Buckets of accounts that other hosts issue
// tokens of now are dropped: if this host issues them again later, the other host's tokens
// have been used meanwhile.
func (i *Issuer) SetView(now time.Time, v *View) {
	if i.view == nil || !i.view.Equal(v) {
		i.viewChangedAt = now
	}
	i.view = v
	for name := range i.buckets {
		if !i.isIssuer(i.view.issuers(name)) {
			delete(i.buckets, name)
		}
	}
}

// Issue issues up to wanted tokens of an account.
func (i *Issuer) Issue(now time.Time, name string, l account.Limit, wanted int) Reply {
	i.step(now)
	issuers := i.view.issuers(name)
	if !i.isIssuer(issuers) {
		return Reply{NotIssuer: true}
	}
	if l.IsUnlimited() {
		return Reply{Issued: wanted, Validity: Validity}
	}
	part := i.fraction(now) / float64(len(issuers))
	b := i.bucket(now, name)
	b.rate = l.RatePerSecond * part
	b.capacity = max(1, l.Burst*part) + i.Margin.reserve(i.view.hosts)
	b.fill(now)
	b.usedAt = now
	if b.tokens < 1 {
		return Reply{Wait: b.promise(now)}
	}
	// A host that asks for several tokens gets at most half of them, so that none expire at
	// one host while another one lacks them.
	issued := min(wanted, max(1, int(b.tokens/2)))
	b.tokens -= float64(issued)
	return Reply{Issued: issued, Validity: Validity}
}

// Maintain drops the buckets that are unused and full, since a new one is no fuller. It is
// called every second.
func (i *Issuer) Maintain(now time.Time) {
	i.step(now)
	for name, b := range i.buckets {
		if now.Sub(b.usedAt) < idlePeriod {
			continue
		}
		b.fill(now)
		if b.tokens >= b.capacity || now.Sub(b.usedAt) >= maxIdlePeriod {
			delete(i.buckets, name)
		}
	}
}

// Len returns the number of buckets.
func (i *Issuer) Len() int { return len(i.buckets) }

// step finds out whether the host is connected to the others. If it was not, other hosts may
// have issued its tokens meanwhile: its buckets keep one token.
func (i *Issuer) step(now time.Time) {
	wasPaused := now.Sub(i.steppedAt) > maxPause
	i.steppedAt = now
	settled := i.contacts.Fraction(now, i.view.known-1) >= settledFraction
	if settled == !i.settledAt.IsZero() && !wasPaused {
		return
	}
	i.settledAt = time.Time{}
	if settled {
		i.settledAt = now
	}
	for _, b := range i.buckets {
		i.restart(b, now, min(b.tokens, 1))
	}
}

// restart sets the tokens that a bucket has at a time at which the host may have become an
// issuer of its account. The reserve follows during a window.
func (i *Issuer) restart(b *bucket, from time.Time, tokens float64) {
	b.tokens, b.updatedAt, b.reserveFrom, b.reserveTime = tokens, from, from, i.Margin.Window
	if i.Margin.Window > 0 {
		b.reservePerSecond = i.Margin.reserve(i.view.hosts) / i.Margin.Window.Seconds()
	}
}

// fraction returns the part of the limits that this host and those connected to it may use: the
// part of the load that they carry. Hosts that are cut off use the rest.
func (i *Issuer) fraction(now time.Time) float64 {
	own := i.view.shareTo - i.view.shareFrom
	return min(i.view.running, own+(1-own)*i.contacts.Fraction(now, i.view.known-1))
}

func (i *Issuer) isIssuer(issuers []*Member) bool {
	return slices.ContainsFunc(issuers, func(m *Member) bool { return m.Host == i.view.self.Host })
}

// bucket returns the bucket of an account. If the host is connected to the others, a new one
// holds one token and what has accumulated since the host may have become an issuer.
func (i *Issuer) bucket(now time.Time, name string) *bucket {
	b, ok := i.buckets[name]
	if ok {
		return b
	}
	b = &bucket{store: store{updatedAt: now}}
	if !i.settledAt.IsZero() {
		from := i.viewChangedAt
		if i.settledAt.After(from) {
			from = i.settledAt
		}
		i.restart(b, from, 1)
	}
	if i.buckets == nil {
		i.buckets = make(map[string]*bucket)
	}
	i.buckets[name] = b
	return b
}

// fill adds the tokens that have accumulated.
func (s *store) fill(now time.Time) {
	s.tokens = min(s.capacity, s.tokens+s.rate*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
}

// fill adds the tokens that have accumulated, and what is due of the reserve.
func (b *bucket) fill(now time.Time) {
	if reserveUntil := b.reserveFrom.Add(b.reserveTime); b.updatedAt.Before(reserveUntil) {
		b.tokens += b.reservePerSecond * min(now.Sub(b.updatedAt), reserveUntil.Sub(b.updatedAt)).Seconds()
	}
	b.store.fill(now)
}

// promise returns the time until the next token that is not promised to another host.
func (b *bucket) promise(now time.Time) time.Duration {
	if b.rate <= 0 {
		return unsettledWait
	}
	next := now.Add(seconds((1 - b.tokens) / b.rate))
	promised := b.promisedUntil.Add(seconds(1 / b.rate))
	if limit := now.Add(maxPromise); promised.After(limit) {
		promised = limit
	}
	if promised.After(next) {
		next = promised
	}
	b.promisedUntil = next
	return max(minWait, next.Sub(now))
}

// seconds returns a duration in seconds, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}
