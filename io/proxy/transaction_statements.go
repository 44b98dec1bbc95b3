package proxy

import (
	"fmt"
	"time"

	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// runInTransaction runs a statement of the open transaction.
func (session *session) runInTransaction(request statement.Request, arrived time.Duration) statement.Reply {
	transaction := session.transaction
	transaction.lastActivity = arrived
	if transaction.endReason != "" {
		return session.abort(request, refuse(transaction.endReason, retrySoon, "the transaction was rolled back"))
	}
	writes, known := session.writes(request.Statement)
	if !known {
		return session.abort(request, refuse(refusal.ProtocolError, 0, "no such prepared statement"))
	}
	if refused := session.reauthorise(); refused != nil {
		return session.abort(request, refused)
	}
	attempts := &attempts{deadline: time.Now().Add(transaction.timeout())}
	reply, refused := session.runOrRestart(request, attempts)
	transaction.lastActivity = clock.Now()
	if refused != nil {
		return session.abort(request, refused)
	}
	if reply.Code != statement.Complete {
		return session.abort(request, refuse(refusal.BackendLost, retrySoon, reply.Code.String()+" "+reply.Message))
	}
	transaction.answered = true
	transaction.wrote = transaction.wrote || writes
	reply.State = statement.InTransaction
	return reply
}

// reauthorise checks that the key was not withdrawn since the transaction began. Changes of the route apply from the
// next transaction.
func (session *session) reauthorise() *refused {
	_, _, refused := session.authorise()
	if refused == nil || refused.Reason != refusal.KeyUnknown {
		return nil
	}
	return refuse(refusal.KeyWithdrawn, 0, refused.Note)
}

// runOrRestart runs a statement or the commit of the transaction and opens the transaction on a server first if needed. If
// the server is lost before the caller got an answer, the transaction is restarted on another server; without a commit
// it left no effect.
func (session *session) runOrRestart(request statement.Request, attempts *attempts) (statement.Reply, *refused) {
	transaction := session.transaction
	for {
		if refused := session.leaveClosedServer(); refused != nil {
			return statement.Reply{}, refused
		}
		if transaction.conn == nil {
			if refused := session.open(request, attempts); refused != nil {
				return statement.Reply{}, refused
			}
		}
		if refused := session.awaitColdServer(transaction.server, attempts); refused != nil {
			return statement.Reply{}, refused
		}
		if refused := transaction.takeSlot(attempts); refused != nil {
			return statement.Reply{}, refused
		}
		reply, err := session.exchange(request, attempts)
		switch {
		case err == nil && reply.Code == statement.Busy && reply.State == statement.InTransaction && attempts.pause():
			attempts.count++
			continue
		case err == nil && reply.Code == statement.UnknownStatement && reply.State == statement.InTransaction && attempts.used() < maxRetries:
			transaction.conn.ForgetPrepared()
			attempts.count++
			continue
		case err == nil && !reply.Code.NotRun():
			return reply, nil
		case lacksSlot(err):
			return statement.Reply{}, refuseSlot(err)
		case err != nil && request.Statement.Kind == statement.Commit && !isNotRun(err):
			return statement.Reply{}, session.lostCommitRefusal(err)
		}
		lost := transaction.server
		session.closeConnection()
		if transaction.answered || attempts.used() >= maxRetries || !time.Now().Before(attempts.deadline) {
			return reply, refuse(refusal.BackendLost, retrySoon, describeFailure(lost, reply, err))
		}
		attempts.count++
		session.server.retries.Inc(1)
		attempts.exclude(lost)
	}
}

// awaitColdServer waits until a statement may be sent to the server of the transaction if that is cold.
func (session *session) awaitColdServer(server *monitor.Server, attempts *attempts) *refused {
	for !session.server.admitsTo(server) {
		if !attempts.pause() {
			return refuseCold(server)
		}
	}
	return nil
}

// leaveClosedServer ends the transaction on its server if nothing may be sent there any more. It returns a refusal unless the transaction can
// start again elsewhere, as the caller has had no answer yet.
func (session *session) leaveClosedServer() *refused {
	transaction := session.transaction
	if transaction.conn == nil || !transaction.server.Closed() {
		return nil
	}
	session.closeConnection()
	if !transaction.answered {
		return nil
	}
	return refuse(refusal.ZoneEvacuated, retrySoon, fmt.Sprintf("the transaction was open on %s, in an evacuated zone", transaction.server.ID()))
}

func describeFailure(server *monitor.Server, reply statement.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return string(server.ID()) + ": " + reply.Code.String() + " " + reply.Message
}

// lostCommitRefusal returns the refusal for a commit that got no answer. The outcome is unknown only if the transaction
// wrote something and the commit may have reached its server.
func (session *session) lostCommitRefusal(err error) *refused {
	if session.transaction.wrote && !isNotRun(err) {
		return refuse(refusal.OutcomeUnknown, 0, err.Error())
	}
	return refuse(refusal.BackendLost, retrySoon, err.Error())
}

// open begins the transaction on a server.
func (session *session) open(request statement.Request, attempts *attempts) *refused {
	transaction := session.transaction
	for {
		target, refused := session.acquire(&transaction.operation, attempts)
		if refused != nil {
			return refused
		}
		call := dbpool.Call{ID: transaction.beginID, Kind: statement.Begin, MinPosition: target.after}
		if transaction.readOnly {
			call.Kind = statement.BeginReadOnly
		}
		prefix := target.conn.SyncSession(session.names.values, "", statement.Prepared{})
		sentAt := target.server.Begin()
		reply, err := target.conn.Run(attempts.deadline, prefix, call)
		if err == nil && reply.Code == statement.Complete {
			target.server.Answered(sentAt, reply, false)
			transaction.conn, transaction.server, transaction.after = target.conn, target.server, target.after
			return nil
		}
		if isNotRun(err) {
			if refused := session.handleNotRun(&transaction.operation, attempts, target, err); refused != nil {
				return refused
			}
		} else if err != nil {
			recordLoss(target.server, sentAt, err)
			target.conn.Release(statement.FailedTransaction)
			attempts.exclude(target.server)
		} else {
			target.server.Answered(sentAt, reply, false)
			target.conn.Release(reply.State)
			if !session.prepareRetry(request, &transaction.operation, attempts, target, reply) {
				return refuse(refusal.QueueTimeout, retrySoon, fmt.Sprintf("%s had no free slot %d times", target.server.ID(), attempts.busy))
			}
		}
		session.server.retries.Inc(1)
		if attempts.count++; attempts.used() > maxRetries {
			return refuse(refusal.BackendLost, retrySoon, describeFailure(target.server, reply, err))
		}
	}
}

// takeSlot waits until the server of the transaction may run its next statement.
func (transaction *transaction) takeSlot(attempts *attempts) *refused {
	if !transaction.conn.NeedsSlot() {
		return nil
	}
	ctx, cancel := transaction.acquireContext(attempts)
	defer cancel()
	if err := transaction.conn.Admit(ctx, transaction.poolRequest()); err != nil {
		return refuseSlot(err)
	}
	return nil
}

// exchange sends one statement of the transaction to its server.
func (session *session) exchange(request statement.Request, attempts *attempts) (statement.Reply, error) {
	transaction := session.transaction
	call, name, prepared := session.call(request)
	session.routing = routing{
		server: transaction.server.ID(), group: transaction.route.Group, required: transaction.after, attempts: attempts.count + 1, connection: transaction.conn.Number(),
	}
	prefix := transaction.conn.SyncSession(session.names.values, name, prepared)
	sentAt := transaction.server.Begin()
	deadline := attempts.deadline
	if request.Statement.Kind != statement.Commit {
		// Until its commit a transaction has no effect and can be restarted.
		deadline = earlier(deadline, time.Now().Add(attemptTimeout(transaction.server)))
	}
	reply, err := transaction.conn.Run(deadline, prefix, call)
	if err != nil {
		recordLoss(transaction.server, sentAt, err)
		session.server.EventLog.LimitedEvent("answer_lost", "request", request.ID, "server", transaction.server.ID(),
			"connection", session.routing.connection, "organisation", session.organisation, "waited_ms", (clock.Now() - sentAt).Milliseconds(), "kind", request.Statement.Kind,
			"wrote", transaction.wrote, "err", err)
		return reply, err
	}
	transaction.server.Answered(sentAt, reply, reply.Code == statement.Complete)
	return reply, nil
}

// commit commits the transaction.
func (session *session) commit(request statement.Request, arrived time.Duration) statement.Reply {
	transaction := session.transaction
	if transaction == nil {
		return session.malformed(request, "no transaction is open")
	}
	defer session.close()
	if transaction.endReason != "" {
		return session.answerRolledBack(request, refuse(transaction.endReason, retrySoon, "the transaction was rolled back"))
	}
	if refused := session.reauthorise(); refused != nil {
		return session.answerRolledBack(request, refused)
	}
	transaction.lastActivity = arrived
	attempts := &attempts{deadline: time.Now().Add(transaction.timeout())}
	reply, refused := session.runOrRestart(request, attempts)
	if refused != nil {
		if refused.Reason != refusal.OutcomeUnknown {
			return session.answerRolledBack(request, refused)
		}
		session.closeConnection()
		return session.refusalReply(request, refused, statement.Idle)
	}
	if reply.State != statement.Idle {
		transaction.conn.Break()
	}
	transaction.conn.Release(reply.State)
	transaction.conn = nil
	if reply.Code == statement.Complete && transaction.wrote {
		if refused := session.acknowledge(transaction.server, attempts.deadline, reply.Position); refused != nil {
			return session.refusalReply(request, refused, statement.Idle)
		}
	}
	reply.State = statement.Idle
	return reply
}

// answerRolledBack answers a commit whose transaction was rolled back.
func (session *session) answerRolledBack(request statement.Request, refused *refused) statement.Reply {
	reply := session.abort(request, refused)
	reply.State = statement.Idle
	return reply
}
