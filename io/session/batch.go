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
	// server is its name at backend servers: a hash of its content, so that sessions share it, or "" if unnamed.
	server string
	parse  pgproto3.Parse
	class  class
}

func newStatement(parse pgproto3.Parse) *statement {
	prepared := &statement{parse: parse, class: classify(parse.Query)}
	if parse.Name != "" {
		hash := sha256.New()
		fmt.Fprintf(hash, "%v", parse.ParameterOIDs)
		hash.Write([]byte(parse.Query))
		prepared.server = "dotterel_" + hex.EncodeToString(hash.Sum(nil)[:16])
	}
	prepared.parse.Name = prepared.server
	return prepared
}

// op is one message of a batch of the extended protocol.
type op struct {
	// kind is the message's type.
	kind byte
	// object is 'S' or 'P' for Describe and Close.
	object byte
	// name is the caller's name of the statement or portal.
	name string
	// statement is what the message refers to, nil if the session does not know it.
	statement *statement
	// duplicate states that a Parse takes a name in use, which the server is to answer with an error.
	duplicate bool
	// start and end delimit the message within the arena, as it is sent, with server-side names.
	start, end int
}

// request is a Query message, or the messages of a batch up to Sync or Flush.
type request struct {
	// simple states that the request is a Query message.
	simple bool
	// sync states that the request ends with ReadyForQuery.
	sync bool
	// statements is the number of statements that the rate counts.
	statements int
	class      class
	// primaryOnly states that a replica could not run the request.
	primaryOnly bool
	// tentative states that a replica runs the request although it may turn out to be a write.
	tentative bool
}

// add adds what the statement is to what is known of the request.
func (request *request) add(class class) {
	if request.class.statements == 0 {
		request.class = class
		return
	}
	request.class.begins = false
	request.class.beginsReadOnly = false
	request.class.selects = request.class.selects && class.selects
	request.class.mayEnd = request.class.mayEnd || class.mayEnd
	request.class.commits = request.class.commits || class.commits
	request.class.unsupported = request.class.unsupported || class.unsupported
	request.class.pins = request.class.pins || class.pins
	request.class.readWrite = request.class.readWrite || class.readWrite
	request.class.statements += class.statements
}

// undo reverts what the batch changed in the session's statements, from the op that was not carried out.
func (session *Session) undo(from int) {
	ops := session.scratch.ops
	for index := len(ops) - 1; index >= from; index-- {
		op := &ops[index]
		switch {
		case op.kind == wire.Parse && !op.duplicate && session.statements[op.name] == op.statement:
			session.setStatement(op.name, nil)
		case op.kind == wire.Close && op.object == 'S' && op.statement != nil:
			session.setStatement(op.name, op.statement)
		}
	}
}

// extend adds a message of the extended protocol to the batch; the error states that the message is malformed.
func (session *Session) extend(frame wire.Frame) error {
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
		bind.PreparedStatement = serverName(op.statement, bind.PreparedStatement)
		message = &bind
	case wire.Describe:
		var describe pgproto3.Describe
		if err := describe.Decode(frame.Body()); err != nil {
			return fmt.Errorf("describe: %w", err)
		}
		op.object, op.name = describe.ObjectType, describe.Name
		if op.object == 'S' {
			op.statement = session.statements[op.name]
			describe.Name = serverName(op.statement, op.name)
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
		op.object, op.name = closing.ObjectType, closing.Name
		if op.object == 'S' {
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

// statementBytes is the size counted for a prepared statement beyond its text.
const statementBytes = 500

// setStatement changes what the caller's name stands for; nil forgets it.
func (session *Session) setStatement(name string, prepared *statement) {
	if held := session.statements[name]; held != nil {
		session.prepared -= statementBytes + len(held.parse.Query)
	}
	if prepared == nil {
		delete(session.statements, name)
		return
	}
	session.prepared += statementBytes + len(prepared.parse.Query)
	session.statements[name] = prepared
}

// forgetStatements forgets every prepared statement of the session.
func (session *Session) forgetStatements() {
	clear(session.statements)
	session.prepared = 0
}

// serverName returns the name of the statement at backend servers. A name that the session does not know is changed, so
// that it cannot meet a statement of another session.
func serverName(statement *statement, name string) string {
	if statement == nil {
		return "unknown " + name
	}
	return statement.server
}

// step is one answer that is due for an op, in order.
type step struct {
	// op is the index of the op within the batch.
	op int
	// local states that the session answers itself and the server gets nothing.
	local bool
	// hidden states that the caller did not ask, so the answer is not forwarded.
	hidden bool
}

// plan appends the messages that run the batch on the connection, and notes the answers that are due.
func (session *Session) plan(dst []byte) []byte {
	scratch := session.scratch
	scratch.steps = scratch.steps[:0]
	clear(scratch.sent)
	for index := range scratch.ops {
		op := &scratch.ops[index]
		switch {
		case op.kind == wire.Parse && op.duplicate:
			dst = session.ensure(dst, index, op.statement)
		case op.kind == wire.Parse:
			if op.statement.server != "" && session.holds(op.statement.server) {
				scratch.steps = append(scratch.steps, step{op: index, local: true})
				continue
			}
			scratch.sent[op.statement.server] = true
		case op.kind == wire.Bind, op.kind == wire.Describe && op.object == 'S':
			dst = session.ensure(dst, index, op.statement)
		case op.kind == wire.Close && op.object == 'S':
			scratch.steps = append(scratch.steps, step{op: index, local: true})
			continue
		}
		dst = append(dst, scratch.arena[op.start:op.end]...)
		scratch.steps = append(scratch.steps, step{op: index})
	}
	return dst
}

// holds states whether the connection has the named statement or gets it earlier in the batch.
func (session *Session) holds(server string) bool {
	return session.scratch.sent[server] || session.backend.Prepared(server)
}

// ensure re-creates the statement on the connection if needed. The unnamed statement is re-created in every batch,
// because a Query message, such as the one for the log position, drops it.
func (session *Session) ensure(dst []byte, index int, statement *statement) []byte {
	if statement == nil || session.scratch.sent[statement.server] || statement.server != "" && session.backend.Prepared(statement.server) {
		return dst
	}
	dst, _ = statement.parse.Encode(dst)
	session.scratch.sent[statement.server] = true
	session.scratch.steps = append(session.scratch.steps, step{op: index, hidden: true})
	return dst
}
