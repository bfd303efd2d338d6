package dialling

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/allowance"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// Suspects remember when hosts that are suspected now were first seen so. The zero value is ready to
// use. They are not safe for concurrent use.
type Suspects struct {
	seenAt map[string]time.Time
}

// Record records which members are suspected, and reports whether one became so less than
// allowance.TakeoverDelay ago.
func (s *Suspects) Record(now time.Time, members []roster.Member) bool {
	if s.seenAt == nil {
		s.seenAt = make(map[string]time.Time)
	}
	isRecent := false
	for _, m := range members {
		at, ok := s.seenAt[m.Host()]
		switch {
		case m.State() != roster.Suspect:
			delete(s.seenAt, m.Host())
		case !ok:
			s.seenAt[m.Host()] = now
			isRecent = true
		case now.Sub(at) < allowance.TakeoverDelay:
			isRecent = true
		}
	}
	return isRecent
}

// MayIssue reports whether a member issues tokens: it is alive, or suspected for less than
// allowance.TakeoverDelay.
func (s *Suspects) MayIssue(now time.Time, m roster.Member) bool {
	return m.State() == roster.Alive || (m.State() == roster.Suspect && now.Sub(s.seenAt[m.Host()]) < allowance.TakeoverDelay)
}
