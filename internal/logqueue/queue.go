// Package logqueue keeps an output that takes no lines from blocking the goroutines that log.
package logqueue

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// maxQueuedBytes and maxQueuedLines limit the lines that wait for the output. As many may be
	// with the output besides.
	maxQueuedBytes = 512 << 10
	maxQueuedLines = 4096
	// maxKeptBytes limits the memory that a queue keeps while it is empty.
	maxKeptBytes = 32 << 10
	// maxWriteBytes limits a write of several lines. A pipe takes writes up to this size whole or
	// not at all, so that a process that ends leaves no part of a line.
	maxWriteBytes = 4096
)

// A Queue is an io.Writer that passes lines on to Output in order and never waits for it. Lines that
// do not fit are dropped until Output has taken those that wait; a notice is written in their
// place. Its exported fields are set before use. It is safe for concurrent use.
type Queue struct {
	// Output is written to by one goroutine at a time, in whole lines.
	Output io.Writer
	// Notice returns a line that states how many lines are missing.
	Notice func(missing int) []byte

	// group is not waited for, because a write to Output may never return.
	group work.Group
	// draining is in flight while lines wait or are being written.
	draining work.InFlight

	mu sync.Mutex
	// waiting are the lines that wait, spare is memory for the next ones.
	waiting, spare []byte
	lineCount      int
	isDraining     bool
	// overflow is the number of lines that were dropped after the last one in waiting.
	overflow int
	// dropped is the number of all lines that Output did not get.
	dropped int

	// missing is the number of lines that Output did not get and no notice states. Only the
	// goroutine that drains the queue uses it.
	missing int
}

var _ io.Writer = (*Queue)(nil)

// Dropped returns how many lines were dropped because they did not fit or because Output failed.
func (q *Queue) Dropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// Flush waits until all lines have been written, at most for the timeout. It reports whether they
// have.
func (q *Queue) Flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.draining.Idle():
		return true
	case <-timer.C:
		return false
	}
}

// Write implements io.Writer for one line, which ends with a newline. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.overflow > 0 || q.lineCount >= maxQueuedLines || len(q.waiting)+len(line) > maxQueuedBytes {
		q.overflow++
		q.dropped++
	} else {
		q.waiting = append(q.waiting, line...)
		q.lineCount++
	}
	if !q.isDraining {
		q.isDraining = true
		end := q.draining.Begin()
		q.group.Go(func() {
			defer end()
			q.drain()
		})
	}
	return len(line), nil
}

// drain writes the lines that wait until there are none.
func (q *Queue) drain() {
	for batch, overflow := q.take(nil); len(batch) > 0 || overflow > 0; batch, overflow = q.take(batch) {
		q.writeNotice()
		for rest := batch; len(rest) > 0; {
			n := wholeLines(rest)
			if _, err := q.Output.Write(rest[:n]); err != nil {
				q.addMissing(bytes.Count(rest[:n], []byte{'\n'}))
			}
			rest = rest[n:]
		}
		q.missing += overflow
		q.writeNotice()
	}
}

// take returns the lines that wait and how many were dropped after them. If there are none, the
// caller no longer drains the queue. The memory of the lines taken before is used again.
func (q *Queue) take(written []byte) (batch []byte, overflow int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cap(written) > 0 && cap(written) <= maxKeptBytes {
		q.spare = written[:0]
	}
	batch, overflow = q.waiting, q.overflow
	if len(batch) == 0 && overflow == 0 {
		q.isDraining = false
		return nil, 0
	}
	q.waiting, q.spare, q.lineCount, q.overflow = q.spare, nil, 0, 0
	return batch, overflow
}

// writeNotice states the missing lines, if there are any. After an error it is called again with
// the next lines.
func (q *Queue) writeNotice() {
	if q.missing == 0 {
		return
	}
	if _, err := q.Output.Write(q.Notice(q.missing)); err == nil {
		q.missing = 0
	}
}

// addMissing counts lines that Output has refused.
func (q *Queue) addMissing(n int) {
	q.missing += n
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += n
}

// wholeLines returns the length of as many lines as fit into maxWriteBytes, but of one at least.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}
