package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// maxRecentCatalogs is how many catalogs are kept to compute differences for peers.
// The kept catalogs share the memory of services that are unchanged between them.
const maxRecentCatalogs = 32

var errHeadMismatch = errors.New("own head with the difference applied does not match the hash of the peer's head")

// Documents returns the reply to a peer whose catalog has the revision haveRevision.
// If the active catalog is newer, the reply contains the difference between the two
// catalogs, or the head and all documents if the peer's catalog is not among the
// recent catalogs. In any case it contains the revision and the hash of the head of
// the active catalog.
func (f *Follower) Documents(haveRevision uint64) *wire.DocumentsReply {
	current := f.Current()
	reply := &wire.DocumentsReply{Revision: current.Revision(), HeadHash: catalog.Hash(current.Head().Encode())}
	if current.Revision() <= haveRevision {
		return reply
	}
	base, isKept := f.recentCatalog(haveRevision)
	changed := current.Services()
	if isKept {
		changed, reply.Removed = current.Diff(base)
		reply.Changes = current.Head().ChangeIDs
	} else {
		reply.Head = current.Head().Encode()
	}
	for _, s := range changed {
		reply.Documents = append(reply.Documents, &wire.Document{
			Service: s.Name(), Hash: current.Head().ServiceHashes[s.Name()], Body: s.Document(),
		})
	}
	return reply
}

// recentCatalog returns the catalog of a revision, if it is one of the recent catalogs.
func (f *Follower) recentCatalog(revision uint64) (*catalog.Catalog, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, c := range f.recentCatalogs {
		if c.Revision() == revision {
			return c, true
		}
	}
	return nil, false
}

// keepCatalog adds a catalog to the recent catalogs and drops the oldest if there are
// more than maxRecentCatalogs. The empty catalog is not kept, because a peer that
// requests the changes after noRevision must get the complete catalog. The caller
// holds f.mu.
func (f *Follower) keepCatalog(c *catalog.Catalog) {
	if c.Revision() == noRevision {
		return
	}
	f.recentCatalogs = append(f.recentCatalogs, c)
	if len(f.recentCatalogs) > maxRecentCatalogs {
		f.recentCatalogs = slices.Delete(f.recentCatalogs, 0, 1)
	}
}

// fetchFromPeer activates the catalog of a peer if that catalog is newer. If the
// difference does not match the peer's head, fetchFromPeer requests the complete
// catalog.
func (f *Follower) fetchFromPeer(ctx context.Context, address string) {
	base := f.Current()
	err := f.requestDocuments(ctx, address, base, base.Revision())
	if errors.Is(err, errHeadMismatch) {
		err = f.requestDocuments(ctx, address, base, noRevision)
	}
	if err != nil {
		f.warnRateLimited(fmt.Errorf("peer %s: %w", address, err), "could not fetch catalog from peer")
	}
}

// noRevision is the revision of the empty catalog, before the first change. A peer
// replies to a request with this revision with the complete catalog.
const noRevision = 0

// requestDocuments requests the changes after haveRevision from a peer. If the peer's
// catalog is newer than base, requestDocuments assembles and activates it; a
// difference is applied to base.
func (f *Follower) requestDocuments(ctx context.Context, address string, base *catalog.Catalog, haveRevision uint64) error {
	reply, err := f.GateTransport.Documents(ctx, address, &wire.DocumentsRequest{HaveRevision: haveRevision})
	if err != nil {
		return fmt.Errorf("request documents: %w", err)
	}
	if reply.GetRevision() <= base.Revision() {
		return nil
	}
	head, err := decodeHead(base, reply)
	if err != nil {
		return err
	}
	documents := make(map[string][]byte)
	for _, d := range reply.GetDocuments() {
		documents[d.GetHash()] = d.GetBody()
	}
	return f.assemble(head, func(hash string) ([]byte, error) { return documents[hash], nil })
}

// decodeHead returns the head of a peer's catalog. A reply with the complete catalog
// contains the head. For a difference, decodeHead applies it to the head of base and
// returns errHeadMismatch if the resulting head does not have the hash in the reply.
func decodeHead(base *catalog.Catalog, reply *wire.DocumentsReply) (catalog.Head, error) {
	if len(reply.GetHead()) > 0 {
		return catalog.ParseHead(reply.GetHead())
	}
	head := catalog.Head{
		Revision: reply.GetRevision(), ServiceHashes: maps.Clone(base.Head().ServiceHashes), ChangeIDs: reply.GetChanges(),
	}
	for _, name := range reply.GetRemoved() {
		delete(head.ServiceHashes, name)
	}
	for _, d := range reply.GetDocuments() {
		head.ServiceHashes[d.GetService()] = d.GetHash()
	}
	if catalog.Hash(head.Encode()) != reply.GetHeadHash() {
		return catalog.Head{}, errHeadMismatch
	}
	return head, nil
}
