package dispatch

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/pool"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

// A part is what one service contributes to an answer.
type part struct {
	service string
	pool    *pool.Pool
	// tried holds the upstreams of all attempts so far.
	tried []string
	// sent counts all attempts, arrived those that may have reached an
	// upstream, ran those that an upstream may have run, running those under way.
	sent, arrived, ran, running int
	// since is when the part began to wait for its first attempt.
	since time.Time
	// wanted is set while the part needs an attempt and has none under way.
	wanted bool
	// lateAt is when another upstream is asked as well.
	lateAt time.Time
	// answer is the answer that counts; nil until there is one.
	answer *upstream.Response
	// failure is the last failure that an upstream itself answered with.
	failure *upstream.Response
	// reason is why the part was given up.
	reason Reason
}

// giveUp ends a part without an answer.
func (p *part) giveUp(reason Reason) {
	p.reason = reason
	p.wanted = false
}

// revive takes back that a part was given up before it started.
func (p *part) revive(now time.Time) {
	p.reason, p.wanted, p.since = ReasonNone, true, now
}

// settled reports whether the part needs nothing any more.
func (p *part) settled() bool {
	return p.answer != nil || p.reason != ReasonNone
}
