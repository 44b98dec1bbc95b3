package session

import (
	"fmt"
	"strconv"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

// readPosition reads the answer to the question for the log position. In a transaction that failed it is an error.
func (session *Session) readPosition(status byte) (position.Position, error) {
	var at position.Position
	found := false
	var values [4][]byte
	for {
		frame, err := session.receiveOwn()
		if err != nil {
			return at, err
		}
		switch frame.Type() {
		case wire.RowDescription, wire.CommandComplete:
		case wire.DataRow:
			columns, ok := wire.Columns(frame, values[:])
			if !ok || found || len(columns) != 2 {
				return at, session.mismatch("position row")
			}
			term, err := strconv.ParseUint(string(columns[0]), 10, 64)
			if err != nil {
				return at, session.mismatch("position term")
			}
			log, err := strconv.ParseUint(string(columns[1]), 10, 64)
			if err != nil {
				return at, session.mismatch("log position")
			}
			at, found = position.Position{Term: ids.Term(term), Log: ids.LogPosition(log)}, true
		case wire.ErrorResponse:
			if status == wire.Idle {
				return at, session.mismatch("position refused: " + wire.ErrorField(frame, 'M'))
			}
		case wire.ReadyForQuery:
			if !found && status != wire.Failed || session.backend.Status() != status {
				return at, session.mismatch("no position")
			}
			return at, nil
		default:
			return at, session.mismatch(fmt.Sprintf("%q instead of the position", frame.Type()))
		}
	}
}

func (session *Session) mismatch(what string) error {
	session.backend.Break()
	return fmt.Errorf("%s: %w", what, backend.ErrUnexpected)
}
