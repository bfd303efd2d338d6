package roster

// An Event is something that happened to a Roster.
type Event interface{ isEvent() }

// Tick reports that time has passed. It is sent at regular intervals.
type Tick struct{}

// HostListReceived brings a list of hosts: the platform's host list, the hosts
// registered in the store, or the peers of the settings.
type HostListReceived struct{ Hosts []Member }

// GossipReceived brings a message from another member or from an entry. Sender is
// the zero Member if the message is from an entry.
type GossipReceived struct {
	Sender  Member
	Updates []Member
}

// ProbeEnded reports the result of a probe. Indirect is set if other members
// made the probe.
type ProbeEnded struct {
	Host     string
	Answered bool
	Indirect bool
}

// Leave reports that this host is shutting down.
type Leave struct{}

// EntryAddressChanged brings the address at which callers reach the entry of
// this host; "" if it has none.
type EntryAddressChanged struct{ Address string }

// LinksChanged reports whether this host has lost the links to all upstreams.
type LinksChanged struct{ Partitioned bool }

func (Tick) isEvent()                {}
func (HostListReceived) isEvent()    {}
func (GossipReceived) isEvent()      {}
func (ProbeEnded) isEvent()          {}
func (Leave) isEvent()               {}
func (EntryAddressChanged) isEvent() {}
func (LinksChanged) isEvent()        {}

// An Action is what Roster.Step asks its caller to do: the Roster itself does no I/O.
type Action interface{ isAction() }

// Probe asks for one exchange of messages with a member, to find out whether it is alive.
type Probe struct{ Target Member }

// IndirectProbe asks for a probe of Target by the members Via, because a direct one failed.
type IndirectProbe struct {
	Target Member
	Via    []Member
}

// MemberChanged reports that a member, this host included, was added or has changed.
// Old is the zero Member if New was added. Members that are added by a host list, and
// deleted members, are not reported.
type MemberChanged struct{ Old, New Member }

func (Probe) isAction()         {}
func (IndirectProbe) isAction() {}
func (MemberChanged) isAction() {}
