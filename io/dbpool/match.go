package dbpool

import "dotterelgw/core/statement"

// matchAnswer takes the answer for that of the oldest unanswered call, and reports one that can't belong to it.
func (conn *Conn) matchAnswer(reply statement.Reply) {
	call := conn.unanswered[0]
	if conn.unanswered = conn.unanswered[1:]; len(conn.unanswered) == 0 {
		conn.unanswered = nil
	}
	if conn.answers == nil {
		return
	}
	if cause, unmatched := conn.answers.Check(call.Kind, reply); unmatched {
		conn.pool.answers.unmatched(conn.pool.server.ID, cause, call, reply)
	}
}

// reportSurplus reports what lies unread on the connection, if anything does.
func (conn *Conn) reportSurplus() {
	link, ok := conn.link.(orderedLink)
	if !ok {
		return
	}
	if beginning := link.Surplus(); beginning != "" {
		conn.pool.answers.surplus(conn.pool.server.ID, beginning)
	}
}

// SetAnswerObserver sets who is told of answers that can't belong to a call. It must be called before the pool is used.
func (pool *Pool) SetAnswerObserver(observer *AnswerObserver) { pool.answers = observer }
