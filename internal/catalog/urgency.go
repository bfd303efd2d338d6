package catalog

import "fmt"

// An Urgency is the priority of a request in queues. Smaller values go first.
type Urgency int

// The urgencies, most urgent first.
const (
	Urgent Urgency = iota
	Prompt
	Ordinary
	Background
)

// UrgencyCount is the number of urgencies.
const UrgencyCount = 4

var urgencyNames = [UrgencyCount]string{"urgent", "prompt", "ordinary", "background"}

// ParseUrgency returns the urgency with the given name.
func ParseUrgency(name string) (Urgency, error) {
	for i, n := range urgencyNames {
		if n == name {
			return Urgency(i), nil
		}
	}
	return 0, fmt.Errorf("unknown urgency %q", name)
}

// OrBackground returns u if it is a defined urgency, and Background otherwise.
func (u Urgency) OrBackground() Urgency {
	if u < 0 || u >= UrgencyCount {
		return Background
	}
	return u
}

// String implements fmt.Stringer.
func (u Urgency) String() string {
	return urgencyNames[u.OrBackground()]
}
