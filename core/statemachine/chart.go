package statemachine

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// State names a state of a chart.
type State string

// Event names an input that can cause a transition.
type Event string

// Action names a side effect that the calling code carries out on a transition.
type Action string

// Transition describes the reaction of a state to an event.
type Transition struct {
	// Target is the next state. It equals the current state if the event is ignored.
	Target State
	// Actions are carried out in order.
	Actions []Action
	// Ignored is set if the chart ignores the event in this state.
	Ignored bool
}

// Chart is a validated, immutable state chart: every state is reachable, and every non-final state defines a transition
// for every event.
type Chart struct {
	initial State
	final   map[State]bool
	events  []Event
	states  map[State]map[Event]Transition
}

// parsedChart is the TOML form of a chart. A state's table maps each event to "ignore" or to {target, actions}.
type parsedChart struct {
	Initial State                                `toml:"initial"`
	Final   []State                              `toml:"final"`
	Events  []Event                              `toml:"events"`
	States  map[State]map[Event]parsedTransition `toml:"states"`
}

type parsedTransition struct{ Transition }

// UnmarshalTOML implements toml.Unmarshaler.UnmarshalTOML.
func (parsed *parsedTransition) UnmarshalTOML(value any) error {
	switch value := value.(type) {
	case string:
		if value != "ignore" {
			return fmt.Errorf("transition %q, want ignore or a table: %w", value, errors.NotValid)
		}
		parsed.Ignored = true
		return nil
	case map[string]any:
		for key := range value {
			if key != "target" && key != "actions" {
				return fmt.Errorf("transition with unknown key %q: %w", key, errors.NotValid)
			}
		}
		target, _ := value["target"].(string)
		parsed.Target = State(target)
		actions, _ := value["actions"].([]any)
		for _, action := range actions {
			name, _ := action.(string)
			parsed.Actions = append(parsed.Actions, Action(name))
		}
		return nil
	}
	return fmt.Errorf("transition of type %T: %w", value, errors.NotValid)
}

// Load parses and validates a chart in TOML. The actions are those that the calling code implements. Load returns an
// error if the chart names any other action, has an unreachable state, refers to an unknown target or event, or lacks
// a transition of a non-final state.
func Load(source []byte, actions ...Action) (*Chart, error) {
	var parsed parsedChart
	meta, err := toml.Decode(string(source), &parsed)
	if err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	for _, key := range meta.Undecoded() {
		// UnmarshalTOML checks the keys of transitions.
		if key[0] != "states" {
			return nil, fmt.Errorf("state chart: unknown key %s: %w", key, errors.NotValid)
		}
	}
	chart := &Chart{initial: parsed.Initial, final: map[State]bool{}, events: parsed.Events, states: map[State]map[Event]Transition{}}
	for _, state := range parsed.Final {
		chart.final[state] = true
		chart.states[state] = nil
	}
	for state, on := range parsed.States {
		chart.states[state] = make(map[Event]Transition, len(on))
		for event, transition := range on {
			if transition.Ignored {
				transition.Target = state
			}
			chart.states[state][event] = transition.Transition
		}
	}
	if err := chart.validate(actions); err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	return chart, nil
}

func (chart *Chart) validate(actions []Action) error {
	if _, ok := chart.states[chart.initial]; !ok {
		return fmt.Errorf("initial state %q is not defined: %w", chart.initial, errors.NotFound)
	}
	for state, on := range chart.states {
		if chart.final[state] {
			if len(on) > 0 {
				return fmt.Errorf("final state %q has transitions: %w", state, errors.NotValid)
			}
			continue
		}
		for _, event := range chart.events {
			if _, ok := on[event]; !ok {
				return fmt.Errorf("state %q has no transition for event %q: %w", state, event, errors.NotFound)
			}
		}
		for event, transition := range on {
			if !slices.Contains(chart.events, event) {
				return fmt.Errorf("state %q has a transition for unknown event %q: %w", state, event, errors.NotFound)
			}
			if _, ok := chart.states[transition.Target]; !ok {
				return fmt.Errorf("state %q, event %q: unknown target %q: %w", state, event, transition.Target, errors.NotFound)
			}
			for _, action := range transition.Actions {
				if !slices.Contains(actions, action) {
					return fmt.Errorf("state %q, event %q: unknown action %q: %w", state, event, action, errors.NotFound)
				}
			}
		}
	}
	return chart.validateReachability()
}

func (chart *Chart) validateReachability() error {
	reached := map[State]bool{chart.initial: true}
	for pending := []State{chart.initial}; len(pending) > 0; {
		state := pending[0]
		pending = pending[1:]
		for _, transition := range chart.states[state] {
			if !reached[transition.Target] {
				reached[transition.Target] = true
				pending = append(pending, transition.Target)
			}
		}
	}
	for state := range chart.states {
		if !reached[state] {
			return fmt.Errorf("state %q is unreachable: %w", state, errors.NotValid)
		}
	}
	return nil
}

// Initial returns the initial state.
func (chart *Chart) Initial() State { return chart.initial }

// Final reports whether the state is final.
func (chart *Chart) Final(state State) bool { return chart.final[state] }

// Next returns the transition of the state for the event. ok is false if the state is final or either name is unknown.
func (chart *Chart) Next(state State, event Event) (transition Transition, ok bool) {
	transition, ok = chart.states[state][event]
	return transition, ok
}
