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

// maxCopyAge is the age of this host's copy of the store up to which an unknown key is
// certainly refused. While the store works, hosts hear of a new version in far less time.
const maxCopyAge = 2 * time.Second

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
// host's copy of the store was last known to be complete.
//
// The decision is made for hosts that are cut off while keys are added: they keep serving the
// keys that they know, and refuse no caller for good whose key may be newer than their copy.
func (d *Directory) Authenticate(c Credential, isPublic bool, copyAge time.Duration) (Verdict, *Account) {
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
	case c.kind == keyCredential && copyAge > maxCopyAge:
		return Undecided, nil
	default:
		return UnknownKey, nil
	}
}
