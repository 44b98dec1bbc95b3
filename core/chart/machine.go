package chart

import (
	"fmt"

	"github.com/juju/errors"
)

// Machine is one object that lives by a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *Chart) *Machine { return &Machine{chart: chart, state: chart.initial} }

// State returns the present state.
func (machine *Machine) State() State { return machine.state }

// Final states whether the machine has ended.
func (machine *Machine) Final() bool { return machine.chart.final[machine.state] }

// Fire moves the machine and returns the actions to carry out. An event that the state does not know is an error and
// moves nothing.
func (machine *Machine) Fire(event Event) ([]Action, error) {
	transition, ok := machine.chart.Next(machine.state, event)
	if !ok {
		return nil, fmt.Errorf("event %q in state %q: %w", event, machine.state, errors.NotSupported)
	}
	machine.state = transition.Target
	return transition.Actions, nil
}
