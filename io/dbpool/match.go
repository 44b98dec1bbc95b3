package dbpool

import (
	"errors"
	"fmt"

	"dotterelgw/core/answer"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
)

var (
	// ErrUnmatched reports an answer that can't belong to the call for which it was taken. Whether that call ran is not known.
	ErrUnmatched = errors.New("the answer belongs to another call")
	// ErrUnusable reports a connection that the server closed, or on which it sent more than it was asked for. Nothing was sent.
	ErrUnusable = errors.New("the connection is closed or holds an answer to no call")
	// errRepeated reports a second answer to an earlier call. The answer to the call for which it was taken follows.
	errRepeated = errors.New("second answer to an earlier call")
)

// confirmation is the call that follows another one on a connection that has reported an error. It changes nothing that a session relies on
// and is answered without a signature, so that it shows whether the error was taken for the answer to the call before it.
var confirmation = Call{Kind: statement.Prepare, Name: "confirmation", Value: "READ confirmation"}

// checkQuiet reports an error if something lies unread on a connection without unanswered calls, which would be taken for the next answer.
func (conn *Conn) checkQuiet() error {
	if conn.answers == nil || conn.unanswered.len() > 0 || conn.link.Usable() {
		return nil
	}
	conn.reportSurplus()
	return &NotRunError{Cause: fmt.Errorf("%s: %w", conn.pool.server.ID, ErrUnusable)}
}

// matchAnswer takes the answer for that of the oldest unanswered call and returns what it tells. The error is ErrUnmatched if it can't belong
// to that call, and errRepeated if it is known to belong to an earlier one.
func (conn *Conn) matchAnswer(reply statement.Reply) (statement.Reply, error) {
	call := conn.unanswered.oldest()
	if conn.answers == nil {
		conn.unanswered.remove()
		return reply, nil
	}
	cause, unmatched := conn.answers.Check(call.kind, reply)
	if unmatched {
		conn.pool.answersTwice.Store(true)
		conn.pool.answers.unmatched(conn.pool.server.ID, conn.number, cause, call, reply)
	}
	if cause == answer.Repeated {
		return statement.Reply{}, errRepeated
	}
	conn.unanswered.remove()
	if !unmatched {
		if !answer.IsCurrent(call.kind, reply) {
			reply.Position = position.Position{}
		}
		return reply, nil
	}
	return statement.Reply{}, fmt.Errorf("%s to %s of %s: %w", cause, call.kind, conn.pool.server.ID, ErrUnmatched)
}

// reportSurplus reports what lies unread on the connection, if anything does.
func (conn *Conn) reportSurplus() {
	link, ok := conn.link.(orderedLink)
	if !ok {
		return
	}
	if beginning := link.Surplus(); beginning != "" {
		conn.pool.answersTwice.Store(true)
		conn.pool.answers.surplus(conn.pool.server.ID, conn.number, beginning)
	}
}

// SetAnswerObserver sets who is told of answers that can't belong to a call. It must be called before the pool is used.
func (pool *Pool) SetAnswerObserver(observer *AnswerObserver) { pool.answers = observer }
