// Package roster decides which hosts are members of the fleet and which member
// owns each group of shards. It does no I/O, reads no clock and starts no
// goroutine.
//
// The driver of a Roster is the code that calls Step, performs the actions that Step
// returns, and reports the results to Step as events.
package roster

import (
	_ "embed"

	"github.com/foxtailshelf/foxtailshelf/internal/chart"
)

//go:embed member.chart.json
var memberChartFile []byte

var memberChart = chart.MustParse(memberChartFile)

// The states of a member, as in member.chart.json.
const (
	// Listed members are in the host list, but no message from or about them
	// was received.
	Listed chart.State = "listed"
	// Alive members respond to probes.
	Alive chart.State = "alive"
	// Suspect members responded neither to a direct nor to an indirect probe.
	Suspect chart.State = "suspect"
	// Leaving members are shutting down: they own no groups and take no new work.
	Leaving chart.State = "leaving"
	// Dead members stayed suspect for SuspicionTimeout.
	Dead chart.State = "dead"
)

// A Member is one host as a Roster sees it. It is a value: the With methods return
// a changed copy.
type Member struct {
	host         string
	dataCenter   string
	gateAddress  string
	entryAddress string
	// incarnation is chosen by the host itself. It grows with each start, each
	// change that the host makes to its own member, and each wrong update that it
	// refutes.
	incarnation uint64
	state       chart.State
	// capacity is how much work the host can take, in thousandths of a core;
	// zero if unknown.
	capacity int
	// partitioned is set while the host cannot make connections to any upstream.
	partitioned bool
}

// NewMember returns a member in a state of the state chart.
func NewMember(host, dataCenter, gateAddress, entryAddress string, incarnation uint64, state chart.State) Member {
	return Member{
		host: host, dataCenter: dataCenter, gateAddress: gateAddress, entryAddress: entryAddress,
		incarnation: incarnation, state: state,
	}
}

// Capacity returns how much work the host can take, in thousandths of a core;
// zero if unknown.
func (m Member) Capacity() int { return m.capacity }

func (m Member) DataCenter() string { return m.dataCenter }

// EntryAddress returns the address that callers connect to; "" if there is none.
func (m Member) EntryAddress() string { return m.entryAddress }

// GateAddress returns the address that entries and gates connect to.
func (m Member) GateAddress() string { return m.gateAddress }

// Host returns the name of the host.
func (m Member) Host() string { return m.host }

func (m Member) Incarnation() uint64 { return m.incarnation }

// CanOwn reports whether the member may own groups.
func (m Member) CanOwn() bool { return m.state == Alive || m.state == Suspect }

// IsPartitioned reports whether the host cannot make connections to any upstream.
func (m Member) IsPartitioned() bool { return m.partitioned }

func (m Member) State() chart.State { return m.state }

// WithState returns the member with another state and incarnation.
func (m Member) WithState(state chart.State, incarnation uint64) Member {
	m.state = state
	m.incarnation = incarnation
	return m
}

// WithCapacity returns the member with another capacity.
func (m Member) WithCapacity(capacity int) Member {
	m.capacity = capacity
	return m
}

// WithPartitioned returns the member as one that can or cannot make connections to upstreams.
func (m Member) WithPartitioned(partitioned bool) Member {
	m.partitioned = partitioned
	return m
}

// supersedes reports whether m replaces old: by a higher incarnation or, in the
// same incarnation, by a state of higher precedence.
func (m Member) supersedes(old Member) bool {
	if m.incarnation != old.incarnation {
		return m.incarnation > old.incarnation
	}
	return statePrecedence(m.state) > statePrecedence(old.state)
}

// statePrecedence orders the states of one incarnation: a higher state replaces
// a lower one.
func statePrecedence(s chart.State) int {
	switch s {
	case Dead:
		return 4
	case Leaving:
		return 3
	case Suspect:
		return 2
	case Alive:
		return 1
	default:
		return 0
	}
}
