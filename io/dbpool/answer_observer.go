package dbpool

import (
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/answer"
	"dotterelgw/core/ids"
	"dotterelgw/core/statement"
	"dotterelgw/io/observe"
)

// surplus is the cause of answers that lie unread on a connection without unanswered calls.
const surplus answer.Cause = "surplus"

// AnswerObserver counts and logs answers that can't belong to a call. A nil observer does nothing.
type AnswerObserver struct {
	registry metrics.Registry
	eventLog *observe.EventLog
}

// NewAnswerObserver returns an observer that registers its metrics.
func NewAnswerObserver(registry metrics.Registry, eventLog *observe.EventLog) *AnswerObserver {
	observer := &AnswerObserver{registry: registry, eventLog: eventLog}
	for _, cause := range append([]answer.Cause{surplus}, answer.Causes...) {
		observer.counter(cause)
	}
	return observer
}

func (observer *AnswerObserver) counter(cause answer.Cause) metrics.Counter {
	return metrics.GetOrRegisterCounter("answers_unmatched_"+string(cause), observer.registry)
}

// unmatched records an answer that can't belong to the call for which it was taken.
func (observer *AnswerObserver) unmatched(server ids.BackendServerID, connection int64, cause answer.Cause, call sentCall, reply statement.Reply) {
	if observer == nil {
		return
	}
	observer.counter(cause).Inc(1)
	observer.eventLog.LimitedEvent("answer_unmatched", "cause", cause, "server", server, "connection", connection, "request", call.id, "kind", call.kind,
		"code", reply.Code, "signature", reply.Signature, "rows", len(reply.Rows), "state", reply.State, "term", reply.Position.Term,
		"position", reply.Position.Log)
}

// surplus records a connection that is closed since bytes lay unread on it; beginning is the escaped beginning of them.
func (observer *AnswerObserver) surplus(server ids.BackendServerID, connection int64, beginning string) {
	if observer == nil {
		return
	}
	observer.counter(surplus).Inc(1)
	observer.eventLog.LimitedEvent("answer_unmatched", "cause", surplus, "server", server, "connection", connection, "beginning", beginning)
}
