package host

import (
	"github.com/foxtailshelf/foxtailshelf/internal/membership"
)

// maxAddressLists bounds the data centres in the address cache, because callers
// can ask for any name. A full cache is cleared.
const maxAddressLists = 64

// AdvertisedAddresses returns the entry addresses that callers of a data centre should use.
func (h *Host) AdvertisedAddresses(dataCenter string) []string {
	h.addressMu.Lock()
	defer h.addressMu.Unlock()
	list, cached := h.addressCache[dataCenter]
	if !cached {
		if len(h.addressCache) >= maxAddressLists {
			clear(h.addressCache)
		}
		list = membership.AdvertisedAddresses(h.fleet.Members(), dataCenter)
		h.addressCache[dataCenter] = list
	}
	return list
}
