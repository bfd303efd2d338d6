// Package mirror maintains a local copy of the store's keys on each host.
package mirror

import (
	"cmp"
	"maps"
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// maxRemovals is how many removals are kept for peers that are behind.
const maxRemovals = 2048

// A Mirror is a copy of the store's keys with the revision up to which it is complete. It is
// not safe for concurrent use.
type Mirror struct {
	records map[string]keyvalue.Change
	// removals holds the revision of the removal of each removed key.
	removals map[string]keyvalue.Revision
	// discardedRevision is the highest revision of a removal that was discarded from
	// removals.
	discardedRevision keyvalue.Revision
	// removals is incomplete between the revisions gapFrom and gapTo, because a list
	// at gapTo replaced the mirror at gapFrom. A key that was added and removed
	// between the two revisions was neither in the mirror nor in the list.
	gapFrom, gapTo keyvalue.Revision
	revision       keyvalue.Revision
	// isPartial is set if the last list lacked keys that may exist.
	isPartial bool
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]keyvalue.Change), removals: make(map[string]keyvalue.Revision)}
}

// Apply applies changes that are complete up to a revision. It reports whether the
// mirror changed. Changes up to the mirror's own revision are skipped, because the
// mirror contains them already, and a delayed change would restore a key that has
// been removed since. A change that is not newer than the record or removal of the
// same key is skipped too. Changes of another era than the mirror's are skipped, because
// they do not say what the store has lost.
func (m *Mirror) Apply(changes []keyvalue.Change, revision keyvalue.Revision) bool {
	isEmpty := m.revision == 0 && len(m.records) == 0
	if !isEmpty && revision.Era() != m.revision.Era() {
		return false
	}
	return m.apply(changes, revision)
}

// apply is Apply for changes of any era.
func (m *Mirror) apply(changes []keyvalue.Change, revision keyvalue.Revision) bool {
	changed := false
	for _, c := range changes {
		if c.Revision() > m.revision {
			changed = m.applyChange(c) || changed
		}
	}
	m.revision = max(m.revision, revision)
	return changed
}

// Difference returns the changes after haveRevision, in the order of revisions. If
// haveRevision is zero or of another era, or the removals after it are incomplete,
// Difference returns the records of all keys and full is set, unless keys may be missing.
func (m *Mirror) Difference(haveRevision keyvalue.Revision) (changes []keyvalue.Change, full bool) {
	full = haveRevision < m.discardedRevision || haveRevision == 0 || haveRevision.Era() != m.revision.Era() ||
		(haveRevision > m.gapFrom && haveRevision < m.gapTo)
	for _, r := range m.records {
		if full || r.Revision() > haveRevision {
			changes = append(changes, r)
		}
	}
	if !full {
		for k, revision := range m.removals {
			if revision > haveRevision {
				changes = append(changes, keyvalue.NewRemoval(k, revision))
			}
		}
	}
	slices.SortFunc(changes, func(a, b keyvalue.Change) int { return cmp.Compare(a.Revision(), b.Revision()) })
	return changes, full && !m.isPartial
}

// Merge applies a list at a revision that may lack keys. It reports whether the mirror changed. No
// key is removed.
func (m *Mirror) Merge(some []keyvalue.Change, revision keyvalue.Revision) bool {
	if revision >= m.revision {
		m.recordGap(revision)
		m.isPartial = true
	}
	return m.apply(some, revision)
}

// Records returns the records of all keys in unspecified order.
func (m *Mirror) Records() []keyvalue.Change {
	return slices.Collect(maps.Values(m.records))
}

// Replace applies the list of all keys at a revision. It reports whether the mirror
// changed. Keys that are missing in the list are removed from the mirror, except keys
// that were written after the revision of the list. If the mirror is at a higher
// revision than the list, no key is removed.
func (m *Mirror) Replace(all []keyvalue.Change, revision keyvalue.Revision) bool {
	if revision < m.revision {
		return m.Apply(all, revision)
	}
	m.recordGap(revision)
	m.isPartial = false
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
	return m.apply(all, revision) || changed
}

// Reset makes the mirror empty.
func (m *Mirror) Reset() { *m = *New() }

// Revision returns the revision up to which the mirror is complete.
func (m *Mirror) Revision() keyvalue.Revision { return m.revision }

// recordGap records that removals is incomplete from the mirror's revision to
// toRevision. The mirror keeps a single gap, which grows to include each new gap.
func (m *Mirror) recordGap(toRevision keyvalue.Revision) {
	if m.gapTo == 0 {
		m.gapFrom = m.revision
	}
	m.gapFrom, m.gapTo = min(m.gapFrom, m.revision), max(m.gapTo, toRevision)
}

// applyChange applies one change unless the mirror has the same or a newer change of
// the key. It reports whether the records changed.
func (m *Mirror) applyChange(c keyvalue.Change) bool {
	current, ok := m.records[c.Key()]
	if (ok && current.Revision() >= c.Revision()) || m.removals[c.Key()] >= c.Revision() {
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

// remove removes a key and keeps the removal. Above maxRemovals, the oldest removal is
// discarded.
func (m *Mirror) remove(key string, revision keyvalue.Revision) {
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
	m.discardedRevision = max(m.discardedRevision, m.removals[oldest])
	delete(m.removals, oldest)
}
