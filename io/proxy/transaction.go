package proxy

import (
	"time"

	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// transaction is a transaction that a caller opened. It gets a connection with its first statement.
type transaction struct {
	operation
	readOnly bool
	// begun is the identifier of the caller's begin, under which a server is asked to begin.
	begun statement.RequestID
	// wrote states that a write of the transaction succeeded or may have.
	wrote bool
	// answered states that the caller got the answer to a statement of it.
	answered bool
	// ended is why the proxy rolled the transaction back; it is empty while it goes on.
	ended  refusal.Reason
	conn   *dbpool.Conn
	server *monitor.Server
	// after is the position that the server was asked for.
	after position.Position
	// touched is the time of the caller's last statement; idleLimit is how long it may be idle, 0 for ever.
	touched, idleLimit time.Duration
}

// begin opens a transaction for the caller.
func (session *session) begin(request statement.Request, arrived time.Duration) statement.Reply {
	if session.transaction != nil {
		return session.malformed(request, "a transaction is open")
	}
	operation, refused := session.admit(arrived)
	if refused != nil {
		return session.answer(request, refused, statement.Idle)
	}
	readOnly := request.Statement.Kind == statement.BeginReadOnly
	operation.writes, operation.reads = !readOnly, true
	session.transaction = &transaction{
		operation: operation, readOnly: readOnly, begun: request.ID, touched: arrived, idleLimit: session.server.Directory.Catalog().TransactionIdle,
	}
	session.state = statement.Open
	return statement.Reply{State: statement.Open}
}

// rollback ends the transaction and drops what it did.
func (session *session) rollback(request statement.Request) statement.Reply {
	transaction := session.transaction
	if transaction == nil {
		return session.malformed(request, "no transaction is open")
	}
	if transaction.conn != nil && !session.endOnServer(request, transaction) {
		session.abandon()
	}
	session.close()
	return statement.Reply{}
}

// rollbackTimeout bounds the wait for a server to roll back before its connection is closed instead.
const rollbackTimeout = 200 * time.Millisecond

// endOnServer rolls the transaction back and keeps the connection; false if that failed.
func (session *session) endOnServer(request statement.Request, transaction *transaction) bool {
	deadline := time.Now().Add(rollbackTimeout)
	sentAt := transaction.server.Begin()
	reply, err := transaction.conn.Run(deadline, nil, dbpool.Call{ID: request.ID, Kind: statement.Rollback})
	if err != nil {
		transaction.server.Failed(sentAt)
		return false
	}
	transaction.server.Answered(sentAt, reply, false)
	transaction.conn.Release(reply.State)
	transaction.conn = nil
	return true
}

// abandon closes the connection of an open transaction, which rolls it back.
func (session *session) abandon() {
	if session.transaction == nil || session.transaction.conn == nil {
		return
	}
	session.transaction.conn.Break()
	session.transaction.conn.Release(statement.Failed)
	session.transaction.conn = nil
}

// close forgets the transaction.
func (session *session) close() {
	session.transaction = nil
	session.state = statement.Idle
}

// abort rolls the transaction back after a statement of it failed; the caller is to end it.
func (session *session) abort(request statement.Request, refused *refused) statement.Reply {
	session.abandon()
	session.transaction.ended = refused.Reason
	session.state = statement.Failed
	refused.Refusal = refused.WithOutcome(refusal.RolledBack)
	reply := session.answer(request, refused, statement.Failed)
	if reply.Code != statement.KeyUnknown {
		reply.Code = statement.Aborted
	}
	return reply
}
