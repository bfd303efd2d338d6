package invariant

import (
	"fmt"
	"time"
)

// A Holding is something that a process takes for requests, and how much of it is not given back.
type Holding struct {
	// What names the holding, in the plural.
	What  string
	Count int
	// Detail says more of what is held. It may be empty.
	Detail string
}

// Activity is what a process does for requests. Begun counts all requests so far, InFlight the
// requests and attempts that have not ended.
type Activity struct {
	Begun    uint64
	InFlight int
}

// An IdleCheck checks that a process that has been idle for Period holds nothing. Its exported
// fields are set before use. It is not safe for concurrent use.
type IdleCheck struct {
	Recorder *Recorder
	// Period is longer than what follows a request takes, MaxGap than the time between two calls
	// of Run, unless the process was paused.
	Period, MaxGap time.Duration
	// Activity returns the current activity.
	Activity func() Activity
	// Holdings returns what the process holds. It is called while the process is idle.
	Holdings func() []Holding

	begun            uint64
	ranAt, idleSince time.Time
	// reported holds the highest count that was reported of each holding.
	reported map[string]int
}

// Run checks the process. Each holding is reported again only if its count has grown.
func (c *IdleCheck) Run(now time.Time) {
	a := c.Activity()
	wasPaused := now.Sub(c.ranAt) > c.MaxGap
	c.ranAt = now
	if a.InFlight > 0 || a.Begun != c.begun || wasPaused {
		c.begun, c.idleSince = a.Begun, now
		return
	}
	idle := now.Sub(c.idleSince)
	if idle < c.Period {
		return
	}
	holdings := c.Holdings()
	if c.Activity() != a {
		// A request has begun while the holdings were counted.
		return
	}
	for _, h := range holdings {
		c.check(h, idle)
	}
}

func (c *IdleCheck) check(h Holding, idle time.Duration) {
	if h.Count == c.reported[h.What] {
		return
	}
	if c.reported == nil {
		c.reported = make(map[string]int)
	}
	hasGrown := h.Count > c.reported[h.What]
	c.reported[h.What] = h.Count
	detail := ""
	if h.Detail != "" {
		detail = fmt.Sprintf(" (%s)", h.Detail)
	}
	c.Recorder.Check(!hasGrown, IdleHoldsNothing, "%d %s held after %s without a request%s", h.Count, h.What, idle.Round(time.Second), detail)
}
