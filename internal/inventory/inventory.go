// Package inventory holds the known upstreams of all services.
package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"
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
