package shutdown

import (
	"sync"
	"time"
)

// AnswerTimes holds what other hosts tell of how long requests take, by route. The zero value knows of
// none. It is safe for concurrent use.
type AnswerTimes struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// Longest returns the longest time to an answer of a route; zero if none is known.
func (a *AnswerTimes) Longest(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.longest[route]
}

// Record adds the longest time to an answer that another host knows of a route.
func (a *AnswerTimes) Record(route string, longest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.longest == nil {
		a.longest = make(map[string]time.Duration)
	}
	a.longest[route] = max(a.longest[route], longest)
}
