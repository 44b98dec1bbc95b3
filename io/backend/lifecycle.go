package backend

import (
	"context"
	"fmt"

	"dotterelgw/core/chart"
	"dotterelgw/io/backend/wire"
)

// States, events and actions of the state chart "connection" in core/chart.
const (
	stateIdle chart.State = "idle"

	loggedIn        chart.Event = "logged_in"
	acquired        chart.Event = "acquired"
	answered        chart.Event = "answered"
	settingsChanged chart.Event = "settings_changed"
	released        chart.Event = "released"
	resetDone       chart.Event = "reset"
	responseMissing chart.Event = "response_missing"
	broken          chart.Event = "broken"
	expired         chart.Event = "expired"

	actionOffer      chart.Action = "offer"
	actionClose      chart.Action = "close"
	actionDiscardAll chart.Action = "discard_all"
	actionCancel     chart.Action = "cancel"
)

// connectionChart is the state chart of every connection. It is embedded in the program, so an invalid chart is a bug.
var connectionChart = func() *chart.Chart {
	loaded, err := chart.Named("connection", actionOffer, actionClose, actionDiscardAll, actionCancel)
	if err != nil {
		panic(fmt.Sprintf("loading the chart of connections: %v", err))
	}
	return loaded
}()

// State returns the connection's state in the chart. Only the goroutine that uses the connection may call it.
func (conn *Conn) State() chart.State { return conn.machine.State() }

// fire applies the event and runs the resulting actions, except for offer, which the pool carries out.
func (conn *Conn) fire(event chart.Event) {
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
