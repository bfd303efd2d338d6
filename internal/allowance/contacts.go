package allowance

import "time"

const (
	// TakeoverDelay is how long after it has suspected an issuer a host expects another one to
	// issue tokens in its place.
	TakeoverDelay = 1500 * time.Millisecond
	// contactPeriod is how long an answer of another host counts. A host is suspected at the
	// earliest 0.6 s after it was cut off, which is how long a direct and an indirect probe
	// take. It stops to issue before it is replaced.
	contactPeriod = 2 * time.Second
	// minContacts is how many hosts must have answered in contactPeriod; a host probes 4.
	minContacts = 3
	// settledFraction is the fraction from which a host counts as connected to the others.
	settledFraction = 0.5
)

// Contacts estimates which part of the other hosts this host reaches, from its calls to them.
type Contacts struct {
	byAddress map[string]contact
}

type contact struct {
	at       time.Time
	answered bool
}

// Record records the last call to a host.
func (c *Contacts) Record(now time.Time, address string, answered bool) {
	if c.byAddress == nil {
		c.byAddress = make(map[string]contact)
	}
	c.byAddress[address] = contact{at: now, answered: answered}
}

// Fraction returns the part of the hosts that answered among those called in contactPeriod.
// others is the number of other hosts that are known; the result is 1 if there are none.
func (c *Contacts) Fraction(now time.Time, others int) float64 {
	if others == 0 {
		return 1
	}
	answered, called := 0, 0
	for a, k := range c.byAddress {
		if now.Sub(k.at) >= contactPeriod {
			delete(c.byAddress, a)
			continue
		}
		called++
		if k.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(called, min(minContacts, others)))
}
