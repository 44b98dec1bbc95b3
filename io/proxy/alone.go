package proxy

import (
	"fmt"
	"time"

	"dotterelgw/core/refusal"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/monitor"
)

const (
	// leastAttempt is the least time for which an answer to a read is awaited before another server is asked.
	leastAttempt = 150 * time.Millisecond
	// latencyFactor is the number of usual latencies for which an answer to a read is awaited.
	latencyFactor = 6
	// maxAttempts bounds the servers that one statement tries after the first.
	maxAttempts = 5
	// promotedPause is the pause before a statement is sent again after its server was found not to be the primary.
	promotedPause = 15 * time.Millisecond
)

// runAlone runs a statement outside of a transaction.
func (session *session) runAlone(request statement.Request, arrived time.Duration) statement.Reply {
	writes, known := session.writes(request.Statement)
	if !known {
		return statement.Reply{Code: statement.UnknownStatement, Message: "no such prepared statement"}
	}
	operation, refused := session.admit(arrived)
	if refused != nil {
		return session.answer(request, refused, statement.Idle)
	}
	operation.writes, operation.reads = writes, !writes
	attempts := &attempts{deadline: time.Now().Add(operation.timeout())}
	for {
		reply, again, refused := session.attempt(request, &operation, attempts)
		switch {
		case refused != nil:
			return session.answer(request, refused, statement.Idle)
		case !again:
			reply.State = statement.Idle
			return reply
		}
		session.server.retries.Inc(1)
		if attempts.count++; attempts.used() > maxAttempts {
			return session.answer(request, refuse(refusal.QueueTimeout, retrySoon, fmt.Sprintf("%d attempts, last %s", attempts.count, reply.Code)), statement.Idle)
		}
	}
}

// attempt sends the statement to one server. It returns true if the statement may be sent again.
func (session *session) attempt(request statement.Request, operation *operation, attempts *attempts) (statement.Reply, bool, *refused) {
	target, refused := session.acquire(operation, attempts)
	if refused != nil {
		return statement.Reply{}, false, refused
	}
	call, name, shape := session.call(request)
	call.After = target.after
	session.routed = routed{server: target.server.ID(), required: target.after, attempts: attempts.count + 1}
	prefix := target.conn.Align(session.values, name, shape)
	sentAt := target.server.Begin()
	deadline := attempts.deadline
	if !operation.writes {
		deadline = earlier(deadline, time.Now().Add(patience(target.server)))
	}
	reply, err := target.conn.Run(deadline, prefix, call)
	if err != nil {
		return session.lost(request, operation, attempts, target, sentAt, err)
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
		if !session.turnedAway(request, operation, attempts, target, reply) {
			return reply, false, refuse(refusal.QueueTimeout, retrySoon, fmt.Sprintf("%s had no slot %d times", target.server.ID(), attempts.busy))
		}
		return reply, true, nil
	case !operation.writes && attempts.count == 0:
		// A read that failed on one server may succeed on another.
		attempts.exclude(target.server)
		return reply, true, nil
	}
	return reply, false, nil
}

// patience returns how long an answer to a statement that can be repeated is awaited: what was lost does not come, and
// what merely is slow comes by then.
func patience(server *monitor.Server) time.Duration {
	return max(leastAttempt, latencyFactor*server.Expected())
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// turnedAway prepares the next attempt after a server promised that the statement did not run; false if its time does not suffice
// for one.
func (session *session) turnedAway(request statement.Request, operation *operation, attempts *attempts, target target, reply statement.Reply) bool {
	session.server.Decisions.Request("turned_away", "request", request.ID, "server", target.server.ID(), "code", reply.Code,
		"position", target.after.Log, "server_position", reply.Position.Log, "attempt", attempts.count)
	switch reply.Code {
	case statement.Busy:
		if !operation.onPrimary() {
			attempts.exclude(target.server)
		}
		return attempts.pause()
	case statement.ReadOnly:
		target.server.Suspect()
		time.Sleep(promotedPause)
	default:
		attempts.exclude(target.server)
	}
	return true
}

// lost decides what follows when a server gave no answer: a write may have taken effect.
func (session *session) lost(request statement.Request, operation *operation, attempts *attempts, target target, sentAt time.Duration, err error) (statement.Reply, bool, *refused) {
	target.server.Failed(sentAt)
	target.conn.Release(statement.Failed)
	session.server.Decisions.Request("answer_lost", "request", request.ID, "server", target.server.ID(), "organisation", session.organisation,
		"waited_ms", (clock.Now() - sentAt).Milliseconds(), "writes", operation.writes, "attempt", attempts.count, "err", err)
	if operation.writes {
		return statement.Reply{}, false, refuse(refusal.OutcomeUnknown, 0, err.Error())
	}
	if !time.Now().Before(attempts.deadline) {
		return statement.Reply{}, false, refuse(refusal.BackendLost, retrySoon, err.Error())
	}
	attempts.exclude(target.server)
	return statement.Reply{}, true, nil
}
