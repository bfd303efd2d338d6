package gate

import (
	"cmp"
	"slices"
)

// A StateDocument is the state of a gate, as served by its operations endpoint.
type StateDocument struct {
	Revision uint64           `json:"revision"`
	Members  []MemberDocument `json:"members"`
	Groups   []GroupDocument  `json:"groups"`
}

// A MemberDocument is one member of the fleet in this gate's view.
type MemberDocument struct {
	Host        string `json:"host"`
	DataCenter  string `json:"data-center"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// A GroupDocument is one group of shards in use on this gate.
type GroupDocument struct {
	Name  string `json:"name"`
	Owned bool   `json:"owned"`
}

// State returns the state for the operations endpoint.
func (g *Gate) State() StateDocument {
	d := StateDocument{Revision: g.Catalog().Revision()}
	for _, m := range g.Members() {
		d.Members = append(d.Members, MemberDocument{
			Host: m.Host(), DataCenter: m.DataCenter(), State: string(m.State()), Incarnation: m.Incarnation(),
		})
	}
	for _, gr := range g.listRunners() {
		gr.mu.Lock()
		d.Groups = append(d.Groups, GroupDocument{Name: gr.name, Owned: gr.owned})
		gr.mu.Unlock()
	}
	slices.SortFunc(d.Groups, func(a, b GroupDocument) int { return cmp.Compare(a.Name, b.Name) })
	return d
}
