package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
	"github.com/foxtailshelf/foxtailshelf/internal/follow"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
)

const (
	// maxPublishReads is how many times Publish tries to read the catalog to find out
	// whether a change was accepted.
	maxPublishReads     = 5
	publishReadInterval = 200 * time.Millisecond
)

// A Publisher reads and writes the catalog in the key-value service.
type Publisher struct {
	Store keyvalue.Store
}

// A StaleError reports that a change was not accepted, usually because the catalog
// is not at the revision on which the change is based. If only the write of the head
// failed, both revisions are the same.
type StaleError struct {
	BaseRevision, CurrentRevision uint64
	// ChangedServices holds the names of the services that differ between the
	// revisions.
	ChangedServices []string
}

// An UncertainError reports that it is unknown whether a change was accepted.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("the catalog is at revision %d, not %d", e.CurrentRevision, e.BaseRevision)
	if len(e.ChangedServices) > 0 {
		text += "; changed meanwhile: " + strings.Join(e.ChangedServices, ", ")
	}
	return text
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("unknown whether change %s was accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the underlying error.
func (e *UncertainError) Unwrap() error { return e.Err }

// Publish writes a change to the key-value service. If the write of the head is not
// confirmed, it reads the catalog again. It returns a StaleError if the catalog does not
// include the change, and an UncertainError if the catalog cannot be read, so that it is
// unknown whether the change was accepted.
func (p *Publisher) Publish(ctx context.Context, base *catalog.Catalog, headRevision uint64, change *Change) (*catalog.Catalog, error) {
	next := change.ApplyTo(base, uuid.NewString())
	if err := p.putDocuments(ctx, next, change.UpdatedServices()); err != nil {
		return nil, err
	}
	id := next.Head().ChangeIDs[len(next.Head().ChangeIDs)-1]
	written, err := p.Store.CompareAndSwap(ctx, follow.HeadKey, next.Head().Encode(), headRevision)
	if err == nil && written {
		return next, nil
	}
	current, readErr := p.readWithRetries(ctx)
	switch {
	case readErr != nil:
		return nil, &UncertainError{ChangeID: id, Err: errors.Join(err, readErr)}
	case current.Head().HasChange(id):
		return next, nil
	default:
		return nil, newStaleError(base, current)
	}
}

// Read returns the catalog and the revision of its head in the key-value service.
// Before the first change these are the empty catalog and 0.
func (p *Publisher) Read(ctx context.Context) (*catalog.Catalog, uint64, error) {
	entry, err := p.Store.Get(ctx, follow.HeadKey)
	var missing *keyvalue.NotFoundError
	if errors.As(err, &missing) {
		return catalog.Empty(), 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read catalog head: %w", err)
	}
	head, err := catalog.ParseHead(entry.Value())
	if err != nil {
		return nil, 0, err
	}
	c, err := catalog.Assemble(head, nil, func(hash string) ([]byte, error) {
		document, err := p.Store.Get(ctx, follow.DocumentPrefix+hash)
		if err != nil {
			return nil, fmt.Errorf("read document: %w", err)
		}
		return document.Value(), nil
	})
	return c, entry.Revision(), err
}

// putDocuments writes the documents of services under their hashes. An existing
// document is kept, because it has the same content. After an error of a write, the
// document is read: if it exists, the write may have succeeded without a reply and
// the error is ignored.
func (p *Publisher) putDocuments(ctx context.Context, next *catalog.Catalog, services []*catalog.Service) error {
	for _, s := range services {
		key := follow.DocumentPrefix + next.Head().ServiceHashes[s.Name()]
		_, err := p.Store.CompareAndSwap(ctx, key, s.Document(), 0)
		if err == nil {
			continue
		}
		if _, readErr := p.Store.Get(ctx, key); readErr != nil {
			return fmt.Errorf("write document of service %s: %w", s.Name(), err)
		}
	}
	return nil
}

func (p *Publisher) readWithRetries(ctx context.Context) (*catalog.Catalog, error) {
	var lastErr error
	for range maxPublishReads {
		c, _, err := p.Read(ctx)
		if err == nil {
			return c, nil
		}
		lastErr = err
		select {
		case <-time.After(publishReadInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, lastErr
}

func newStaleError(base, current *catalog.Catalog) *StaleError {
	e := &StaleError{BaseRevision: base.Revision(), CurrentRevision: current.Revision()}
	for _, s := range current.Services() {
		if base.Head().ServiceHashes[s.Name()] != current.Head().ServiceHashes[s.Name()] {
			e.ChangedServices = append(e.ChangedServices, s.Name())
		}
	}
	for _, s := range base.Services() {
		if _, ok := current.Service(s.Name()); !ok {
			e.ChangedServices = append(e.ChangedServices, s.Name())
		}
	}
	return e
}
