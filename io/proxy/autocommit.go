package proxy

import (
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

const (
	// minAttemptTimeout is the shortest time to wait for the answer to a read before another server is tried.
	minAttemptTimeout = 150 * time.Millisecond
	// latencyFactor is the number of expected latencies to wait for the answer to a read.
	latencyFactor = 6
	// maxRetries bounds the servers that one statement tries after the first.
	maxRetries = 5
	// notPrimaryPause is the pause before a statement is retried after its server turned out not to be the primary.
	notPrimaryPause = 15 * time.Millisecond
)

// runAutocommit runs a statement outside of a transaction.
func (session *session) runAutocommit(request statement.Request, arrived time.Duration) statement.Reply {
	writes, known := session.writes(request.Statement)
	if !known {
		return statement.Reply{Code: statement.UnknownStatement, Message: "no such prepared statement"}
	}
	operation, refused := session.admit(arrived)
	if refused != nil {
		return session.refusalReply(request, refused, statement.Idle)
	}
	operation.writes, operation.reads = writes, !writes
	attempts := &attempts{deadline: time.Now().Add(operation.timeout())}
	for {
		reply, retry, refused := session.attempt(request, &operation, attempts)
		switch {
		case refused != nil:
			return session.refusalReply(request, refused, statement.Idle)
		case !retry:
			reply.State = statement.Idle
			return reply
		}
		session.server.retries.Inc(1)
		if attempts.count++; attempts.used() > maxRetries {
			return session.refusalReply(request, attempts.exhausted(reply.Code), statement.Idle)
		}
	}
}

// attempt sends the statement to one server. It returns true if the statement may be retried.
func (session *session) attempt(request statement.Request, operation *operation, attempts *attempts) (statement.Reply, bool, *refused) {
	target, refused := session.acquire(operation, attempts)
	if refused != nil {
		return statement.Reply{}, false, refused
	}
	call, name, prepared := session.call(request)
	call.MinPosition = target.after
	session.routing = routing{
		server: target.server.ID(), group: operation.route.Group, required: target.after, attempts: attempts.count + 1, connection: target.conn.Number(),
	}
	prefix := target.conn.SyncSession(session.names.values, name, prepared)
	sentAt := target.server.Begin()
	deadline := attempts.deadline
	if !operation.writes {
		deadline = earlier(deadline, time.Now().Add(attemptTimeout(target.server)))
	}
	reply, err := target.conn.Run(deadline, prefix, call)
	attempts.unusable = nil
	if isNotRun(err) {
		if errors.Is(err, dbpool.ErrUnusable) {
			attempts.unusable = err
		}
		refused := session.handleNotRun(operation, attempts, target, err)
		return statement.Reply{}, refused == nil, refused
	}
	if err != nil {
		return session.handleLostAnswer(request, operation, attempts, target, sentAt, err)
	}
	target.server.Answered(sentAt, reply, reply.Code == statement.Complete)
	if reply.Code == statement.UnknownStatement {
		target.conn.ForgetPrepared()
	}
	target.conn.Release(reply.State)
	switch {
	case reply.Code == statement.Complete:
		if operation.writes {
			return reply, false, session.acknowledge(target.server, attempts.deadline, reply.Position)
		}
		return reply, false, nil
	case reply.Code.NotRun():
		if !session.prepareRetry(request, operation, attempts, target, reply) {
			return reply, false, refuse(refusal.QueueTimeout, retrySoon, fmt.Sprintf("%s had no free slot %d times", target.server.ID(), attempts.busy))
		}
		return reply, true, nil
	case !operation.writes && attempts.count == 0:
		// A read that failed on one server may succeed on another.
		attempts.exclude(target.server)
		return reply, true, nil
	}
	return reply, false, nil
}

// attemptTimeout returns how long to wait for the answer to a repeatable statement. An answer that has not arrived by
// then is treated as lost; merely slow answers arrive earlier.
func attemptTimeout(server *monitor.Server) time.Duration {
	return max(minAttemptTimeout, latencyFactor*server.ExpectedLatency())
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// prepareRetry prepares the next attempt after a server reported that it did not run the statement. It returns false if
// too little time is left for one.
func (session *session) prepareRetry(request statement.Request, operation *operation, attempts *attempts, target target, reply statement.Reply) bool {
	_, after := target.after.Parts()
	session.server.EventLog.LimitedEvent("turned_away", "request", request.ID, "server", target.server.ID(),
		"connection", target.conn.Number(), "code", reply.Code,
		"position", after.Log, "server_position", reply.Position.Log, "attempt", attempts.count)
	switch reply.Code {
	case statement.Busy:
		if !operation.primaryOnly() {
			attempts.exclude(target.server)
		}
		return attempts.pause()
	case statement.ReadOnly:
		target.server.PollNow()
		time.Sleep(notPrimaryPause)
	default:
		attempts.exclude(target.server)
	}
	return true
}

// handleLostAnswer decides what to do when a server did not answer. A write may have taken effect, so it is not retried.
func (session *session) handleLostAnswer(request statement.Request, operation *operation, attempts *attempts, target target, sentAt time.Duration, err error) (statement.Reply, bool, *refused) {
	recordLoss(target.server, sentAt, err)
	target.conn.Release(statement.FailedTransaction)
	session.server.EventLog.LimitedEvent("answer_lost", "request", request.ID, "server", target.server.ID(),
		"connection", target.conn.Number(), "organisation", session.organisation, "waited_ms", (clock.Now() - sentAt).Milliseconds(), "writes", operation.writes, "attempt", attempts.count, "err", err)
	if operation.writes {
		return statement.Reply{}, false, refuse(refusal.OutcomeUnknown, 0, err.Error())
	}
	if !time.Now().Before(attempts.deadline) {
		return statement.Reply{}, false, refuse(refusal.BackendLost, retrySoon, err.Error())
	}
	if !errors.Is(err, dbpool.ErrHomeLost) {
		attempts.exclude(target.server)
	}
	return statement.Reply{}, true, nil
}
