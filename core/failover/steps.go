package failover

import "dotterelgw/core/config"

// The steps of a term record.
const (
	// Fencing means that the term is claimed and servers are being fenced.
	Fencing = "fencing"
	// Promoting means that the candidate and the start of the term are chosen.
	Promoting = "promoting"
	// Steady means that the promotion is complete.
	Steady = "steady"
)

var order = map[string]int{Fencing: 1, Promoting: 2, Steady: 3}

// Newer reports whether next is newer than known: it has a higher term, or the same term and a later step.
func Newer(known, next config.TermRecord) bool {
	if known.Term != next.Term {
		return next.Term > known.Term
	}
	return order[next.Step] > order[known.Step]
}
