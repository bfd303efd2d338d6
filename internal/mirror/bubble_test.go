package mirror

import "github.com/foxtailshelf/foxtailshelf/internal/work"

// startInBubble starts a goroutine in the synctest bubble of the calling test.
func startInBubble(f func()) {
	var group work.Group
	group.Go(f)
}
