package account

import "time"

// A Verdict says whether a request is served.
type Verdict int

// The verdicts.
const (
	// Serve is the verdict on requests that are served.
	Serve Verdict = iota + 1
	// UnknownKey is the verdict on requests without a key that identifies an account.
	UnknownKey
	// Undecided is the verdict on requests whose key may be in a version of the
	// configuration that this host hasn't heard of.
	Undecided
)

// An unknown key is certainly refused while the copy of the store is no older than copies
// usually are, or than minCertainAge. Above maxCertainAge it never is: a new version must apply
// on all hosts 5 s after it was written.
const (
	minCertainAge = 2 * time.Second
	maxCertainAge = 4500 * time.Millisecond
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	switch v {
	case Serve:
		return "serve"
	case UnknownKey:
		return "unknown-key"
	case Undecided:
		return "undecided"
	default:
		return "unknown"
	}
}

// Authenticate decides on a request with a credential on a route, which may be public. The
// account is nil if the request is refused, or served without one. copyAge is how long ago the
// host's copy of the store was last known to be complete, usualAge the age that copies reach in
// a fleet of this size while the store works. In large fleets it is above minCertainAge: with a
// bound of 2 s alone, a tenth of the hosts of 89 and half of 300 could refuse no unknown key.
//
// The decision is made for hosts that are cut off while keys are added: they keep serving the
// keys that they know, and refuse no caller for good whose key may be newer than their copy.
func (d *Directory) Authenticate(c Credential, isPublic bool, copyAge, usualAge time.Duration) (Verdict, *Account) {
	if d == nil {
		return Serve, nil
	}
	if c.kind == keyCredential {
		if a := d.byDigest[c.digest]; a != nil {
			return Serve, a
		}
	}
	switch {
	case isPublic:
		return Serve, nil
	case c.kind == keyCredential && copyAge > min(max(usualAge, minCertainAge), maxCertainAge):
		return Undecided, nil
	default:
		return UnknownKey, nil
	}
}
