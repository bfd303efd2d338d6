package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// leaseTimeToLive is how long a registration lasts without renewal. Only starting
	// hosts use registrations, and an outdated one costs them one failed probe.
	leaseTimeToLive = 36 * time.Second
	renewInterval   = 12 * time.Second
	// registrationTimeout is the timeout of all calls of one registration or renewal
	// together.
	registrationTimeout = 2 * time.Second
	// After the store has come back from a copy, the hosts register again within
	// registrationSpread, so that they do not all call the store at once. A failed attempt is
	// repeated maxRegistrationRetries times at registrationRetryInterval.
	registrationSpread        = 1500 * time.Millisecond
	registrationRetryInterval = time.Second
	maxRegistrationRetries    = 3
)

// keepRegistered keeps this host registered in the store, where starting hosts find
// other hosts, until the context ends.
func (h *Host) keepRegistered(ctx context.Context) {
	lease := uint64(0)
	retries := 0
	for ctx.Err() == nil {
		next, err := h.renewOrRegister(ctx, lease)
		if err != nil {
			h.Log.WithError(err).Debug("registration not renewed")
		}
		lease = next
		delay := renewInterval
		if lease == 0 && retries > 0 {
			retries--
			delay = registrationRetryInterval
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-h.eraChanges:
			// The lease may be lost, or be granted to another host.
			lease, retries = 0, maxRegistrationRetries
			work.Sleep(ctx, rand.N(registrationSpread))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// renewOrRegister renews the lease, or registers this host with a new lease if the
// lease is zero or has expired. It returns the lease to renew next, or zero if the
// registration failed.
func (h *Host) renewOrRegister(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	if lease != 0 {
		renewed, err := h.LeaseStore.RenewLease(ctx, lease)
		if err != nil {
			return lease, fmt.Errorf("renew registration: %w", err)
		}
		if renewed {
			return lease, nil
		}
	}
	lease, err := h.LeaseStore.GrantLease(ctx, leaseTimeToLive)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	registration, err := proto.Marshal(peer.EncodeMember(h.Self))
	if err != nil {
		return 0, fmt.Errorf("encode registration: %w", err)
	}
	if err := h.LeaseStore.PutLeased(ctx, h.Decoder.RegistrationKey(h.Self.GateAddress()), registration, lease); err != nil {
		return 0, fmt.Errorf("write registration: %w", err)
	}
	return lease, nil
}

// registeredMember returns the member that is registered at an address. If the registration
// cannot be decoded or contains another address, only the address of the member is set.
func (h *Host) registeredMember(address, registration string) roster.Member {
	var m wire.Member
	if err := proto.Unmarshal([]byte(registration), &m); err != nil || m.GetGateAddress() != address {
		h.Log.WithField("address", address).Warn("registration of a host is invalid; only its address is used")
		return newListedMember(address, "", 0)
	}
	return newListedMember(address, m.GetDataCenter(), int(m.GetCapacity()))
}
