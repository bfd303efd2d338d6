package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// maxChanges is how many change ids a head remembers.
const maxChanges = 64

// A Head is the small value that says which documents are in force.
type Head struct {
	// Revision grows by one with each change.
	Revision uint64 `json:"revision"`
	// ServiceHashes maps the name of each service to the hash of its document.
	ServiceHashes map[string]string `json:"services"`
	// ChangeIDs holds the ids of the last changes, newest last.
	ChangeIDs []string `json:"changes"`
}

// A Catalog is an immutable set of services at one revision.
type Catalog struct {
	head     Head
	services map[string]*Service
}

// Empty returns the catalog before the first change.
func Empty() *Catalog {
	return &Catalog{head: Head{ServiceHashes: map[string]string{}}, services: map[string]*Service{}}
}

// Hash returns the name under which a document is kept.
func Hash(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:16])
}

// ParseHead reads a head.
func ParseHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("parse catalog head: %w", err)
	}
	return h, nil
}

// Assemble builds the catalog of a head; document returns the document with a
// hash. Services that base holds already, which may be nil, are taken from it.
func Assemble(head Head, base *Catalog, document func(hash string) ([]byte, error)) (*Catalog, error) {
	c := &Catalog{head: head, services: make(map[string]*Service, len(head.ServiceHashes))}
	for _, name := range slices.Sorted(maps.Keys(head.ServiceHashes)) {
		if s, ok := base.unchanged(name, head.ServiceHashes[name]); ok {
			c.services[name] = s
			continue
		}
		data, err := document(head.ServiceHashes[name])
		if err != nil {
			return nil, fmt.Errorf("document of service %s: %w", name, err)
		}
		if Hash(data) != head.ServiceHashes[name] {
			return nil, fmt.Errorf("document of service %s does not match its hash", name)
		}
		s, err := ParseService(name, data)
		if err != nil {
			return nil, fmt.Errorf("document of service %s: %w", name, err)
		}
		c.services[name] = s
	}
	return c, nil
}

// Encode returns the JSON of the head.
func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("catalog head cannot be encoded: %v", err))
	}
	return data
}

// HasChange reports whether the change with this id is part of the head.
func (h Head) HasChange(changeID string) bool {
	return slices.Contains(h.ChangeIDs, changeID)
}

// Head returns the head of the catalog.
func (c *Catalog) Head() Head { return c.head }

// Revision returns the revision of the catalog.
func (c *Catalog) Revision() uint64 { return c.head.Revision }

// Service returns the service with this name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c *Catalog) Services() []*Service {
	names := slices.Sorted(maps.Keys(c.services))
	services := make([]*Service, 0, len(names))
	for _, n := range names {
		services = append(services, c.services[n])
	}
	return services
}

// unchanged returns the service if the catalog holds it with this hash.
func (c *Catalog) unchanged(name, hash string) (*Service, bool) {
	if c == nil || c.head.ServiceHashes[name] != hash {
		return nil, false
	}
	return c.Service(name)
}

// Diff returns the services that other has not or has differently, and the
// names of those that only other has.
func (c *Catalog) Diff(other *Catalog) (put []*Service, removed []string) {
	for _, s := range c.Services() {
		if _, same := other.unchanged(s.Name(), c.head.ServiceHashes[s.Name()]); !same {
			put = append(put, s)
		}
	}
	for _, s := range other.Services() {
		if _, ok := c.services[s.Name()]; !ok {
			removed = append(removed, s.Name())
		}
	}
	return put, removed
}

// WithChange returns the catalog after one change: services to put and names to
// remove.
func (c *Catalog) WithChange(changeID string, put []*Service, remove []string) *Catalog {
	next := &Catalog{services: maps.Clone(c.services)}
	next.head = Head{
		Revision:      c.head.Revision + 1,
		ServiceHashes: maps.Clone(c.head.ServiceHashes),
		ChangeIDs:     append(slices.Clone(c.head.ChangeIDs), changeID),
	}
	if n := len(next.head.ChangeIDs); n > maxChanges {
		next.head.ChangeIDs = next.head.ChangeIDs[n-maxChanges:]
	}
	for _, s := range put {
		next.services[s.Name()] = s
		next.head.ServiceHashes[s.Name()] = Hash(s.Document())
	}
	for _, name := range remove {
		delete(next.services, name)
		delete(next.head.ServiceHashes, name)
	}
	return next
}
