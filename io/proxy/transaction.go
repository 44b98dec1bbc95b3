package proxy

import (
	"time"

	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// transaction is a transaction opened by a caller. It acquires a connection with its first statement.
type transaction struct {
	operation
	readOnly bool
	// beginID is the identifier of the caller's begin request. It is reused when the transaction is begun on a server.
	beginID statement.RequestID
	// wrote reports whether the transaction executed a write.
	wrote bool
	// answered reports whether the caller has received the answer to a statement of the transaction.
	answered bool
	// endReason is why the proxy rolled the transaction back; empty while it is open.
	endReason refusal.Reason
	conn      *dbpool.Conn
	server    *monitor.Server
	// after is the position that the server's log was required to have reached.
	after position.GroupPosition
	// lastActivity is the time of the caller's last statement. idleLimit bounds the idle time; 0 means no limit.
	lastActivity, idleLimit time.Duration
}

// closesAt returns the time at which the server of the transaction is closed for an evacuation, false if it isn't.
func (transaction *transaction) closesAt() (time.Duration, bool) {
	if transaction.conn == nil {
		return 0, false
	}
	return transaction.server.ClosesAt()
}

// begin opens a transaction for the caller.
func (session *session) begin(request statement.Request, arrived time.Duration) statement.Reply {
	if session.transaction != nil {
		return session.malformed(request, "a transaction is open")
	}
	operation, refused := session.admit(arrived)
	if refused != nil {
		return session.refuseBegin(request, refused)
	}
	readOnly := request.Statement.Kind == statement.BeginReadOnly
	operation.writes, operation.reads = !readOnly, true
	session.transaction = &transaction{
		operation: operation, readOnly: readOnly, beginID: request.ID, lastActivity: arrived, idleLimit: session.server.Directory.Catalog().TransactionIdleTimeout,
	}
	if err := session.keep(session.names.size); err != nil {
		session.transaction = nil
		return session.refuseBegin(request, refuse(refusal.MemoryShort, retrySoon, err.Error()))
	}
	session.state = statement.InTransaction
	return statement.Reply{State: statement.InTransaction}
}

// refuseBegin refuses to open a transaction. If the caller has sent statements of it ahead, the session enters a failed transaction:
// outside of a transaction they would run and be kept.
func (session *session) refuseBegin(request statement.Request, refused *refused) statement.Reply {
	if session.caller.Pending() {
		session.transaction = &transaction{}
		session.failTransaction(refused.Reason)
	}
	return session.refusalReply(request, refused, session.state)
}

// rollback rolls the transaction back on its server, or closes its connection if that fails.
func (session *session) rollback(request statement.Request) statement.Reply {
	transaction := session.transaction
	if transaction == nil {
		return session.malformed(request, "no transaction is open")
	}
	if transaction.conn != nil && (transaction.server.Closed() || !session.rollBackOnServer(request, transaction)) {
		session.closeConnection()
	}
	session.close()
	return statement.Reply{}
}

// rollbackTimeout bounds the wait for a server to roll back; after it the connection is closed instead.
const rollbackTimeout = 200 * time.Millisecond

// rollBackOnServer rolls the transaction back and releases its connection. It returns false on failure.
func (session *session) rollBackOnServer(request statement.Request, transaction *transaction) bool {
	deadline := time.Now().Add(rollbackTimeout)
	sentAt := transaction.server.Begin()
	reply, err := transaction.conn.Run(deadline, nil, dbpool.Call{ID: request.ID, Kind: statement.Rollback})
	if err != nil {
		recordLoss(transaction.server, sentAt, err)
		return false
	}
	transaction.server.Answered(sentAt, reply, false)
	transaction.conn.Release(reply.State)
	transaction.conn = nil
	return true
}

// closeConnection closes the connection of the open transaction, which rolls it back.
func (session *session) closeConnection() {
	if session.transaction == nil || session.transaction.conn == nil {
		return
	}
	session.transaction.conn.Break()
	session.transaction.conn.Release(statement.FailedTransaction)
	session.transaction.conn = nil
}

// close clears the transaction. Its connection is still there only after a fault in the code, and is closed.
func (session *session) close() {
	session.closeConnection()
	session.transaction = nil
	session.state = statement.Idle
	// Giving memory back does not fail.
	_ = session.keep(session.names.size)
}

// failTransaction rolls the transaction back. The caller still has to end it.
func (session *session) failTransaction(reason refusal.Reason) {
	session.closeConnection()
	session.transaction.endReason = reason
	session.state = statement.FailedTransaction
}

// abort rolls the transaction back after one of its statements failed. The caller still has to end it.
func (session *session) abort(request statement.Request, refused *refused) statement.Reply {
	session.failTransaction(refused.Reason)
	refused.Refusal = refused.WithOutcome(refusal.RolledBack)
	reply := session.refusalReply(request, refused, statement.FailedTransaction)
	if reply.Code != statement.KeyUnknown {
		reply.Code = statement.Aborted
	}
	return reply
}
