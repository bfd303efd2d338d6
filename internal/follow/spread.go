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

// maxPast is how many catalogs are kept to tell peers the difference. They
// share all services that did not change.
const maxPast = 32

var errDifference = errors.New("the difference does not lead to the head of the peer")

// Documents returns what a peer needs to come to the catalog in force: the
// difference to the revision that it has, or everything.
func (f *Follower) Documents(have uint64) *wire.DocumentsReply {
	current := f.Current()
	reply := &wire.DocumentsReply{Revision: current.Revision(), HeadHash: catalog.Hash(current.Head().Encode())}
	if current.Revision() <= have {
		return reply
	}
	base, known := f.at(have)
	put := current.Services()
	if known {
		put, reply.Removed = current.Diff(base)
		reply.Changes = current.Head().ChangeIDs
	} else {
		reply.Head = current.Head().Encode()
	}
	for _, s := range put {
		reply.Documents = append(reply.Documents, &wire.Document{
			Service: s.Name(), Hash: current.Head().ServiceHashes[s.Name()], Body: s.Document(),
		})
	}
	return reply
}

// at returns the catalog of a revision if it is kept.
func (f *Follower) at(revision uint64) (*catalog.Catalog, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, c := range f.past {
		if c.Revision() == revision {
			return c, true
		}
	}
	return nil, false
}

// remember keeps a catalog; the caller holds the lock.
func (f *Follower) remember(c *catalog.Catalog) {
	if c.Revision() == never {
		return
	}
	f.past = append(f.past, c)
	if len(f.past) > maxPast {
		f.past = slices.Delete(f.past, 0, 1)
	}
}

// fetch takes the catalog of a peer if it is newer.
func (f *Follower) fetch(ctx context.Context, address string) {
	base := f.Current()
	err := f.fetchFrom(ctx, address, base, base.Revision())
	if errors.Is(err, errDifference) {
		err = f.fetchFrom(ctx, address, base, never)
	}
	if err != nil {
		f.warn(fmt.Errorf("peer %s: %w", address, err), "catalog of a peer not taken")
	}
}

// never is the revision before the first change: to it, a peer sends everything.
const never = 0

func (f *Follower) fetchFrom(ctx context.Context, address string, base *catalog.Catalog, have uint64) error {
	reply, err := f.GateTransport.Documents(ctx, address, &wire.DocumentsRequest{HaveRevision: have})
	if err != nil {
		return fmt.Errorf("ask peer: %w", err)
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

// decodeHead returns the head of a peer: the whole one, or the own head with
// the difference applied.
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
		return catalog.Head{}, errDifference
	}
	return head, nil
}
