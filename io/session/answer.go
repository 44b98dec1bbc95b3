package session

import (
	"fmt"

	"github.com/juju/errors"

	"dotterelgw/core/contract"
	"dotterelgw/core/position"
	"dotterelgw/core/refusal"
	"dotterelgw/core/retry"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

const (
	// positionQuery asks for the position of the last commit; section 2.2.
	positionQuery = "SELECT * FROM group_position()"
	// readOnlySetting keeps a read-only session from writing when the primary serves it.
	readOnlySetting = "SET default_transaction_read_only = on"
	// maxHeldBytes is the size of the held part of an answer from which on earlier completions are let go.
	maxHeldBytes = 1 << 20
	// sqlStateReadOnly is read_only_sql_transaction.
	sqlStateReadOnly = "25006"
)

// errCopy states that the server began a COPY, which no recognised statement asked for.
const errCopy = errors.ConstError("the statement began a COPY")

// answer is what is known of the answer to the request in progress.
type answer struct {
	// hold states that a success must be confirmed before the caller sees it.
	hold bool
	// holding states that the held part has begun.
	holding bool
	// completed states that a statement other than ROLLBACK succeeded.
	completed bool
	// failed states that the server answered with an error.
	failed bool
	// redirected states that the server refused to run the request as it takes no writes.
	redirected bool
	// silent states that the server did not answer, so that the pool cancels what it runs.
	silent bool
	// unpin states that the caller cleared the session's settings.
	unpin bool
	// preamble states that a statement of the session's own precedes the request.
	preamble bool
	// settled is the number of steps that were answered.
	settled int
	// compares states that the log position is asked for before the request too.
	compares bool
	// before is the log position before the request.
	before position.Position
}

// exchange sends the request to the acquired connection and forwards the answer.
func (session *Session) exchange(attempt *retry.Attempt) ending {
	request := &session.request
	mayCommit := request.sync && session.primary && (session.tx == wire.Idle && !(request.class.begins && !session.partial) || request.class.mayEnd)
	asks := mayCommit && (request.statements > 0 || session.partial)
	session.answer = answer{hold: mayCommit, completed: session.partial && session.answer.completed}
	// A single SELECT may call a function that writes. It did not if nobody wrote meanwhile.
	session.answer.compares = asks && request.class.selects && session.route.Access == contract.Auto && session.positionKnown &&
		!session.readOnly && session.tx == wire.Idle && !session.partial
	sent, err := session.send(asks)
	attempt.Sent = sent
	if err == nil {
		err = session.answers()
	}
	if err == nil && request.sync && session.backend.Due() > 0 != asks {
		session.backend.Break()
		err = fmt.Errorf("after the answer: %w", backend.ErrUnexpected)
	}
	if err != nil {
		return session.lost(attempt, err)
	}
	if !request.sync {
		session.partial = true
		session.undoFailed()
		return ending{}
	}
	status := session.backend.Status()
	var at position.Position
	if asks {
		if at, err = session.readPosition(status); err != nil && session.answer.completed {
			return session.lost(attempt, err)
		}
	}
	if session.answer.redirected {
		attempt.SQLState = sqlStateReadOnly
		session.undoFailed()
		session.release()
		return ending{failed: attempt, err: errors.New("the server takes no writes")}
	}
	session.partial = false
	session.undoFailed()
	return session.settle(attempt, status, at, asks)
}

// lost gives up the connection. A connection that ends while it owes an answer is never used again.
func (session *Session) lost(attempt *retry.Attempt, err error) ending {
	attempt.Forwarded = session.forwarded
	// A transaction that was begun, and a statement that was only prepared, vanish with the connection.
	attempt.ReadOnly = attempt.ReadOnly || session.request.class.begins || session.request.statements == 0 && !session.partial
	if server := session.backend.Server(); !errors.Is(err, errCopy) {
		session.server.Groups.Observe(session.route.Group, server, err)
	}
	if !session.answer.silent {
		session.backend.Break()
	}
	session.release()
	session.request.primaryOnly = true
	return ending{failed: attempt, err: err}
}

// settle confirms what the request changed and hands the rest of the answer over.
func (session *Session) settle(attempt *retry.Attempt, status byte, at position.Position, asked bool) ending {
	server := session.backend.Server()
	confirm := status == wire.Idle && session.primary && session.answer.completed
	if confirm && !asked {
		// The request ended the transaction although its text did not show it.
		var err error
		if _, err = session.backend.Send(wire.AppendQuery(nil, positionQuery), 1); err == nil {
			at, err = session.readPosition(status)
		}
		if err != nil {
			return session.lost(attempt, err)
		}
	}
	session.tx = status
	if session.answer.unpin {
		session.pinned = false
	}
	if status == wire.Idle {
		clear(session.portals)
		if !session.pinned {
			session.release()
		}
	}
	scratch := session.scratch
	if confirm {
		if err := session.server.Groups.Confirm(session.ctx, session.route.Group, server, at); err != nil {
			scratch.held = scratch.held[:0]
			session.positionKnown = false
			var refused *refusal.Refusal
			if !errors.As(err, &refused) {
				refused = refusal.New(refusal.OutcomeUnknown, err.Error())
			}
			session.append(refused, "ERROR")
			scratch.out = wire.AppendReady(scratch.out, status)
			return ending{}
		}
		if !session.keepsPosition(at) {
			session.position, session.positionKnown = at, true
		}
	}
	scratch.out = append(scratch.out, scratch.held...)
	scratch.held = scratch.held[:0]
	if confirm {
		scratch.out = session.appendToken(scratch.out)
	}
	scratch.out = wire.AppendReady(scratch.out, status)
	return ending{}
}

// keepsPosition states whether the request certainly wrote nothing. A session that only read on the primary keeps its
// position: with the primary's newer one, replicas that lag would not serve it for as long as they lag, although they
// hold all that the session wrote.
func (session *Session) keepsPosition(at position.Position) bool {
	return session.positionKnown && (session.readOnly || session.answer.compares && session.answer.before == at)
}

// undoFailed forgets the statements whose Parse was not carried out.
func (session *Session) undoFailed() {
	scratch := session.scratch
	if session.answer.failed && session.answer.settled < len(scratch.steps) {
		session.undo(scratch.steps[session.answer.settled].op)
	}
	if session.answer.failed && !session.request.sync {
		session.skipping = true
	}
}

// send writes the request, with the question for the log position behind it in the same write.
func (session *Session) send(asks bool) (sent bool, err error) {
	scratch := session.scratch
	scratch.held = scratch.held[:0]
	send := scratch.send[:0]
	due := 0
	if session.readOnly && session.primary && session.tx == wire.Idle && !session.partial {
		send = wire.AppendQuery(send, readOnlySetting)
		due++
		session.backend.SetDirty()
	}
	session.answer.preamble = due > 0
	if session.answer.compares {
		send = wire.AppendQuery(send, positionQuery)
		due++
	}
	switch {
	case session.request.simple:
		send = append(send, scratch.arena...)
		due++
	case session.request.sync:
		send = wire.AppendEmpty(session.plan(send), wire.Sync)
		due++
	default:
		send = wire.AppendEmpty(session.plan(send), wire.Flush)
	}
	if asks {
		send = wire.AppendQuery(send, positionQuery)
		due++
	}
	scratch.send = send
	return session.backend.Send(send, due)
}

// answers forwards the answer to the request, up to ReadyForQuery or what a Flush brings.
func (session *Session) answers() error {
	if session.answer.preamble {
		if err := session.ignored(); err != nil {
			return err
		}
	}
	if session.answer.compares {
		var err error
		if session.answer.before, err = session.readPosition(wire.Idle); err != nil {
			return err
		}
	}
	if session.request.simple {
		return session.simpleAnswer()
	}
	for session.answer.settled < len(session.scratch.steps) && !session.answer.failed {
		if err := session.stepAnswer(session.scratch.steps[session.answer.settled]); err != nil {
			return err
		}
		if !session.answer.failed {
			session.answer.settled++
		}
	}
	if !session.request.sync {
		return nil
	}
	frame, err := session.receive()
	for err == nil && frame.Type() == wire.ErrorResponse && !session.answer.failed {
		// Sync itself may fail, for example when a deferred constraint is checked.
		session.emitError(frame)
		frame, err = session.receive()
	}
	if err == nil && frame.Type() != wire.ReadyForQuery {
		err = fmt.Errorf("%q instead of ready for query: %w", frame.Type(), backend.ErrUnexpected)
	}
	return err
}

// ignored reads the answer to a statement of the session's own.
func (session *Session) ignored() error {
	for {
		frame, err := session.backend.Next(tickInterval)
		if isTimeout(err) {
			if err = session.tick(); err == nil {
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

func (session *Session) simpleAnswer() error {
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
			session.complete(frame)
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
			return unexpected(frame)
		}
	}
}

func unexpected(frame wire.Frame) error {
	switch frame.Type() {
	case wire.CopyInResponse, wire.CopyOutResponse, wire.CopyBothResponse:
		return errCopy
	}
	return fmt.Errorf("%q: %w", frame.Type(), backend.ErrUnexpected)
}

// stepAnswer forwards the answer to one message of a batch.
func (session *Session) stepAnswer(step step) error {
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
				return unexpected(frame)
			}
			if op.statement.server != "" {
				session.backend.SetPrepared(op.statement.server, true)
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
			if !last && (kind != wire.ParameterDescription || op.object != 'S') {
				return unexpected(frame)
			}
		case op.kind == wire.Execute:
			if kind == wire.CommandComplete {
				session.complete(frame)
				return nil
			}
			last = kind == wire.EmptyQueryResponse || kind == wire.PortalSuspended
			if kind == wire.PortalSuspended {
				// The rows so far may show changes that are not confirmed yet.
				session.answer.completed = true
			}
			if !last && kind != wire.DataRow {
				return unexpected(frame)
			}
		}
		if !last && op.kind != wire.Describe && op.kind != wire.Execute {
			return unexpected(frame)
		}
		session.emit(frame)
		if last {
			return nil
		}
	}
}

// complete handles CommandComplete, from which on a commit's answer is held.
func (session *Session) complete(frame wire.Frame) {
	tag := string(wire.CommandTag(frame))
	if tag != "ROLLBACK" {
		session.answer.completed = true
	}
	if len(session.scratch.held) > maxHeldBytes && !session.request.class.commits {
		// What the statements before did is committed with the last one, so only the last completion acknowledges it.
		session.scratch.out = append(session.scratch.out, session.scratch.held...)
		session.scratch.held = session.scratch.held[:0]
		_ = session.flush()
	}
	session.answer.holding = session.answer.holding || session.answer.hold
	session.emit(frame)
	switch tag {
	case "SET", "PREPARE", "DECLARE CURSOR", "LOAD", "CREATE TABLE":
		if session.request.class.pins {
			session.pin()
		}
	case "DISCARD ALL", "RESET":
		session.answer.unpin = tag == "DISCARD ALL" || session.request.class.statements == 1
		if tag == "DISCARD ALL" {
			session.backend.SetClean()
			session.forgetStatements()
		}
	case "DEALLOCATE ALL":
		session.forgetStatements()
		session.backend.ForgetPrepared()
	}
}

// pin keeps the connection for this session, whose settings it holds.
func (session *Session) pin() {
	session.pinned = true
	session.backend.SetDirty()
}

// emit adds a message to the answer.
func (session *Session) emit(frame wire.Frame) {
	scratch := session.scratch
	if session.answer.redirected {
		return
	}
	if session.answer.holding {
		scratch.held = append(scratch.held, frame...)
		return
	}
	scratch.out = append(scratch.out, frame...)
	if len(scratch.out) >= flushBytes {
		// A write error shows at the next flush; the answer is still read, so that the connection stays usable.
		_ = session.flush()
	}
}

// emitError adds the server's error to the answer, unless the request can be repeated elsewhere.
func (session *Session) emitError(frame wire.Frame) {
	first := !session.answer.failed && !session.answer.completed
	session.answer.failed = true
	if first && !session.forwarded && session.tx == wire.Idle && !session.partial && session.request.sync &&
		wire.ErrorField(frame, 'C') == sqlStateReadOnly {
		session.answer.redirected = session.primary && !session.readOnly || !session.primary && session.request.tentative
	}
	session.emit(frame)
}
