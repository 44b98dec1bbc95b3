package handover

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Reason tells why a primary is replaced; it is empty while there is none.
type Reason string

// The reasons for replacing a primary.
const (
	// Lost states that the primary does not answer.
	Lost Reason = "lost"
	// Absent states that no server acts as primary.
	Absent Reason = "absent"
	// Leaving states that the primary is about to stop or has no registration.
	Leaving Reason = "leaving"
	// Stuck states that no replica receives what the primary writes, so that it can acknowledge nothing.
	Stuck Reason = "stuck"
)

const (
	// lostAfter is the time for which every attempt to reach a primary must have failed.
	lostAfter = 600 * time.Millisecond
	// absentAfter is the time for which no server may act as primary, as one that started is slower to register.
	absentAfter = 1200 * time.Millisecond
	// stuckAfter is the time for which no replica may receive anything although the primary has more.
	stuckAfter = 1200 * time.Millisecond
)

// Member is what is known of one server of a group.
type Member struct {
	// ID names the server.
	ID ids.BackendServerID
	// SilentFor is the time since which every attempt to reach the server has failed; 0 while it answers.
	SilentFor time.Duration
	// Registered is the role that the server registered with.
	Registered catalog.Role
	// Leaving states that the server takes no new work.
	Leaving bool
	// Observed states that the fields below were observed.
	Observed bool
	// Role is what the server acts as.
	Role catalog.Role
	// Term is the newest term that the server knows.
	Term ids.Term
	// Received is the end of the log that the server holds.
	Received position.Position
	// Paused is the term for which the server refuses to receive the log; 0 means that it receives.
	Paused ids.Term
	// ObservedAt is the time at which the fields above were asked for.
	ObservedAt time.Duration
}

// Watch follows one group and says when its primary is to be replaced. It is not safe for concurrent use.
type Watch struct {
	// absentSince is the time since which no server acts as primary; 0 while one does.
	absentSince time.Duration
	// owedSince is the time at which the primary was seen to have owed, which no replica had; 0 while one has all.
	owedSince time.Duration
	owed      position.Position
}

// Judge returns why the group's primary is to be replaced, from the present state of its servers.
func (watch *Watch) Judge(now time.Duration, members []Member) Reason {
	primary := Primary(members)
	if primary == nil {
		return watch.absent(now, members)
	}
	watch.absentSince = 0
	others := candidates(members, primary.ID)
	if len(others) == 0 {
		watch.owedSince = 0
		return ""
	}
	switch {
	case primary.SilentFor >= lostAfter:
		return Lost
	case primary.SilentFor > 0:
		return ""
	case primary.Leaving && hasStaying(others):
		return Leaving
	case watch.stuck(now, primary, others):
		return Stuck
	}
	return ""
}

// Primary returns the primary of the highest term that was observed; of two of one term, which one server under an old and a
// new identifier is, the one that was observed last. If none was, it is the one server that registered as primary and does
// not answer. It returns nil if there is none.
func Primary(members []Member) *Member {
	var observed, registered *Member
	for index := range members {
		member := &members[index]
		switch {
		case member.Observed && member.Role == catalog.Leader:
			if observed == nil || member.leadsAfter(observed) {
				observed = member
			}
		case !member.Observed && member.Registered == catalog.Leader && member.SilentFor > 0:
			registered = member
		}
	}
	if observed != nil {
		return observed
	}
	return registered
}

// leadsAfter states whether the member leads in a later term than the other, or was observed later in the same.
func (member *Member) leadsAfter(other *Member) bool {
	return member.Term > other.Term || member.Term == other.Term && member.ObservedAt > other.ObservedAt
}

// LeftPaused returns the highest term for which a server is paused although it has no primary, and whether there is one.
// A pause for the term of the primary is none of these: it ends when the server hears of that primary, and until then
// keeps the primary before it from getting acknowledgements.
func LeftPaused(members []Member) (term ids.Term, left bool) {
	primary := Primary(members)
	if primary == nil || !primary.Observed {
		return 0, false
	}
	for _, member := range members {
		if member.Observed && member.Paused > primary.Term {
			term, left = max(term, member.Paused), true
		}
	}
	return term, left
}

// candidates returns the servers that answer and may follow the primary.
func candidates(members []Member, primary ids.BackendServerID) []Member {
	var others []Member
	for _, member := range members {
		if member.ID != primary && member.Observed && member.SilentFor == 0 {
			others = append(others, member)
		}
	}
	return others
}

func hasStaying(members []Member) bool {
	for _, member := range members {
		if !member.Leaving {
			return true
		}
	}
	return false
}

// absent waits until the lack of a primary has lasted: one that does not answer yet may turn up.
func (watch *Watch) absent(now time.Duration, members []Member) Reason {
	if len(candidates(members, "")) == 0 {
		watch.absentSince = 0
		return ""
	}
	if watch.absentSince == 0 {
		watch.absentSince = now
	}
	if now-watch.absentSince < absentAfter {
		return ""
	}
	return Absent
}

// stuck states whether every replica, asked long after the primary was seen to have a position, still lacks it.
func (watch *Watch) stuck(now time.Duration, primary *Member, others []Member) bool {
	if watch.owedSince == 0 {
		if MostAdvanced(others).Received.Less(primary.Received) {
			watch.owedSince, watch.owed = now, primary.Received
		}
		return false
	}
	late := 0
	for _, other := range others {
		if !other.Received.Less(watch.owed) {
			watch.owedSince = 0
			return false
		}
		if other.ObservedAt >= watch.owedSince+stuckAfter {
			late++
		}
	}
	return late == len(others) && primary.ObservedAt >= watch.owedSince+stuckAfter
}

// MostAdvanced returns the member whose log is longest; of equals one that stays. It returns the zero value for none.
func MostAdvanced(members []Member) Member {
	var best Member
	for index, member := range members {
		switch {
		case index == 0, best.Received.Less(member.Received):
			best = member
		case best.Received == member.Received && best.Leaving && !member.Leaving:
			best = member
		}
	}
	return best
}

// Fence is the result of an attempt to keep the old primary from acknowledging writes.
type Fence struct {
	// Old is the old primary; the zero value if there is none.
	Old Member
	// SteppedDown states that the old primary acts as a replica now.
	SteppedDown bool
	// Final is the end of the old primary's log if it stepped down.
	Final position.Position
	// Others holds the other registered servers as they answered after the fence.
	Others []Member
	// Silent is the number of other registered servers that did not answer, but for those whose address is another server's by now.
	Silent int
}

// Successor returns the server to promote. An acknowledged write is in the log of the old primary and of at least one
// other server. So the longest log holds all of them if every other server has answered, and so does a log as long as
// that of an old primary that stepped down.
func (fence Fence) Successor() (Member, bool) {
	best := MostAdvanced(fence.Others)
	if len(fence.Others) == 0 {
		return Member{}, false
	}
	if fence.Silent > 0 && (!fence.SteppedDown || best.Received.Less(fence.Final)) {
		return Member{}, false
	}
	return best, true
}

// Findings is what was found between the fence and the order to promote.
type Findings struct {
	// Acknowledged is the last write that any VM which answered has acknowledged.
	Acknowledged position.Position
	// Unanswered is the number of VMs that did not answer in time: one that is slow or silent may have acknowledged more.
	Unanswered int
	// Listed states that the registrations were read after the fence.
	Listed bool
	// Joined states that a server registered after the fence, which may have received writes and let the old primary
	// acknowledge them.
	Joined bool
	// Unfenced states that a server that was paused receives again.
	Unfenced bool
}

// The causes for which a successor must not be promoted.
const (
	registrationsUnknown = "registrations_unknown"
	serverJoined         = "server_joined"
	receivesAgain        = "server_receives_again"
	writeMissing         = "acknowledged_write_missing"
	writesUnknown        = "acknowledged_writes_unknown"
)

// Confirm returns the server to promote after the findings, or why nobody may be. If the successor lacks an acknowledged write, or
// may lack one, an old primary that stepped down leads again: its log has all of them.
func (fence Fence) Confirm(successor Member, findings Findings) (Member, string) {
	cause := fence.Unsafe(successor, findings)
	if fence.SteppedDown && (cause == writeMissing || cause == writesUnknown) {
		old := fence.Old
		old.Received = fence.Final
		return old, ""
	}
	return successor, cause
}

// Unsafe returns why the successor must not be promoted, empty if it may.
func (fence Fence) Unsafe(successor Member, findings Findings) string {
	switch {
	case !findings.Listed:
		return registrationsUnknown
	case findings.Joined:
		return serverJoined
	case findings.Unfenced:
		return receivesAgain
	case successor.Received.Less(findings.Acknowledged):
		return writeMissing
	case findings.Unanswered > 0 && fence.SteppedDown && successor.Received.Less(fence.Final):
		return writesUnknown
	}
	return ""
}
