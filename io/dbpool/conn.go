package dbpool

import (
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"time"

	"dotterelgw/core/answer"
	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/statement"
)

// Conn is a connection to a backend server. It has one user at a time.
type Conn struct {
	link         Link
	pool         *Pool
	organisation ids.OrganisationID
	// values holds the session values set on the connection.
	values map[string]string
	// prepared holds the hashes of the shapes that were prepared on the connection, by name. VMs of another build that hand statements
	// over may give other names to the same shapes, and the same name to others.
	prepared map[string]uint64
	// broken reports whether the connection must not be reused.
	broken bool
	idleAt time.Time
	// acquiredAt is the time from which the hold time of the connection counts.
	acquiredAt time.Time
	unanswered sentCalls
	// answers checks the answers against their calls; nil on a link whose answers are matched by identifiers.
	answers *answer.Tracker
	// slot is the right to run a statement under a schedule, nil if there is none.
	slot *slot
	// number tells the connections to servers of this process apart in logs; 0 if another VM holds the connection.
	number int64
}

// Server returns the server at the other end of the connection.
func (conn *Conn) Server() catalog.Server { return conn.pool.server }

// Number returns the number of the connection in the logs of this process, 0 if another VM holds the connection.
func (conn *Conn) Number() int64 { return conn.number }

// SyncSession returns the calls that set the session's values on the connection and prepare the named statement, if any.
// It assumes that the calls succeed, see Run.
func (conn *Conn) SyncSession(values map[string]string, name string, prepared statement.Prepared) []Call {
	var calls []Call
	shape := maphash.String(shapeSeed, prepared.Text)
	held, known := conn.prepared[name]
	if !covers(values, conn.values) || known && held != shape {
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
	if _, known := conn.prepared[name]; name != "" && !known {
		calls = append(calls, Call{Kind: statement.Prepare, Name: name, Value: prepared.Text})
		if conn.prepared == nil {
			conn.prepared = make(map[string]uint64)
		}
		conn.prepared[name] = shape
	}
	return calls
}

// shapeSeed seeds the hashes of shapes. Callers that know it could choose shapes of the same hash.
var shapeSeed = maphash.MakeSeed()

// covers reports whether every key that is held is also wanted, so that no Reset is needed.
func covers(wanted, held map[string]string) bool {
	for key := range held {
		if _, ok := wanted[key]; !ok {
			return false
		}
	}
	return true
}

// Send writes the calls. It returns a *NotRunError if the connection turns out to be unusable before, or if a call requires a position of
// another group than that of the server.
func (conn *Conn) Send(deadline time.Time, calls ...Call) error {
	for _, call := range calls {
		if _, err := call.MinPosition.Of(conn.pool.server.Group); err != nil {
			return &NotRunError{Cause: fmt.Errorf("%s: %w", conn.pool.server.ID, err)}
		}
	}
	if err := conn.checkQuiet(); err != nil {
		conn.broken = true
		return err
	}
	if err := conn.link.Send(deadline, calls...); err != nil {
		conn.broken = true
		return fmt.Errorf("sending to %s: %w", conn.pool.server.ID, err)
	}
	conn.unanswered.add(calls)
	return nil
}

// readSetupReplies reads the answers to the calls of SyncSession, all of which must have succeeded.
func (conn *Conn) readSetupReplies(deadline time.Time, count int) error {
	for range count {
		reply, err := conn.Receive(deadline)
		if err != nil {
			return err
		}
		if reply.Code != statement.Complete {
			conn.broken = true
			conn.pool.awaitsSetUp.Store(true)
			return fmt.Errorf("%s: %w: %s %s", conn.pool.server.ID, ErrSetUpRefused, reply.Code, reply.Message)
		}
	}
	return nil
}

// Receive returns the answer to the oldest unanswered call. It passes over second answers to earlier calls that their signature shows as such.
// After an error an answer is outstanding and the connection must not be reused.
func (conn *Conn) Receive(deadline time.Time) (statement.Reply, error) {
	for {
		reply, err := conn.link.Receive(deadline)
		if err != nil {
			conn.broken = true
			return reply, fmt.Errorf("receiving from %s: %w", conn.pool.server.ID, err)
		}
		matched, err := conn.matchAnswer(reply)
		if errors.Is(err, errRepeated) {
			continue
		}
		conn.broken = conn.broken || err != nil
		return matched, err
	}
}

// ErrSetUpRefused reports that a server refused a call that sets up the session.
var ErrSetUpRefused = errors.New("the server refused to set up the session")

// Run sends the prefix, which are the calls of SyncSession, followed by the call, and returns the answer to the call. They leave together,
// unless the server has refused a call of a prefix before: then the call follows once the session is set up. It frees the
// slot of the connection. Outside of a transaction that is left to Release: another statement that got the slot now would find the
// connection in use, and open one.
func (conn *Conn) Run(deadline time.Time, prefix []Call, call Call) (statement.Reply, error) {
	reply, err := conn.run(deadline, prefix, call)
	if conn.slot != nil {
		conn.slot.ended = err == nil && reply.Code == statement.Complete
	}
	if err != nil || reply.State != statement.Idle {
		conn.freeSlot()
	}
	return reply, err
}

func (conn *Conn) run(deadline time.Time, prefix []Call, call Call) (statement.Reply, error) {
	if len(prefix) > 0 && conn.pool.awaitsSetUp.Load() {
		if err := conn.setUp(deadline, prefix); err != nil {
			return statement.Reply{}, &NotRunError{Cause: err}
		}
		prefix = nil
	}
	calls := append(prefix, call)
	confirming := conn.answers != nil && conn.answers.Failed()
	if confirming {
		calls = append(calls, confirmation)
	}
	if err := conn.Send(deadline, calls...); err != nil {
		return statement.Reply{}, err
	}
	if err := conn.readSetupReplies(deadline, len(prefix)); err != nil {
		return statement.Reply{}, err
	}
	if confirming {
		return conn.receiveConfirmed(deadline)
	}
	return conn.Receive(deadline)
}

// setUp sends the calls of SyncSession and awaits their answers.
func (conn *Conn) setUp(deadline time.Time, prefix []Call) error {
	if err := conn.Send(deadline, prefix...); err != nil {
		return err
	}
	return conn.readSetupReplies(deadline, len(prefix))
}

// receiveConfirmed returns the answer to a call that the confirmation follows. In a failed transaction nothing confirms an error; it ends with
// its connection, so that nothing of it is kept whatever the call did.
func (conn *Conn) receiveConfirmed(deadline time.Time) (statement.Reply, error) {
	conn.answers.SetConfirming(true)
	reply, err := conn.Receive(deadline)
	conn.answers.SetConfirming(false)
	if err != nil {
		return statement.Reply{}, err
	}
	if reply.State == statement.FailedTransaction {
		conn.broken = true
		return reply, nil
	}
	if _, err := conn.Receive(deadline); err != nil {
		return statement.Reply{}, err
	}
	return reply, nil
}

// Status sends one control call and returns the server's state from its answer. States don't show to which question they belong, so a call
// without a row follows: a second answer to an earlier question shifts the others, and its row is taken for the answer to that call.
func (conn *Conn) Status(deadline time.Time, call Call) (leader.Status, statement.Code, error) {
	conn.values, conn.prepared = nil, nil
	if err := conn.Send(deadline, call, Call{Kind: statement.Reset}); err != nil {
		return leader.Status{}, 0, err
	}
	reply, err := conn.receiveStatus(deadline)
	if err != nil || reply.Code != statement.Complete {
		return leader.Status{}, reply.Code, err
	}
	status, err := conn.link.Status(reply)
	if err != nil {
		return status, reply.Code, fmt.Errorf("status of %s: %w", conn.pool.server.ID, err)
	}
	return status, reply.Code, nil
}

// receiveStatus returns the answer to a control call that a Reset follows.
func (conn *Conn) receiveStatus(deadline time.Time) (statement.Reply, error) {
	if conn.answers != nil {
		return conn.receiveConfirmed(deadline)
	}
	reply, err := conn.Receive(deadline)
	if err != nil {
		return statement.Reply{}, err
	}
	return reply, conn.readSetupReplies(deadline, 1)
}

// ForgetPrepared records that the server lost the statements prepared on the connection.
func (conn *Conn) ForgetPrepared() { conn.prepared = nil }

// Break marks the connection as unusable.
func (conn *Conn) Break() { conn.broken = true }

// Release returns the connection to the pool. A connection that is broken, has an answer outstanding or is inside a
// transaction is closed, and one that has reported an error if the server is known to answer twice.
func (conn *Conn) Release(state statement.TransactionState) {
	doubtful := conn.answers != nil && conn.answers.Failed() && conn.pool.answersTwice.Load()
	conn.pool.release(conn, !conn.broken && !doubtful && conn.unanswered.len() == 0 && state == statement.Idle)
}
