// Package chart interprets state charts that are defined in JSON files.
package chart

import (
	"encoding/json"
	"fmt"
)

// A State is the name of one state of a chart.
type State string

// An Event is the name of an event that may cause a transition.
type Event string

// A TransitionError is returned for an event that a state does not accept.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// A Chart is an immutable table of transitions, safe for concurrent use.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
}

type document struct {
	Name    string                    `json:"name"`
	Initial State                     `json:"initial"`
	States  map[State]map[Event]State `json:"states"`
}

// Parse decodes a chart. It returns an error if a state that the chart mentions is
// not defined, or if a state is neither the initial state nor the target of a
// transition.
func Parse(data []byte) (*Chart, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("parse state chart: %w", err)
	}
	c := &Chart{name: doc.Name, initial: doc.Initial, states: doc.States}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("check state chart %s: %w", doc.Name, err)
	}
	return c, nil
}

// MustParse is like Parse but panics on errors. It is for charts embedded in the
// program.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s: state %q does not accept event %q", e.Chart, e.State, e.Event)
}

// Initial returns the state in which the chart starts.
func (c *Chart) Initial() State {
	return c.initial
}

// Next returns the state that follows s after an event or, if s does not accept the
// event, s and a *TransitionError.
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.states[s][e]
	if !ok {
		return s, &TransitionError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// NextOrSame returns the state that follows s after an event, or s if it does not
// accept the event.
func (c *Chart) NextOrSame(s State, e Event) State {
	if next, ok := c.states[s][e]; ok {
		return next
	}
	return s
}

func (c *Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("initial state %q is not defined", c.initial)
	}
	reached := map[State]bool{c.initial: true}
	for s, transitions := range c.states {
		for e, target := range transitions {
			if _, ok := c.states[target]; !ok {
				return fmt.Errorf("state %q, event %q: target %q is not defined", s, e, target)
			}
			reached[target] = true
		}
	}
	for s := range c.states {
		if !reached[s] {
			return fmt.Errorf("state %q is neither the initial state nor the target of a transition", s)
		}
	}
	return nil
}
