// Package work starts goroutines, counts operations in flight and waits for both to
// end.
package work

import "sync"

// A Group is a set of goroutines. The zero value is ready to use. Once Wait has been
// called, Go starts no more goroutines.
type Group struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	stopped bool
}

// Go runs f in a goroutine of the group. It reports false, without running f, if
// the group was stopped.
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
