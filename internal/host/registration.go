package host

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailshelf/foxtailshelf/internal/peer"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
	"github.com/foxtailshelf/foxtailshelf/internal/work"
)

const (
	// leaseTime is how long a registration lasts without renewal, renewPeriod
	// how often it is renewed.
	leaseTime   = 15 * time.Second
	renewPeriod = 5 * time.Second
	// registryTime bounds the calls of one registration or renewal.
	registryTime = 2 * time.Second
)

// register keeps this host's address in the store, where hosts that know no
// other one look.
func (h *Host) register(ctx context.Context) {
	lease := uint64(0)
	for ctx.Err() == nil {
		next, err := h.registerOnce(ctx, lease)
		if err != nil {
			h.Log.WithError(err).Debug("registration not renewed")
		}
		lease = next
		work.Sleep(ctx, renewPeriod)
	}
}

// registerOnce renews the lease, or registers anew if there is none.
func (h *Host) registerOnce(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTime)
	defer cancel()
	if lease != 0 {
		alive, err := h.LeaseStore.RenewLease(ctx, lease)
		if err != nil {
			return lease, fmt.Errorf("renew registration: %w", err)
		}
		if alive {
			return lease, nil
		}
	}
	lease, err := h.LeaseStore.GrantLease(ctx, leaseTime)
	if err != nil {
		return 0, fmt.Errorf("open lease: %w", err)
	}
	entry, err := proto.Marshal(peer.EncodeMember(h.Self))
	if err != nil {
		return 0, fmt.Errorf("encode registration: %w", err)
	}
	if err := h.LeaseStore.PutLeased(ctx, h.Decoder.RegistrationKey(h.Self.GateAddress()), entry, lease); err != nil {
		return 0, fmt.Errorf("register: %w", err)
	}
	return lease, nil
}

// registeredMember returns the host that registered itself at an address. An
// entry that cannot be read still tells the address.
func (h *Host) registeredMember(address, entry string) roster.Member {
	var m wire.Member
	if err := proto.Unmarshal([]byte(entry), &m); err != nil || m.GetGateAddress() != address {
		h.Log.WithField("address", address).Warn("registration of another host cannot be read")
		return listedMember(address, "", 0)
	}
	return listedMember(address, m.GetDataCenter(), int(m.GetCapacity()))
}
