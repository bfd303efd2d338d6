package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/foxtailshelf/foxtailshelf/internal/catalog"
)

// A Table is the result of a show statement.
type Table struct {
	columns []string
	rows    [][]string
}

// A HostState is the state that one host reports. If the host did not answer, State
// is the host's state in the host list.
type HostState struct {
	Host       string
	DataCenter string
	State      string
	Revision   uint64
	Answered   bool
}

// A RequestState is one request in the timeline of an entry.
type RequestState struct {
	RequestID string
	Entry     string
	// AdmissionDetail and AnswerDetail are the details of the timeline's admitted and
	// answered events.
	AdmissionDetail string
	AnswerDetail    string
}

// A ProcessSetting is one setting of one process.
type ProcessSetting struct {
	Process string
	Name    string
	Value   string
}

// FleetState holds the states that processes report. Only the field of the table
// that a statement shows is set.
type FleetState struct {
	Hosts    []HostState
	Requests []RequestState
	Settings []ProcessSetting
}

// An UnknownColumnError reports a column that a table does not have.
type UnknownColumnError struct {
	Column  string
	Columns []string
}

func (t *Table) Columns() []string { return t.columns }

func (t *Table) Rows() [][]string { return t.rows }

// Error implements error.
func (e *UnknownColumnError) Error() string {
	return fmt.Sprintf("no column %q; the columns are %s", e.Column, strings.Join(e.Columns, ", "))
}

// Evaluate returns the table of a show statement, with only the rows that meet all
// conditions of the statement.
func (s *Show) Evaluate(c *catalog.Catalog, state FleetState) (*Table, error) {
	var t *Table
	switch s.Table {
	case "services":
		t = serviceTable(c)
	case "kinds":
		t = kindTable(c)
	case "upstreams":
		t = upstreamTable(c)
	case "shards":
		t = shardTable(c)
	case "hosts":
		t = hostTable(state.Hosts)
	case "requests":
		t = requestTable(state.Requests)
	case "settings":
		t = settingTable(state.Settings)
	default:
		t = changeTable(c)
	}
	for _, condition := range s.Where {
		if err := t.filter(condition); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

// filter removes the rows that do not meet a condition.
func (t *Table) filter(c *Condition) error {
	i := slices.Index(t.columns, c.Column)
	if i < 0 {
		return &UnknownColumnError{Column: c.Column, Columns: t.columns}
	}
	t.rows = slices.DeleteFunc(t.rows, func(row []string) bool {
		switch c.Operator {
		case "=":
			return row[i] != c.Value
		case "!=":
			return row[i] == c.Value
		default:
			return !strings.Contains(row[i], c.Value)
		}
	})
	return nil
}

func changeTable(c *catalog.Catalog) *Table {
	t := &Table{columns: []string{"revision", "change"}}
	ids := c.Head().ChangeIDs
	for i, id := range ids {
		t.addRow(c.Revision()-uint64(len(ids)-1-i), id)
	}
	return t
}

func hostTable(hosts []HostState) *Table {
	t := &Table{columns: []string{"host", "data-center", "state", "revision", "answered"}}
	for _, h := range hosts {
		revision := strconv.FormatUint(h.Revision, 10)
		if !h.Answered {
			revision = "-"
		}
		t.addRow(h.Host, h.DataCenter, h.State, revision, h.Answered)
	}
	return t
}

func kindTable(c *catalog.Catalog) *Table {
	t := &Table{columns: []string{"service", "kind", "urgency", "idempotent", "scatter", "deadline-milliseconds"}}
	for _, s := range c.Services() {
		for _, k := range s.Spec().Kinds {
			t.addRow(s.Name(), k.Name, k.Urgency, k.Idempotent, k.Scatter, k.DefaultTimeoutMilliseconds)
		}
	}
	return t
}

func requestTable(requests []RequestState) *Table {
	t := &Table{columns: []string{"request", "entry", "admitted", "answered"}}
	for _, r := range requests {
		t.addRow(r.RequestID, r.Entry, r.AdmissionDetail, r.AnswerDetail)
	}
	return t
}

func settingTable(settings []ProcessSetting) *Table {
	t := &Table{columns: []string{"process", "setting", "value"}}
	for _, s := range settings {
		t.addRow(s.Process, s.Name, s.Value)
	}
	return t
}

func serviceTable(c *catalog.Catalog) *Table {
	t := &Table{columns: []string{"service", "goal", "canary", "min-replicas", "kinds", "upstreams", "maps"}}
	for _, s := range c.Services() {
		spec := s.Spec()
		t.addRow(s.Name(), spec.Goal, spec.Canary, spec.MinReplicas, len(spec.Kinds), len(spec.Upstreams), len(spec.ShardMaps))
	}
	return t
}

func shardTable(c *catalog.Catalog) *Table {
	t := &Table{columns: []string{"service", "map", "shard", "weight", "upstreams", "group"}}
	for _, s := range c.Services() {
		for _, m := range s.Spec().ShardMaps {
			for _, h := range m.Shards {
				group, _ := s.Group(catalog.ShardPath(m.Name, h.Name))
				t.addRow(s.Name(), m.Name, h.Name, h.Weight, strings.Join(h.Upstreams, " "), group.Name())
			}
		}
	}
	return t
}

func upstreamTable(c *catalog.Catalog) *Table {
	t := &Table{columns: []string{"service", "upstream", "address", "data-center", "slots", "connections", "drain"}}
	for _, s := range c.Services() {
		for _, u := range s.Spec().Upstreams {
			t.addRow(s.Name(), u.Name, u.Address, u.DataCenter, u.Slots, u.Connections, u.Drain)
		}
	}
	return t
}
