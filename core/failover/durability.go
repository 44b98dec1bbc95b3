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

// Durability decides whether a write at the position want, answered by a primary of want.Term, may be acknowledged.
// The statuses are those of the other servers of a group of n, in any order, of any age, with nil for none; the
// server that ran the write is included if it was asked again. The starts are the group's term history.
//
// Servers that still act in the write's term count together with the primary that answered. A server that acts in a
// later term proves less: a record of an older term may be on a majority and still be dropped by a later primary whose
// log ends in a term in between (the Raft paper's figure 8). There the write is durable only if a majority of
// servers in that term hold a record of that term itself, or if no term can lie in between.
func Durability(want position.Position, ran ids.BackendServerID, n int, statuses []*Status, starts []position.Position) Knowledge {
	same := 1
	var later ids.Term
	for _, status := range statuses {
		if status == nil {
			continue
		}
		if status.Term == want.Term && status.Server != ran && status.LogTerm == want.Term && status.End().Log >= want.Log {
			same++
		}
		later = max(later, status.Term)
	}
	if same >= KeepCount(n) {
		return Durable
	}
	if later > want.Term {
		kept := 0
		for _, status := range statuses {
			if status != nil && status.Term == later && position.Reached(status.End(), want, starts) &&
				(status.LogTerm == later || later == want.Term+1) {
				kept++
			}
		}
		if kept >= KeepCount(n) {
			return Durable
		}
	}
	if index := position.Index(starts, want.Term); index >= 0 && index+1 < len(starts) && starts[index+1].Log < want.Log {
		return Lost
	}
	return Pending
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
