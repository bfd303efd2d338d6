// Package account holds the client accounts of one version of the configuration: the keys
// with which their callers identify themselves, their limits on requests and their priority.
// It does no I/O.
package account

import (
	"crypto/sha256"
	"math"
)

// A Spec is a client account as configured by operators.
type Spec struct {
	Name string
	// Keys identify the callers of the account. They are secret: they appear in no log,
	// metric, error or message to another process.
	Keys []string
	// HasPriority is set if requests of the account have Priority instead of the priority of
	// their route; 0 is the most urgent.
	HasPriority bool
	Priority    int
	Limit       Limit
}

// A Limit bounds the requests of an account at all hosts together.
type Limit struct {
	// RatePerSecond is how many requests per second upstreams may run; zero for no limit.
	RatePerSecond float64
	// Burst is how many more requests may run at once after the account has sent fewer.
	Burst float64
}

// An Account is one client account. It is immutable.
type Account struct{ spec Spec }

// A Directory holds the accounts of one version of the configuration. It is immutable; a nil
// Directory has no accounts.
type Directory struct {
	byName map[string]*Account
	// byDigest holds the accounts by the digest of each of their keys.
	byDigest map[digest]*Account
	problems []Problem
	// mostUrgent is the most urgent priority of the accounts that have one, if hasPriority is
	// set. followsRoute is set if there are accounts without a priority.
	mostUrgent                int
	hasPriority, followsRoute bool
}

// A digest is the SHA-256 hash of a key.
type digest [sha256.Size]byte

// IsUnlimited reports whether there is no limit.
func (l Limit) IsUnlimited() bool { return l.RatePerSecond == 0 }

// Name returns the name of the account, as upstreams, logs and other hosts get it.
func (a *Account) Name() string { return a.spec.Name }

// Limit returns the limit on the account's requests at all hosts together.
func (a *Account) Limit() Limit { return a.spec.Limit }

// Priority returns the priority of the account's requests on a route with a priority; 0 is
// the most urgent. Requests of no account, which is nil, have the priority of the route.
func (a *Account) Priority(routePriority int) int {
	if a != nil && a.spec.HasPriority {
		return a.spec.Priority
	}
	return routePriority
}

// NewDirectory returns the accounts of one version of the configuration. What it could not
// use of them is in Problems.
func NewDirectory(specs []Spec) *Directory {
	d := &Directory{byName: make(map[string]*Account, len(specs)), byDigest: make(map[digest]*Account)}
	keyCounts := make(map[*Account]int, len(specs))
	var accounts []*Account
	for i, s := range specs {
		if kind := nameProblem(s.Name); kind != 0 {
			d.report(Problem{kind: kind, entry: i})
			continue
		}
		a := d.byName[s.Name]
		if a != nil {
			d.report(Problem{kind: DuplicateName, entry: i, account: s.Name})
		} else {
			a = &Account{spec: d.usable(i, s)}
			d.byName[s.Name] = a
			accounts = append(accounts, a)
		}
		keyCounts[a] += d.addKeys(i, a, s.Keys)
	}
	for _, a := range accounts {
		d.rank(a)
		if keyCounts[a] == 0 {
			d.report(Problem{kind: NoKeys, entry: -1, account: a.Name()})
		}
	}
	return d
}

// addKeys adds the keys of an entry to its account and returns how many the account keeps.
func (d *Directory) addKeys(entry int, a *Account, keys []string) int {
	kept := 0
	for _, k := range keys {
		if k == "" {
			d.report(Problem{kind: EmptyKey, entry: entry, account: a.Name()})
			continue
		}
		digest := sha256.Sum256([]byte(k))
		if owner := d.byDigest[digest]; owner == a {
			continue
		} else if owner != nil {
			d.report(Problem{kind: DuplicateKey, entry: entry, account: a.Name(), owner: owner.Name()})
			continue
		}
		d.byDigest[digest] = a
		kept++
	}
	return kept
}

// usable returns a specification without its keys, and without figures that aren't usable.
func (d *Directory) usable(entry int, s Spec) Spec {
	s.Keys = nil
	if !isUsableFigure(s.Limit.RatePerSecond) {
		s.Limit = Limit{}
		d.report(Problem{kind: InvalidRate, entry: entry, account: s.Name})
	}
	if !isUsableFigure(s.Limit.Burst) {
		s.Limit = Limit{}
		d.report(Problem{kind: InvalidBurst, entry: entry, account: s.Name})
	}
	if s.HasPriority && s.Priority < 0 {
		s.HasPriority, s.Priority = false, 0
		d.report(Problem{kind: InvalidPriority, entry: entry, account: s.Name})
	}
	return s
}

func isUsableFigure(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

func (d *Directory) rank(a *Account) {
	switch p := a.spec.Priority; {
	case !a.spec.HasPriority:
		d.followsRoute = true
	case !d.hasPriority || p < d.mostUrgent:
		d.hasPriority, d.mostUrgent = true, p
	}
}

// MostUrgent returns the most urgent priority that a request on a route with a priority can
// have, given that callers without an account can use the route if it is public.
func (d *Directory) MostUrgent(routePriority int, isPublic bool) int {
	switch {
	case d == nil || !d.hasPriority:
		return routePriority
	case d.followsRoute || isPublic:
		return min(routePriority, d.mostUrgent)
	default:
		return d.mostUrgent
	}
}

// Problems returns what could not be used of the configured accounts.
func (d *Directory) Problems() []Problem {
	if d == nil {
		return nil
	}
	return d.problems
}

func (d *Directory) report(p Problem) { d.problems = append(d.problems, p) }

// ByKey returns the account to which a key belongs, or nil if the key is unknown.
func (d *Directory) ByKey(key string) *Account {
	if d == nil {
		return nil
	}
	return d.byDigest[sha256.Sum256([]byte(key))]
}

// ByName returns the account with a name, or nil if there is none.
func (d *Directory) ByName(name string) *Account {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
