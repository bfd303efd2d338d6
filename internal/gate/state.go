package gate

import (
	"cmp"
	"slices"
)

// A StateDocument is what the operations endpoint of a gate shows.
type StateDocument struct {
	Revision uint64           `json:"revision"`
	Members  []MemberDocument `json:"members"`
	Groups   []GroupDocument  `json:"groups"`
}

// A MemberDocument is one member of the fleet as this gate sees it.
type MemberDocument struct {
	Host        string `json:"host"`
	DataCenter  string `json:"data-center"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// A GroupDocument is one group of shards in use here.
type GroupDocument struct {
	Name  string `json:"name"`
	Owned bool   `json:"owned"`
}

// State returns what the operations endpoint shows.
func (g *Gate) State() StateDocument {
	d := StateDocument{Revision: g.Catalog().Revision()}
	for _, m := range g.Members() {
		d.Members = append(d.Members, MemberDocument{
			Host: m.Host(), DataCenter: m.DataCenter(), State: string(m.State()), Incarnation: m.Incarnation(),
		})
	}
	for _, o := range g.allOwners() {
		o.mu.Lock()
		d.Groups = append(d.Groups, GroupDocument{Name: o.name, Owned: o.owned})
		o.mu.Unlock()
	}
	slices.SortFunc(d.Groups, func(a, b GroupDocument) int { return cmp.Compare(a.Name, b.Name) })
	return d
}
