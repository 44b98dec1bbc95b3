package position

import "dotterelgw/core/ids"

// Position identifies a record in a group's log by its log position and the term in which it was written.
type Position struct {
	// Term is the term of the primary that wrote the record.
	Term ids.Term
	// Log is the position in the log; 0 precedes the first record.
	Log ids.LogPosition
}

// Less reports whether the position sorts before the other: by term, then by log position. Candidates for promotion are
// compared in this order.
func (position Position) Less(other Position) bool {
	if position.Term != other.Term {
		return position.Term < other.Term
	}
	return position.Log < other.Log
}
