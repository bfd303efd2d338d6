package reachability

// A Condition is what is known of one upstream.
type Condition int

// The conditions.
const (
	// Unknown is the condition if no host that was asked reaches any upstream there.
	Unknown Condition = iota
	// Running upstreams have responded or accepted a connection, at any host.
	Running
	// Ended upstreams cannot be reached by hosts that reach others.
	Ended
)

// String returns the condition as it is logged.
func (c Condition) String() string {
	switch c {
	case Running:
		return "running"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}
