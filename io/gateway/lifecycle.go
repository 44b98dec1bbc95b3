package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"dotterelgw/core/statemachine"
)

// States, events and actions of the state chart "vm" in core/statemachine.
const (
	stateServing statemachine.State = "serving"

	eventDrain            statemachine.Event = "drain"
	eventBalancerInformed statemachine.Event = "balancer_informed"
	eventSessionsEnded    statemachine.Event = "sessions_ended"

	actionAnnounceLeaving  statemachine.Action = "announce_leaving"
	actionCloseListener    statemachine.Action = "close_listener"
	actionEndSessions      statemachine.Action = "end_sessions"
	actionCloseConnections statemachine.Action = "close_connections"
)

// lifecycle is the state machine of this VM's process. It is safe for concurrent use.
type lifecycle struct {
	mutex   sync.Mutex
	machine *statemachine.Machine
	actions map[statemachine.Action]func()
}

// newLifecycle returns a lifecycle in its initial state that runs the given actions.
func newLifecycle(actions map[statemachine.Action]func()) (*lifecycle, error) {
	loaded, err := statemachine.Named("vm", slices.Collect(maps.Keys(actions))...)
	if err != nil {
		return nil, fmt.Errorf("loading the chart of the VM: %w", err)
	}
	return &lifecycle{machine: statemachine.NewMachine(loaded), actions: actions}, nil
}

// fire applies the event and runs the resulting actions.
func (lifecycle *lifecycle) fire(event statemachine.Event) error {
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
