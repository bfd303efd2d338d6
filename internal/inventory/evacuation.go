package inventory

// This file decides which upstreams are out of use because an operator has evacuated their
// data centre, and how they come back. It answers the load that all hosts together would send
// to upstreams that come back cold.

import (
	"maps"
	"slices"
	"time"
)

// returnPeriod is how long upstreams count as cold after the evacuation of their data
// centre: their caches have seen no request, and what hosts knew of them is outdated. Hosts
// return to them one after the other in this time; until then the upstreams are a last resort.
// If the upstreams returned one after the other instead, the first would get what is meant for
// all of its data centre: seven times the allowed requests in a fleet of 7 hosts.
const returnPeriod = 3 * time.Second

// SetEvacuated replaces the data centres whose upstreams get no attempts. A data centre that
// is missing just after the store has come back from a copy stays evacuated for
// eraGracePeriod, because the copy may lack its key. SetEvacuated returns the sorted names of
// the services whose upstreams changed.
func (i *Inventory) SetEvacuated(now time.Time, dataCenters []string) (changedServices []string) {
	evacuated := make(map[string]bool, len(dataCenters))
	for _, dc := range dataCenters {
		evacuated[dc] = true
	}
	isLost := !i.eraBegunAt.IsZero() && now.Sub(i.eraBegunAt) < eraGracePeriod
	maps.DeleteFunc(i.returnedAt, func(dc string, at time.Time) bool { return evacuated[dc] || now.Sub(at) > returnPeriod })
	for dc := range i.evacuated {
		switch {
		case evacuated[dc]:
		case isLost:
			evacuated[dc] = true
		default:
			i.returnedAt[dc] = now
		}
	}
	if maps.Equal(i.evacuated, evacuated) {
		return nil
	}
	i.evacuated = evacuated
	for id, u := range i.upstreams {
		updated := i.withEvacuation(u)
		if updated.isEvacuated != u.isEvacuated {
			i.upstreams[id] = updated
			changedServices = append(changedServices, u.spec.Service)
		}
	}
	slices.Sort(changedServices)
	return slices.Compact(changedServices)
}

// Evacuated returns the sorted names of the evacuated data centres.
func (i *Inventory) Evacuated() []string { return slices.Sorted(maps.Keys(i.evacuated)) }

// InDataCenters returns the upstreams in data centres.
func (i *Inventory) InDataCenters(dataCenters []string) (list []Upstream) {
	if len(dataCenters) == 0 {
		return nil
	}
	for _, u := range i.upstreams {
		if slices.Contains(dataCenters, u.spec.DataCenter) {
			list = append(list, u)
		}
	}
	return list
}

// IsEvacuated reports whether the upstream's data centre is evacuated.
func (u Upstream) IsEvacuated() bool { return u.isEvacuated }

// withEvacuation returns the record of an upstream with the state of its data centre.
func (i *Inventory) withEvacuation(u Upstream) Upstream {
	u.isEvacuated, u.returnedAt, u.inServiceAt = false, time.Time{}, time.Time{}
	if len(i.evacuated) > 0 {
		u.isEvacuated = i.evacuated[u.spec.DataCenter]
	}
	if at, ok := i.returnedAt[u.spec.DataCenter]; ok {
		const steps = 1 << 32
		u.returnedAt, u.inServiceAt = at, at.Add(time.Duration(float64(returnPeriod)*float64(i.Seed%steps)/steps))
	}
	return u
}
