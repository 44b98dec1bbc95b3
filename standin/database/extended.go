package database

import (
	"database/sql/driver"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	*statement
	// oids are the parameter types given by Parse, 0 where none was given; types are those used to decode values.
	oids, types []uint32
	// columns are the columns of the result; nil until they are first described.
	columns []column
}

// portal is a bound statement.
type portal struct {
	*prepared
	arguments []driver.Value
	formats   []int16
	columns   []column
	// answer is set once the statement was executed; sent is the number of rows already sent.
	answer *result
	sent   int
}

// extendedQuery handles a message of the extended query protocol.
func (session *session) extendedQuery(message pgproto3.FrontendMessage) error {
	var err error
	switch message := message.(type) {
	case *pgproto3.Parse:
		err = session.parseMessage(message)
	case *pgproto3.Bind:
		err = session.bind(message)
	case *pgproto3.Describe:
		err = session.describe(message)
	case *pgproto3.Execute:
		err = session.executePortal(message)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(session.statements, message.Name)
		} else {
			delete(session.portals, message.Name)
		}
		session.backend.Send(&pgproto3.CloseComplete{})
	}
	if err != nil {
		session.skipToSync = true
		return session.sendError(err)
	}
	return nil
}

// sync handles a Sync message: it commits the implicit transaction and ends the response.
func (session *session) sync() error {
	session.skipToSync = false
	if err := session.commitImplicit(); err != nil {
		if err := session.sendError(err); err != nil {
			return err
		}
	}
	return session.sendReady()
}

func (session *session) parseMessage(message *pgproto3.Parse) error {
	texts := splitStatements(message.Query)
	if len(texts) > 1 {
		return fail("42601", "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := session.statements[message.Name]; ok && message.Name != "" {
		return fail("42P05", "prepared statement %q already exists", message.Name)
	}
	texts = append(texts, "")
	parsed := session.server.parse(texts[0])
	entry := &prepared{statement: parsed, oids: slices.Clone(message.ParameterOIDs)}
	for len(entry.oids) < parsed.parameters {
		entry.oids = append(entry.oids, 0)
	}
	switch parsed.kind {
	case kindRead, kindWrite, kindLockingRead:
		if session.transaction.failed {
			return errFailedTransaction()
		}
		handle, err := session.openHandle()
		if err != nil {
			return err
		}
		if _, err := handle.prepare(parsed.sql); err != nil {
			return err
		}
		entry.types = inferParameters(handle, parsed)
	}
	for index, oid := range entry.oids {
		if index >= len(entry.types) {
			entry.types = append(entry.types, oid)
		} else if oid != 0 {
			entry.types[index] = oid
		}
	}
	session.statements[message.Name] = entry
	session.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (session *session) bind(message *pgproto3.Bind) error {
	entry, ok := session.statements[message.PreparedStatement]
	if !ok {
		return fail("26000", "prepared statement %q does not exist", message.PreparedStatement)
	}
	if _, ok := session.portals[message.DestinationPortal]; ok && message.DestinationPortal != "" {
		return fail("42P03", "portal %q already exists", message.DestinationPortal)
	}
	if len(message.Parameters) != len(entry.oids) {
		return fail("08P01", "bind message supplies %d parameters, but the statement requires %d",
			len(message.Parameters), len(entry.oids))
	}
	bound := &portal{prepared: entry, formats: slices.Clone(message.ResultFormatCodes)}
	for index, parameter := range message.Parameters {
		value, err := decode(parameter, entry.types[index], format(message.ParameterFormatCodes, index))
		if err != nil {
			return err
		}
		bound.arguments = append(bound.arguments, value)
	}
	session.portals[message.DestinationPortal] = bound
	session.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (session *session) describe(message *pgproto3.Describe) error {
	if message.ObjectType == 'S' {
		entry, ok := session.statements[message.Name]
		if !ok {
			return fail("26000", "prepared statement %q does not exist", message.Name)
		}
		columns, err := session.columns(entry)
		if err != nil {
			return err
		}
		session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: entry.oids})
		session.sendDescription(defaultToText(columns), nil)
		return nil
	}
	bound, ok := session.portals[message.Name]
	if !ok {
		return fail("34000", "portal %q does not exist", message.Name)
	}
	columns, err := session.columns(bound.prepared)
	if err != nil {
		return err
	}
	if bound.kind == kindRead && slices.ContainsFunc(columns, func(column column) bool { return column.oid == 0 }) {
		if bound.answer, err = session.execute(bound.statement, bound.arguments); err != nil {
			return err
		}
		bound.answer.resolveTypes()
		columns = bound.answer.columns
	}
	bound.columns = defaultToText(columns)
	session.sendDescription(bound.columns, bound.formats)
	return nil
}

func (session *session) sendDescription(columns []column, formats []int16) {
	if len(columns) == 0 {
		session.backend.Send(&pgproto3.NoData{})
		return
	}
	session.backend.Send(rowDescription(columns, formats))
}

func (session *session) executePortal(message *pgproto3.Execute) error {
	bound, ok := session.portals[message.Portal]
	if !ok {
		return fail("34000", "portal %q does not exist", message.Portal)
	}
	if bound.answer == nil {
		answer, err := session.execute(bound.statement, bound.arguments)
		if err != nil {
			return err
		}
		bound.answer = answer
	}
	answer := bound.answer
	if answer.tag == "" {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if bound.columns == nil {
		bound.columns = defaultToText(bound.prepared.columns)
		if len(bound.columns) != len(answer.columns) {
			if answer != memoryAnswer {
				answer.resolveTypes()
			}
			bound.columns = answer.columns
		}
	}
	rows := answer.rows[bound.sent:]
	if message.MaxRows > 0 && uint32(len(rows)) > message.MaxRows {
		rows = rows[:message.MaxRows]
	}
	if err := session.sendRows(rows, bound.columns, bound.formats); err != nil {
		return err
	}
	bound.sent += len(rows)
	if message.MaxRows > 0 && bound.sent < len(answer.rows) {
		session.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
	return nil
}
