package failover

import (
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// FenceCount is the number of servers, out of n, that a promotion fences.
func FenceCount(n int) int { return n - n/2 }

// KeepCount is the number of servers, out of n, that must hold a write before it is acknowledged. Together with
// FenceCount it exceeds n, so the two sets share a server.
func KeepCount(n int) int { return n/2 + 1 }

// Knowledge is what is known of the durability of a write.
type Knowledge int

// The states of knowledge.
const (
	// Pending states that nothing is decided yet.
	Pending Knowledge = iota
	// Durable states that every later primary has the write.
	Durable
	// Lost states that a later term began before the write.
	Lost
)

// Durability decides whether an answer of the server ran, which acted in want.Term with its log at want, may be passed
// on. The statuses are those of a group of n servers, in any order, of any age, with nil for none. The starts are the
// group's term history.
//
// Servers that act in one term and hold the position count together: those in the write's own term with the primary
// that answered, or those in a later term. They must hold a record of that term itself, because a record of an older
// term may be on a majority and still be dropped by a later primary whose log ends in a term in between (the Raft
// paper's figure 8). If the history has every term in between, no log can end in another, and this is not needed.
func Durability(want position.Position, ran ids.BackendServerID, n int, statuses []*Status, starts []position.Position) Knowledge {
	if want.Log == 0 {
		return Durable
	}
	later := want.Term
	for _, status := range statuses {
		if status != nil {
			later = max(later, status.Term)
		}
	}
	if kept(want, ran, want.Term, statuses, starts) >= KeepCount(n) ||
		later > want.Term && kept(want, ran, later, statuses, starts) >= KeepCount(n) {
		return Durable
	}
	index := position.Index(starts, want.Term)
	if index >= 0 && index+1 < len(starts) && starts[index+1].Log < want.Log {
		return Lost
	}
	return Pending
}

// kept counts the servers that act in the term and hold the position for good.
func kept(want position.Position, ran ids.BackendServerID, term ids.Term, statuses []*Status, starts []position.Position) int {
	count := 0
	if term == want.Term {
		count = 1
	}
	written := position.Normal(want, starts).Term
	unbroken := written < term && position.Unbroken(starts, written, term)
	for _, status := range statuses {
		if status == nil || status.Term != term || term == want.Term && status.Server == ran {
			continue
		}
		if (status.LogTerm == term || unbroken) && position.Reached(status.End(), want, starts) {
			count++
		}
	}
	return count
}

// Leader returns the index of the status of the confirmed leader among samples that were all asked for after one
// moment: a primary of a term T, if a majority of a group of n answered with a promise of at most T. All writes
// acknowledged before that moment are at or before its position.
func Leader(n int, statuses []*Status) (index int, ok bool) {
	best := -1
	for index, status := range statuses {
		if status != nil && status.Accepts() && (best < 0 || status.Term > statuses[best].Term) {
			best = index
		}
	}
	if best < 0 {
		return -1, false
	}
	loyal := 0
	for _, status := range statuses {
		if status != nil && status.Promised <= statuses[best].Term {
			loyal++
		}
	}
	return best, loyal >= KeepCount(n)
}
