package pool

import (
	"fmt"
	"slices"
	"strings"

	"github.com/foxtailshelf/foxtailshelf/internal/invariant"
)

// maxHeldServices bounds the services that HeldAssignments names.
const maxHeldServices = 8

// HeldAssignments returns the assignments of pools, by service, that have not ended.
func HeldAssignments(pools map[string]*Pool) invariant.Holding {
	held := invariant.Holding{What: "assignments"}
	var services []string
	for s, p := range pools {
		if count := p.Held(); count > 0 {
			held.Count += count
			services = append(services, fmt.Sprintf("%s: %d", s, count))
		}
	}
	slices.Sort(services)
	held.Detail = strings.Join(services[:min(len(services), maxHeldServices)], ", ")
	return held
}
