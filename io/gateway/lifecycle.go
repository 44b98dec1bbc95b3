package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"dotterelgw/core/chart"
)

// States, events and actions of the state chart "vm" in core/chart.
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

// lifecycle is the state machine of this VM's process. It is safe for concurrent use.
type lifecycle struct {
	mutex   sync.Mutex
	machine *chart.Machine
	actions map[chart.Action]func()
}

// newLifecycle returns a lifecycle in its initial state that runs the given actions.
func newLifecycle(actions map[chart.Action]func()) (*lifecycle, error) {
	loaded, err := chart.Named("vm", slices.Collect(maps.Keys(actions))...)
	if err != nil {
		return nil, fmt.Errorf("loading the chart of the VM: %w", err)
	}
	return &lifecycle{machine: chart.NewMachine(loaded), actions: actions}, nil
}

// fire applies the event and runs the resulting actions.
func (lifecycle *lifecycle) fire(event chart.Event) error {
	lifecycle.mutex.Lock()
	actions, err := lifecycle.machine.Fire(event)
	lifecycle.mutex.Unlock()
	if err != nil {
		return fmt.Errorf("lifecycle of the VM: %w", err)
	}
	for _, action := range actions {
		lifecycle.actions[action]()
	}
	return nil
}

// serving reports whether no shutdown has started.
func (lifecycle *lifecycle) serving() bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return lifecycle.machine.State() == stateServing
}
