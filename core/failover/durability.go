package failover

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// FenceQuorum returns the number of servers, out of n, that a promotion must fence.
func FenceQuorum(n int) int { return n - n/2 }

// WriteQuorum returns the number of servers, out of n, that must hold a write before it is acknowledged. The sum with
// FenceQuorum exceeds n, so at least one fenced server holds every acknowledged write.
func WriteQuorum(n int) int { return n/2 + 1 }

// WriteState is the known durability of a write.
type WriteState int

// The states of a write.
const (
	// Pending means that the durability is not yet known.
	Pending WriteState = iota
	// Durable means that every later primary has the write.
	Durable
	// Lost means that a later term started at a log position before the write.
	Lost
)

// Durability decides whether a response of the server executedBy may be returned to the client. The server acted in
// want.Term and its log ended at want. The statuses are those of a group of n servers, in any order and of any age, with nil
// for a server without one. The starts are the group's term history.
//
// Servers that act in the same term and hold the position are counted together: either those in the write's own term,
// including the primary that responded, or those in a later term. They must hold a record of that term itself: a record of
// an older term may be on a majority of servers and still be dropped by a later primary whose log ends in a term in
// between (figure 8 of the Raft paper). This is not required if the history has every term in between, because then no
// log can end in any other term.
func Durability(want position.Position, executedBy ids.BackendServerID, n int, statuses []*Status, starts []position.Position) WriteState {
	if want.Log == 0 {
		return Durable
	}
	highest := want.Term
	for _, status := range statuses {
		if status != nil {
			highest = max(highest, status.Term)
		}
	}
	if countHolders(want, executedBy, want.Term, statuses, starts) >= WriteQuorum(n) ||
		highest > want.Term && countHolders(want, executedBy, highest, statuses, starts) >= WriteQuorum(n) {
		return Durable
	}
	index := position.TermIndex(starts, want.Term)
	if index >= 0 && index+1 < len(starts) && starts[index+1].Log < want.Log {
		return Lost
	}
	return Pending
}

// countHolders counts the servers that act in the term and hold the position durably.
func countHolders(want position.Position, executedBy ids.BackendServerID, term ids.Term, statuses []*Status, starts []position.Position) int {
	count := 0
	if term == want.Term {
		count = 1
	}
	written := position.Normalise(want, starts).Term
	contiguous := written < term && position.Contiguous(starts, written, term)
	for _, status := range statuses {
		if status == nil || status.Term != term || term == want.Term && status.Server == executedBy {
			continue
		}
		if (status.LogTerm == term || contiguous) && position.Reached(status.End(), want, starts) {
			count++
		}
	}
	return count
}

// ConfirmedPrimary returns the index of the confirmed primary's status, given statuses of a group of n servers that were all
// requested after some point in time. A primary of term T is confirmed if a majority of the servers have promised at most T.
// All writes acknowledged before that point in time are at or before its position.
func ConfirmedPrimary(n int, statuses []*Status) (index int, ok bool) {
	best := -1
	for index, status := range statuses {
		if status != nil && status.AcceptsWrites() && (best < 0 || status.Term > statuses[best].Term) {
			best = index
		}
	}
	if best < 0 {
		return -1, false
	}
	confirming := 0
	for _, status := range statuses {
		if status != nil && status.Promised <= statuses[best].Term {
			confirming++
		}
	}
	return best, confirming >= WriteQuorum(n)
}
