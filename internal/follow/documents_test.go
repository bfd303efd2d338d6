package follow

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// TestFullHeadWithoutKnownRevision requests the complete catalog from a process that
// started with the empty catalog, as a peer does after a head mismatch. The process
// must reply with the head, not with a difference from the empty catalog. To a peer
// at revision 1, it must reply with a difference, which has no head.
func TestFullHeadWithoutKnownRevision(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &Follower{Log: log, OnChange: func(*catalog.Catalog) {}}
	f.apply(catalog.Empty())
	f.apply(catalog.Empty().WithChange("first", nil, nil))
	c.Check(f.Documents(noRevision).GetHead(), qt.Not(qt.HasLen), 0)
	f.apply(f.Current().WithChange("second", nil, nil))
	c.Check(f.Documents(1).GetHead(), qt.HasLen, 0)
}
