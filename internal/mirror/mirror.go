// Package mirror keeps a copy of the store's keys on each host.
package mirror

import (
	"cmp"
	"maps"
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// maxRemovals is how many removals are remembered for peers that lag.
const maxRemovals = 2048

// A Mirror is a copy of keys with the revision up to which it is complete. It
// is not safe for concurrent use.
type Mirror struct {
	records map[string]keyvalue.Change
	// removals holds the revision at which a key was removed.
	removals map[string]uint64
	// forgotten is the highest revision of a removal that was dropped from
	// removals.
	forgotten uint64
	// Keys that came and went between gapFrom and gapTo are not known: the copy
	// was read as a whole then.
	gapFrom, gapTo uint64
	revision       uint64
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]keyvalue.Change), removals: make(map[string]uint64)}
}

// Apply takes changes that are complete up to a revision; it reports whether
// anything changed. Changes up to the copy's own revision are in it already: a late
// message would bring back a key that was removed since. Older changes of a key than
// the known one are passed over too.
func (m *Mirror) Apply(changes []keyvalue.Change, revision uint64) bool {
	changed := false
	for _, c := range changes {
		if c.Revision() > m.revision {
			changed = m.apply(c) || changed
		}
	}
	m.revision = max(m.revision, revision)
	return changed
}

// Difference returns what changed after a revision; whole is set if it is all
// there is, because not all removals after that revision are known.
func (m *Mirror) Difference(have uint64) (changes []keyvalue.Change, whole bool) {
	whole = have < m.forgotten || have == 0 || (have > m.gapFrom && have < m.gapTo)
	for _, r := range m.records {
		if whole || r.Revision() > have {
			changes = append(changes, r)
		}
	}
	if !whole {
		for k, revision := range m.removals {
			if revision > have {
				changes = append(changes, keyvalue.NewRemoval(k, revision))
			}
		}
	}
	slices.SortFunc(changes, func(a, b keyvalue.Change) int { return cmp.Compare(a.Revision(), b.Revision()) })
	return changes, whole
}

// Records returns all keys, in no certain order.
func (m *Mirror) Records() []keyvalue.Change {
	return slices.Collect(maps.Values(m.records))
}

// Replace takes all keys as of a revision; it reports whether anything
// changed. Known keys that are missing and not newer are removed, unless the copy
// is newer than the list.
func (m *Mirror) Replace(all []keyvalue.Change, revision uint64) bool {
	if revision < m.revision {
		return m.Apply(all, revision)
	}
	m.noteGap(revision)
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.Key()] = true
	}
	changed := false
	for k, r := range m.records {
		if !listed[k] && r.Revision() <= revision {
			m.remove(k, revision)
			changed = true
		}
	}
	return m.Apply(all, revision) || changed
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() uint64 { return m.revision }

// noteGap notes that what happened up to a revision was not seen.
func (m *Mirror) noteGap(revision uint64) {
	if m.gapTo == 0 {
		m.gapFrom = m.revision
	}
	m.gapFrom, m.gapTo = min(m.gapFrom, m.revision), max(m.gapTo, revision)
}

func (m *Mirror) apply(c keyvalue.Change) bool {
	known, ok := m.records[c.Key()]
	if (ok && known.Revision() >= c.Revision()) || m.removals[c.Key()] >= c.Revision() {
		return false
	}
	if c.Deleted() {
		m.remove(c.Key(), c.Revision())
		return ok
	}
	delete(m.removals, c.Key())
	m.records[c.Key()] = c
	return true
}

func (m *Mirror) remove(key string, revision uint64) {
	delete(m.records, key)
	m.removals[key] = revision
	if len(m.removals) <= maxRemovals {
		return
	}
	oldest := key
	for k, r := range m.removals {
		if r < m.removals[oldest] {
			oldest = k
		}
	}
	m.forgotten = max(m.forgotten, m.removals[oldest])
	delete(m.removals, oldest)
}
