// Package statechart loads flat state charts from YAML and looks up their
// transitions. A chart is checked when it is loaded; a transition is a table lookup.
//
//	name: task
//	initial: waiting
//	states:
//	  waiting:
//	    on: {send: sent}
//	  sent:
//	    on: {done: done}
//	  done:
//	    final: true
package statechart

import (
	"fmt"
	"slices"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// State is the index of a state in its chart.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// noTransition is the entry in Chart.next for a pair of state and event without a
// transition.
const noTransition State = 0xff

// maxElements is the maximum number of states of a chart, and also that of events.
const maxElements = 250

// Chart is a checked state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  []string
	events  []string
	final   []bool
	// next holds the state after an event, or noTransition. It is indexed by state,
	// then by event.
	next [][]State
}

// TransitionError is returned for an event that has no transition from a state.
type TransitionError struct {
	Chart, State, Event string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: no transition from %s on %s", e.Chart, e.State, e.Event)
}

// chartSource is a chart as decoded from YAML.
type chartSource struct {
	Name    string                 `yaml:"name"`
	Initial string                 `yaml:"initial"`
	States  map[string]stateSource `yaml:"states"`
}

type stateSource struct {
	On    map[string]string `yaml:"on"`
	Final bool              `yaml:"final"`
}

// Load decodes and checks a chart. The error of the check lists every finding.
func Load(text []byte) (*Chart, error) {
	var src chartSource
	if err := yaml.UnmarshalWithOptions(text, &src, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "chart")
	}
	if findings := src.check(); len(findings) > 0 {
		return nil, eris.Errorf("chart %s: %q", src.Name, findings)
	}
	return src.compile(), nil
}

// MustLoad is like Load but panics on an error. It is for embedded charts.
func MustLoad(text []byte) *Chart {
	c, err := Load(text)
	if err != nil {
		panic(err)
	}
	return c
}

// check returns a text for each problem of the chart.
func (s *chartSource) check() []string {
	var findings []string
	if s.Name == "" {
		findings = append(findings, "no name")
	}
	if _, ok := s.States[s.Initial]; !ok {
		findings = append(findings, fmt.Sprintf("initial state %q is not declared", s.Initial))
	}
	if len(s.States) > maxElements || len(s.eventNames()) > maxElements {
		findings = append(findings, "too many states or events")
	}
	reached := s.reachable()
	for _, name := range s.stateNames() {
		findings = append(findings, s.checkState(name, reached[name])...)
	}
	return findings
}

func (s *chartSource) checkState(name string, reached bool) []string {
	var findings []string
	state := s.States[name]
	for event, target := range state.On {
		if _, ok := s.States[target]; !ok {
			findings = append(findings, fmt.Sprintf("%s on %s: state %q is not declared", name, event, target))
		}
	}
	if state.Final && len(state.On) > 0 {
		findings = append(findings, fmt.Sprintf("final state %s has transitions", name))
	}
	if !state.Final && len(state.On) == 0 {
		findings = append(findings, fmt.Sprintf("state %s has no transitions and is not final", name))
	}
	if !reached {
		findings = append(findings, fmt.Sprintf("state %s can't be reached", name))
	}
	return findings
}

func (s *chartSource) reachable() map[string]bool {
	reached := map[string]bool{s.Initial: true}
	frontier := []string{s.Initial}
	for len(frontier) > 0 {
		name := frontier[0]
		frontier = frontier[1:]
		for _, target := range s.States[name].On {
			if !reached[target] {
				reached[target] = true
				frontier = append(frontier, target)
			}
		}
	}
	return reached
}

func (s *chartSource) stateNames() []string {
	names := make([]string, 0, len(s.States))
	for name := range s.States {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *chartSource) eventNames() []string {
	seen := map[string]bool{}
	var names []string
	for _, state := range s.States {
		for event := range state.On {
			if !seen[event] {
				seen[event] = true
				names = append(names, event)
			}
		}
	}
	sort.Strings(names)
	return names
}

func (s *chartSource) compile() *Chart {
	c := &Chart{name: s.Name, states: s.stateNames(), events: s.eventNames()}
	c.initial = c.State(s.Initial)
	c.final = make([]bool, len(c.states))
	c.next = make([][]State, len(c.states))
	for i, name := range c.states {
		c.final[i] = s.States[name].Final
		c.next[i] = slices.Repeat([]State{noTransition}, len(c.events))
		for event, target := range s.States[name].On {
			c.next[i][c.Event(event)] = c.State(target)
		}
	}
	return c
}

// Initial returns the state in which a new state machine starts.
func (c *Chart) Initial() State { return c.initial }

// State returns the state with the given name. It panics on an unknown name, so
// that a mismatch of code and chart shows when the program starts.
func (c *Chart) State(name string) State {
	i, ok := slices.BinarySearch(c.states, name)
	if !ok {
		panic(fmt.Sprintf("chart %s has no state %q", c.name, name))
	}
	return State(i)
}

// Event returns the event with the given name. It panics on an unknown name.
func (c *Chart) Event(name string) Event {
	i, ok := slices.BinarySearch(c.events, name)
	if !ok {
		panic(fmt.Sprintf("chart %s has no event %q", c.name, name))
	}
	return Event(i)
}

// StateName returns the name of a state, for dumps and logs.
func (c *Chart) StateName(s State) string { return c.states[s] }

// Final reports whether the state is final, which means that it has no transitions.
func (c *Chart) Final(s State) bool { return c.final[s] }

// Can reports whether the state has a transition on the event.
func (c *Chart) Can(s State, e Event) bool { return c.next[s][e] != noTransition }

// Next returns the state after an event. When there is no such transition, it
// returns the given state and a *TransitionError.
func (c *Chart) Next(s State, e Event) (State, error) {
	if to := c.next[s][e]; to != noTransition {
		return to, nil
	}
	return s, &TransitionError{Chart: c.name, State: c.states[s], Event: c.events[e]}
}
