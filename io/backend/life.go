package backend

import (
	"context"
	"fmt"

	"dotterelgw/core/chart"
	"dotterelgw/io/backend/wire"
)

// The states, events and actions of the chart "connection" in core/chart.
const (
	stateIdle chart.State = "idle"

	loggedIn        chart.Event = "logged_in"
	acquired        chart.Event = "acquired"
	answered        chart.Event = "answered"
	settingsChanged chart.Event = "settings_changed"
	released        chart.Event = "released"
	cleared         chart.Event = "reset"
	responseMissing chart.Event = "response_missing"
	broken          chart.Event = "broken"
	expired         chart.Event = "expired"

	actionOffer      chart.Action = "offer"
	actionClose      chart.Action = "close"
	actionDiscardAll chart.Action = "discard_all"
	actionCancel     chart.Action = "cancel"
)

// lifeChart is the chart of every connection; it is part of the program, so a fault in it is a fault of the program.
var lifeChart = func() *chart.Chart {
	loaded, err := chart.Named("connection", actionOffer, actionClose, actionDiscardAll, actionCancel)
	if err != nil {
		panic(fmt.Sprintf("chart of connections: %v", err))
	}
	return loaded
}()

// State returns the connection's state in the chart. Only the goroutine that uses the connection may call it.
func (conn *Conn) State() chart.State { return conn.life.State() }

// fire moves the connection along the chart and carries the actions out, except for offer, which is the pool's.
func (conn *Conn) fire(event chart.Event) {
	actions, err := conn.life.Fire(event)
	if err != nil {
		// A closed connection knows no events: nothing is left to do.
		return
	}
	for _, action := range actions {
		switch action {
		case actionClose:
			_ = conn.conn.Close()
		case actionCancel:
			// The server need not finish a statement whose answer nobody reads.
			conn.SetCanceled()
			go func() { _ = conn.Cancel(context.Background()) }()
		case actionDiscardAll:
			if conn.reset() != nil {
				conn.fire(broken)
			} else {
				conn.fire(cleared)
			}
		}
	}
}

// giveBack moves the connection to idle, after a reset if needed, or closes it; it returns whether it may be reused.
func (conn *Conn) giveBack() bool {
	switch {
	case conn.broken, conn.canceled.Load(), conn.reader.Buffered() > 0, conn.due == 0 && conn.status != wire.Idle:
		conn.fire(broken)
	case conn.due > 0:
		conn.fire(responseMissing)
	}
	conn.fire(released)
	return conn.life.State() == stateIdle
}
