package position

import "dotterelgw/core/ids"

// Position is a place in a group's log: the log position and the term in which it was written.
type Position struct {
	// Term is the term of the primary that wrote the record.
	Term ids.Term
	// Log is the log position.
	Log ids.LogPosition
}

// Less states whether the position is before the other in the order by which candidates for promotion are compared.
func (position Position) Less(other Position) bool {
	if position.Term != other.Term {
		return position.Term < other.Term
	}
	return position.Log < other.Log
}
