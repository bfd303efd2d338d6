package inventory

// This file decides until when an upstream is cold, from what its entries state. Entries may
// be read again unchanged, after others of a later time, or late.

import (
	"maps"
	"time"
)

// coldMemory is how long the cold period of an upstream without an entry is remembered, so
// that the same entry does not start it again. An outage of the store may have lost the entry.
const coldMemory = time.Minute

// A coldPeriod is what is remembered of the cold period of a removed upstream.
type coldPeriod struct {
	until     time.Time
	sequence  int64
	removedAt time.Time
}

// continueColdPeriod returns the record of an upstream after an entry of the same lifetime as
// an old record. Only an entry that was written later than all before counts, and one that
// states no time does not end the period, which lasts as long as stated before.
func (u Upstream) continueColdPeriod(old Upstream) Upstream {
	if u.coldSequence > old.coldSequence && u.spec.ColdRemaining > 0 {
		return u
	}
	u.coldUntil, u.spec.ColdRemaining = old.coldUntil, old.spec.ColdRemaining
	u.coldSequence = max(u.coldSequence, old.coldSequence)
	return u
}

// keepColdPeriod remembers the cold period of an upstream that is removed.
func (i *Inventory) keepColdPeriod(now time.Time, u Upstream) {
	if len(i.coldPeriods) >= maxDepartures {
		maps.DeleteFunc(i.coldPeriods, func(_ uint64, p coldPeriod) bool { return now.Sub(p.removedAt) > coldMemory })
	}
	if len(i.coldPeriods) < maxDepartures {
		i.coldPeriods[u.lifetimeKey] = coldPeriod{until: u.coldUntil, sequence: u.coldSequence, removedAt: now}
	}
}

// restoreColdPeriod returns the record of a new upstream with the cold period that is
// remembered of its lifetime, if any.
func (i *Inventory) restoreColdPeriod(u Upstream) Upstream {
	p, ok := i.coldPeriods[u.lifetimeKey]
	if !ok {
		return u
	}
	delete(i.coldPeriods, u.lifetimeKey)
	return u.continueColdPeriod(Upstream{coldUntil: p.until, coldSequence: p.sequence})
}

// NewColdSender returns the record of a host that runs attempts at cold upstreams of a service
// for other hosts. Its ID differs from that of the same host as a dialling host.
func NewColdSender(service, address, dataCenter string, slots int) Upstream {
	u := NewDiallingHost(service, address, dataCenter, slots)
	u.spec.ID = "cold/" + address
	u.lifetimeKey = u.spec.lifetimeKey()
	u.isColdSender = true
	return u
}

// IsColdSender reports whether the record is of a dialling host that is used only while the
// upstreams are cold and this host may send them nothing.
func (u Upstream) IsColdSender() bool { return u.isColdSender }
