package intake

import (
	"net"
	"sync/atomic"
	"time"

	"dotterelgw/core/budget"
)

// Connection is what one caller's connection holds. Its methods are called by the connection's own goroutine.
type Connection struct {
	intake *Intake
	conn   net.Conn
	id     budget.ConnectionID
	limits Limits
	// evicted is set when the connection is to end for others.
	evicted atomic.Bool
	// state holds the activity in its lowest bits and the time since when in the others.
	state atomic.Int64

	// The mutex of the intake guards the fields below.
	held budget.Bytes
	// closing is set when the connection has been chosen to end.
	closing bool
}

// activityBits is the number of bits of a state that hold the activity; the time in it is rounded to eight nanoseconds.
const activityBits = 3

// Enter records what the connection does from now on.
func (connection *Connection) Enter(activity budget.Activity) {
	since := int64(connection.intake.now()) &^ (1<<activityBits - 1)
	connection.state.Store(since | int64(activity))
}

func (connection *Connection) activity() budget.Activity {
	return budget.Activity(connection.state.Load() & (1<<activityBits - 1))
}

// describe returns what the choice of connections to close depends on. The mutex of the intake is held.
func (connection *Connection) describe() budget.Connection {
	state := connection.state.Load()
	return budget.Connection{
		ID: connection.id, Activity: budget.Activity(state & (1<<activityBits - 1)),
		Since: time.Duration(state &^ (1<<activityBits - 1)), Held: connection.held,
	}
}

// hold changes what the connection holds. The mutex of the intake is held.
func (connection *Connection) hold(bytes budget.Bytes) {
	connection.held += bytes
	if connection.closing {
		connection.intake.closingHeld += bytes
	}
}

// Evicted reports whether the connection is to end since others need what it holds.
func (connection *Connection) Evicted() bool { return connection.evicted.Load() }

// Limits returns the limits that were in force when the connection was admitted.
func (connection *Connection) Limits() Limits { return connection.limits }

// Reserve takes bytes and waits for them until the deadline at most; a zero deadline sets no further limit.
func (connection *Connection) Reserve(bytes budget.Bytes, deadline time.Time) error {
	return connection.intake.reserve(connection, bytes, patience, deadline)
}

// ReserveLasting takes bytes that the session keeps. It does not wait for others to give memory back by themselves, since what sessions keep
// is rarely given back soon.
func (connection *Connection) ReserveLasting(bytes budget.Bytes) error {
	return connection.intake.reserve(connection, bytes, 0, time.Time{})
}

// Take takes bytes for what is in memory already, and closes other connections if the budget is exceeded.
func (connection *Connection) Take(bytes budget.Bytes) {
	intake := connection.intake
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	intake.budget.Take(bytes)
	connection.hold(bytes)
	if intake.budget.Missing(0) > 0 {
		intake.closeForBytes(connection, 0)
	}
}

// Release gives bytes back.
func (connection *Connection) Release(bytes budget.Bytes) {
	intake := connection.intake
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	connection.hold(-bytes)
	intake.release(bytes)
}

// End gives back all that the connection holds, its place included.
func (connection *Connection) End() {
	intake := connection.intake
	intake.mutex.Lock()
	defer intake.mutex.Unlock()
	if intake.connections[connection.id] == nil {
		return
	}
	delete(intake.connections, connection.id)
	if held := connection.held; held > 0 {
		connection.hold(-held)
		intake.release(held)
	}
	if connection.closing {
		intake.closing--
	}
}
