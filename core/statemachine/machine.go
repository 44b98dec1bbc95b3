package statemachine

import (
	"fmt"

	"github.com/juju/errors"
)

// Machine is a running instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *Chart) *Machine { return &Machine{chart: chart, state: chart.initial} }

// State returns the current state.
func (machine *Machine) State() State { return machine.state }

// Final reports whether the machine has reached a final state.
func (machine *Machine) Final() bool { return machine.chart.final[machine.state] }

// Fire applies the event and returns the actions to carry out. If the current state has no transition for the event, it
// returns an error and the state does not change.
func (machine *Machine) Fire(event Event) ([]Action, error) {
	transition, ok := machine.chart.Next(machine.state, event)
	if !ok {
		return nil, fmt.Errorf("event %q in state %q: %w", event, machine.state, errors.NotSupported)
	}
	machine.state = transition.Target
	return transition.Actions, nil
}
