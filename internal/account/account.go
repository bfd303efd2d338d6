// Package account holds the client accounts of one version of the configuration: the keys
// with which their callers identify themselves, their limits on requests and their priority.
// It does no I/O.
package account

import (
	"crypto/sha256"
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
// the most urgent.
func (a *Account) Priority(routePriority int) int {
	if a.spec.HasPriority {
		return a.spec.Priority
	}
	return routePriority
}

// NewDirectory returns the accounts of one version of the configuration.
func NewDirectory(specs []Spec) *Directory {
	d := &Directory{byName: make(map[string]*Account, len(specs)), byDigest: make(map[digest]*Account)}
	for _, s := range specs {
		a := &Account{spec: s}
		d.byName[s.Name] = a
		for _, k := range s.Keys {
			d.byDigest[sha256.Sum256([]byte(k))] = a
		}
		a.spec.Keys = nil
	}
	return d
}

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
