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
	// publishReads is how often a head of uncertain fate is read.
	publishReads = 5
	publishPause = 200 * time.Millisecond
)

// A Publisher reads and changes the catalog in the key-value service.
type Publisher struct {
	Store keyvalue.Store
}

// A StaleError says that the catalog changed since a change was worked out.
type StaleError struct {
	BaseRevision, CurrentRevision uint64
	// ChangedServices names the services that differ.
	ChangedServices []string
}

// An UncertainError says that the fate of a change is not known.
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
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Publish puts a change in force, or says who else changed the catalog.
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
	current, readErr := p.readUntil(ctx)
	switch {
	case readErr != nil:
		return nil, &UncertainError{ChangeID: id, Err: errors.Join(err, readErr)}
	case current.Head().HasChange(id):
		return next, nil
	default:
		return nil, stale(base, current)
	}
}

// Read returns the catalog and the revision of its head in the service.
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

// putDocuments writes the documents under their hashes; one that is there
// already is the same.
func (p *Publisher) putDocuments(ctx context.Context, next *catalog.Catalog, put []*catalog.Service) error {
	for _, s := range put {
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

func (p *Publisher) readUntil(ctx context.Context) (*catalog.Catalog, error) {
	var last error
	for range publishReads {
		c, _, err := p.Read(ctx)
		if err == nil {
			return c, nil
		}
		last = err
		select {
		case <-time.After(publishPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, last
}

func stale(base, current *catalog.Catalog) *StaleError {
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
