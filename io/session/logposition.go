package session

import (
	"fmt"
	"strconv"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/backend"
	"dotterelgw/io/backend/wire"
)

// readPosition reads the answer to positionQuery. In a failed transaction the server answers with an error, which is
// accepted.
func (session *Session) readPosition(status byte) (position.Position, error) {
	var at position.Position
	found := false
	var values [4][]byte
	for {
		frame, err := session.receive()
		if err != nil {
			return at, err
		}
		switch frame.Type() {
		case wire.RowDescription, wire.CommandComplete:
		case wire.DataRow:
			columns, ok := wire.Columns(frame, values[:])
			if !ok || found || len(columns) != 2 {
				return at, session.invalidAnswer("position row")
			}
			term, err := strconv.ParseUint(string(columns[0]), 10, 64)
			if err != nil {
				return at, session.invalidAnswer("position term")
			}
			log, err := strconv.ParseUint(string(columns[1]), 10, 64)
			if err != nil {
				return at, session.invalidAnswer("log position")
			}
			at, found = position.Position{Term: ids.Term(term), Log: ids.LogPosition(log)}, true
		case wire.ErrorResponse:
			if status == wire.Idle {
				return at, session.invalidAnswer("position refused: " + wire.ErrorField(frame, 'M'))
			}
		case wire.ReadyForQuery:
			if !found && status != wire.FailedTransaction || session.backend.Status() != status {
				return at, session.invalidAnswer("no position")
			}
			return at, nil
		default:
			return at, session.invalidAnswer(fmt.Sprintf("%q instead of the position", frame.Type()))
		}
	}
}

// invalidAnswer marks the connection as unusable and returns an error that describes the answer.
func (session *Session) invalidAnswer(what string) error {
	session.backend.SetBroken()
	return fmt.Errorf("%s: %w", what, backend.ErrUnexpected)
}
