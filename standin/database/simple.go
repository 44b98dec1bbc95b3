package database

import (
	"database/sql/driver"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simple handles a Query message; its statements are one implicit transaction unless they say otherwise.
func (session *session) simple(text string) error {
	delete(session.portals, "")
	delete(session.statements, "")
	statements := split(text)
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for index, text := range statements {
		answer, err := session.execute(session.server.parse(text), nil)
		if err == nil && index == len(statements)-1 {
			err = session.endImplicit()
		}
		if err != nil {
			if err := session.refuse(err); err != nil {
				return err
			}
			break
		}
		if err := session.sendAnswer(answer); err != nil {
			return err
		}
	}
	return session.ready()
}

// refuse aborts the transaction and sends the error; it returns an error if the connection has to end.
func (session *session) refuse(err error) error {
	if errors.Is(err, errCut) || session.ctx.Err() != nil {
		return errCut
	}
	session.abort()
	session.backend.Send(translate(err).response())
	return nil
}

// sendAnswer sends a complete answer in text format.
func (session *session) sendAnswer(answer *result) error {
	if answer.tag == "" {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if answer.hasRows {
		if answer != memoryAnswer {
			answer.settle()
		}
		session.backend.Send(rowDescription(answer.columns, nil))
		if err := session.sendRows(answer.rows, answer.columns, nil); err != nil {
			return err
		}
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
	return nil
}

// sendRows sends rows in the formats asked for, and sends long answers in parts.
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
		if size > pushSize {
			if err := session.flush(); err != nil {
				return err
			}
			size = 0
		}
	}
	return nil
}

// format returns the format of a column: none means text, one applies to all.
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
