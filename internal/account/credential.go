package account

import "crypto/sha256"

// A Credential is what a caller has sent to identify its account. It holds the digest of a
// key, never the key itself, so that the key can't get into a log line or a message. The zero
// value is the credential of a caller that has sent none.
type Credential struct {
	kind   credentialKind
	digest digest
}

type credentialKind int

const (
	noCredential credentialKind = iota
	unusableCredential
	keyCredential
)

// NewCredential returns the credential of a caller that has sent a key.
func NewCredential(key string) Credential {
	return Credential{kind: keyCredential, digest: sha256.Sum256([]byte(key))}
}

// UnusableCredential returns the credential of a caller that has sent something from which no
// key can be read.
func UnusableCredential() Credential { return Credential{kind: unusableCredential} }

// String implements fmt.Stringer. It tells the kind of the credential only.
func (c Credential) String() string {
	switch c.kind {
	case noCredential:
		return "none"
	case keyCredential:
		return "key"
	default:
		return "unusable"
	}
}

// GoString implements fmt.GoStringer. It tells the kind of the credential only.
func (c Credential) GoString() string { return c.String() }
