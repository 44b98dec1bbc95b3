package database

import (
	"database/sql/driver"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simpleQuery handles a Query message; its statements form one implicit transaction unless they contain transaction
// commands.
func (session *session) simpleQuery(text string) error {
	delete(session.portals, "")
	delete(session.statements, "")
	statements := splitStatements(text)
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for index, text := range statements {
		answer, err := session.execute(session.server.parse(text), nil)
		if err == nil && index == len(statements)-1 {
			err = session.commitImplicit()
		}
		if err != nil {
			if err := session.sendError(err); err != nil {
				return err
			}
			break
		}
		if err := session.sendAnswer(answer); err != nil {
			return err
		}
	}
	return session.sendReady()
}

// sendError aborts the transaction and sends the error; it returns an error if the connection has to be closed.
func (session *session) sendError(err error) error {
	if errors.Is(err, errDisconnect) || session.ctx.Err() != nil {
		return errDisconnect
	}
	session.abort()
	session.backend.Send(translate(err).response())
	return nil
}

// sendAnswer sends a complete result in text format.
func (session *session) sendAnswer(answer *result) error {
	if answer.tag == "" {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if answer.hasRows {
		if answer != memoryAnswer {
			answer.resolveTypes()
		}
		session.backend.Send(rowDescription(answer.columns, nil))
		if err := session.sendRows(answer.rows, answer.columns, nil); err != nil {
			return err
		}
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
	return nil
}

// sendRows sends rows in the requested formats; long results are flushed in parts.
func (session *session) sendRows(rows [][]driver.Value, columns []column, formats []int16) error {
	values := make([][]byte, len(columns))
	size := 0
	for _, row := range rows {
		for index, value := range row {
			encoded, err := encode(value, columns[index].oid, format(formats, index))
			if err != nil {
				return err
			}
			values[index] = encoded
			size += len(encoded) + 4
		}
		session.backend.Send(&pgproto3.DataRow{Values: values})
		if size > flushThreshold {
			if err := session.flush(); err != nil {
				return err
			}
			size = 0
		}
	}
	return nil
}

// format returns the format code of a column: no codes mean text, a single one applies to all columns.
func format(formats []int16, index int) int16 {
	switch {
	case len(formats) == 0:
		return textFormat
	case len(formats) == 1:
		return formats[0]
	case index < len(formats):
		return formats[index]
	}
	return textFormat
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for index, column := range columns {
		fields[index] = pgproto3.FieldDescription{
			Name: []byte(column.name), DataTypeOID: column.oid, DataTypeSize: typeSize(column.oid), TypeModifier: -1,
			Format: format(formats, index),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
