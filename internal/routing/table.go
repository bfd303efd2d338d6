// Package routing selects the route of a request and the services that get it.
package routing

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/account"
)

// A RouteSpec is a route as configured by operators.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// MaxAttempts bounds how many upstreams may run one request, for each shard
	// separately.
	MaxAttempts int
	// Timeout bounds the time until a caller gets an answer.
	Timeout time.Duration
	// LatencyTarget is the time within which a caller should get an answer.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Destinations share the requests by weight; a route with Shards has none.
	Destinations []Destination
	// Shards are the services of a route that queries all of them for each request.
	Shards []string
	// MaxRecords bounds the records of an answer merged from shards.
	MaxRecords int
	// MinShardRatio is the ratio of the shards that an answer requires, 0 to 1.
	MinShardRatio float64
	// Public is set if callers of the route need not belong to a client account.
	Public bool
}

// A Destination is a service and its weight in a route.
type Destination struct {
	Service string
	Weight  float64
}

// A ServiceSpec is a service as configured by operators.
type ServiceSpec struct {
	Name string
	// MaxConnections bounds the connections that one upstream accepts from all
	// hosts together.
	MaxConnections int
	// ColdRequestsPerSecond bounds the requests per second that one upstream takes from all
	// hosts together while it is cold; zero for no limit.
	ColdRequestsPerSecond float64
}

// Limits bound the requests of callers. A limit that is zero is not stated.
type Limits struct {
	MaxHeadBytes, MaxBodyBytes int64
	// HeadTimeout is how long a caller may take to send a head, IdleTimeout how long a connection may
	// be without a request.
	HeadTimeout, IdleTimeout time.Duration
}

// A Route is a validated route of a Table.
type Route struct {
	spec RouteSpec
	// requestCount counts the requests of a route with destinations; it selects the
	// next service of the schedule.
	requestCount atomic.Uint64
	// schedule holds the services of successive requests and then repeats; each
	// destination occurs in proportion to its weight. A route with Shards has none.
	schedule []string
	// mostUrgent is the most urgent priority that requests for one of its services can have.
	mostUrgent int
}

// A Table is one version of the routing configuration. Only the request counts of its
// routes change.
type Table struct {
	version  uint64
	byHost   map[string][]*Route
	services map[string]ServiceSpec
	limits   Limits
	// accounts are the client accounts; nil if the configuration has none.
	accounts *account.Directory
}

// scheduleSize is the length of the schedule of a route with several destinations.
const scheduleSize = 1000

// NewTable returns the table of one version.
func NewTable(version uint64, routes []RouteSpec, services []ServiceSpec, limits Limits) *Table {
	t := &Table{version: version, byHost: make(map[string][]*Route), services: make(map[string]ServiceSpec), limits: limits}
	for _, s := range routes {
		host := strings.ToLower(s.Host)
		t.byHost[host] = append(t.byHost[host], &Route{spec: s, schedule: newSchedule(s.Destinations)})
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	t.rankRoutes()
	return t
}

// WithAccounts sets the client accounts of the configuration, before the table is used.
func (t *Table) WithAccounts(d *account.Directory) *Table {
	t.accounts = d
	t.rankRoutes()
	return t
}

// Accounts returns the client accounts; nil if the configuration has none.
func (t *Table) Accounts() *account.Directory { return t.accounts }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of an HTTP host with the longest prefix that matches the
// path, or nil if no prefix matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes in no order.
func (t *Table) Routes() []*Route {
	var routes []*Route
	for _, list := range t.byHost {
		routes = append(routes, list...)
	}
	return routes
}

// Service returns the service with a name; the zero value if the name is unknown.
func (t *Table) Service(name string) ServiceSpec { return t.services[name] }

// Services returns the sorted names of all services in the routes.
func (t *Table) Services() []string {
	var names []string
	for _, list := range t.byHost {
		for _, r := range list {
			names = append(names, r.services()...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// A RouteService is a service of a route.
type RouteService struct{ Route, Service string }

// UndeclaredServices returns the services of routes that are not declared, by route and service.
func (t *Table) UndeclaredServices() []RouteService {
	var list []RouteService
	for _, routes := range t.byHost {
		for _, r := range routes {
			for _, s := range r.services() {
				if _, ok := t.services[s]; !ok {
					list = append(list, RouteService{Route: r.Name(), Service: s})
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b RouteService) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service))
	})
	return slices.Compact(list)
}

// rankRoutes determines the most urgent priorities with which the requests of each route
// compete.
func (t *Table) rankRoutes() {
	highest := make(map[string]int)
	for _, list := range t.byHost {
		for _, r := range list {
			for _, s := range r.services() {
				own := t.accounts.MostUrgent(r.spec.Priority, r.spec.Public)
				if p, ok := highest[s]; !ok || own < p {
					highest[s] = own
				}
			}
		}
	}
	for _, list := range t.byHost {
		for _, r := range list {
			r.mostUrgent = math.MaxInt
			for _, s := range r.services() {
				r.mostUrgent = min(r.mostUrgent, highest[s])
			}
		}
	}
}

// Version returns the version.
func (t *Table) Version() uint64 { return t.version }

// MaxAttempts returns how many upstreams may run one request, for each shard
// separately.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Gathers reports whether the route queries shards and merges their responses.
func (r *Route) Gathers() bool { return len(r.spec.Shards) > 0 }

// Idempotent reports whether requests may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent || r.Gathers() }

// MinParts returns the number of shards that an answer requires, at least 1.
func (r *Route) MinParts() int {
	n := len(r.spec.Shards)
	// The tolerance keeps 0.9 of 10 shards at 9 despite floating-point rounding.
	const tolerance = 1e-9
	for k := range n + 1 {
		if float64(k) >= r.spec.MinShardRatio*float64(n)-tolerance {
			return max(1, k)
		}
	}
	return max(1, n)
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.spec.Name }

// NextServices returns the services of the next request: all shards, or the service
// of one destination. It returns nil if the route has neither shards nor destinations,
// or several destinations without a positive weight.
func (r *Route) NextServices() []string {
	if r.Gathers() {
		return r.spec.Shards
	}
	if len(r.schedule) == 0 {
		return nil
	}
	i := int((r.requestCount.Add(1) - 1) % uint64(len(r.schedule)))
	return r.schedule[i : i+1]
}

// IsOutranked reports whether there can be requests for one of the services of the route that
// are more urgent than those of an account on the route; nil for no account.
func (r *Route) IsOutranked(a *account.Account) bool {
	return r.mostUrgent < a.Priority(r.spec.Priority)
}

// services returns all services of the route.
func (r *Route) services() []string {
	names := slices.Clone(r.spec.Shards)
	for _, d := range r.spec.Destinations {
		names = append(names, d.Service)
	}
	return names
}

// Priority returns the rank of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// LatencyTarget returns the time within which a caller should get an answer.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// Timeout returns the maximum time until a caller gets an answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// IsPublic reports whether callers need not belong to a client account.
func (r *Route) IsPublic() bool { return r.spec.Public }

// MaxRecords returns the maximum number of records in an answer merged from shards.
func (r *Route) MaxRecords() int { return r.spec.MaxRecords }

// newSchedule interleaves the destinations evenly (smooth weighted round robin), so
// that each gets close to its share by weight of any series of requests. A single
// destination gets all requests, whatever its weight.
func newSchedule(destinations []Destination) []string {
	if len(destinations) == 1 {
		return []string{destinations[0].Service}
	}
	total := 0.0
	for _, d := range destinations {
		total += max(0, d.Weight)
	}
	if total <= 0 {
		return nil
	}
	credit := make([]float64, len(destinations))
	turns := make([]string, 0, scheduleSize)
	for range scheduleSize {
		best := -1
		for i, d := range destinations {
			credit[i] += max(0, d.Weight)
			if d.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
				best = i
			}
		}
		credit[best] -= total
		turns = append(turns, destinations[best].Service)
	}
	return turns
}
