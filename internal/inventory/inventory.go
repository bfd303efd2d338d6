// Package inventory holds the known upstreams of all services.
package inventory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// missingGracePeriod is how long an upstream whose entry has vanished may still be
	// used if no other is available. An outage of the store may have lost the entry,
	// which then returns within about two seconds. The period is shorter than that
	// because the upstream may also have left: it then runs for only three seconds
	// more, of which up to 1.8 pass until the hosts see the change.
	missingGracePeriod = 1200 * time.Millisecond
	// drainGracePeriod is how long a draining upstream may still be used if no other
	// is available.
	drainGracePeriod = time.Second
	// eraGracePeriod is how long an upstream without an entry may still be used after the
	// store has come back from a copy, which may lack the entry until it is written again.
	eraGracePeriod = 2 * time.Second
	// departureMemory is how long an upstream that has left is remembered, so that a copy of
	// the store does not bring it back. Copies are seconds old. maxDepartures bounds the
	// upstreams that are remembered.
	departureMemory = time.Minute
	maxDepartures   = 4096
	// leavingMemory is how long upstreams that have stated that they leave are remembered if
	// there are more than maxDepartures.
	leavingMemory = 10 * time.Minute
)

// Eligibility says whether an upstream may get new attempts.
type Eligibility int

// The eligibilities.
const (
	// InService upstreams get attempts without restriction.
	InService Eligibility = iota
	// LastResort upstreams get attempts only if no upstream in service is
	// available.
	LastResort
	// Retired upstreams get no new attempts.
	Retired
)

// An UpstreamSpec describes one upstream as stated in its entry in the store.
// NewDiallingHost creates the UpstreamSpec of a dialling host, which has no such entry.
type UpstreamSpec struct {
	// ID is unique over all upstreams; an upstream that restarts usually gets a new
	// one.
	ID string
	// StartedAtMillis is the start of the upstream in Unix milliseconds; together
	// with ID and Address it identifies one lifetime.
	StartedAtMillis int64
	Service         string
	Address         string
	DataCenter      string
	Slots           int
	Draining        bool
	// Sequence rises with each write of the entry in one lifetime of the upstream.
	Sequence int64
	// ColdRemaining is for how much longer the upstream is slow after its start.
	ColdRemaining time.Duration
}

// An Upstream is this host's record of one upstream. It is immutable.
type Upstream struct {
	spec UpstreamSpec
	// lifetimeKey is the hash of the lifetime.
	lifetimeKey uint64
	// drainingSince is when the upstream was first seen draining, missingSince when
	// its entry was first missing; each is zero if it does not apply.
	drainingSince time.Time
	missingSince  time.Time
	coldUntil     time.Time
	// coldSequence is the highest sequence of an entry of this lifetime that was read.
	coldSequence int64
	// isEvacuated is set while the data centre is evacuated, returnedAt is when that last
	// ended; zero if it did not recently.
	isEvacuated bool
	returnedAt  time.Time
	// inServiceAt is when the upstream is in service again after that.
	inServiceAt time.Time
	// isDiallingHost is set for a host that runs attempts at the upstreams of the
	// service.
	isDiallingHost bool
	// isDetour is set for a dialling host that is a last way, for when this host itself
	// reaches no upstream of the service.
	isDetour bool
	// isColdSender is set for a dialling host that is used only for upstreams that are cold.
	isColdSender bool
}

// An Inventory holds the upstreams that have an entry in the store, and those whose
// entry has vanished until Update removes them. It is not safe for concurrent use.
type Inventory struct {
	// Seed differs between hosts. It determines when the upstreams of a data centre return to
	// service after its evacuation.
	Seed uint64

	upstreams map[string]Upstream
	// byService holds the ids of each service's upstreams.
	byService map[string]map[string]bool
	// departures holds the upstreams that have left recently, by lifetime.
	departures map[uint64]departure
	// leavingSince holds, by lifetime, since when upstreams have stated that they leave. It
	// outlasts their entries.
	leavingSince map[uint64]time.Time
	// eraBegunAt is when the store last came back from a copy; zero if it has not.
	eraBegunAt time.Time
	// evacuated holds the evacuated data centres, returnedAt when the evacuation of others has
	// recently ended.
	evacuated  map[string]bool
	returnedAt map[string]time.Time
	// coldPeriods holds the cold periods of upstreams that were removed, by lifetime.
	coldPeriods map[uint64]coldPeriod
}

// A departure is what is remembered of an upstream that has left or is draining.
type departure struct {
	// at is when the departure was seen, and sequence that of the last entry before.
	at       time.Time
	sequence int64
	// isDraining is set if the upstream was draining, and not set if its entry vanished.
	isDraining bool
	// isOlderEra is set if the store has come back from a copy since: an entry with the same
	// or a lower sequence is then of the time before the departure.
	isOlderEra bool
}

// Address returns the address at which the upstream listens.
func (u Upstream) Address() string { return u.spec.Address }

// ColdUntil returns the time until which the upstream is slow after its start or after the
// evacuation of its data centre.
func (u Upstream) ColdUntil() time.Time {
	if until := u.returnedAt.Add(returnPeriod); !u.returnedAt.IsZero() && until.After(u.coldUntil) {
		return until
	}
	return u.coldUntil
}

// DataCenter returns the data centre.
func (u Upstream) DataCenter() string { return u.spec.DataCenter }

// IsDraining reports whether the upstream has announced that it leaves.
func (u Upstream) IsDraining() bool { return !u.drainingSince.IsZero() }

// IsDiallingHost reports whether the record is of a host that runs attempts at the
// upstreams of the service for other hosts.
func (u Upstream) IsDiallingHost() bool { return u.isDiallingHost }

// IsDetour reports whether the record is of a dialling host that is used only while this
// host does not reach the upstreams itself.
func (u Upstream) IsDetour() bool { return u.isDetour }

// ID returns the id.
func (u Upstream) ID() string { return u.spec.ID }

// Service returns the service that the upstream belongs to.
func (u Upstream) Service() string { return u.spec.Service }

// LifetimeKey identifies this lifetime of the upstream on all hosts.
func (u Upstream) LifetimeKey() uint64 { return u.lifetimeKey }

// Slots returns how many requests the upstream runs concurrently.
func (u Upstream) Slots() int { return max(1, u.spec.Slots) }

// Eligibility returns whether the upstream may get new attempts at the given time.
func (u Upstream) Eligibility(now time.Time) Eligibility {
	switch {
	case u.isEvacuated || u.hasLeft(now):
		return Retired
	case !u.drainingSince.IsZero() || !u.missingSince.IsZero() || now.Before(u.inServiceAt):
		return LastResort
	default:
		return InService
	}
}

// hasLeft reports whether the grace period of an upstream that is draining or whose entry is
// missing has ended.
func (u Upstream) hasLeft(now time.Time) bool {
	return (!u.drainingSince.IsZero() && now.Sub(u.drainingSince) > drainGracePeriod) ||
		(!u.missingSince.IsZero() && now.Sub(u.missingSince) > missingGracePeriod)
}

// HasSameLifetime reports whether both records are of the same lifetime of an upstream: a
// restart or another address begins a new one.
func (u Upstream) HasSameLifetime(other Upstream) bool {
	return u.spec.ID == other.spec.ID && u.spec.StartedAtMillis == other.spec.StartedAtMillis && u.spec.Address == other.spec.Address
}

// NewDiallingHost returns the record of a host that runs attempts at the upstreams of
// a service for other hosts.
func NewDiallingHost(service, address, dataCenter string, slots int) Upstream {
	spec := UpstreamSpec{ID: address, Service: service, Address: address, DataCenter: dataCenter, Slots: slots}
	return Upstream{spec: spec, lifetimeKey: spec.lifetimeKey(), isDiallingHost: true}
}

// NewDetour returns the record of a host that runs attempts for a host that dials the
// upstreams itself but does not reach them.
func NewDetour(service, address, dataCenter string, slots int) Upstream {
	u := NewDiallingHost(service, address, dataCenter, slots)
	u.isDetour = true
	return u
}

func (s UpstreamSpec) lifetimeKey() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s %d %s", s.ID, s.StartedAtMillis, s.Address)
	return h.Sum64()
}

// New returns an empty Inventory.
func New() *Inventory {
	return &Inventory{
		upstreams: make(map[string]Upstream), byService: make(map[string]map[string]bool), departures: make(map[uint64]departure),
		leavingSince: make(map[uint64]time.Time), returnedAt: make(map[string]time.Time), coldPeriods: make(map[uint64]coldPeriod),
	}
}

// BeginEra must be called before the first Update with entries of a store that has come
// back from a copy.
func (i *Inventory) BeginEra(now time.Time) {
	i.eraBegunAt = now
	for key, d := range i.departures {
		d.isOlderEra, d.at = true, now
		i.departures[key] = d
	}
}

// RecordLeaving records that an upstream has stated that it leaves. It is draining from then
// on, whatever its entry says, until its lifetime ends. RecordLeaving returns its service,
// and an empty string if the upstream is unknown or was known to leave.
func (i *Inventory) RecordLeaving(now time.Time, id string) (service string) {
	u, ok := i.upstreams[id]
	if !ok {
		return ""
	}
	key := u.LifetimeKey()
	if _, known := i.leavingSince[key]; known {
		return ""
	}
	if len(i.leavingSince) >= maxDepartures {
		maps.DeleteFunc(i.leavingSince, func(_ uint64, since time.Time) bool { return now.Sub(since) > leavingMemory })
	}
	i.leavingSince[key] = now
	if u.drainingSince.IsZero() {
		u.drainingSince = now
		i.upstreams[id] = u
	}
	return u.spec.Service
}

// Update replaces all entries with those that the store holds now. An upstream that
// no longer has an entry is removed by the first later Update at which it is Retired.
// Update returns the sorted names of the services whose upstreams changed, and the
// upstreams that seem to have ended without notice: their entry has vanished, or is of
// another lifetime, and they were not draining.
func (i *Inventory) Update(now time.Time, specs []UpstreamSpec) (changed []string, ended []Upstream) {
	seen := make(map[string]bool, len(specs))
	for _, s := range specs {
		s, isGone := i.checkDeparture(s)
		if isGone {
			continue
		}
		seen[s.ID] = true
		old, isKnown := i.upstreams[s.ID]
		u := i.withEvacuation(updatedUpstream(now, old, isKnown, s))
		if !isKnown {
			u = i.restoreColdPeriod(u)
		}
		if since := i.leavingTime(u); u.drainingSince.IsZero() {
			u.drainingSince = since
		}
		if u.IsDraining() {
			i.recordDeparture(now, u)
		}
		if !isKnown || u != old {
			changed = append(changed, s.Service)
			if isKnown && old.spec.Service != s.Service {
				changed = append(changed, old.spec.Service)
			}
			if isKnown && !u.HasSameLifetime(old) && old.drainingSince.IsZero() && old.missingSince.IsZero() {
				ended = append(ended, old)
			}
			i.put(u)
		}
	}
	for id, u := range i.upstreams {
		if seen[id] {
			continue
		}
		switch {
		case u.missingSince.IsZero():
			u.missingSince = now
			isLost := !i.eraBegunAt.IsZero() && now.Sub(i.eraBegunAt) < eraGracePeriod
			if isLost {
				u.missingSince = i.eraBegunAt.Add(eraGracePeriod - missingGracePeriod)
			} else {
				i.recordDeparture(now, u)
			}
			i.upstreams[id] = u
			changed = append(changed, u.spec.Service)
			if u.drainingSince.IsZero() && !isLost {
				ended = append(ended, u)
			}
		case u.hasLeft(now):
			i.keepColdPeriod(now, u)
			i.remove(u)
			changed = append(changed, u.spec.Service)
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed), ended
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

// Upstream returns the upstream with an ID, if it is known.
func (i *Inventory) Upstream(id string) (Upstream, bool) {
	u, ok := i.upstreams[id]
	return u, ok
}

// InService returns the upstreams in service, sorted by id.
func (i *Inventory) InService(now time.Time) []Upstream {
	var list []Upstream
	for _, u := range i.upstreams {
		if u.Eligibility(now) == InService {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return list
}

// Len returns the number of known upstreams.
func (i *Inventory) Len() int { return len(i.upstreams) }

// leavingTime returns since when an upstream has stated that it leaves; zero if it has not.
func (i *Inventory) leavingTime(u Upstream) time.Time {
	if len(i.leavingSince) == 0 {
		return time.Time{}
	}
	return i.leavingSince[u.LifetimeKey()]
}

// checkDeparture returns an entry as it counts. If it is of the time before its upstream
// left, the upstream is still draining, or isGone is set.
func (i *Inventory) checkDeparture(s UpstreamSpec) (checked UpstreamSpec, isGone bool) {
	if len(i.departures) == 0 {
		return s, false
	}
	key := s.lifetimeKey()
	d, ok := i.departures[key]
	switch {
	case !ok:
	case !d.isOlderEra || s.Sequence > d.sequence:
		delete(i.departures, key)
	case d.isDraining:
		s.Draining = true
	default:
		return s, true
	}
	return s, false
}

// recordDeparture remembers an upstream that is draining or whose entry has vanished.
func (i *Inventory) recordDeparture(now time.Time, u Upstream) {
	if len(i.departures) >= maxDepartures {
		for key, d := range i.departures {
			if now.Sub(d.at) > departureMemory {
				delete(i.departures, key)
			}
		}
	}
	key := u.LifetimeKey()
	if old, ok := i.departures[key]; len(i.departures) >= maxDepartures && !ok || ok && old.isOlderEra {
		return
	}
	i.departures[key] = departure{at: now, sequence: u.spec.Sequence, isDraining: u.IsDraining() && u.missingSince.IsZero()}
}

// put stores an upstream in place of the one with the same id, if any.
func (i *Inventory) put(u Upstream) {
	if old, isKnown := i.upstreams[u.spec.ID]; isKnown {
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

// updatedUpstream returns the record of an upstream after its entry was read. If the
// entry is of the same lifetime as the old record, the drain grace period does not start
// again.
func updatedUpstream(now time.Time, old Upstream, isKnown bool, s UpstreamSpec) Upstream {
	u := Upstream{spec: s, coldUntil: now.Add(s.ColdRemaining), coldSequence: s.Sequence}
	isSameLifetime := isKnown && u.HasSameLifetime(old)
	u.lifetimeKey = old.lifetimeKey
	if !isSameLifetime {
		u.lifetimeKey = s.lifetimeKey()
	}
	if isSameLifetime {
		u = u.continueColdPeriod(old)
	}
	if s.Draining {
		u.drainingSince = now
		if isSameLifetime && !old.drainingSince.IsZero() {
			u.drainingSince = old.drainingSince
		}
	}
	return u
}
