package session

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"dotterelgw/io/backend/wire"
)

// statement is a prepared statement of the session.
type statement struct {
	// serverSideName is the name on backend servers: a hash of the content, so that sessions share the statement, or "" if it is
	// unnamed.
	serverSideName string
	parse          pgproto3.Parse
	class          class
}

func newStatement(parse pgproto3.Parse) *statement {
	prepared := &statement{parse: parse, class: classify(parse.Query)}
	if parse.Name != "" {
		hash := sha256.New()
		fmt.Fprintf(hash, "%v", parse.ParameterOIDs)
		hash.Write([]byte(parse.Query))
		prepared.serverSideName = "dotterel_" + hex.EncodeToString(hash.Sum(nil)[:16])
	}
	prepared.parse.Name = prepared.serverSideName
	return prepared
}

// op is one message of a batch of the extended protocol.
type op struct {
	// kind is the message type.
	kind byte
	// objectType is 'S' (statement) or 'P' (portal) for Describe and Close.
	objectType byte
	// name is the name that the caller uses for the statement or portal.
	name string
	// statement is the prepared statement that the message refers to, nil if the session does not know it.
	statement *statement
	// duplicate reports whether a Parse uses a name that is taken. It is sent all the same, so that the server answers with
	// the error.
	duplicate bool
	// start and end delimit the encoded message within the arena; it uses server-side names.
	start, end int
}

// request is a Query message, or the messages of a batch up to Sync or Flush.
type request struct {
	// simple reports whether the request is a Query message.
	simple bool
	// endsWithReady reports whether the answer ends with ReadyForQuery.
	endsWithReady bool
	// flushed reports whether the caller's Flush message is sent to the server as Sync, so that the caller is not told of
	// ReadyForQuery yet.
	flushed bool
	// statements is the number of statements that count against the rate limit.
	statements int
	class      class
	// primaryOnly reports whether the request has to run on the primary, because a replica could not run it.
	primaryOnly bool
	// speculative reports whether the request runs on a replica although it may turn out to be a write.
	speculative bool
}

// answersReady reports whether the answer to the caller ends with ReadyForQuery.
func (request *request) answersReady() bool { return request.endsWithReady && !request.flushed }

// add merges the class of a further statement into the class of the request.
func (request *request) add(class class) {
	if request.class.statements == 0 {
		request.class = class
		return
	}
	request.class.begins = false
	request.class.beginsReadOnly = false
	request.class.selectOnly = request.class.selectOnly && class.selectOnly
	request.class.endsTransaction = request.class.endsTransaction || class.endsTransaction
	request.class.commits = request.class.commits || class.commits
	request.class.unsupported = request.class.unsupported || class.unsupported
	request.class.pins = request.class.pins || class.pins
	request.class.readWrite = request.class.readWrite || class.readWrite
	request.class.statements += class.statements
}

// revertStatements reverts the changes to the session's prepared statements by the messages from the given index on, which
// the server did not run.
func (session *Session) revertStatements(from int) {
	ops := session.scratch.ops
	for index := len(ops) - 1; index >= from; index-- {
		op := &ops[index]
		switch {
		case op.kind == wire.Parse && !op.duplicate && session.statements[op.name] == op.statement:
			session.setStatement(op.name, nil)
		case op.kind == wire.Close && op.objectType == 'S' && op.statement != nil:
			session.setStatement(op.name, op.statement)
		}
	}
}

// bufferMessage adds a message of the extended protocol to the batch. It returns an error if the message is malformed.
func (session *Session) bufferMessage(frame wire.Frame) error {
	op := op{kind: frame.Type()}
	var message pgproto3.FrontendMessage
	switch op.kind {
	case wire.Parse:
		var parse pgproto3.Parse
		if err := parse.Decode(frame.Body()); err != nil {
			return fmt.Errorf("parse: %w", err)
		}
		op.name = parse.Name
		op.statement = newStatement(parse)
		if op.name != "" && session.statements[op.name] != nil {
			op.duplicate = true
			op.statement = session.statements[op.name]
		} else {
			session.setStatement(op.name, op.statement)
		}
		message = &op.statement.parse
	case wire.Bind:
		var bind pgproto3.Bind
		if err := bind.Decode(frame.Body()); err != nil {
			return fmt.Errorf("bind: %w", err)
		}
		op.name = bind.DestinationPortal
		op.statement = session.statements[bind.PreparedStatement]
		session.portals[op.name] = op.statement
		bind.PreparedStatement = nameOnServer(op.statement, bind.PreparedStatement)
		message = &bind
	case wire.Describe:
		var describe pgproto3.Describe
		if err := describe.Decode(frame.Body()); err != nil {
			return fmt.Errorf("describe: %w", err)
		}
		op.objectType, op.name = describe.ObjectType, describe.Name
		if op.objectType == 'S' {
			op.statement = session.statements[op.name]
			describe.Name = nameOnServer(op.statement, op.name)
		} else {
			op.statement = session.portals[op.name]
		}
		message = &describe
	case wire.Execute:
		var execute pgproto3.Execute
		if err := execute.Decode(frame.Body()); err != nil {
			return fmt.Errorf("execute: %w", err)
		}
		op.name = execute.Portal
		op.statement = session.portals[op.name]
		var class class
		if op.statement != nil {
			class = op.statement.class
		}
		session.request.add(class)
		session.request.statements++
		message = &execute
	case wire.Close:
		var closing pgproto3.Close
		if err := closing.Decode(frame.Body()); err != nil {
			return fmt.Errorf("close: %w", err)
		}
		op.objectType, op.name = closing.ObjectType, closing.Name
		if op.objectType == 'S' {
			op.statement = session.statements[op.name]
			session.setStatement(op.name, nil)
		} else {
			delete(session.portals, op.name)
		}
		message = &closing
	}
	op.start = len(session.scratch.arena)
	encoded, err := message.Encode(session.scratch.arena)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	session.scratch.arena, op.end = encoded, len(encoded)
	session.scratch.ops = append(session.scratch.ops, op)
	return nil
}

// statementBytes is the size counted for a prepared statement in addition to its text.
const statementBytes = 500

// setStatement assigns the prepared statement to the caller's name; nil removes the name.
func (session *Session) setStatement(name string, prepared *statement) {
	if previous := session.statements[name]; previous != nil {
		session.preparedBytes -= statementBytes + len(previous.parse.Query)
	}
	if prepared == nil {
		delete(session.statements, name)
		return
	}
	session.preparedBytes += statementBytes + len(prepared.parse.Query)
	session.statements[name] = prepared
}

// forgetStatements removes all prepared statements of the session.
func (session *Session) forgetStatements() {
	clear(session.statements)
	session.preparedBytes = 0
}

// nameOnServer returns the name of the statement on backend servers. A name that the session does not know gets a prefix,
// so that it cannot refer to a statement of another session.
func nameOnServer(statement *statement, name string) string {
	if statement == nil {
		return "unknown " + name
	}
	return statement.serverSideName
}

// step is the expected answer to one op. The answers arrive in the order of the steps.
type step struct {
	// op is the index of the op within the batch.
	op int
	// local reports whether the session answers the op itself and sends nothing to the server.
	local bool
	// hidden reports whether the session sent the message on its own account, so that the answer is not forwarded.
	hidden bool
}

// encodeBatch appends the messages to send for the batch and records the expected answers as steps.
func (session *Session) encodeBatch(dst []byte) []byte {
	scratch := session.scratch
	scratch.steps = scratch.steps[:0]
	clear(scratch.sent)
	for index := range scratch.ops {
		op := &scratch.ops[index]
		switch {
		case op.kind == wire.Parse && op.duplicate:
			dst = session.ensurePrepared(dst, index, op.statement)
		case op.kind == wire.Parse:
			if op.statement.serverSideName != "" && session.hasStatement(op.statement.serverSideName) {
				scratch.steps = append(scratch.steps, step{op: index, local: true})
				continue
			}
			scratch.sent[op.statement.serverSideName] = true
		case op.kind == wire.Bind, op.kind == wire.Describe && op.objectType == 'S':
			dst = session.ensurePrepared(dst, index, op.statement)
		case op.kind == wire.Close && op.objectType == 'S':
			scratch.steps = append(scratch.steps, step{op: index, local: true})
			continue
		}
		dst = append(dst, scratch.arena[op.start:op.end]...)
		scratch.steps = append(scratch.steps, step{op: index})
	}
	return dst
}

// hasStatement reports whether the statement is prepared on the connection or is prepared earlier in the batch.
func (session *Session) hasStatement(name string) bool {
	return session.scratch.sent[name] || session.backend.Prepared(name)
}

// ensurePrepared prepares the statement on the connection if needed. The unnamed statement is prepared again in each batch,
// because a Query message, such as the one for the log position, drops it.
func (session *Session) ensurePrepared(dst []byte, index int, statement *statement) []byte {
	if statement == nil || session.scratch.sent[statement.serverSideName] || statement.serverSideName != "" && session.backend.Prepared(statement.serverSideName) {
		return dst
	}
	dst, _ = statement.parse.Encode(dst)
	session.scratch.sent[statement.serverSideName] = true
	session.scratch.steps = append(session.scratch.steps, step{op: index, hidden: true})
	return dst
}
