package position

import "dotterelgw/core/ids"

// Position is a place in a group's log: the log position and the term in which it was written.
type Position struct {
	// Term is the term of the primary that wrote the record.
	Term ids.Term
	// Log is the log position.
	Log ids.LogPosition
}
