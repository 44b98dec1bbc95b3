package home

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/monitor"
)

// refusedConnectionPause is the pause before a connection is opened again after the server had too many.
const refusedConnectionPause = 50 * time.Millisecond

// served is a virtual link of another VM. Its stream's mutex guards running and closed; conn belongs to the running statement.
type served struct {
	// ctx ends when the link is closed.
	ctx    context.Context
	cancel context.CancelFunc
	server *monitor.Server
	// conn is the connection of the running statement or of the open transaction.
	conn *dbpool.Conn
	// request is that of the first statement, for which the later ones of the transaction wait as well.
	request dbpool.Request
	running bool
	// closed reports whether the caller's VM has given the link up.
	closed bool
}

// release returns the connection, if any, to its pool. One with an open transaction is closed.
func (served *served) release(state statement.TransactionState) {
	if served.conn != nil {
		served.conn.Release(state)
		served.conn = nil
	}
}

// runRecovered runs a statement and returns the kind and body of the answer. It recovers panics, so that a fault in one statement does not
// end the others; whether the statement was sent is then not known.
func (service *Service) runRecovered(held *served, message *run, received time.Time) (kind kind, body any) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		service.eventLog.Event("statement_panicked", "request", message.ID, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
		if held.conn != nil {
			held.conn.Break()
			held.release(statement.FailedTransaction)
		}
		kind, body = kindLost, lost{Note: "a fault in the home"}
	}()
	return service.run(held, message, received)
}

// run runs a statement on a connection of this VM and returns the kind and body of the answer.
func (service *Service) run(held *served, message *run, received time.Time) (kind, any) {
	refusal := service.admit(held, message, received)
	if refusal != nil {
		return kindRefusal, refusal
	}
	deadline := message.answerBy(received)
	call, name := callOf(message, held.server.Info().Group)
	prefix := held.conn.SyncSession(message.Values, name, statement.Prepared{Text: message.Shape})
	sentAt := held.server.Begin()
	answer, err := held.conn.Run(deadline, prefix, call)
	var notRun *dbpool.NotRunError
	if errors.As(err, &notRun) {
		refusal := &refused{Cause: causeTimeout, Note: err.Error()}
		if errors.Is(err, dbpool.ErrUnusable) {
			refusal.Cause = causeUnusable
			held.server.ConnectionUnusable()
		} else {
			held.server.Abandoned()
		}
		held.release(statement.FailedTransaction)
		return kindRefusal, refusal
	}
	if err != nil {
		loss := lost{Note: err.Error(), NoMemory: errors.Is(err, dbpool.ErrNoMemory), Unmatched: errors.Is(err, dbpool.ErrUnmatched)}
		if loss.NoMemory || loss.Unmatched {
			held.server.Abandoned()
		} else {
			held.server.Failed(sentAt)
		}
		service.eventLog.LimitedEvent("answer_lost", "request", message.ID, "server", held.server.ID(),
			"connection", held.conn.Number(), "organisation", message.Organisation, "waited_ms", time.Since(received).Milliseconds(), "for_caller_vm", true, "err", err)
		held.conn.Break()
		held.release(statement.FailedTransaction)
		return kindLost, loss
	}
	held.server.Answered(sentAt, answer, answer.Code == statement.Complete)
	service.eventLog.LimitedEvent("ran_for_vm", "request", message.ID, "server", held.server.ID(), "connection", held.conn.Number(),
		"code", answer.Code, "position", answer.Position.Log, "took_ms", time.Since(received).Milliseconds())
	if answer.Code == statement.UnknownStatement {
		held.conn.ForgetPrepared()
	}
	if answer.State == statement.Idle {
		held.release(statement.Idle)
	}
	if isTooLarge(answer) {
		return tooLargeAnswer(message.Kind, answer.State)
	}
	return kindReply, reply{
		Rows: answer.Rows, Code: answer.Code, Signature: answer.Signature, Message: answer.Message, State: answer.State,
		Term: answer.Position.Term, Log: answer.Position.Log, TookMS: time.Since(received).Milliseconds(),
	}
}

// answerBy returns the time by which the server has to answer a statement that can be sent now. The wait for a connection is allowed beyond
// the time for an answer, the wait for a slot is part of it.
func (run *run) answerBy(received time.Time) time.Time {
	if run.TotalMS > 0 {
		return earlier(time.Now().Add(milliseconds(run.AnswerMS)), received.Add(milliseconds(run.TotalMS)))
	}
	return received.Add(milliseconds(run.AnswerMS))
}

// isTooLarge reports whether the answer may exceed a frame.
func isTooLarge(answer statement.Reply) bool {
	size := answerOverhead + len(answer.Signature) + len(answer.Message)
	for _, row := range answer.Rows {
		size += rowOverhead + len(row)
	}
	return size > maxFrame
}

const (
	// answerOverhead is the length in bytes up to which an answer without texts is encoded.
	answerOverhead = 128
	// rowOverhead is the length in bytes up to which a row takes more than its text.
	rowOverhead = 9
)

// tooLargeAnswer returns the kind and body of what replaces an answer that exceeds a frame, which would otherwise end the stream. A
// statement that may have taken effect is of unknown outcome without its answer.
func tooLargeAnswer(ran statement.Kind, state statement.TransactionState) (kind, any) {
	const note = "the answer is too large to be passed on"
	if ran == statement.Read || state != statement.Idle {
		return kindReply, reply{Code: statement.TooLarge, Message: note, State: state}
	}
	return kindLost, lost{Note: note}
}

// callOf returns the call of a statement for a server of the group and the name of the prepared statement that it executes, if any.
func callOf(message *run, group ids.GroupID) (dbpool.Call, string) {
	if message.Group != "" {
		group = message.Group
	}
	call := dbpool.Call{
		ID: message.ID, Kind: message.Kind, Text: message.Text, Name: message.Name, Value: message.Value,
		MinPosition: position.In(group, position.Position{Term: message.Term, Log: message.Log}),
	}
	if message.Kind == statement.Execute {
		return call, message.Name
	}
	return call, ""
}

// admit acquires a connection for the first statement of a link, and a slot of the server for each further one. It returns why nothing
// can be sent, nil on success. A transaction whose statement is refused is rolled back.
func (service *Service) admit(held *served, message *run, received time.Time) *refused {
	if held.conn == nil {
		return service.acquire(held, message, received)
	}
	ctx, cancel := context.WithDeadline(held.ctx, message.answerBy(received))
	defer cancel()
	err := held.conn.Admit(ctx, held.request)
	if err == nil && held.ctx.Err() == nil {
		return nil
	}
	held.conn.Break()
	held.release(statement.FailedTransaction)
	if held.ctx.Err() != nil {
		return refusedGivenUp()
	}
	return refusalOf(err)
}

// refusedGivenUp returns the refusal of a statement whose link was closed while it waited.
func refusedGivenUp() *refused {
	return &refused{Cause: causeTimeout, Note: "given up by the caller's VM"}
}

// acquire acquires a connection for the link. It returns why nothing can be sent, nil on success.
func (service *Service) acquire(held *served, message *run, received time.Time) *refused {
	switch {
	case service.leaving.Load():
		return &refused{Cause: causeLeaving}
	case message.AnswerMS <= 0:
		return &refused{Cause: causeTimeout, Note: "no time is left"}
	}
	server := service.servers.Server(message.Server)
	if server == nil || server.Info().StartedMS != message.StartedMS {
		return &refused{Cause: causeUnreachable, Note: "unknown server process"}
	}
	held.request = requestOf(message, clock.Now())
	ctx, cancel := context.WithDeadline(held.ctx, received.Add(milliseconds(message.WaitMS)))
	defer cancel()
	for {
		conn, err := server.Pool.Acquire(ctx, held.request)
		if held.ctx.Err() != nil {
			if err == nil {
				conn.Release(statement.Idle)
			}
			return refusedGivenUp()
		}
		if err == nil {
			held.server, held.conn = server, conn
			return nil
		}
		service.servers.AcquireFailed(server, err)
		if !isRefusedForConnections(err) {
			return refusalOf(err)
		}
		if !pause(ctx, refusedConnectionPause) {
			return &refused{Cause: causeTimeout, Note: err.Error()}
		}
	}
}

// isRefusedForConnections reports whether the server had too many connections.
func isRefusedForConnections(err error) bool {
	var refusal *dbpool.RefusedError
	return errors.As(err, &refusal) && refusal.Code == statement.TooManyConnections
}

// pause waits, and reports whether the context has not ended meanwhile.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
