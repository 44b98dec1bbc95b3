package position

import (
	"slices"

	"dotterelgw/core/ids"
)

// MaxStarts bounds the length of a term history. At 51 promotions a day over 7,000 groups, 64 entries last a group
// for decades; positions of forgotten terms are treated as not reached and lead to the primary.
const MaxStarts = 64

// Reached states whether a server that has replayed up to the first position has all that precedes the second.
// The starts are the history of the group: for each term in rising order, the position at which it began. A
// position beyond the start of the following term was lost and is never reached; so is one of an unknown history.
func Reached(replayed, want Position, starts []Position) bool {
	return replayed.Log >= want.Log && Contains(replayed.Term, want, starts)
}

// Contains states whether the log that ends in the term includes the position, if it is long enough.
func Contains(term ids.Term, want Position, starts []Position) bool {
	if want.Log == 0 || term == want.Term {
		return true
	}
	index := Index(starts, want.Term)
	if index < 0 {
		return false
	}
	// Up to its start a term's log is that of the term before it.
	for index > 0 && want.Log <= starts[index].Log {
		index--
		if starts[index].Term == term {
			return true
		}
	}
	if term < starts[index].Term || Index(starts, term) < 0 {
		return false
	}
	return index+1 < len(starts) && want.Log <= starts[index+1].Log
}

// Index returns the index of the term in the history, or -1.
func Index(starts []Position, term ids.Term) int {
	for index := len(starts) - 1; index >= 0; index-- {
		if starts[index].Term == term {
			return index
		}
	}
	return -1
}

// Normal returns the position under the term whose log it lies in: up to its start, a term's log is that of the term
// before it.
func Normal(want Position, starts []Position) Position {
	index := Index(starts, want.Term)
	for index > 0 && want.Log <= starts[index].Log {
		index--
		want.Term = starts[index].Term
	}
	return want
}

// Unbroken states whether the history has every number from the first to the last term.
func Unbroken(starts []Position, first, last ids.Term) bool {
	from, to := Index(starts, first), Index(starts, last)
	return from >= 0 && to >= from && ids.Term(to-from) == last-first
}

// Extend returns the history of a primary that begins its term at the position next, after a log that ended in the
// term logTerm. Terms that are not part of that log are left out. If the history does not have logTerm, the result
// has only the new term, since nothing certain is known of the positions before it. The terms from unused up to the
// new one, if unused is not 0, are known to have had no primary; they are included with no records.
func Extend(starts []Position, logTerm, unused ids.Term, next Position) []Position {
	kept := slices.Clone(starts[:Index(starts, logTerm)+1])
	if unused > 0 && len(kept) > 0 {
		for term := unused; term < next.Term; term++ {
			kept = append(kept, Position{Term: term, Log: next.Log})
		}
	}
	kept = append(kept, next)
	return kept[max(0, len(kept)-MaxStarts):]
}

// Divergence returns the log position up to which a log that ends in logTerm agrees with the history's last term;
// ok is false if the log belongs wholly to the history.
func Divergence(starts []Position, logTerm ids.Term) (agreed ids.LogPosition, ok bool) {
	index := Index(starts, logTerm)
	switch {
	case index < 0:
		return 0, true
	case index+1 < len(starts):
		return starts[index+1].Log, true
	default:
		return 0, false
	}
}
