package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Goal is the property that a service preserves when it cannot have both full
// coverage and low latency.
type Goal string

// The goals of services.
const (
	GoalCoverage Goal = "coverage"
	GoalLatency  Goal = "latency"
)

// A CanaryPolicy determines when a request runs on one shard before all others, so
// that a crashing request does not reach all shards at once.
type CanaryPolicy string

// The canary policies.
const (
	CanaryAlways     CanaryPolicy = "always"
	CanaryAfterCrash CanaryPolicy = "after-crash"
	CanaryNever      CanaryPolicy = "never"
)

// A Service is the validated, immutable form of a ServiceSpec.
type Service struct {
	spec  ServiceSpec
	kinds map[string]Kind
	maps  map[string]*ShardMap
	// groups partition the upstreams. Upstreams that hold the same shard of any map
	// are in the same group.
	groups []*Group
	// groupOf maps the path "map/shard" of every shard to its group.
	groupOf map[string]*Group
}

// A Kind is one kind of request.
type Kind struct {
	name           string
	urgency        Urgency
	idempotent     bool
	keyed          bool
	defaultTimeout time.Duration
}

// A ShardMap is one way to partition the indexes into shards.
type ShardMap struct {
	name   string
	shards []Shard
	// totalWeight is the sum of the weights of all shards.
	totalWeight int
}

// A Shard is one part of the indexes.
type Shard struct {
	name      string
	weight    int
	upstreams []string
}

// A Group is a set of shards that share upstreams, directly or through other shards
// of the group. Each group is owned by one gate.
type Group struct {
	name      string
	upstreams []UpstreamSpec
	// replicas maps the path "map/shard" of every shard of the group to the names of
	// the upstreams that hold it.
	replicas map[string][]string
}

// DefaultTimeout returns the time limit of requests without a deadline.
func (k Kind) DefaultTimeout() time.Duration { return k.defaultTimeout }

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k.idempotent }

// Keyed reports whether requests go only to the shard of their key.
func (k Kind) Keyed() bool { return k.keyed }

func (k Kind) Name() string { return k.name }

// Urgency returns the priority of the kind in queues.
func (k Kind) Urgency() Urgency { return k.urgency }

// Name returns the name of the shard within its map.
func (s Shard) Name() string { return s.name }

// Upstreams returns the names of the upstreams that hold replicas of the shard.
func (s Shard) Upstreams() []string { return s.upstreams }

// Weight returns the weight of the shard in the coverage of answers.
func (s Shard) Weight() int { return s.weight }

// ShardForKey returns the shard that holds a key. The result depends on the number
// and order of the shards in the map.
func (m *ShardMap) ShardForKey(key string) Shard {
	return m.shards[xxhash.Sum64String(key)%uint64(len(m.shards))]
}

func (m *ShardMap) Name() string { return m.name }

// Shards returns the shards in the order of the document.
func (m *ShardMap) Shards() []Shard { return m.shards }

// TotalWeight returns the sum of the weights of all shards.
func (m *ShardMap) TotalWeight() int { return m.totalWeight }

// Name returns the name of the group, which is unique among all services.
func (g *Group) Name() string { return g.name }

// ShardUpstreams returns the names of the upstreams that hold replicas of a shard, or nil
// if the shard is not in the group.
func (g *Group) ShardUpstreams(shardPath string) []string { return g.replicas[shardPath] }

// ShardPaths returns the paths of all shards of the group, sorted.
func (g *Group) ShardPaths() []string {
	paths := make([]string, 0, len(g.replicas))
	for p := range g.replicas {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths
}

func (g *Group) Upstreams() []UpstreamSpec { return g.upstreams }

// ShardPath returns the path "map/shard", which is unique within a service.
func ShardPath(mapName, shard string) string {
	return mapName + "/" + shard
}

func (s *Service) CanaryPolicy() CanaryPolicy { return CanaryPolicy(s.spec.Canary) }

func (s *Service) Goal() Goal { return Goal(s.spec.Goal) }

// Group returns the group of a shard.
func (s *Service) Group(shardPath string) (*Group, bool) {
	g, ok := s.groupOf[shardPath]
	return g, ok
}

func (s *Service) Groups() []*Group { return s.groups }

func (s *Service) Kind(name string) (Kind, bool) {
	k, ok := s.kinds[name]
	return k, ok
}

func (s *Service) ShardMap(name string) (*ShardMap, bool) {
	m, ok := s.maps[name]
	return m, ok
}

// MinReplicas returns the number of replicas of each shard that must hold a version
// before new queries are pinned to it.
func (s *Service) MinReplicas() int { return s.spec.MinReplicas }

func (s *Service) Name() string { return s.spec.Name }

// ShardPaths returns the paths of all shards of a map, or nil if there is no such map.
func (s *Service) ShardPaths(mapName string) []string {
	m, ok := s.maps[mapName]
	if !ok {
		return nil
	}
	paths := make([]string, 0, len(m.shards))
	for _, h := range m.shards {
		paths = append(paths, ShardPath(mapName, h.name))
	}
	return paths
}

// Spec returns a deep copy of the service's spec.
func (s *Service) Spec() ServiceSpec {
	var c ServiceSpec
	data := s.Document()
	if err := json.Unmarshal(data, &c); err != nil {
		panic(fmt.Sprintf("document of service %s cannot be decoded: %v", s.Name(), err))
	}
	return c
}

// Document returns the canonical JSON of the service.
func (s *Service) Document() []byte {
	data, err := json.Marshal(s.spec)
	if err != nil {
		panic(fmt.Sprintf("document of service %s cannot be encoded: %v", s.Name(), err))
	}
	return data
}

func compile(spec ServiceSpec) *Service {
	s := &Service{
		spec:    spec,
		kinds:   make(map[string]Kind),
		maps:    make(map[string]*ShardMap),
		groupOf: make(map[string]*Group),
	}
	for _, k := range spec.Kinds {
		urgency, err := ParseUrgency(k.Urgency)
		if err != nil {
			urgency = Background
		}
		s.kinds[k.Name] = Kind{
			name: k.Name, urgency: urgency, idempotent: k.Idempotent, keyed: k.Scatter == "key",
			defaultTimeout: time.Duration(k.DefaultTimeoutMilliseconds) * time.Millisecond,
		}
	}
	for _, m := range spec.ShardMaps {
		s.maps[m.Name] = compileMap(m)
	}
	s.compileGroups()
	return s
}

func compileMap(spec ShardMapSpec) *ShardMap {
	m := &ShardMap{name: spec.Name}
	for _, h := range spec.Shards {
		m.shards = append(m.shards, Shard{name: h.Name, weight: h.Weight, upstreams: h.Upstreams})
		m.totalWeight += h.Weight
	}
	return m
}

// compileGroups forms the groups: it joins upstreams that hold the same shard by
// union-find, and then adds each shard to the group of its upstreams.
func (s *Service) compileGroups() {
	parent := make(map[string]string)
	for _, u := range s.spec.Upstreams {
		parent[u.Name] = u.Name
	}
	var root func(string) string
	root = func(name string) string {
		if parent[name] != name {
			parent[name] = root(parent[name])
		}
		return parent[name]
	}
	for _, m := range s.spec.ShardMaps {
		for _, h := range m.Shards {
			for _, u := range h.Upstreams[1:] {
				a, b := root(h.Upstreams[0]), root(u)
				parent[max(a, b)] = min(a, b)
			}
		}
	}
	byRoot := make(map[string]*Group)
	for _, u := range s.spec.Upstreams {
		r := root(u.Name)
		if byRoot[r] == nil {
			byRoot[r] = &Group{name: s.spec.Name + "/" + r, replicas: make(map[string][]string)}
			s.groups = append(s.groups, byRoot[r])
		}
		byRoot[r].upstreams = append(byRoot[r].upstreams, u)
	}
	for _, m := range s.spec.ShardMaps {
		for _, h := range m.Shards {
			g := byRoot[root(h.Upstreams[0])]
			path := ShardPath(m.Name, h.Name)
			g.replicas[path] = h.Upstreams
			s.groupOf[path] = g
		}
	}
}
