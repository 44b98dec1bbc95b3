package session

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/core/refusal"
	"dotterelgw/io/backend/wire"
)

const (
	// tickInterval is the interval at which a session that waits for a server checks that waiting still makes sense.
	tickInterval = 250 * time.Millisecond
	// silence is the longest wait for a server that does not answer status requests and has no successor.
	silence = 10 * time.Second
)

// errStopped ends the wait for a server because the session is to end.
var errStopped = errors.New("the grace period is over")

func isTimeout(err error) bool {
	var timeout net.Error
	return err != nil && errors.As(err, &timeout) && timeout.Timeout()
}

// receive returns the next message that belongs to the answer; notices and settings are forwarded at once.
func (session *Session) receive() (wire.Frame, error) {
	for {
		frame, err := session.receiveOwn()
		if err != nil {
			return nil, err
		}
		switch frame.Type() {
		case wire.NoticeResponse:
			session.emit(frame)
		case wire.ParameterStatus:
			session.emit(frame)
			if !session.answer.unpin {
				session.pin()
			}
		default:
			return frame, nil
		}
	}
}

// receiveOwn returns the next message. Notifications are dropped: LISTEN is not offered.
func (session *Session) receiveOwn() (wire.Frame, error) {
	waited := time.Duration(0)
	for {
		frame, err := session.backend.Next(tickInterval)
		if isTimeout(err) {
			waited += tickInterval
			if err = session.tick(); err == nil && waited >= silence && !session.reachable() {
				err = fmt.Errorf("%s has not answered for %v", session.backend.Server(), waited)
			}
			if err == nil {
				continue
			}
			session.answer.silent = true
		}
		if err != nil {
			return nil, err
		}
		if frame.Type() != wire.NotificationResponse {
			return frame, nil
		}
	}
}

// tick states whether it makes sense to wait on for the server.
func (session *Session) tick() error {
	if session.stop.Load()&stopNow != 0 {
		return errStopped
	}
	view := session.server.Groups.View(session.route.Group)
	if view == nil {
		return nil
	}
	for index := range view.Servers {
		if view.Servers[index].ID != session.backend.Server() {
			continue
		}
		if session.primary && view.Primary >= 0 && view.Primary != index {
			return fmt.Errorf("%s is no longer the primary", view.Servers[index].ID)
		}
		if !session.primary && !view.Servers[index].Reachable {
			return fmt.Errorf("%s does not answer", view.Servers[index].ID)
		}
		return nil
	}
	return fmt.Errorf("%s has left the group", session.backend.Server())
}

func (session *Session) reachable() bool {
	view := session.server.Groups.View(session.route.Group)
	if view == nil {
		return false
	}
	for index := range view.Servers {
		if view.Servers[index].ID == session.backend.Server() {
			return view.Servers[index].Reachable
		}
	}
	return false
}

// sqlStateFailed is in_failed_sql_transaction.
const sqlStateFailed = "25P02"

// runAborted answers a request of a transaction that the proxy rolled back: the end of the transaction succeeds as a
// rollback, everything else fails, as on a server.
func (session *Session) runAborted() error {
	if refused := session.admit(); refused != nil && (ends(refused.Reason) || refused.Reason == refusal.Unsupported) {
		return session.refuse(refused)
	}
	request := &session.request
	if request.simple {
		if request.class.mayEnd && request.class.statements == 1 {
			session.finishAborted()
		} else {
			session.failAborted()
		}
		session.scratch.out = wire.AppendReady(session.scratch.out, session.tx)
		return nil
	}
	for index := range session.scratch.ops {
		if !session.stepAborted(&session.scratch.ops[index]) {
			session.undo(index)
			session.failAborted()
			session.skipping = !request.sync
			break
		}
	}
	if request.sync {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.tx)
	}
	return nil
}

// stepAborted answers one message of a batch; it returns false when the message fails.
func (session *Session) stepAborted(op *op) bool {
	scratch := session.scratch
	if op.kind == wire.Close {
		scratch.out = wire.AppendEmpty(scratch.out, wire.CloseComplete)
		return true
	}
	if op.statement == nil || op.duplicate || !op.statement.class.mayEnd || op.statement.class.statements != 1 {
		return false
	}
	switch op.kind {
	case wire.Parse:
		scratch.out = wire.AppendEmpty(scratch.out, wire.ParseComplete)
	case wire.Bind:
		scratch.out = wire.AppendEmpty(scratch.out, wire.BindComplete)
	case wire.Describe:
		if op.object == 'S' {
			scratch.out, _ = (&pgproto3.ParameterDescription{}).Encode(scratch.out)
		}
		scratch.out = wire.AppendEmpty(scratch.out, wire.NoData)
	case wire.Execute:
		session.finishAborted()
	}
	return true
}

func (session *Session) finishAborted() {
	session.aborted, session.tx = false, wire.Idle
	clear(session.portals)
	session.scratch.out, _ = (&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}).Encode(session.scratch.out)
}

func (session *Session) failAborted() {
	session.scratch.out, _ = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlStateFailed,
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}).Encode(session.scratch.out)
}
