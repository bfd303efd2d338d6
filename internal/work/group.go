// Package work starts goroutines whose end can be waited for.
package work

import "sync"

// A Group is a set of goroutines. The zero value is ready. After Wait, Go
// starts nothing any more.
type Group struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	stopped bool
}

// Go runs f in a goroutine of the group; it reports false if the group was
// stopped and f does not run.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.wg.Go(f)
	return true
}

// Wait stops the group and returns when all its goroutines have ended.
func (g *Group) Wait() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}
