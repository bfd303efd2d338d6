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

// modelHistory is what the store goes through in the model: a key is written,
// removed and written again beside another one.
var modelHistory = []keyvalue.Change{put("a", 1), put("b", 2), keyvalue.NewRemoval("a", 3), put("a", 4)}

var modelKeys = []string{"a", "b"}

// modelSteps is how far the store goes in the model.
var modelSteps = flag.Int("model-steps", 3, "how many changes the store makes in the model, up to 4")

const (
	modelCopies = 2
	// modelMessages bounds the messages under way.
	modelMessages = 2
)

// A modelMessage is an answer on its way to a copy: changes, or all keys. A list is
// read in two pages, of which the second shows the store as it is later.
type modelMessage struct {
	to       int
	changes  []keyvalue.Change
	revision uint64
	whole    bool
	// pageAfter is set while the second page of a list is not read yet.
	pageAfter string
}

// A modelState is the store after some of its history, the copies, and the
// messages under way.
type modelState struct {
	written  int
	copies   [modelCopies]*Mirror
	messages []modelMessage
}

// TestEveryInterleaving explores all orders in which two copies may watch, list and
// ask each other while the store changes and messages are lost, late or cross: no
// copy ever lacks what its revision says it has, none goes back, and from every state
// one list makes it equal to the store.
func TestEveryInterleaving(t *testing.T) {
	c := qt.New(t)
	first := modelState{}
	for i := range first.copies {
		first.copies[i] = New()
	}
	seen := map[string]bool{first.key(): true}
	for queue := []modelState{first}; len(queue) > 0; {
		s := queue[0]
		queue = queue[1:]
		s.checkConverges(c)
		for _, next := range s.successors() {
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

func (s modelState) clone() modelState {
	for i, m := range s.copies {
		s.copies[i] = &Mirror{
			records: maps.Clone(m.records), removals: maps.Clone(m.removals), forgotten: m.forgotten, revision: m.revision,
			gapFrom: m.gapFrom, gapTo: m.gapTo,
		}
	}
	s.messages = slices.Clone(s.messages)
	return s
}

// successors returns all states that are one step away.
func (s modelState) successors() []modelState {
	var all []modelState
	add := func(change func(*modelState)) {
		next := s.clone()
		change(&next)
		all = append(all, next)
	}
	if s.written < *modelSteps {
		add(func(n *modelState) { n.written++ })
	}
	for i, m := range s.messages {
		if m.pageAfter != "" {
			add(func(n *modelState) { n.messages[i] = s.secondPage(m) })
			continue
		}
		add(func(n *modelState) { n.messages = slices.Delete(n.messages, i, i+1) })
		add(func(n *modelState) { n.deliver(i) })
	}
	if len(s.messages) == modelMessages {
		return all
	}
	for i := range s.copies {
		for _, m := range s.answers(i) {
			add(func(n *modelState) { n.messages = append(n.messages, m) })
		}
	}
	return all
}

// answers returns what a copy may be told now: by a watch, by the first page of a
// list, or by the other copy.
func (s modelState) answers(to int) []modelMessage {
	have := s.copies[to].Revision()
	watch := modelMessage{to: to, revision: uint64(s.written)}
	for _, h := range modelHistory[:s.written] {
		if h.Revision() > have {
			watch.changes = append(watch.changes, h)
		}
	}
	list := modelMessage{to: to, revision: uint64(s.written), whole: true, pageAfter: "a"}
	list.changes = s.stored(func(key string) bool { return key <= list.pageAfter })
	answers := []modelMessage{watch, list}
	if other := s.copies[1-to]; other.Revision() > have {
		changes, whole := other.Difference(have)
		answers = append(answers, modelMessage{to: to, changes: changes, revision: other.Revision(), whole: whole})
	}
	return answers
}

// secondPage completes a list with the keys as they are now.
func (s modelState) secondPage(m modelMessage) modelMessage {
	after := m.pageAfter
	m.changes = append(slices.Clone(m.changes), s.stored(func(key string) bool { return key > after })...)
	m.pageAfter = ""
	return m
}

// stored returns the keys that the store holds now.
func (s modelState) stored(wanted func(key string) bool) []keyvalue.Change {
	held := New()
	held.Apply(modelHistory[:s.written], uint64(s.written))
	records := slices.DeleteFunc(held.Records(), func(r keyvalue.Change) bool { return !wanted(r.Key()) })
	slices.SortFunc(records, func(a, b keyvalue.Change) int { return strings.Compare(a.Key(), b.Key()) })
	return records
}

// deliver hands a message to its copy.
func (s *modelState) deliver(i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	copied := s.copies[m.to]
	if m.whole {
		copied.Replace(m.changes, m.revision)
		return
	}
	copied.Apply(m.changes, m.revision)
}

// checkComplete asserts that no copy went back, and that each has, for every key,
// the last change up to its revision or a later one.
func (s modelState) checkComplete(c *qt.C, before modelState) {
	for i, m := range s.copies {
		if m.Revision() < before.copies[i].Revision() {
			c.Fatalf("copy %d went back: %+v", i, s)
		}
		for _, key := range modelKeys {
			if m.latest(key) < before.copies[i].latest(key) {
				c.Fatalf("copy %d went back in %s: %+v", i, key, s)
			}
			last := uint64(0)
			for _, h := range modelHistory[:min(int(m.Revision()), s.written)] {
				if h.Key() == key {
					last = h.Revision()
				}
			}
			_, held := m.records[key]
			if m.latest(key) < last && (held || !modelHistory[last-1].Deleted()) {
				c.Fatalf("copy %d lacks %s of %d: %+v", i, key, last, s)
			}
		}
	}
}

// checkConverges asserts that one list makes every copy equal to the store.
func (s modelState) checkConverges(c *qt.C) {
	end := s.clone()
	stored := end.stored(func(string) bool { return true })
	for i, m := range end.copies {
		m.Replace(stored, uint64(end.written))
		if len(m.records) != len(stored) {
			c.Fatalf("copy %d has %d keys of %d: %+v", i, len(m.records), len(stored), s)
		}
		for _, r := range stored {
			if m.records[r.Key()].Revision() != r.Revision() {
				c.Fatalf("copy %d differs in %s: %+v", i, r.Key(), s)
			}
		}
	}
}

// latest returns the revision of the last change of a key that is known.
func (m *Mirror) latest(key string) uint64 {
	return max(m.records[key].Revision(), m.removals[key])
}

// key returns what tells states apart.
func (s modelState) key() string {
	b := []byte{byte(s.written)}
	for _, m := range s.copies {
		for _, key := range modelKeys {
			b = append(b, byte(m.records[key].Revision()), byte(m.removals[key]))
		}
		b = append(b, byte(m.revision), byte(m.gapFrom), byte(m.gapTo))
	}
	messages := make([]string, 0, len(s.messages))
	for _, m := range s.messages {
		messages = append(messages, m.key())
	}
	slices.Sort(messages)
	return string(b) + strings.Join(messages, "")
}

func (m modelMessage) key() string {
	b := []byte{'m', byte(m.to), byte(m.revision), byte(len(m.pageAfter))}
	if m.whole {
		b = append(b, 'w')
	}
	for _, c := range m.changes {
		b = append(b, c.Key()[0], byte(c.Revision()))
	}
	return string(b)
}
