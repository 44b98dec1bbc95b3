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
	// serverCheckInterval is the interval at which a session that waits for an answer checks the state of the server.
	serverCheckInterval = 250 * time.Millisecond
	// unresponsiveTimeout bounds the wait for a server that does not answer status requests and has not been replaced.
	unresponsiveTimeout = 10 * time.Second
)

// errStopped ends the wait for a server because the session has to end.
var errStopped = errors.New("the grace period is over")

func isTimeout(err error) bool {
	var timeout net.Error
	return err != nil && errors.As(err, &timeout) && timeout.Timeout()
}

// receive returns the next message of the answer. Notices and ParameterStatus messages are forwarded to the caller.
func (session *Session) receive() (wire.Frame, error) {
	for {
		frame, err := session.receiveAny()
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

// receiveAny returns the next message of any type but notifications, which are dropped because LISTEN is not supported.
func (session *Session) receiveAny() (wire.Frame, error) {
	waited := time.Duration(0)
	for {
		frame, err := session.backend.Next(serverCheckInterval)
		if isTimeout(err) {
			waited += serverCheckInterval
			if err = session.checkServer(); err == nil && waited >= unresponsiveTimeout && !session.serverReachable() {
				err = fmt.Errorf("%s has not answered for %v", session.backend.Server(), waited)
			}
			if err == nil {
				continue
			}
			session.answer.unresponsive = true
		}
		if err != nil {
			return nil, err
		}
		if frame.Type() != wire.NotificationResponse {
			return frame, nil
		}
	}
}

// checkServer returns an error if the session should no longer wait for the server.
func (session *Session) checkServer() error {
	if session.signals.Load()&signalStop != 0 {
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

// serverReachable reports whether the server of the connection answers status requests.
func (session *Session) serverReachable() bool {
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

// sqlStateFailed is the SQLSTATE in_failed_sql_transaction.
const sqlStateFailed = "25P02"

// runAborted answers a request within a transaction that the proxy rolled back. As on a server, a statement that ends the
// transaction succeeds as a rollback and all others fail.
func (session *Session) runAborted() error {
	if refused := session.admit(); refused != nil && (endsConnection(refused.Reason) || refused.Reason == refusal.Unsupported) {
		return session.refuse(refused)
	}
	request := &session.request
	if request.simple {
		if request.class.endsTransaction && request.class.statements == 1 {
			session.finishAborted()
		} else {
			session.failAborted()
		}
		session.scratch.out = wire.AppendReady(session.scratch.out, session.txStatus)
		return nil
	}
	for index := range session.scratch.ops {
		if !session.runAbortedMessage(&session.scratch.ops[index]) {
			session.revertStatements(index)
			session.failAborted()
			session.skipping = !request.answersReady()
			break
		}
	}
	if request.answersReady() {
		session.scratch.out = wire.AppendReady(session.scratch.out, session.txStatus)
	}
	return nil
}

// runAbortedMessage answers one message of a batch. It returns false if the message fails.
func (session *Session) runAbortedMessage(op *op) bool {
	scratch := session.scratch
	if op.kind == wire.Close {
		scratch.out = wire.AppendEmpty(scratch.out, wire.CloseComplete)
		return true
	}
	if op.statement == nil || op.duplicate || !op.statement.class.endsTransaction || op.statement.class.statements != 1 {
		return false
	}
	switch op.kind {
	case wire.Parse:
		scratch.out = wire.AppendEmpty(scratch.out, wire.ParseComplete)
	case wire.Bind:
		scratch.out = wire.AppendEmpty(scratch.out, wire.BindComplete)
	case wire.Describe:
		if op.objectType == 'S' {
			scratch.out, _ = (&pgproto3.ParameterDescription{}).Encode(scratch.out)
		}
		scratch.out = wire.AppendEmpty(scratch.out, wire.NoData)
	case wire.Execute:
		session.finishAborted()
	}
	return true
}

func (session *Session) finishAborted() {
	session.aborted, session.txStatus = false, wire.Idle
	clear(session.portals)
	session.scratch.out, _ = (&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}).Encode(session.scratch.out)
}

func (session *Session) failAborted() {
	session.scratch.out, _ = (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlStateFailed,
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}).Encode(session.scratch.out)
}
