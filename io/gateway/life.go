package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"dotterelgw/core/chart"
)

// States, events and actions of the chart "vm" in core/chart.
const (
	stateServing chart.State = "serving"

	eventDrain            chart.Event = "drain"
	eventBalancerInformed chart.Event = "balancer_informed"
	eventSessionsEnded    chart.Event = "sessions_ended"

	actionAnnounceLeaving  chart.Action = "announce_leaving"
	actionCloseListener    chart.Action = "close_listener"
	actionEndSessions      chart.Action = "end_sessions"
	actionCloseConnections chart.Action = "close_connections"
)

// life is the state of this VM's process.
type life struct {
	mutex   sync.Mutex
	machine *chart.Machine
	actions map[chart.Action]func()
}

// newLife returns the life of a process that carries out the actions.
func newLife(actions map[chart.Action]func()) (*life, error) {
	loaded, err := chart.Named("vm", slices.Collect(maps.Keys(actions))...)
	if err != nil {
		return nil, fmt.Errorf("loading the chart of the VM: %w", err)
	}
	return &life{machine: chart.NewMachine(loaded), actions: actions}, nil
}

// fire moves the process and carries out what follows from the event.
func (life *life) fire(event chart.Event) error {
	life.mutex.Lock()
	actions, err := life.machine.Fire(event)
	life.mutex.Unlock()
	if err != nil {
		return fmt.Errorf("life of the VM: %w", err)
	}
	for _, action := range actions {
		life.actions[action]()
	}
	return nil
}

// serving tells whether no planned stop has begun.
func (life *life) serving() bool {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	return life.machine.State() == stateServing
}
