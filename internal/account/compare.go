package account

import (
	"cmp"
	"maps"
	"slices"
)

// A Change is the difference of one account between two versions of the configuration. It
// holds numbers of keys only.
type Change struct {
	name                   string
	before, after          *Account
	addedKeys, removedKeys int
}

// Name returns the name of the account.
func (c Change) Name() string { return c.name }

// Before returns the account in the earlier version; nil if that version has none.
func (c Change) Before() *Account { return c.before }

// After returns the account in the later version; nil if that version has none.
func (c Change) After() *Account { return c.after }

// AddedKeys returns how many keys the account has only in the later version.
func (c Change) AddedKeys() int { return c.addedKeys }

// RemovedKeys returns how many keys the account has only in the earlier version.
func (c Change) RemovedKeys() int { return c.removedKeys }

// Compare returns the accounts that differ between two versions, by name.
func Compare(before, after *Directory) []Change {
	var changes []Change
	beforeKeys, afterKeys := before.keysByName(), after.keysByName()
	for _, name := range unionOfNames(before, after) {
		c := Change{name: name, before: before.ByName(name), after: after.ByName(name)}
		c.addedKeys, c.removedKeys = countMissing(afterKeys[name], beforeKeys[name]), countMissing(beforeKeys[name], afterKeys[name])
		isSame := c.before != nil && c.after != nil && c.before.hasSameTerms(c.after) && c.addedKeys+c.removedKeys == 0
		if !isSame {
			changes = append(changes, c)
		}
	}
	return changes
}

// HasPriority reports whether the account has a priority of its own.
func (a *Account) HasPriority() bool { return a.spec.HasPriority }

func (a *Account) hasSameTerms(b *Account) bool {
	return a.Limit() == b.Limit() && a.HasPriority() == b.HasPriority() && a.Priority(0) == b.Priority(0)
}

// keysByName returns the digests of the keys of each account.
func (d *Directory) keysByName() map[string]map[digest]bool {
	keys := make(map[string]map[digest]bool)
	if d == nil {
		return keys
	}
	for k, a := range d.byDigest {
		if keys[a.Name()] == nil {
			keys[a.Name()] = make(map[digest]bool)
		}
		keys[a.Name()][k] = true
	}
	return keys
}

// countMissing returns how many digests are missing in others.
func countMissing(digests, others map[digest]bool) int {
	count := 0
	for d := range digests {
		if !others[d] {
			count++
		}
	}
	return count
}

func unionOfNames(directories ...*Directory) []string {
	names := make(map[string]bool)
	for _, d := range directories {
		if d == nil {
			continue
		}
		for n := range d.byName {
			names[n] = true
		}
	}
	return slices.SortedFunc(maps.Keys(names), cmp.Compare)
}
