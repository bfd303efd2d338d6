package logqueue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

var errFull = errors.New("no space")

// A gatedOutput takes writes only while its lock is free, and fails while failing is set.
type gatedOutput struct {
	sync.Mutex
	failing bool
	writes  [][]byte
}

func (o *gatedOutput) Write(p []byte) (int, error) {
	o.Lock()
	defer o.Unlock()
	if o.failing {
		return 0, errFull
	}
	o.writes = append(o.writes, bytes.Clone(p))
	return len(p), nil
}

// lines returns what was written, by lines.
func (o *gatedOutput) lines() []string {
	o.Lock()
	defer o.Unlock()
	return strings.Split(strings.TrimSuffix(string(bytes.Join(o.writes, nil)), "\n"), "\n")
}

func newQueue(w io.Writer) *Queue {
	return &Queue{Output: w, Notice: func(n int) []byte { return fmt.Appendf(nil, "missing %d\n", n) }}
}

// TestStuckOutputDoesNotBlock guards against goroutines that wait for an output, against lines in parts or out of order
// after that, and against losses that no line states.
func TestStuckOutputDoesNotBlock(t *testing.T) {
	for _, test := range []struct {
		name string
		// size is the length of a line without its number.
		size int
	}{{"many lines", 0}, {"long lines", 900}, {"lines longer than a write", 2 * maxWriteBytes}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := &gatedOutput{}
			q := newQueue(o)
			o.Lock()
			sent := 3 * maxQueuedLines
			for i := range sent {
				_, err := fmt.Fprintf(q, "%d %s\n", i, strings.Repeat("x", test.size))
				c.Assert(err, qt.IsNil)
			}
			c.Check(q.Flush(10*time.Millisecond), qt.IsFalse)
			c.Check(cap(q.waiting) <= 2*maxQueuedBytes, qt.IsTrue)
			dropped := q.Dropped()
			c.Check(dropped > 0, qt.IsTrue)
			o.Unlock()
			c.Assert(q.Flush(time.Minute), qt.IsTrue)
			_, _ = fmt.Fprintln(q, "after")
			c.Assert(q.Flush(time.Minute), qt.IsTrue)
			lines := o.lines()
			c.Assert(lines[len(lines)-1], qt.Equals, "after")
			next, missing := 0, 0
			for _, l := range lines[:len(lines)-1] {
				n := 0
				if _, err := fmt.Sscanf(l, "missing %d", &n); err == nil {
					c.Assert(n > 0, qt.IsTrue)
					next, missing = next+n, missing+n
					continue
				}
				c.Assert(l, qt.Equals, fmt.Sprintf("%d %s", next, strings.Repeat("x", test.size)))
				next++
			}
			c.Check(next, qt.Equals, sent)
			c.Check(missing, qt.Equals, dropped)
			for _, w := range o.writes {
				c.Assert(w[len(w)-1], qt.Equals, byte('\n'))
				c.Assert(len(w) <= maxWriteBytes || bytes.Count(w, []byte{'\n'}) == 1, qt.IsTrue)
			}
			c.Check(cap(q.waiting)+cap(q.spare) <= 2*maxKeptBytes, qt.IsTrue)
		})
	}
}

// TestLinesOfAFailedWriteAreStated guards against losses that no line states, and against a queue that retries without end.
func TestLinesOfAFailedWriteAreStated(t *testing.T) {
	c := qt.New(t)
	o := &gatedOutput{failing: true}
	q := newQueue(o)
	for _, l := range []string{"a", "b"} {
		_, _ = fmt.Fprintln(q, l)
		c.Assert(q.Flush(time.Minute), qt.IsTrue)
	}
	c.Check(q.Dropped(), qt.Equals, 2)
	o.failing = false
	_, _ = fmt.Fprintln(q, "c")
	c.Assert(q.Flush(time.Minute), qt.IsTrue)
	c.Check(o.lines(), qt.DeepEquals, []string{"missing 2", "c"})
}

// TestFlowingOutputLosesNoLine checks that lines of several goroutines are written once, in the order of each.
func TestFlowingOutputLosesNoLine(t *testing.T) {
	c := qt.New(t)
	o := &gatedOutput{}
	q := newQueue(o)
	const writers, count = 8, 400
	var group work.Group
	for w := range writers {
		group.Go(func() {
			for i := range count {
				_, _ = fmt.Fprintf(q, "%d %d\n", w, i)
			}
		})
	}
	group.Wait()
	c.Assert(q.Flush(time.Minute), qt.IsTrue)
	var next [writers]int
	lines := o.lines()
	c.Assert(lines, qt.HasLen, writers*count)
	for _, l := range lines {
		var w, i int
		_, err := fmt.Sscan(l, &w, &i)
		c.Assert(err, qt.IsNil)
		c.Assert(i, qt.Equals, next[w])
		next[w]++
	}
	c.Check(q.Dropped(), qt.Equals, 0)
}

// BenchmarkLine measures a line of usual length to a pipe, without a queue and with one.
func BenchmarkLine(b *testing.B) {
	line := []byte(strings.Repeat("x", 899) + "\n")
	for _, queued := range []bool{false, true} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			r, w, err := os.Pipe()
			if err != nil {
				b.Fatal(err)
			}
			var group work.Group
			group.Go(func() { _, _ = io.Copy(io.Discard, r) })
			out := io.Writer(w)
			q := newQueue(w)
			if queued {
				out = q
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = out.Write(line)
			}
			q.Flush(time.Minute)
			b.ReportMetric(float64(q.Dropped())/float64(b.N), "dropped/op")
			_ = w.Close()
			group.Wait()
		})
	}
}
