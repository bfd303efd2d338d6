package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// maxChangeIDs is the number of recent change IDs that a head keeps. A publisher whose
// write was not acknowledged looks for its change among them.
const maxChangeIDs = 64

// A Head is the record in the key-value service that identifies the active documents.
type Head struct {
	// Revision increases by one with each change.
	Revision uint64 `json:"revision"`
	// ServiceHashes maps service names to the hashes of their documents.
	ServiceHashes map[string]string `json:"services"`
	// ChangeIDs holds the IDs of the most recent changes, newest last.
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

// Hash returns the hash by which a document is stored: the first 16 bytes of its
// SHA-256, in hexadecimal.
func Hash(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:16])
}

// ParseHead decodes the JSON of a head.
func ParseHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("parse catalog head: %w", err)
	}
	return h, nil
}

// Assemble builds the catalog of a head. Services that have not changed since base
// are taken from base, which may be nil. For each other service it calls document,
// which returns the document that has a given hash.
func Assemble(head Head, base *Catalog, document func(hash string) ([]byte, error)) (*Catalog, error) {
	c := &Catalog{head: head, services: make(map[string]*Service, len(head.ServiceHashes))}
	for _, name := range slices.Sorted(maps.Keys(head.ServiceHashes)) {
		if s, ok := base.serviceWithHash(name, head.ServiceHashes[name]); ok {
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

func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("catalog head cannot be encoded: %v", err))
	}
	return data
}

// HasChange reports whether a change is among the recent changes of the head.
func (h Head) HasChange(changeID string) bool {
	return slices.Contains(h.ChangeIDs, changeID)
}

func (c *Catalog) Head() Head { return c.head }

func (c *Catalog) Revision() uint64 { return c.head.Revision }

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

// serviceWithHash returns a service if its document has the given hash. The receiver
// may be nil and then has no services.
func (c *Catalog) serviceWithHash(name, hash string) (*Service, bool) {
	if c == nil || c.head.ServiceHashes[name] != hash {
		return nil, false
	}
	return c.Service(name)
}

// Diff returns the services that are missing or different in other, and the names of
// the services that only other has.
func (c *Catalog) Diff(other *Catalog) (put []*Service, removed []string) {
	for _, s := range c.Services() {
		if _, same := other.serviceWithHash(s.Name(), c.head.ServiceHashes[s.Name()]); !same {
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

// WithChange returns a copy of the catalog with one change applied: the services to add
// or replace and the names of the services to remove.
func (c *Catalog) WithChange(changeID string, put []*Service, remove []string) *Catalog {
	next := &Catalog{services: maps.Clone(c.services)}
	next.head = Head{
		Revision:      c.head.Revision + 1,
		ServiceHashes: maps.Clone(c.head.ServiceHashes),
		ChangeIDs:     append(slices.Clone(c.head.ChangeIDs), changeID),
	}
	if n := len(next.head.ChangeIDs); n > maxChangeIDs {
		next.head.ChangeIDs = next.head.ChangeIDs[n-maxChangeIDs:]
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
