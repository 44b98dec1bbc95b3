package session

import (
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/contract"
	"dotterelgw/core/position"
	"dotterelgw/core/retry"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

const (
	// positionQuery returns the log position of the last commit; see docs/design.md, section 2.2.
	positionQuery = "SELECT * FROM group_position()"
	// readOnlySetting prevents a read-only session from writing while the primary serves it.
	readOnlySetting = "SET default_transaction_read_only = on"
	// maxWithheldBytes is the size of the withheld part of an answer from which on the messages for all statements but the
	// last are sent to the caller.
	maxWithheldBytes = 1 << 20
	// sqlStateReadOnly is the SQLSTATE read_only_sql_transaction.
	sqlStateReadOnly = "25006"
)

// errCopy is returned if the server began a COPY. Statements that are recognised as COPY are refused before they are sent,
// so a statement that is not recognised caused it.
const errCopy = errors.ConstError("the statement began a COPY")

// answer tracks the answer to the request in progress.
type answer struct {
	// needsConfirmation reports whether a success must be confirmed to be durable before the caller sees it.
	needsConfirmation bool
	// withholding reports whether messages are withheld in scratch.withheld instead of sent.
	withholding bool
	// completed reports whether a statement other than ROLLBACK succeeded.
	completed bool
	// failed reports whether the server answered with an error.
	failed bool
	// readOnlyRefused reports whether the server refused the request because it accepts no writes. The request is retried on
	// another server and the rest of the answer is discarded.
	readOnlyRefused bool
	// unresponsive reports whether the server did not answer. The pool then cancels the statement on the connection.
	unresponsive bool
	// unpin reports whether the caller discarded all settings of the session.
	unpin bool
	// preamble reports whether readOnlySetting was sent before the request.
	preamble bool
	// fenced reports whether a Sync message follows the request, whose answer shows that no other answer came before.
	fenced bool
	// completedSteps is the number of steps whose answer was received.
	completedSteps int
	// comparesPosition reports whether the log position is also queried before the request.
	comparesPosition bool
	// positionBefore is the log position before the request.
	positionBefore position.Position
}

// exchange sends the request on the acquired connection and forwards the answer.
func (session *Session) exchange(attempt *retry.Attempt) attemptResult {
	request := &session.request
	mayCommit := request.endsWithReady && session.primary && (session.txStatus == wire.Idle && !(request.class.begins && !session.awaitingSync) || request.class.endsTransaction)
	asksPosition := mayCommit && (request.statements > 0 || session.awaitingSync)
	session.answer = answer{needsConfirmation: mayCommit, completed: session.awaitingSync && session.answer.completed}
	// A single SELECT may call a function that writes. It wrote nothing if the log position did not change.
	session.answer.comparesPosition = asksPosition && request.class.selectOnly && session.route.Access == contract.Auto && session.observed.known &&
		!session.readOnly && session.txStatus == wire.Idle && !session.awaitingSync
	session.answer.fenced = request.endsWithReady && !asksPosition
	sent, err := session.send(asksPosition)
	attempt.Sent = sent
	if err == nil {
		err = session.forwardAnswer()
	}
	if err == nil && request.endsWithReady && session.backend.PendingReady() != 1 {
		session.backend.SetBroken()
		err = fmt.Errorf("after the answer: %w", backend.ErrUnexpected)
	}
	if err != nil {
		return session.connectionLost(attempt, err)
	}
	if !request.endsWithReady {
		session.awaitingSync = true
		session.revertFailed()
		return attemptResult{}
	}
	status := session.backend.Status()
	var at position.Position
	if asksPosition {
		// Behind an error only a connection that was lost does no harm; an unexpected message shows that the error is not of this request.
		if at, err = session.readPosition(status); err != nil && (session.answer.completed || errors.Is(err, backend.ErrUnexpected)) {
			return session.connectionLost(attempt, err)
		}
	} else if err = session.readFence(status); err != nil {
		return session.connectionLost(attempt, err)
	}
	if session.answer.readOnlyRefused {
		attempt.SQLState = sqlStateReadOnly
		session.revertFailed()
		session.release()
		return attemptResult{failed: attempt, err: errors.New("the server takes no writes")}
	}
	session.awaitingSync = false
	session.revertFailed()
	return session.completeRequest(attempt, status, at, asksPosition)
}

// connectionLost releases the connection after an error. A connection on which an answer is still outstanding is never
// reused.
func (session *Session) connectionLost(attempt *retry.Attempt, err error) attemptResult {
	attempt.Forwarded = session.forwarded
	// A transaction that was only begun and a statement that was only prepared are discarded with the connection.
	attempt.ReadOnly = attempt.ReadOnly || session.request.class.begins || session.request.statements == 0 && !session.awaitingSync
	if server := session.backend.Server(); !errors.Is(err, errCopy) {
		session.server.Groups.ReportError(session.route.Group, server, err)
	}
	if !session.answer.unresponsive {
		session.backend.SetBroken()
	}
	session.release()
	session.request.primaryOnly = true
	return attemptResult{failed: attempt, err: err}
}

// revertFailed discards the prepared statements whose Parse was not run because of an error.
func (session *Session) revertFailed() {
	scratch := session.scratch
	if session.answer.failed && session.answer.completedSteps < len(scratch.steps) {
		session.revertStatements(scratch.steps[session.answer.completedSteps].op)
	}
	if session.answer.failed && !session.request.answersReady() {
		session.skipping = true
	}
}

// send writes the request and, if asked to, the query for the log position in the same write.
func (session *Session) send(asksPosition bool) (sent bool, err error) {
	scratch := session.scratch
	scratch.withheld = scratch.withheld[:0]
	send := scratch.send[:0]
	due := 0
	if session.setsReadOnly() {
		send = wire.AppendQuery(send, readOnlySetting)
		due++
		session.backend.SetDirty()
	}
	session.answer.preamble = due > 0
	if session.answer.comparesPosition {
		send = wire.AppendQuery(send, positionQuery)
		due++
	}
	switch {
	case session.request.simple:
		send = append(send, scratch.arena...)
		due++
	case session.request.endsWithReady:
		send = wire.AppendEmpty(session.encodeBatch(send), wire.Sync)
		due++
	default:
		send = wire.AppendEmpty(session.encodeBatch(send), wire.Flush)
	}
	if asksPosition {
		send = wire.AppendQuery(send, positionQuery)
		due++
	}
	if session.answer.fenced {
		send = wire.AppendEmpty(send, wire.Sync)
		due++
	}
	scratch.send = send
	return session.backend.Send(send, due)
}

// readFence reads the answer to the Sync message behind the request. Any other message means that the answer before it belongs to an
// earlier request, which the server has answered twice.
func (session *Session) readFence(status byte) error {
	frame, err := session.receive()
	if err != nil {
		return err
	}
	if frame.Type() != wire.ReadyForQuery || session.backend.Status() != status {
		return session.invalidAnswer(fmt.Sprintf("%q behind the answer", frame.Type()))
	}
	return nil
}

// setsReadOnly reports whether readOnlySetting precedes the request. It must not undo a setting that the caller made on the
// connection it is pinned to, unless the route takes reads only.
func (session *Session) setsReadOnly() bool {
	if !session.readOnly || !session.primary || session.txStatus != wire.Idle || session.awaitingSync {
		return false
	}
	return !(session.pinned && session.readOnlyOff) || session.route.Access == contract.Read
}

// forwardAnswer forwards the answer to the request up to ReadyForQuery or, after a Flush, to the last message of the batch.
func (session *Session) forwardAnswer() error {
	if session.answer.preamble {
		if err := session.discardAnswer(); err != nil {
			return err
		}
	}
	if session.answer.comparesPosition {
		var err error
		if session.answer.positionBefore, err = session.readPosition(wire.Idle); err != nil {
			return err
		}
	}
	if session.request.simple {
		return session.forwardQueryAnswer()
	}
	for session.answer.completedSteps < len(session.scratch.steps) && !session.answer.failed {
		if err := session.forwardStep(session.scratch.steps[session.answer.completedSteps]); err != nil {
			return err
		}
		if !session.answer.failed {
			session.answer.completedSteps++
		}
	}
	if !session.request.endsWithReady {
		return nil
	}
	frame, err := session.receive()
	for err == nil && frame.Type() == wire.ErrorResponse && !session.answer.failed {
		// Sync itself may fail, for example on a deferred constraint.
		session.emitError(frame)
		frame, err = session.receive()
	}
	if err == nil && frame.Type() != wire.ReadyForQuery {
		err = fmt.Errorf("%q instead of ready for query: %w", frame.Type(), backend.ErrUnexpected)
	}
	return err
}

// discardAnswer reads the answer to readOnlySetting, which the caller did not send.
func (session *Session) discardAnswer() error {
	for {
		frame, err := session.backend.Next(serverCheckInterval)
		if isTimeout(err) {
			if err = session.checkServer(); err == nil {
				continue
			}
		}
		switch {
		case err != nil:
			return err
		case frame.Type() == wire.ErrorResponse:
			return fmt.Errorf("%s: %w", wire.ErrorField(frame, 'M'), backend.ErrUnexpected)
		case frame.Type() == wire.ReadyForQuery:
			return nil
		}
	}
}

// forwardQueryAnswer forwards the answer to a Query message.
func (session *Session) forwardQueryAnswer() error {
	rows := false
	for {
		frame, err := session.receive()
		if err != nil {
			return err
		}
		switch frame.Type() {
		case wire.ReadyForQuery:
			return nil
		case wire.ErrorResponse:
			session.emitError(frame)
		case wire.CommandComplete:
			rows = false
			session.handleCommandComplete(frame)
		case wire.RowDescription:
			rows = true
			session.emit(frame)
		case wire.EmptyQueryResponse:
			session.emit(frame)
		case wire.DataRow:
			if !rows {
				return fmt.Errorf("row without description: %w", backend.ErrUnexpected)
			}
			session.emit(frame)
		default:
			return unexpectedMessage(frame)
		}
	}
}

// unexpectedMessage returns the error for a message that does not belong to the answer.
func unexpectedMessage(frame wire.Frame) error {
	switch frame.Type() {
	case wire.CopyInResponse, wire.CopyOutResponse, wire.CopyBothResponse:
		return errCopy
	}
	return fmt.Errorf("%q: %w", frame.Type(), backend.ErrUnexpected)
}

// forwardStep forwards the answer to one message of a batch.
func (session *Session) forwardStep(step step) error {
	op := &session.scratch.ops[step.op]
	if step.local {
		kind := byte(wire.ParseComplete)
		if op.kind == wire.Close {
			kind = wire.CloseComplete
		}
		var empty [5]byte
		session.emit(wire.AppendEmpty(empty[:0], kind))
		return nil
	}
	for {
		frame, err := session.receive()
		if err != nil {
			return err
		}
		kind := frame.Type()
		if kind == wire.ErrorResponse {
			session.emitError(frame)
			return nil
		}
		last := false
		switch {
		case step.hidden, op.kind == wire.Parse:
			if kind != wire.ParseComplete {
				return unexpectedMessage(frame)
			}
			if op.statement.serverSideName != "" {
				session.backend.SetPrepared(op.statement.serverSideName, true)
			}
			if step.hidden {
				return nil
			}
			last = true
		case op.kind == wire.Bind:
			last = kind == wire.BindComplete
		case op.kind == wire.Close:
			last = kind == wire.CloseComplete
		case op.kind == wire.Describe:
			last = kind == wire.RowDescription || kind == wire.NoData
			if !last && (kind != wire.ParameterDescription || op.objectType != 'S') {
				return unexpectedMessage(frame)
			}
		case op.kind == wire.Execute:
			if kind == wire.CommandComplete {
				session.handleCommandComplete(frame)
				return nil
			}
			last = kind == wire.EmptyQueryResponse || kind == wire.PortalSuspended
			if kind == wire.PortalSuspended {
				// The rows sent so far may show changes that are not yet confirmed.
				session.answer.completed = true
			}
			if !last && kind != wire.DataRow {
				return unexpectedMessage(frame)
			}
		}
		if !last && op.kind != wire.Describe && op.kind != wire.Execute {
			return unexpectedMessage(frame)
		}
		session.emit(frame)
		if last {
			return nil
		}
	}
}

// handleCommandComplete handles CommandComplete. If the request needs confirmation, the answer is withheld from this message
// on.
func (session *Session) handleCommandComplete(frame wire.Frame) {
	tag := string(wire.CommandTag(frame))
	if tag != "ROLLBACK" {
		session.answer.completed = true
	}
	if len(session.scratch.withheld) > maxWithheldBytes && !session.request.class.commits {
		// The statements commit together with the last one, so only its CommandComplete acknowledges them.
		session.scratch.out = append(session.scratch.out, session.scratch.withheld...)
		session.scratch.withheld = session.scratch.withheld[:0]
		_ = session.flush()
	}
	// The tag shows a COMMIT also if the text was read by other rules than the server's, as with standard_conforming_strings = off.
	commits := session.answer.needsConfirmation || tag == "COMMIT" && session.primary && session.request.endsWithReady
	session.answer.withholding = session.answer.withholding || commits
	session.emit(frame)
	switch tag {
	case "PREPARE TRANSACTION":
	case "RESET":
		session.readOnlyOff = false
	case "DEALLOCATE":
		// The removed statement may be one that the connection is believed to hold for other sessions.
		session.backend.SetDirty()
	case "DISCARD ALL":
		// RESET does not end the pinning: it leaves other settings in place, and a rollback reverts it.
		session.answer.unpin, session.readOnlyOff = true, false
		session.backend.SetClean()
		session.forgetStatements()
	case "DEALLOCATE ALL":
		session.forgetStatements()
		session.backend.ForgetPrepared()
	default:
		// The tag does not tell whether an object is temporary, so any tag counts.
		if session.request.class.pins {
			session.pin()
			session.readOnlyOff = session.readOnlyOff || session.request.class.readWrite
		}
	}
}

// pin reserves the connection for this session, because it holds the session's settings.
func (session *Session) pin() {
	session.pinned = true
	session.backend.SetDirty()
}

// emit appends a message to the answer.
func (session *Session) emit(frame wire.Frame) {
	scratch := session.scratch
	if session.answer.readOnlyRefused {
		return
	}
	if session.answer.withholding {
		scratch.withheld = append(scratch.withheld, frame...)
		return
	}
	scratch.out = append(scratch.out, frame...)
	if len(scratch.out) >= flushBytes {
		// A write error is reported by the next flush. The answer is read to its end, so that the connection can be reused.
		_ = session.flush()
	}
}

// emitError appends the server's error to the answer, unless the request can be retried on another server.
func (session *Session) emitError(frame wire.Frame) {
	first := !session.answer.failed && !session.answer.completed
	session.answer.failed = true
	if first && !session.forwarded && session.txStatus == wire.Idle && !session.awaitingSync && session.request.endsWithReady &&
		wire.ErrorField(frame, 'C') == sqlStateReadOnly {
		session.answer.readOnlyRefused = session.primary && !session.readOnly || !session.primary && session.request.speculative
	}
	session.emit(frame)
}
