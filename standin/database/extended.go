package database

import (
	"database/sql/driver"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	*statement
	// oids are the parameter types given by Parse, 0 where none was given; types are those that values are read as.
	oids, types []uint32
	// columns are the described columns; nil until Describe.
	columns []column
}

// portal is a bound statement.
type portal struct {
	*prepared
	arguments []driver.Value
	formats   []int16
	columns   []column
	// answer is set once the statement has run; sent counts the rows already sent.
	answer *result
	sent   int
}

// extended handles a message of the extended query protocol.
func (session *session) extended(message pgproto3.FrontendMessage) error {
	var err error
	switch message := message.(type) {
	case *pgproto3.Parse:
		err = session.parseMessage(message)
	case *pgproto3.Bind:
		err = session.bind(message)
	case *pgproto3.Describe:
		err = session.describe(message)
	case *pgproto3.Execute:
		err = session.run(message)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(session.statements, message.Name)
		} else {
			delete(session.portals, message.Name)
		}
		session.backend.Send(&pgproto3.CloseComplete{})
	}
	if err != nil {
		session.skip = true
		return session.refuse(err)
	}
	return nil
}

// sync ends the implicit transaction and the answer.
func (session *session) sync() error {
	session.skip = false
	if err := session.endImplicit(); err != nil {
		if err := session.refuse(err); err != nil {
			return err
		}
	}
	return session.ready()
}

func (session *session) parseMessage(message *pgproto3.Parse) error {
	texts := split(message.Query)
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
		handle, err := session.open()
		if err != nil {
			return err
		}
		if _, err := handle.prepare(parsed.sql); err != nil {
			return err
		}
		entry.types = infer(handle, parsed)
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
		session.sendDescription(settled(columns), nil)
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
		bound.answer.settle()
		columns = bound.answer.columns
	}
	bound.columns = settled(columns)
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

func (session *session) run(message *pgproto3.Execute) error {
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
		bound.columns = settled(bound.prepared.columns)
		if len(bound.columns) != len(answer.columns) {
			if answer != memoryAnswer {
				answer.settle()
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
