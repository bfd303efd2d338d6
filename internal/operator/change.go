package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// A Change is what a statement would do to a catalog.
type Change struct {
	// base is the revision that the change was worked out from.
	base uint64
	put  []*catalog.Service
	// remove holds the names of services to remove.
	remove []string
	// lines say what changes, for people.
	lines []string
	// dangers say which shards would be left unable to answer.
	dangers []string
}

// An NotFoundError names something that is not in the catalog.
type NotFoundError struct {
	Object string
	Name   string
}

// A ValueError is a value that a setting cannot have.
type ValueError struct {
	Field   string
	Value   string
	Problem string
}

// BaseRevision returns the revision that the change was worked out from.
func (c *Change) BaseRevision() uint64 { return c.base }

// Outages returns the shards that would be left unable to answer.
func (c *Change) Outages() []string { return c.dangers }

// Empty reports whether nothing would change.
func (c *Change) Empty() bool { return len(c.put) == 0 && len(c.remove) == 0 }

// DiffLines returns what changes, a line each.
func (c *Change) DiffLines() []string { return c.lines }

// ApplyTo returns the catalog after the change.
func (c *Change) ApplyTo(base *catalog.Catalog, changeID string) *catalog.Catalog {
	return base.WithChange(changeID, c.put, c.remove)
}

// UpdatedServices returns the services that are new or changed.
func (c *Change) UpdatedServices() []*catalog.Service { return c.put }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q is not known", e.Object, e.Name)
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s cannot be %q: %s", e.Field, e.Value, e.Problem)
}

// Plan works out what a statement would change; readFile returns the file of
// an apply statement.
func (s *Statement) Plan(base *catalog.Catalog, readFile func(string) ([]byte, error)) (*Change, error) {
	c := &Change{base: base.Revision()}
	err := s.plan(c, base, readFile)
	if err != nil {
		return nil, err
	}
	for _, next := range c.put {
		c.dangers = append(c.dangers, unableShards(next)...)
	}
	for _, name := range c.remove {
		c.dangers = append(c.dangers, fmt.Sprintf("service %s would be gone", name))
	}
	return c, nil
}

func (s *Statement) plan(c *Change, base *catalog.Catalog, readFile func(string) ([]byte, error)) error {
	switch {
	case s.Apply != nil:
		return s.Apply.plan(c, base, readFile)
	case s.Drain != nil:
		return c.editUpstream(base, *s.Drain, func(u *catalog.UpstreamSpec) { u.Drain = true })
	case s.Resume != nil:
		return c.editUpstream(base, *s.Resume, func(u *catalog.UpstreamSpec) { u.Drain = false })
	case s.Remove != nil:
		return s.Remove.plan(c, base)
	default:
		return s.Set.plan(c, base)
	}
}

func (a *Apply) plan(c *Change, base *catalog.Catalog, readFile func(string) ([]byte, error)) error {
	data, err := readFile(a.File)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	services, err := catalog.ParseBundle(a.File, data)
	if err != nil {
		return err
	}
	for _, s := range services {
		c.replace(base, s)
	}
	return nil
}

// replace notes that a service gets a new document, if it is new.
func (c *Change) replace(base *catalog.Catalog, next *catalog.Service) {
	old, known := base.Service(next.Name())
	if !known {
		c.put = append(c.put, next)
		c.lines = append(c.lines, fmt.Sprintf("+ service %s", next.Name()))
		return
	}
	difference := diff(old.Spec(), next.Spec())
	if len(difference) == 0 {
		return
	}
	c.put = append(c.put, next)
	c.lines = append(c.lines, fmt.Sprintf("~ service %s", next.Name()))
	c.lines = append(c.lines, difference...)
}

// edit changes the document of a service.
func (c *Change) edit(base *catalog.Catalog, service string, change func(*catalog.ServiceSpec) error) error {
	s, ok := base.Service(service)
	if !ok {
		return &NotFoundError{Object: "service", Name: service}
	}
	spec := s.Spec()
	if err := change(&spec); err != nil {
		return err
	}
	next, err := catalog.CompileService(spec)
	if err != nil {
		return fmt.Errorf("the changed service is not valid: %w", err)
	}
	c.replace(base, next)
	return nil
}

func (c *Change) editUpstream(base *catalog.Catalog, t Target, change func(*catalog.UpstreamSpec)) error {
	return c.edit(base, t.Service, func(spec *catalog.ServiceSpec) error {
		i := slices.IndexFunc(spec.Upstreams, func(u catalog.UpstreamSpec) bool { return u.Name == t.Upstream })
		if i < 0 {
			return &NotFoundError{Object: "upstream", Name: t.Upstream}
		}
		change(&spec.Upstreams[i])
		return nil
	})
}

func (r *Remove) plan(c *Change, base *catalog.Catalog) error {
	if r.Upstream != nil {
		return c.edit(base, r.Upstream.Service, func(spec *catalog.ServiceSpec) error {
			return removeUpstream(spec, r.Upstream.Upstream)
		})
	}
	if _, ok := base.Service(r.Service); !ok {
		return &NotFoundError{Object: "service", Name: r.Service}
	}
	c.remove = append(c.remove, r.Service)
	c.lines = append(c.lines, fmt.Sprintf("- service %s", r.Service))
	return nil
}

func (s *Set) plan(c *Change, base *catalog.Catalog) error {
	if s.Upstream != "" {
		return s.planUpstream(c, base)
	}
	return c.edit(base, s.Service, func(spec *catalog.ServiceSpec) error {
		i := slices.IndexFunc(spec.Kinds, func(k catalog.KindSpec) bool { return k.Name == s.Kind })
		if i < 0 {
			return &NotFoundError{Object: "kind", Name: s.Kind}
		}
		return s.setKind(&spec.Kinds[i])
	})
}

func (s *Set) planUpstream(c *Change, base *catalog.Catalog) error {
	number, err := strconv.Atoi(s.Value)
	if err != nil && s.Field != "address" {
		return &ValueError{Field: s.Field, Value: s.Value, Problem: "not a whole number"}
	}
	known := true
	err = c.editUpstream(base, Target{Upstream: s.Upstream, Service: s.Service}, func(u *catalog.UpstreamSpec) {
		switch s.Field {
		case "slots":
			u.Slots = number
		case "connections":
			u.Connections = number
		case "address":
			u.Address = s.Value
		default:
			known = false
		}
	})
	if !known {
		return &NotFoundError{Object: "setting of an upstream", Name: s.Field}
	}
	return err
}

func (s *Set) setKind(k *catalog.KindSpec) error {
	switch s.Field {
	case "urgency":
		k.Urgency = s.Value
	case "deadline-milliseconds":
		number, err := strconv.Atoi(s.Value)
		if err != nil {
			return &ValueError{Field: s.Field, Value: s.Value, Problem: "not a whole number"}
		}
		k.DeadlineMilliseconds = number
	default:
		return &NotFoundError{Object: "setting of a kind", Name: s.Field}
	}
	return nil
}

// diff returns the lines that two documents do not share.
func diff(old, next catalog.ServiceSpec) []string {
	before, after := documentLines(old), documentLines(next)
	var lines []string
	for _, l := range before {
		if !slices.Contains(after, l) {
			lines = append(lines, "  - "+l)
		}
	}
	for _, l := range after {
		if !slices.Contains(before, l) {
			lines = append(lines, "  + "+l)
		}
	}
	return lines
}

// documentLines returns a line for each part of a document.
func documentLines(spec catalog.ServiceSpec) []string {
	line := func(what string, part any) string {
		data, err := json.Marshal(part)
		if err != nil {
			return what
		}
		return what + " " + string(data)
	}
	lines := []string{fmt.Sprintf("goal %s, canary %s, min-replicas %d", spec.Goal, spec.Canary, spec.MinReplicas)}
	for _, k := range spec.Kinds {
		lines = append(lines, line("kind", k))
	}
	for _, u := range spec.Upstreams {
		lines = append(lines, line("upstream", u))
	}
	for _, m := range spec.ShardMaps {
		for _, h := range m.Shards {
			lines = append(lines, line("map "+m.Name+", shard", h))
		}
	}
	return lines
}

func removeUpstream(spec *catalog.ServiceSpec, name string) error {
	before := len(spec.Upstreams)
	spec.Upstreams = slices.DeleteFunc(spec.Upstreams, func(u catalog.UpstreamSpec) bool { return u.Name == name })
	if len(spec.Upstreams) == before {
		return &NotFoundError{Object: "upstream", Name: name}
	}
	for i := range spec.ShardMaps {
		for j := range spec.ShardMaps[i].Shards {
			h := &spec.ShardMaps[i].Shards[j]
			h.Upstreams = slices.DeleteFunc(h.Upstreams, func(u string) bool { return u == name })
		}
	}
	return nil
}

// unableShards returns the shards without an upstream that takes work.
func unableShards(s *catalog.Service) []string {
	spec := s.Spec()
	takesWork := make(map[string]bool)
	for _, u := range spec.Upstreams {
		takesWork[u.Name] = !u.Drain
	}
	var unable []string
	for _, m := range spec.ShardMaps {
		for _, h := range m.Shards {
			if !slices.ContainsFunc(h.Upstreams, func(u string) bool { return takesWork[u] }) {
				unable = append(unable, fmt.Sprintf("shard %s of service %s (upstreams %s)", catalog.ShardPath(m.Name, h.Name), s.Name(), strings.Join(h.Upstreams, ", ")))
			}
		}
	}
	return unable
}

// ReplaceService returns the change that puts one service in place.
func ReplaceService(base *catalog.Catalog, s *catalog.Service) *Change {
	c := &Change{base: base.Revision()}
	c.replace(base, s)
	return c
}
