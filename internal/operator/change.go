package operator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// A Change is a planned change of the catalog.
type Change struct {
	// baseRevision is the catalog revision on which the change is based.
	baseRevision uint64
	updated      []*catalog.Service
	// removed holds the names of the services to remove.
	removed []string
	// diffLines describe the change in readable form.
	diffLines []string
	// outages describe the shards and services that could no longer answer.
	outages []string
}

// A NotFoundError reports an object that does not exist in the catalog.
type NotFoundError struct {
	Object string
	Name   string
}

// A ValueError reports an invalid value of a setting.
type ValueError struct {
	Field   string
	Value   string
	Problem string
}

// BaseRevision returns the catalog revision on which the change is based.
func (c *Change) BaseRevision() uint64 { return c.baseRevision }

// Outages returns descriptions of the shards and services that could no longer
// answer after the change.
func (c *Change) Outages() []string { return c.outages }

// IsEmpty reports whether the change leaves the catalog as it is.
func (c *Change) IsEmpty() bool { return len(c.updated) == 0 && len(c.removed) == 0 }

// DiffLines returns a readable diff between the catalog on which the change is based and
// the changed catalog.
func (c *Change) DiffLines() []string { return c.diffLines }

// ApplyTo returns a copy of the catalog with the change applied.
func (c *Change) ApplyTo(base *catalog.Catalog, changeID string) *catalog.Catalog {
	return base.WithChange(changeID, c.updated, c.removed)
}

// UpdatedServices returns the new and the modified services.
func (c *Change) UpdatedServices() []*catalog.Service { return c.updated }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q is not known", e.Object, e.Name)
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("invalid value of %s: %q is %s", e.Field, e.Value, e.Problem)
}

// Plan returns the change that a statement makes to a catalog. It reads the file of an
// apply statement with readFile.
func (s *Statement) Plan(base *catalog.Catalog, readFile func(string) ([]byte, error)) (*Change, error) {
	c := &Change{baseRevision: base.Revision()}
	err := s.plan(c, base, readFile)
	if err != nil {
		return nil, err
	}
	for _, next := range c.updated {
		c.outages = append(c.outages, describeShardOutages(next)...)
	}
	for _, name := range c.removed {
		c.outages = append(c.outages, fmt.Sprintf("service %s would be gone", name))
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
		c.replaceService(base, s)
	}
	return nil
}

// replaceService adds a service to the change unless diffDocuments finds no difference.
func (c *Change) replaceService(base *catalog.Catalog, next *catalog.Service) {
	old, exists := base.Service(next.Name())
	if !exists {
		c.updated = append(c.updated, next)
		c.diffLines = append(c.diffLines, fmt.Sprintf("+ service %s", next.Name()))
		return
	}
	difference := diffDocuments(old.Spec(), next.Spec())
	if len(difference) == 0 {
		return
	}
	c.updated = append(c.updated, next)
	c.diffLines = append(c.diffLines, fmt.Sprintf("~ service %s", next.Name()))
	c.diffLines = append(c.diffLines, difference...)
}

// editService applies edit to a copy of a service's spec, validates the copy and
// adds it to the change.
func (c *Change) editService(base *catalog.Catalog, service string, edit func(*catalog.ServiceSpec) error) error {
	s, ok := base.Service(service)
	if !ok {
		return &NotFoundError{Object: "service", Name: service}
	}
	spec := s.Spec()
	if err := edit(&spec); err != nil {
		return err
	}
	next, err := catalog.CompileService(spec)
	if err != nil {
		return fmt.Errorf("the changed service is not valid: %w", err)
	}
	c.replaceService(base, next)
	return nil
}

func (c *Change) editUpstream(base *catalog.Catalog, t Target, edit func(*catalog.UpstreamSpec)) error {
	return c.editService(base, t.Service, func(spec *catalog.ServiceSpec) error {
		i := slices.IndexFunc(spec.Upstreams, func(u catalog.UpstreamSpec) bool { return u.Name == t.Upstream })
		if i < 0 {
			return &NotFoundError{Object: "upstream", Name: t.Upstream}
		}
		edit(&spec.Upstreams[i])
		return nil
	})
}

func (r *Remove) plan(c *Change, base *catalog.Catalog) error {
	if r.Upstream != nil {
		return c.editService(base, r.Upstream.Service, func(spec *catalog.ServiceSpec) error {
			return removeUpstream(spec, r.Upstream.Upstream)
		})
	}
	if _, ok := base.Service(r.Service); !ok {
		return &NotFoundError{Object: "service", Name: r.Service}
	}
	c.removed = append(c.removed, r.Service)
	c.diffLines = append(c.diffLines, fmt.Sprintf("- service %s", r.Service))
	return nil
}

func (s *Set) plan(c *Change, base *catalog.Catalog) error {
	if s.Upstream != "" {
		return s.planUpstream(c, base)
	}
	return c.editService(base, s.Service, func(spec *catalog.ServiceSpec) error {
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
		return &ValueError{Field: s.Field, Value: s.Value, Problem: "not an integer"}
	}
	isKnownField := true
	err = c.editUpstream(base, Target{Upstream: s.Upstream, Service: s.Service}, func(u *catalog.UpstreamSpec) {
		switch s.Field {
		case "slots":
			u.Slots = number
		case "connections":
			u.Connections = number
		case "address":
			u.Address = s.Value
		default:
			isKnownField = false
		}
	})
	if !isKnownField {
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
			return &ValueError{Field: s.Field, Value: s.Value, Problem: "not an integer"}
		}
		k.DefaultTimeoutMilliseconds = number
	default:
		return &NotFoundError{Object: "setting of a kind", Name: s.Field}
	}
	return nil
}

// diffDocuments returns the lines that are in only one of two documents: first those
// of old, marked "-", then those of next, marked "+". The order of the lines in the
// documents does not matter.
func diffDocuments(old, next catalog.ServiceSpec) []string {
	before, after := formatLines(old), formatLines(next)
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

// formatLines returns one line for the goal, canary policy and min-replicas of a
// document, and one line for each kind, upstream and shard.
func formatLines(spec catalog.ServiceSpec) []string {
	line := func(label string, part any) string {
		data, err := json.Marshal(part)
		if err != nil {
			return label
		}
		return label + " " + string(data)
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

// describeShardOutages returns a description of each shard whose upstreams are all
// draining.
func describeShardOutages(s *catalog.Service) []string {
	spec := s.Spec()
	acceptsRequests := make(map[string]bool)
	for _, u := range spec.Upstreams {
		acceptsRequests[u.Name] = !u.Drain
	}
	var outages []string
	for _, m := range spec.ShardMaps {
		for _, h := range m.Shards {
			if !slices.ContainsFunc(h.Upstreams, func(u string) bool { return acceptsRequests[u] }) {
				outages = append(outages, fmt.Sprintf("shard %s of service %s (upstreams %s)", catalog.ShardPath(m.Name, h.Name), s.Name(), strings.Join(h.Upstreams, ", ")))
			}
		}
	}
	return outages
}

// PlanReplacement returns a change that adds or replaces one service. The change has no
// outages; only Plan determines them.
func PlanReplacement(base *catalog.Catalog, s *catalog.Service) *Change {
	c := &Change{baseRevision: base.Revision()}
	c.replaceService(base, s)
	return c
}
