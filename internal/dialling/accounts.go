package dialling

import (
	"github.com/foxtailshelf/foxtailshelf/internal/allowance"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
)

// NewAllowanceView returns what a host knows of the others. Other hosts that leave issue no
// tokens and do not count. Listed hosts count as running: after a start of all hosts, they agree on
// the issuers as soon as they know the list, and a host that does not reach the others finds
// out by its own probes. mayIssue reports whether a member that was heard from may issue tokens.
func NewAllowanceView(host string, members []roster.Member, mayIssue func(roster.Member) bool) *allowance.View {
	var self allowance.Member
	var candidates []allowance.Member
	known := 0
	weights := loadWeights(members, allAdvertisedHosts(members))
	total, squares, running, before, own := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, m := range members {
		c := allowance.Member{Host: m.Host(), Address: m.GateAddress(), DataCenter: m.DataCenter()}
		isSelf := m.Host() == host
		if m.State() == roster.Leaving && !isSelf {
			continue
		}
		known++
		total += weights[i]
		squares += weights[i] * weights[i]
		switch {
		case isSelf:
			self, own = c, weights[i]
		case m.Host() < host:
			before += weights[i]
		}
		if m.State() == roster.Alive || m.State() == roster.Listed || isSelf {
			running += weights[i]
		}
		// The data centre of hosts from the settings is unknown until they are heard from.
		if mayIssue(m) || (m.State() == roster.Listed && m.DataCenter() != "") {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, self)
	}
	if total == 0 {
		return allowance.NewView(self, candidates, known, 1, allowance.Share{Hosts: 1})
	}
	shared := max(total, MinFleetSize*own)
	share := allowance.Share{From: before / shared, To: (before + own) / shared, Hosts: total * total / squares}
	return allowance.NewView(self, candidates, known, running/total, share)
}
