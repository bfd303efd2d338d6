package mirror

import "github.com/foxtailshelf/foxtailshelf/internal/work"

// startInBubble starts a goroutine of the calling test.
func startInBubble(f func()) {
	var group work.Group
	group.Go(f)
}
