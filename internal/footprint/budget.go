// Package footprint bounds the memory and the descriptors that the connections of callers make a
// process hold. All connections of a process share one Budget. When it is used up, the connections
// end that hold most for longest without a request that is complete.
package footprint

import (
	"slices"
	"sync"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// memoryDivisor is the part of a process's memory, as a divisor, that connections may hold. The
	// process needs the rest for itself and for what the garbage collector has not freed yet.
	memoryDivisor = 3
	// requestShare is the part of the budget that heads, bodies and answers may use up. The rest is
	// for connections whose requests are small.
	requestShare = 0.75
	// connectionShare is the part of the budget that connections may use up by their number alone.
	connectionShare = 0.8
	// descriptorsForFiles are the descriptors that are not for sockets. Of the others, callers may use
	// one in descriptorDivisor; the rest is for upstreams, other hosts and the store.
	descriptorsForFiles = 200
	descriptorDivisor   = 2
	// receiveBufferBytes is the receive buffer of a connection: what the system holds that the
	// process has not read yet.
	receiveBufferBytes = 32 << 10
	// smallRequestBytes is what a request holds without being counted beyond its connection.
	smallRequestBytes = 8 << 10
	// connectionBytes is what each connection counts for: its receive buffer, a small request, and
	// the goroutine and the buffers of the server.
	connectionBytes = receiveBufferBytes + smallRequestBytes + 24<<10
	// relief is the part of a limit down to which connections are ended once it is exceeded, so that
	// not every further byte has to end another one.
	relief = 0.875
	// overdraft is the part of a limit by which connections may exceed it that have been ended and
	// have not given back yet what they hold.
	overdraft = 0.25
	// promptPeriod is how long a small request, or an answer, usually takes at the most to be
	// received whole. Until then a connection is not one that holds things up.
	promptPeriod = time.Second
	// queueShare is the part of the highest number of connections up to which new ones wait to be accepted.
	queueShare = 0.25
	// admitTimeout is how long a new connection waits for others that were ended to be closed.
	admitTimeout, admitInterval = 20 * time.Millisecond, time.Millisecond
	// reportInterval is the least time between two reports.
	reportInterval = time.Second
)

// DefaultMemoryBytes is the memory of a process whose settings state none.
const DefaultMemoryBytes = 512 << 20

// The causes.
const (
	CauseConnections Cause = "connections"
	CauseMemory      Cause = "memory"
	CauseHeadTooLong Cause = "head-too-long"
	CauseHeadTimeout Cause = "head-timeout"
)

// A Cause says why a connection was ended.
type Cause string

// Limits bound the heads of requests and the time between requests.
type Limits struct {
	// HeadBytes is the longest head.
	HeadBytes int64
	// HeadTimeout is how long a caller may take to send a head, IdleTimeout how long a connection may
	// wait for the next request before it is ended ahead of others.
	HeadTimeout, IdleTimeout time.Duration
}

// DefaultLimits are the limits of a Budget without Limits.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// A Report says which connections were ended since the last one.
type Report struct {
	Ended       map[Cause]int
	HeldBytes   int64
	Connections int
}

// A Budget is the account of what all connections hold. Its exported fields are set before use. It
// is safe for concurrent use.
type Budget struct {
	// Limits returns the current limits; nil for DefaultLimits. It must not block, nor use the Budget.
	Limits func() Limits
	// OnEnd is called for each connection that is ended, with the phase of its request. It must not
	// block. It may be nil.
	OnEnd func(Cause, Phase)
	// OnReport is called at most once in reportInterval when connections were ended. It must not
	// block. It may be nil.
	OnReport func(Report)

	// memoryLimit is the highest sum of what connections hold, in bytes, requestLimit that up to which
	// requests may take more.
	memoryLimit, requestLimit int64
	connectionLimit           int
	// group runs the connections that linger. It is not waited for, because they end by themselves.
	group work.Group

	mu sync.Mutex
	// held is the sum of what all connections hold and of the copies of requests, ending the part of
	// connections that were ended; 0 <= ending <= held.
	held, ending int64
	// reserved is the part of held that is reserved for copies of requests.
	reserved    int64
	connections map[*Conn]struct{}
	// endingCount is the number of connections that were ended and are not closed yet.
	endingCount int
	// lingering are the connections whose callers have time to receive a refusal.
	lingering map[*Conn]struct{}
	// unreported counts the connections that were ended since reportedAt.
	unreported map[Cause]int
	reportedAt time.Time
}

// NewBudget returns the budget of a process with an amount of memory and a number of descriptors; zero if
// these have no bound.
func NewBudget(memoryBytes int64, descriptors int) *Budget {
	b := &Budget{
		memoryLimit: memoryBytes / memoryDivisor, connections: make(map[*Conn]struct{}), lingering: make(map[*Conn]struct{}),
		unreported: make(map[Cause]int),
	}
	b.requestLimit = share(b.memoryLimit, requestShare)
	b.connectionLimit = int(share(b.memoryLimit, connectionShare) / connectionBytes)
	if descriptors > 0 {
		b.connectionLimit = max(1, min(b.connectionLimit, (descriptors-descriptorsForFiles)/descriptorDivisor))
	}
	return b
}

// Connections returns the number of open connections, HeldBytes what they hold.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.connections)
}

// HeldBytes returns what connections hold, in bytes, including connectionBytes for each.
func (b *Budget) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// HeldByRequests returns what requests and their copies hold beyond their connections, in bytes.
func (b *Budget) HeldByRequests() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held - int64(len(b.connections))*connectionBytes
}

// Reserve reserves room for a copy of a request, such as a message to another host. It reports false if
// there is none. The caller calls release once when the copy is gone. A nil Budget has room for
// everything.
func (b *Budget) Reserve(n int64) (release func(), ok bool) {
	if b == nil || n <= smallRequestBytes {
		return func() {}, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
	b.reserved += n
	if b.exceeds(b.requestLimit) {
		b.shed(time.Now(), b.requestLimit, nil)
	}
	if b.held-b.ending > b.requestLimit || b.overdrawn() {
		b.unreserve(n)
		return func() {}, false
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.unreserve(n)
	}, true
}

// Reserved returns what is reserved, in bytes.
func (b *Budget) Reserved() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// unreserve ends a reservation. The caller holds mu.
func (b *Budget) unreserve(n int64) {
	b.held -= n
	b.reserved -= n
}

func (b *Budget) limits() Limits {
	if b.Limits == nil {
		return DefaultLimits
	}
	return b.Limits()
}

// admit adds a connection and reports whether there is room for it. If connections that were ended have
// to be closed before, it waits for them.
func (b *Budget) admit(c *Conn) bool {
	for deadline := time.Now().Add(admitTimeout); ; time.Sleep(admitInterval) {
		admitted, mayWait := b.tryAdmit(c, time.Now().Before(deadline))
		if admitted || !mayWait {
			return admitted
		}
	}
}

// tryAdmit is admit without waiting. mayWait is set if a later try may succeed.
func (b *Budget) tryAdmit(c *Conn, isEarly bool) (admitted, mayWait bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase, c.since = Head, time.Now()
	b.connections[c] = struct{}{}
	b.held += connectionBytes
	if b.exceeds(b.memoryLimit) {
		b.shed(c.since, b.memoryLimit, c)
	}
	if b.endingCount > b.spareCount()/2 {
		b.endLingering()
	}
	hasRoom := !b.exceeds(b.memoryLimit)
	if hasRoom && !b.overdrawn() {
		return true, false
	}
	if mayWait = hasRoom && isEarly; !mayWait {
		b.count(c, CauseConnections)
	}
	b.remove(c)
	return false, mayWait
}

// linger adds a connection to those whose callers have time to receive a refusal. It reports false if the
// connection was removed before. The caller holds mu.
func (b *Budget) linger(c *Conn) bool {
	_, ok := b.connections[c]
	if ok {
		b.lingering[c] = struct{}{}
	}
	return ok
}

// endLingering ends the time that callers have to receive their refusals. The caller holds mu.
func (b *Budget) endLingering() {
	for c := range b.lingering {
		// The server closes it once more.
		_ = c.Conn.Close()
		b.remove(c)
	}
}

// take lets a connection hold more for its request. If there is no room for it, the connection is
// ended, and take reports false. The caller holds mu.
func (b *Budget) take(c *Conn, n int64) bool {
	if c.ended {
		return false
	}
	c.held += n
	b.held += n
	if b.exceeds(b.requestLimit) {
		b.shed(time.Now(), b.requestLimit, nil)
	}
	if !c.ended && (b.exceeds(b.requestLimit) || b.overdrawn()) {
		b.end(c, CauseMemory)
	}
	if c.ended {
		c.held -= n
		b.held -= n
		b.ending -= n
	}
	return !c.ended
}

// giveBack ends what the request of a connection holds. The caller holds mu.
func (b *Budget) giveBack(c *Conn) {
	b.held -= c.held
	if c.ended {
		b.ending -= c.held
	}
	c.held, c.demand = 0, 0
}

// remove removes a connection, once. The caller holds mu.
func (b *Budget) remove(c *Conn) {
	if _, ok := b.connections[c]; !ok {
		return
	}
	b.giveBack(c)
	delete(b.connections, c)
	delete(b.lingering, c)
	b.held -= connectionBytes
	if c.ended {
		b.ending -= connectionBytes
		b.endingCount--
	}
}

// exceeds reports whether the connections that were not ended are too many or hold more than a limit.
// The caller holds mu.
func (b *Budget) exceeds(limit int64) bool {
	return b.held-b.ending > limit || len(b.connections)-b.endingCount > b.connectionLimit
}

// overdrawn reports whether connections that were ended still hold too much. The caller holds mu.
func (b *Budget) overdrawn() bool {
	return b.held > b.memoryLimit+share(b.memoryLimit, overdraft) || len(b.connections) > b.connectionLimit+b.spareCount()
}

// spareCount returns how many connections that were ended may be open beside the others.
func (b *Budget) spareCount() int { return max(1, int(share(int64(b.connectionLimit), overdraft))) }

// queueLimit returns how many new connections may wait to be accepted at one address.
func (b *Budget) queueLimit() int { return max(1, int(share(int64(b.connectionLimit), queueShare))) }

// shed ends connections until the others hold less than a limit and are fewer than allowed. Those come
// first that hold up others, and of these those that hold most for longest; then those that wait for
// their next request, as their callers lose nothing; then new ones. Those whose requests run, and the
// spared one, are kept. The caller holds mu.
func (b *Budget) shed(now time.Time, limit int64, spared *Conn) {
	var pressing, waiting, recent []candidate
	idleTimeout := b.limits().IdleTimeout
	for c := range b.connections {
		age := now.Sub(c.since)
		weighed := candidate{conn: c, weight: float64(connectionBytes+c.held) * age.Seconds()}
		isReceiving := c.phase == Head || c.phase == Body
		switch {
		case c.ended || c == spared:
		case isReceiving && (c.held > 0 || age > promptPeriod), c.phase == Answer && age > promptPeriod, c.phase == Idle && age > idleTimeout:
			pressing = append(pressing, weighed)
		case c.phase == Idle:
			waiting = append(waiting, weighed)
		case isReceiving:
			recent = append(recent, weighed)
		}
	}
	cause := CauseMemory
	if len(b.connections)-b.endingCount > b.connectionLimit {
		cause = CauseConnections
	}
	lowered, loweredCount := share(limit, relief), int(share(int64(b.connectionLimit), relief))
	for _, w := range heaviestFirst(pressing) {
		if b.held-b.ending <= lowered && len(b.connections)-b.endingCount <= loweredCount {
			return
		}
		b.end(w.conn, cause)
	}
	for _, w := range append(heaviestFirst(waiting), heaviestFirst(recent)...) {
		if !b.exceeds(limit) {
			return
		}
		b.end(w.conn, cause)
	}
}

// end ends a connection that was not ended: its reads and writes fail. What it holds is given back when
// its request and the connection have ended. The caller holds mu.
func (b *Budget) end(c *Conn, cause Cause) {
	b.count(c, cause)
	c.ended = true
	b.ending += connectionBytes + c.held
	b.endingCount++
	c.interrupt()
}

// count counts a connection that is ended. The caller holds mu.
func (b *Budget) count(c *Conn, cause Cause) {
	if b.OnEnd != nil {
		b.OnEnd(cause, c.phase)
	}
	b.unreported[cause]++
	if now := time.Now(); b.OnReport != nil && now.Sub(b.reportedAt) >= reportInterval {
		b.OnReport(Report{Ended: b.unreported, HeldBytes: b.held, Connections: len(b.connections)})
		b.reportedAt, b.unreported = now, make(map[Cause]int)
	}
}

// A candidate is a connection that may be ended, with what it holds times how long.
type candidate struct {
	conn   *Conn
	weight float64
}

func heaviestFirst(list []candidate) []candidate {
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	return list
}

func share(n int64, part float64) int64 { return int64(part * float64(n)) }
