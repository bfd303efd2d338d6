package account

import (
	"fmt"
	"strings"
)

// A ProblemKind is a kind of mistake in the configuration of accounts.
type ProblemKind int

// The kinds of problems.
const (
	EmptyName ProblemKind = iota + 1
	// InvalidName is the problem of a name that the field of a message can't hold.
	InvalidName
	DuplicateName
	EmptyKey
	DuplicateKey
	NoKeys
	InvalidRate
	InvalidBurst
	InvalidPriority
)

// String returns the kind as it is logged.
func (k ProblemKind) String() string {
	switch k {
	case EmptyName:
		return "empty-name"
	case InvalidName:
		return "invalid-name"
	case DuplicateName:
		return "duplicate-name"
	case EmptyKey:
		return "empty-key"
	case DuplicateKey:
		return "duplicate-key"
	case NoKeys:
		return "no-keys"
	case InvalidRate:
		return "invalid-rate"
	case InvalidBurst:
		return "invalid-burst"
	case InvalidPriority:
		return "invalid-priority"
	default:
		return "unknown"
	}
}

// A Problem is a mistake in the configuration of accounts. It never holds a key.
type Problem struct {
	kind ProblemKind
	// entry is the position in the list of accounts, from 0; negative if the problem isn't
	// one of a single entry.
	entry int
	// account is the name of the account; empty if it has no usable one. owner is the name
	// of the account that keeps a duplicate key.
	account, owner string
}

// Kind returns the kind of the problem.
func (p Problem) Kind() ProblemKind { return p.kind }

// Account returns the name of the account that has the problem; empty if it has no usable name.
func (p Problem) Account() string { return p.account }

// Owner returns the name of the account that keeps a duplicate key; empty for other problems.
func (p Problem) Owner() string { return p.owner }

// String describes the problem and what happens to the account.
func (p Problem) String() string {
	switch p.kind {
	case EmptyName:
		return fmt.Sprintf("account %d in the list has no name: skipped", p.entry+1)
	case InvalidName:
		return fmt.Sprintf("account %d in the list has a name with control characters, or with spaces at an end: skipped", p.entry+1)
	case DuplicateName:
		return fmt.Sprintf("account %q is in the list again as number %d: its keys are added, its limits and priority are ignored", p.account, p.entry+1)
	case EmptyKey:
		return fmt.Sprintf("account %q has a key that is empty or no text: skipped", p.account)
	case DuplicateKey:
		return fmt.Sprintf("account %q has a key that account %q has before it: the key belongs to %q", p.account, p.owner, p.owner)
	case NoKeys:
		return fmt.Sprintf("account %q has no keys: no caller can use it", p.account)
	case InvalidRate:
		return fmt.Sprintf("account %q has a rate that is not a number from 0: no limit", p.account)
	case InvalidBurst:
		return fmt.Sprintf("account %q has a burst that is not a number from 0: no limit", p.account)
	case InvalidPriority:
		return fmt.Sprintf("account %q has a priority that is not a whole number from 0: the priority of the route applies", p.account)
	default:
		return p.kind.String()
	}
}

// nameProblem returns what is wrong with a name; zero if nothing is. A line break in a name
// would let it add fields to messages for upstreams, and spaces at an end are lost there.
func nameProblem(name string) ProblemKind {
	switch {
	case strings.TrimSpace(name) == "":
		return EmptyName
	case strings.TrimSpace(name) != name || strings.ContainsFunc(name, isControl):
		return InvalidName
	default:
		return 0
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
