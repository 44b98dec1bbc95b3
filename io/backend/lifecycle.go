package backend

import (
	"context"
	"fmt"

	"dotterelgw/core/statemachine"
	"dotterelgw/io/backend/wire"
)

// States, events and actions of the state chart "connection" in core/statemachine.
const (
	stateIdle statemachine.State = "idle"

	loggedIn        statemachine.Event = "logged_in"
	acquired        statemachine.Event = "acquired"
	answered        statemachine.Event = "answered"
	settingsChanged statemachine.Event = "settings_changed"
	released        statemachine.Event = "released"
	resetDone       statemachine.Event = "reset"
	responseMissing statemachine.Event = "response_missing"
	broken          statemachine.Event = "broken"
	expired         statemachine.Event = "expired"

	actionOffer      statemachine.Action = "offer"
	actionClose      statemachine.Action = "close"
	actionDiscardAll statemachine.Action = "discard_all"
	actionCancel     statemachine.Action = "cancel"
)

// connectionChart is the state chart of every connection. It is embedded in the program, so an invalid chart is a bug.
var connectionChart = func() *statemachine.Chart {
	loaded, err := statemachine.Named("connection", actionOffer, actionClose, actionDiscardAll, actionCancel)
	if err != nil {
		panic(fmt.Sprintf("loading the chart of connections: %v", err))
	}
	return loaded
}()

// State returns the connection's state in the chart. Only the goroutine that uses the connection may call it.
func (conn *Conn) State() statemachine.State { return conn.machine.State() }

// fire applies the event and runs the resulting actions, except for offer, which the pool carries out.
func (conn *Conn) fire(event statemachine.Event) {
	actions, err := conn.machine.Fire(event)
	if err != nil {
		// A closed connection accepts no events, so there is nothing left to do.
		return
	}
	for _, action := range actions {
		switch action {
		case actionClose:
			_ = conn.conn.Close()
		case actionCancel:
			// The server need not complete a statement whose response is not read.
			conn.SetCanceled()
			go func() { _ = conn.Cancel(context.Background()) }()
		case actionDiscardAll:
			if conn.reset() != nil {
				conn.fire(broken)
			} else {
				conn.fire(resetDone)
			}
		}
	}
}

// recycle moves the connection to idle, after a reset if necessary, or closes it. It reports whether it may be reused.
func (conn *Conn) recycle() bool {
	switch {
	case conn.broken, conn.canceled.Load(), conn.reader.Buffered() > 0, conn.pending == 0 && conn.status != wire.Idle:
		conn.fire(broken)
	case conn.pending > 0:
		conn.fire(responseMissing)
	}
	conn.fire(released)
	return conn.machine.State() == stateIdle
}
