package dbpool

import (
	"fmt"
	"maps"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
)

// Conn is a connection to a backend server that one user holds at a time.
type Conn struct {
	link         Link
	pool         *Pool
	organisation ids.OrganisationID
	// values holds the session values set on the connection.
	values map[string]string
	// prepared holds the names prepared on the connection.
	prepared map[string]bool
	// broken states that the connection must not be used again.
	broken bool
	idleAt time.Time
	// takenAt is the time from which on the connection is held.
	takenAt time.Time
	pending int
}

// Server returns the server that the connection leads to.
func (conn *Conn) Server() catalog.Server { return conn.pool.server }

// Align returns the calls that give the connection the session's values and the prepared statement, if any is named.
func (conn *Conn) Align(values map[string]string, name string, shape statement.Shape) []Call {
	var calls []Call
	if !covers(values, conn.values) {
		calls = append(calls, Call{Kind: statement.Reset})
		conn.values, conn.prepared = nil, nil
	}
	for key, value := range values {
		if held, ok := conn.values[key]; ok && held == value {
			continue
		}
		calls = append(calls, Call{Kind: statement.Set, Name: key, Value: value})
	}
	if len(calls) > 0 {
		conn.values = maps.Clone(values)
	}
	if name != "" && !conn.prepared[name] {
		calls = append(calls, Call{Kind: statement.Prepare, Name: name, Value: shape.Text})
		if conn.prepared == nil {
			conn.prepared = make(map[string]bool)
		}
		conn.prepared[name] = true
	}
	return calls
}

// covers states whether every key that is set has a wanted value, so that no Reset is needed.
func covers(wanted, held map[string]string) bool {
	for key := range held {
		if _, ok := wanted[key]; !ok {
			return false
		}
	}
	return true
}

// Send writes the calls of the connection's holder.
func (conn *Conn) Send(deadline time.Time, calls ...Call) error {
	if err := conn.link.Send(deadline, calls...); err != nil {
		conn.broken = true
		return fmt.Errorf("to %s: %w", conn.pool.server.ID, err)
	}
	conn.pending += len(calls)
	return nil
}

// settle reads the answers to the calls of Align; all must have succeeded.
func (conn *Conn) settle(deadline time.Time, count int) error {
	for range count {
		reply, err := conn.Receive(deadline)
		if err != nil {
			return err
		}
		if reply.Code != statement.Complete {
			conn.broken = true
			return fmt.Errorf("%s refused a session value: %s %s", conn.pool.server.ID, reply.Code, reply.Message)
		}
	}
	return nil
}

// Receive returns the answer to the oldest call. After an error the connection owes an answer and is not used again.
func (conn *Conn) Receive(deadline time.Time) (statement.Reply, error) {
	reply, err := conn.link.Receive(deadline)
	if err != nil {
		conn.broken = true
		return reply, fmt.Errorf("from %s: %w", conn.pool.server.ID, err)
	}
	conn.pending--
	return reply, nil
}

// Run sends the call behind those of Align and returns its answer.
func (conn *Conn) Run(deadline time.Time, prefix []Call, call Call) (statement.Reply, error) {
	if err := conn.Send(deadline, append(prefix, call)...); err != nil {
		return statement.Reply{}, err
	}
	if err := conn.settle(deadline, len(prefix)); err != nil {
		return statement.Reply{}, err
	}
	return conn.Receive(deadline)
}

// Status sends one control call and returns the state that the server answers with.
func (conn *Conn) Status(deadline time.Time, call Call) (leader.Status, statement.Code, error) {
	if err := conn.Send(deadline, call); err != nil {
		return leader.Status{}, 0, err
	}
	reply, err := conn.Receive(deadline)
	if err != nil || reply.Code != statement.Complete {
		return leader.Status{}, reply.Code, err
	}
	status, err := conn.link.Status(reply)
	if err != nil {
		return status, reply.Code, fmt.Errorf("status of %s: %w", conn.pool.server.ID, err)
	}
	return status, reply.Code, nil
}

// ForgetPrepared notes that the server no longer knows the names prepared on the connection.
func (conn *Conn) ForgetPrepared() { conn.prepared = nil }

// Break marks the connection as unusable.
func (conn *Conn) Break() { conn.broken = true }

// Release gives the connection back. A connection that is broken, owes an answer or is inside a transaction is closed.
func (conn *Conn) Release(state statement.State) {
	conn.pool.release(conn, !conn.broken && conn.pending == 0 && state == statement.Idle)
}
