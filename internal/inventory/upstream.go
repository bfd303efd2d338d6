package inventory

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// isDetour is set for a dialling host that is used only while this host itself reaches no
	// upstream of the service.
	isDetour bool
	// isColdSender is set for a dialling host that is used only for upstreams that are cold.
	isColdSender bool
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

// DataCenter returns the data centre in which the upstream runs.
func (u Upstream) DataCenter() string { return u.spec.DataCenter }

// IsDraining reports whether the upstream has announced that it leaves.
func (u Upstream) IsDraining() bool { return !u.drainingSince.IsZero() }

// IsDiallingHost reports whether this is a host instead of an upstream: other hosts relay their
// attempts to it, and it runs them at the upstreams of the service.
func (u Upstream) IsDiallingHost() bool { return u.isDiallingHost }

// IsDetour reports whether the record is of a dialling host that is used only while this
// host does not reach the upstreams itself.
func (u Upstream) IsDetour() bool { return u.isDetour }

// ID returns the ID, which is unique over all upstreams.
func (u Upstream) ID() string { return u.spec.ID }

// Service returns the service that the upstream belongs to.
func (u Upstream) Service() string { return u.spec.Service }

// LifetimeKey returns a hash of the lifetime that is the same on all hosts.
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
