package mirror

import (
	"flag"
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

// modelHistory holds the changes of the store in the model: one key is written, removed and
// written again; another key is written once.
var modelHistory = []keyvalue.Change{put("a", 1), put("b", 2), keyvalue.NewRemoval("a", 3), put("a", 4)}

// modelHistoryAfterLoss holds the changes that the store makes after it has come back from a
// copy. They get the revisions that follow the copy.
var modelHistoryAfterLoss = []keyvalue.Change{keyvalue.NewRemoval("a", 0), put("b", 0)}

// modelLossChangeCount is how many changes of modelHistoryAfterLoss the store makes.
var modelLossChangeCount = flag.Int("model-loss-steps", 1, "how many changes the store makes in the model after its loss, up to 2")

var modelKeys = []string{"a", "b"}

// modelChangeCount is how many changes of modelHistory the store makes.
var modelChangeCount = flag.Int("model-steps", 3, "how many changes the store makes in the model, up to 4")

// modelLossMessages bounds the messages in flight in the model with a loss.
var modelLossMessages = flag.Int("model-loss-messages", 1, "how many messages are in flight at most in the model with a loss, up to 2")

const (
	modelCopyCount = 2
	// maxModelMessages bounds the messages in flight in the model without a loss.
	maxModelMessages = 2
)

// A modelMessage is a response in flight to a copy: changes, or all keys. A list is read in
// two pages; the second page has the state of the store when that page is read.
type modelMessage struct {
	to       int
	changes  []keyvalue.Change
	revision keyvalue.Revision
	full     bool
	// firstPageEnd is the last key of the first page of a list; it is empty once the second
	// page is read.
	firstPageEnd string
}

// A modelState is the state of the store, the copies, and the messages in flight.
type modelState struct {
	// changeCount is how many changes the store has made.
	changeCount int
	// maxMessages bounds the messages in flight.
	maxMessages int
	// changeLimit is how many changes of modelHistory the store makes.
	changeLimit int
	// mayLose is set if the store may come back from a copy, once. hasLost is set after
	// that, and copiedCount is how many changes the copy had.
	mayLose, hasLost bool
	copiedCount      int
	copies           [modelCopyCount]*Mirror
	messages         []modelMessage
}

// TestEveryInterleaving explores all orders in which two copies can watch, list and
// exchange differences while the store changes and messages are lost, delayed or
// reordered. From every state, one list must make each copy equal to the store, and
// no copy may return to an older state or lack a change up to its revision. The model
// must have more than 10,000 states.
func TestEveryInterleaving(t *testing.T) {
	exploreModel(t, modelState{changeLimit: *modelChangeCount, maxMessages: maxModelMessages})
}

// TestEveryInterleavingWithLoss is TestEveryInterleaving with a store that comes back from a
// copy, once, and then makes other changes with revisions that it has given out before.
func TestEveryInterleavingWithLoss(t *testing.T) {
	exploreModel(t, modelState{changeLimit: *modelChangeCount, mayLose: true, maxMessages: *modelLossMessages})
}

// exploreModel checks all states that are reachable from an initial state with empty copies.
func exploreModel(t *testing.T, initial modelState) {
	c := qt.New(t)
	for i := range initial.copies {
		initial.copies[i] = New()
	}
	seen := map[string]bool{initial.key(): true}
	for queue := []modelState{initial}; len(queue) > 0; {
		s := queue[0]
		queue = queue[1:]
		s.checkConverges(c)
		for _, next := range s.expand() {
			next.checkComplete(c, s)
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	t.Logf("%d states", len(seen))
	c.Check(len(seen) > 10_000, qt.IsTrue)
}

// era returns the era of the store.
func (s modelState) era() uint64 {
	if s.hasLost {
		return 1
	}
	return 0
}

// history returns the changes that the store has made in its present content.
func (s modelState) history() []keyvalue.Change {
	if !s.hasLost {
		return modelHistory[:s.changeCount]
	}
	var list []keyvalue.Change
	for i, h := range slices.Concat(modelHistory[:s.copiedCount], modelHistoryAfterLoss[:s.changeCount-s.copiedCount]) {
		revision := keyvalue.NewRevision(1, uint64(i+1))
		if h.Deleted() {
			list = append(list, keyvalue.NewRemoval(h.Key(), revision))
			continue
		}
		list = append(list, keyvalue.NewChange(h.Key(), h.Value(), revision))
	}
	return list
}

// revision returns the revision of the store.
func (s modelState) revision() keyvalue.Revision {
	return keyvalue.NewRevision(s.era(), uint64(s.changeCount))
}

func (s modelState) clone() modelState {
	for i, m := range s.copies {
		s.copies[i] = &Mirror{
			records: maps.Clone(m.records), removals: maps.Clone(m.removals), discardedRevision: m.discardedRevision, revision: m.revision,
			gapFrom: m.gapFrom, gapTo: m.gapTo,
		}
	}
	s.messages = slices.Clone(s.messages)
	return s
}

// expand returns all states that are reachable from this state in one step.
func (s modelState) expand() []modelState {
	var all []modelState
	add := func(change func(*modelState)) {
		next := s.clone()
		change(&next)
		all = append(all, next)
	}
	switch {
	case s.hasLost && s.changeCount < s.copiedCount+*modelLossChangeCount, !s.hasLost && s.changeCount < s.changeLimit:
		add(func(n *modelState) { n.changeCount++ })
	}
	for copied := range s.changeCount {
		if s.mayLose && !s.hasLost && copied > 0 {
			add(func(n *modelState) { n.hasLost, n.copiedCount, n.changeCount = true, copied, copied })
		}
	}
	for i, m := range s.messages {
		if m.firstPageEnd != "" {
			add(func(n *modelState) { n.messages[i] = s.readSecondPage(m) })
			continue
		}
		add(func(n *modelState) { n.messages = slices.Delete(n.messages, i, i+1) })
		add(func(n *modelState) { n.deliver(i) })
	}
	if len(s.messages) == s.maxMessages {
		return all
	}
	for i := range s.copies {
		for _, m := range s.possibleMessages(i) {
			add(func(n *modelState) { n.messages = append(n.messages, m) })
		}
	}
	return all
}

// possibleMessages returns the messages that can be sent to a copy in this state: the response
// to a watch, the first page of a list, or a difference from the other copy.
func (s modelState) possibleMessages(to int) []modelMessage {
	have := s.copies[to].Revision()
	list := modelMessage{to: to, revision: s.revision(), full: true, firstPageEnd: "a"}
	list.changes = s.storedRecords(func(key string) bool { return key <= list.firstPageEnd })
	messages := []modelMessage{list}
	// A Follower drops the response to a watch from another era.
	if have.Era() == s.era() || have == 0 {
		watch := modelMessage{to: to, revision: s.revision()}
		for _, h := range s.history() {
			if h.Revision() > have {
				watch.changes = append(watch.changes, h)
			}
		}
		messages = append(messages, watch)
	}
	if other := s.copies[1-to]; other.Revision() > have {
		changes, full := other.Difference(have)
		messages = append(messages, modelMessage{to: to, changes: changes, revision: other.Revision(), full: full})
	}
	return messages
}

// readSecondPage completes a list with the keys of the second page in their current state.
func (s modelState) readSecondPage(m modelMessage) modelMessage {
	after := m.firstPageEnd
	m.changes = append(slices.Clone(m.changes), s.storedRecords(func(key string) bool { return key > after })...)
	m.firstPageEnd = ""
	if m.revision.Era() != s.era() {
		// A list whose pages are of different eras is dropped.
		m.changes, m.revision, m.full = nil, 0, false
	}
	return m
}

// storedRecords returns the records of the store whose key is wanted, sorted by key.
func (s modelState) storedRecords(isWanted func(key string) bool) []keyvalue.Change {
	store := New()
	store.Apply(s.history(), s.revision())
	records := slices.DeleteFunc(store.Records(), func(r keyvalue.Change) bool { return !isWanted(r.Key()) })
	slices.SortFunc(records, func(a, b keyvalue.Change) int { return strings.Compare(a.Key(), b.Key()) })
	return records
}

// deliver applies message i to its copy and removes it from the messages in flight.
func (s *modelState) deliver(i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	target := s.copies[m.to]
	if m.full {
		target.Replace(m.changes, m.revision)
		return
	}
	target.Apply(m.changes, m.revision)
}

// checkComplete asserts that no copy is at an older revision than in the previous
// state, as a whole and for each key, and that each copy has, for every key, the last
// change up to its revision or a later change. A copy without a key need not have its
// removal.
func (s modelState) checkComplete(c *qt.C, previous modelState) {
	for i, m := range s.copies {
		if m.Revision() < previous.copies[i].Revision() {
			c.Fatalf("copy %d returned to an older revision: %+v", i, s)
		}
		for _, key := range modelKeys {
			if m.latestRevision(key) < previous.copies[i].latestRevision(key) {
				c.Fatalf("copy %d returned to an older revision of key %s: %+v", i, key, s)
			}
			last := keyvalue.NewRemoval(key, 0)
			for _, h := range s.history() {
				if h.Key() == key && h.Revision() <= m.Revision() && m.Revision().Era() == s.era() {
					last = h
				}
			}
			_, hasKey := m.records[key]
			if m.latestRevision(key) < last.Revision() && (hasKey || !last.Deleted()) {
				c.Fatalf("copy %d lacks key %s at revision %v: %+v", i, key, last.Revision(), s)
			}
		}
	}
}

// checkConverges asserts that applying a list makes every copy equal to the store.
func (s modelState) checkConverges(c *qt.C) {
	final := s.clone()
	stored := final.storedRecords(func(string) bool { return true })
	for i, m := range final.copies {
		m.Replace(stored, final.revision())
		if len(m.records) != len(stored) {
			c.Fatalf("copy %d has %d keys, want %d: %+v", i, len(m.records), len(stored), s)
		}
		for _, r := range stored {
			if m.records[r.Key()].Revision() != r.Revision() {
				c.Fatalf("copy %d differs in key %s: %+v", i, r.Key(), s)
			}
		}
	}
}

// latestRevision returns the revision of the last change of a key in the mirror.
func (m *Mirror) latestRevision(key string) keyvalue.Revision {
	return max(m.records[key].Revision(), m.removals[key])
}

// key returns a string that is different for different states.
func (s modelState) key() string {
	b := []byte{byte(s.changeCount), byte(s.copiedCount), byte(s.era())}
	for _, m := range s.copies {
		for _, key := range modelKeys {
			b = append(b, revisionByte(m.records[key].Revision()), revisionByte(m.removals[key]))
		}
		b = append(b, revisionByte(m.revision), revisionByte(m.gapFrom), revisionByte(m.gapTo))
	}
	messages := make([]string, 0, len(s.messages))
	for _, m := range s.messages {
		messages = append(messages, m.key())
	}
	slices.Sort(messages)
	return string(b) + strings.Join(messages, "")
}

// key returns a string that is different for different messages.
func (m modelMessage) key() string {
	b := []byte{'m', byte(m.to), revisionByte(m.revision), byte(len(m.firstPageEnd))}
	if m.full {
		b = append(b, 'w')
	}
	for _, c := range m.changes {
		b = append(b, c.Key()[0], revisionByte(c.Revision()))
	}
	return string(b)
}

// revisionByte returns a byte that is different for different revisions of the model.
func revisionByte(r keyvalue.Revision) byte { return byte(r.Era()<<4 | r.Number()) }
