package failover

import "dotterelgw/core/config"

// The steps of a term record.
const (
	// Fencing states that the term is taken and servers are being fenced.
	Fencing = "fencing"
	// Promoting states that the candidate and the start of the term are decided.
	Promoting = "promoting"
	// Steady states that the primary of the term is in charge.
	Steady = "steady"
)

var order = map[string]int{Fencing: 1, Promoting: 2, Steady: 3}

// Follows states whether the second record is newer than the first: of a higher term, or at a later step of it.
func Follows(known, next config.TermRecord) bool {
	if known.Term != next.Term {
		return next.Term > known.Term
	}
	return order[next.Step] > order[known.Step]
}
