package position

import (
	"slices"

	"dotterelgw/core/ids"
)

// MaxHistoryTerms is the largest number of terms in a term history. At 51 promotions a day over 7,000 groups, 64 entries last
// a group for decades. Positions in terms that were dropped count as not reached, so their reads go to the primary.
const MaxHistoryTerms = 64

// Reached reports whether a server that has replayed the log up to replayed holds every record up to want. The starts
// are the term history of the group: the position at which each term began, in ascending order of terms. A position
// beyond the start of the following term was lost in a failover and is never reached. A position whose term is not in
// the history is never reached either.
func Reached(replayed, want Position, starts []Position) bool {
	return replayed.Log >= want.Log && Contains(replayed.Term, want, starts)
}

// Contains reports whether a log that ends in the term, and is long enough, includes the position.
func Contains(term ids.Term, want Position, starts []Position) bool {
	if want.Log == 0 || term == want.Term {
		return true
	}
	index := TermIndex(starts, want.Term)
	if index < 0 {
		return false
	}
	// Up to the start of a term, its log is the log of the preceding term.
	for index > 0 && want.Log <= starts[index].Log {
		index--
		if starts[index].Term == term {
			return true
		}
	}
	if term < starts[index].Term || TermIndex(starts, term) < 0 {
		return false
	}
	return index+1 < len(starts) && want.Log <= starts[index+1].Log
}

// TermIndex returns the index of the term in the history, or -1.
func TermIndex(starts []Position, term ids.Term) int {
	for index := len(starts) - 1; index >= 0; index-- {
		if starts[index].Term == term {
			return index
		}
	}
	return -1
}

// Normalise returns the position with the term that wrote the record at its log position. The two differ for a position up
// to the start of its term, where the log is that of the preceding term.
func Normalise(want Position, starts []Position) Position {
	index := TermIndex(starts, want.Term)
	for index > 0 && want.Log <= starts[index].Log {
		index--
		want.Term = starts[index].Term
	}
	return want
}

// Contiguous reports whether the history contains every term number from first to last.
func Contiguous(starts []Position, first, last ids.Term) bool {
	from, to := TermIndex(starts, first), TermIndex(starts, last)
	return from >= 0 && to >= from && ids.Term(to-from) == last-first
}

// Extend returns the history of a primary whose term begins at the position next and whose log ended in the term logTerm.
// Terms that are not part of that log are left out. If the history lacks logTerm, the result has only the new term, since
// the terms of earlier positions are unknown. If unused is not 0, the terms from unused up to the new one had no primary;
// they are included as terms without records.
func Extend(starts []Position, logTerm, unused ids.Term, next Position) []Position {
	kept := slices.Clone(starts[:TermIndex(starts, logTerm)+1])
	if unused > 0 && len(kept) > 0 {
		for term := unused; term < next.Term; term++ {
			kept = append(kept, Position{Term: term, Log: next.Log})
		}
	}
	kept = append(kept, next)
	return kept[max(0, len(kept)-MaxHistoryTerms):]
}

// Divergence returns the log position up to which a log that ends in logTerm agrees with the log of the history's last
// term. ok is false if logTerm is that last term, so that the logs do not diverge. A logTerm outside the history agrees on
// nothing.
func Divergence(starts []Position, logTerm ids.Term) (common ids.LogPosition, ok bool) {
	index := TermIndex(starts, logTerm)
	switch {
	case index < 0:
		return 0, true
	case index+1 < len(starts):
		return starts[index+1].Log, true
	default:
		return 0, false
	}
}
