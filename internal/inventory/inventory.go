// Package inventory holds which upstreams there are.
package inventory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapseGrace is how long an upstream whose entry vanished is still used
	// where no other is left: entries that were lost in an outage of the store
	// are back within about two seconds. Upstreams that leave go on for three
	// seconds, of which the news takes up to 1.8.
	lapseGrace = 1200 * time.Millisecond
	// drainGrace is how long a draining upstream is used where no other is left.
	drainGrace = time.Second
)

// A Eligibility says how far an upstream may be used.
type Eligibility int

// The standings.
const (
	// InService upstreams take work.
	InService Eligibility = iota
	// LastResort upstreams take work only where no other is left.
	LastResort
	// Retired upstreams take no new work.
	Retired
)

// An UpstreamSpec is what an entry says of an upstream.
type UpstreamSpec struct {
	// ID is unique over all upstreams; a later start mostly has a new one.
	ID string
	// StartedAtMillis is the Unix millisecond of the upstream's start; with the ID it
	// names one lifetime.
	StartedAtMillis int64
	Service         string
	Address         string
	DataCenter      string
	Slots           int
	Draining        bool
	// ColdRemaining is how much longer the upstream is slow after its start.
	ColdRemaining time.Duration
}

// An Upstream is one upstream as this host knows it. It is a value.
type Upstream struct {
	spec UpstreamSpec
	// leavingSince is when it was first seen draining; lapsedSince when its
	// entry was first missing; zero if neither.
	leavingSince time.Time
	lapsedSince  time.Time
	coldUntil    time.Time
	// host is set for a host that runs attempts at the upstreams of the service.
	host bool
}

// An Inventory is all upstreams that this host knows. It is not safe for
// concurrent use.
type Inventory struct {
	upstreams map[string]Upstream
	// byService holds the ids of each service's upstreams.
	byService map[string]map[string]bool
}

// Address returns where the upstream listens.
func (u Upstream) Address() string { return u.spec.Address }

// ColdUntil returns until when the upstream is slow after its start.
func (u Upstream) ColdUntil() time.Time { return u.coldUntil }

// DataCenter returns the data centre.
func (u Upstream) DataCenter() string { return u.spec.DataCenter }

// IsDiallingHost reports whether this is a host that runs attempts at the upstreams of the
// service for others.
func (u Upstream) IsDiallingHost() bool { return u.host }

// ID returns the id.
func (u Upstream) ID() string { return u.spec.ID }

// Service returns the service that the upstream belongs to.
func (u Upstream) Service() string { return u.spec.Service }

// Slots returns how many requests the upstream runs at once.
func (u Upstream) Slots() int { return max(1, u.spec.Slots) }

// Eligibility returns how far the upstream may be used.
func (u Upstream) Eligibility(now time.Time) Eligibility {
	switch {
	case !u.leavingSince.IsZero() && now.Sub(u.leavingSince) > drainGrace,
		!u.lapsedSince.IsZero() && now.Sub(u.lapsedSince) > lapseGrace:
		return Retired
	case !u.leavingSince.IsZero() || !u.lapsedSince.IsZero():
		return LastResort
	default:
		return InService
	}
}

// SameLifetime reports whether both are one start of one upstream.
func (u Upstream) SameLifetime(other Upstream) bool {
	return u.spec.ID == other.spec.ID && u.spec.StartedAtMillis == other.spec.StartedAtMillis && u.spec.Address == other.spec.Address
}

// NewDiallingHost returns a host that runs attempts at the upstreams of a service.
func NewDiallingHost(service, address, dataCenter string, slots int) Upstream {
	spec := UpstreamSpec{ID: address, Service: service, Address: address, DataCenter: dataCenter, Slots: slots}
	return Upstream{spec: spec, host: true}
}

// New returns an empty Inventory.
func New() *Inventory {
	return &Inventory{upstreams: make(map[string]Upstream), byService: make(map[string]map[string]bool)}
}

// Update takes all entries that the store holds now. Upstreams without an
// entry lapse and are forgotten after a grace. It returns the names of the
// services that changed.
func (i *Inventory) Update(now time.Time, specs []UpstreamSpec) []string {
	var changed []string
	seen := make(map[string]bool, len(specs))
	for _, s := range specs {
		seen[s.ID] = true
		old, known := i.upstreams[s.ID]
		u := successor(now, old, known, s)
		if !known || u != old {
			changed = append(changed, s.Service)
			if known && old.spec.Service != s.Service {
				changed = append(changed, old.spec.Service)
			}
			i.put(u)
		}
	}
	for id, u := range i.upstreams {
		if seen[id] {
			continue
		}
		switch {
		case u.lapsedSince.IsZero():
			u.lapsedSince = now
			i.upstreams[id] = u
			changed = append(changed, u.spec.Service)
		case u.Eligibility(now) == Retired:
			i.remove(u)
			changed = append(changed, u.spec.Service)
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// ForService returns the upstreams of a service, sorted by id.
func (i *Inventory) ForService(service string) []Upstream {
	var list []Upstream
	for id := range i.byService[service] {
		list = append(list, i.upstreams[id])
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return list
}

// Len returns how many upstreams are known.
func (i *Inventory) Len() int { return len(i.upstreams) }

// put keeps an upstream, in place of the one with its id.
func (i *Inventory) put(u Upstream) {
	if old, known := i.upstreams[u.spec.ID]; known {
		i.remove(old)
	}
	i.upstreams[u.spec.ID] = u
	if i.byService[u.spec.Service] == nil {
		i.byService[u.spec.Service] = make(map[string]bool)
	}
	i.byService[u.spec.Service][u.spec.ID] = true
}

func (i *Inventory) remove(u Upstream) {
	delete(i.upstreams, u.spec.ID)
	ids := i.byService[u.spec.Service]
	delete(ids, u.spec.ID)
	if len(ids) == 0 {
		delete(i.byService, u.spec.Service)
	}
}

// successor returns what becomes of an upstream with a new entry.
func successor(now time.Time, old Upstream, known bool, s UpstreamSpec) Upstream {
	u := Upstream{spec: s, coldUntil: now.Add(s.ColdRemaining)}
	sameLife := known && u.SameLifetime(old)
	if sameLife {
		u.coldUntil = old.coldUntil
		u.spec.ColdRemaining = old.spec.ColdRemaining
	}
	if s.Draining {
		u.leavingSince = now
		if sameLife && !old.leavingSince.IsZero() {
			u.leavingSince = old.leavingSince
		}
	}
	return u
}
