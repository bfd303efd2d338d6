package follow

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// TestWholeCatalogIsSentOnRequest asks a process that has known the empty
// catalog for everything, as a peer does whose own differs in an unknown way.
func TestWholeCatalogIsSentOnRequest(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &Follower{Log: log, OnChange: func(*catalog.Catalog) {}}
	f.apply(catalog.Empty())
	f.apply(catalog.Empty().WithChange("first", nil, nil))
	c.Check(f.Documents(never).GetHead(), qt.Not(qt.HasLen), 0)
	f.apply(f.Current().WithChange("second", nil, nil))
	c.Check(f.Documents(1).GetHead(), qt.HasLen, 0)
}
