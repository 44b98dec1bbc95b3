package handover

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/core/position"
)

// Reason is the reason for replacing a primary. The zero value means that the primary is kept.
type Reason string

// The reasons for replacing a primary.
const (
	// Lost means that the primary does not respond.
	Lost Reason = "lost"
	// Absent means that no server acts as primary.
	Absent Reason = "absent"
	// Leaving means that the primary is about to stop or is not registered.
	Leaving Reason = "leaving"
	// Stuck means that no replica receives the primary's log, so that the primary cannot acknowledge writes.
	Stuck Reason = "stuck"
	// Evacuated means that the operator has the availability zone of the primary evacuated.
	Evacuated Reason = "evacuated"
)

const (
	// lostAfter is the time after which a primary counts as lost if every attempt to reach it has failed.
	lostAfter = 600 * time.Millisecond
	// absentAfter is the time without a primary after which one is promoted. It is longer than lostAfter because a server
	// that has just started takes longer to register.
	absentAfter = 1200 * time.Millisecond
	// stuckAfter is the time after which a primary counts as stuck if no replica has received the log that was pending.
	stuckAfter = 1200 * time.Millisecond
)

// Member is the known state of one server of a group.
type Member struct {
	// ID identifies the server.
	ID ids.BackendServerID
	// SilentFor is the time for which every attempt to reach the server has failed, 0 while it responds.
	SilentFor time.Duration
	// Registered is the role that the server registered with.
	Registered catalog.Role
	// Leaving is set if the server accepts no new work.
	Leaving bool
	// Evacuated is set if the operator has the availability zone of the server evacuated.
	Evacuated bool
	// Cold is set if the server has just started and takes a limited rate.
	Cold bool
	// Observed is set if the fields below come from a response of the server.
	Observed bool
	// Role is the role in which the server currently acts.
	Role catalog.Role
	// Term is the highest term that the server knows.
	Term ids.Term
	// Received is the end of the server's log.
	Received position.Position
	// PausedTerm is the term for which the server has paused replication, 0 if it is receiving the log.
	PausedTerm ids.Term
	// ObservedAt is the time at which the status request for the fields above was sent.
	ObservedAt time.Duration
}

// FailureDetector monitors one group and decides when to replace its primary. It is not safe for concurrent use.
type FailureDetector struct {
	// absentSince is the time since which no server acts as primary, 0 while one does.
	absentSince time.Duration
	// pendingSince is the time at which the primary's log was seen to end at pending, which no replica had reached. It is 0
	// while no log is known to be pending.
	pendingSince time.Duration
	pending      position.Position
	// newestTerm is the highest term known from elsewhere.
	newestTerm ids.Term
	// evacuationTarget is the end of the primary's log that a server elsewhere must have reached before the primary is replaced for an
	// evacuation; the zero value if none is to be replaced.
	evacuationTarget position.Position
}

// RequireTerm makes a primary of a term before this one count as none: it has been replaced and has not heard of it.
func (failureDetector *FailureDetector) RequireTerm(term ids.Term) { failureDetector.newestTerm = term }

// CurrentPrimary returns the primary like Primary, or nil if it is outdated: a server of a newer term is known.
func (failureDetector *FailureDetector) CurrentPrimary(members []Member) *Member {
	primary := Primary(members)
	if primary != nil && primary.Observed && primary.Term < max(failureDetector.newestTerm, NewestTerm(members)) {
		return nil
	}
	return primary
}

// ReplacementReason returns the reason for replacing the group's primary, given the current state of the servers.
func (failureDetector *FailureDetector) ReplacementReason(now time.Duration, members []Member) Reason {
	primary := failureDetector.CurrentPrimary(members)
	if primary == nil {
		return failureDetector.absent(now, members)
	}
	failureDetector.absentSince = 0
	others := candidates(members, primary.ID)
	if len(others) == 0 {
		failureDetector.pendingSince, failureDetector.evacuationTarget = 0, position.Position{}
		return ""
	}
	if !primary.Evacuated {
		failureDetector.evacuationTarget = position.Position{}
		if allEvacuated(others) {
			// A successor could serve nobody, and would have to be replaced as soon as this primary responds.
			return ""
		}
	}
	switch {
	case primary.SilentFor >= lostAfter:
		return Lost
	case primary.SilentFor > 0:
		return ""
	case primary.Leaving && anyStaying(others):
		return Leaving
	case primary.Evacuated && failureDetector.mayEvacuate(primary, others):
		return Evacuated
	case failureDetector.stuck(now, primary, others):
		return Stuck
	}
	return ""
}

// Primary returns the observed primary with the highest term, or nil if there is none. Two primaries of one term are the
// same server under an old and a new identifier; the one observed last is returned. If no primary was observed, Primary
// returns a server that registered as primary and does not respond.
func Primary(members []Member) *Member {
	var observed, registered *Member
	for index := range members {
		member := &members[index]
		switch {
		case member.Observed && member.Role == catalog.RolePrimary:
			if observed == nil || member.leadsAfter(observed) {
				observed = member
			}
		case !member.Observed && member.Registered == catalog.RolePrimary && member.SilentFor > 0:
			registered = member
		}
	}
	if observed != nil {
		return observed
	}
	return registered
}

// NewestTerm returns the highest term that any of the members is known to have, 0 if there are none.
func NewestTerm(members []Member) ids.Term {
	var term ids.Term
	for _, member := range members {
		term = max(term, member.Term)
	}
	return term
}

// leadsAfter reports whether the member is primary of a higher term than the other, or of the same term and observed later.
func (member *Member) leadsAfter(other *Member) bool {
	return member.Term > other.Term || member.Term == other.Term && member.ObservedAt > other.ObservedAt
}

// OrphanedPause returns the highest term without a primary for which a server is still paused, or false if there is none. A
// pause for the primary's own term does not count: it ends when the server learns of that primary, and until then it keeps
// the previous primary from having its writes acknowledged.
func OrphanedPause(members []Member) (term ids.Term, found bool) {
	primary := Primary(members)
	if primary == nil || !primary.Observed {
		return 0, false
	}
	for _, member := range members {
		if member.Observed && member.PausedTerm > primary.Term {
			term, found = max(term, member.PausedTerm), true
		}
	}
	return term, found
}

// candidates returns the responding servers that could replace the primary.
func candidates(members []Member, primary ids.BackendServerID) []Member {
	var others []Member
	for _, member := range members {
		if member.ID != primary && member.Observed && member.SilentFor == 0 {
			others = append(others, member)
		}
	}
	return others
}

func anyStaying(members []Member) bool {
	for _, member := range members {
		if !member.Leaving {
			return true
		}
	}
	return false
}

// absent returns Absent once there has been no primary for absentAfter. Until then a primary that has not yet responded may
// appear.
func (failureDetector *FailureDetector) absent(now time.Duration, members []Member) Reason {
	if len(candidates(members, "")) == 0 {
		failureDetector.absentSince = 0
		return ""
	}
	if failureDetector.absentSince == 0 {
		failureDetector.absentSince = now
	}
	if now-failureDetector.absentSince < absentAfter {
		return ""
	}
	return Absent
}

// stuck reports whether every replica still lacked the pending log when it was observed stuckAfter after the primary had it.
func (failureDetector *FailureDetector) stuck(now time.Duration, primary *Member, others []Member) bool {
	if failureDetector.pendingSince == 0 {
		if MostAdvanced(others).Received.Less(primary.Received) {
			failureDetector.pendingSince, failureDetector.pending = now, primary.Received
		}
		return false
	}
	behind := 0
	for _, other := range others {
		if !other.Received.Less(failureDetector.pending) {
			failureDetector.pendingSince = 0
			return false
		}
		if other.ObservedAt >= failureDetector.pendingSince+stuckAfter {
			behind++
		}
	}
	return behind == len(others) && primary.ObservedAt >= failureDetector.pendingSince+stuckAfter
}

// MostAdvanced returns the member with the longest log, preferably one whose availability zone is not evacuated, that is not leaving and not
// cold, in this order. It returns the zero value if there are no members.
func MostAdvanced(members []Member) Member {
	var best Member
	for index, member := range members {
		switch {
		case index == 0, best.Received.Less(member.Received):
			best = member
		case best.Received == member.Received && member.preferredTo(best):
			best = member
		}
	}
	return best
}

// FenceResult is the result of an attempt to fence the old primary, which keeps it from acknowledging writes.
type FenceResult struct {
	// Old is the old primary, the zero value if there is none.
	Old Member
	// SteppedDown is set if the old primary now acts as a replica.
	SteppedDown bool
	// Final is the end of the old primary's log if it stepped down.
	Final position.Position
	// Paused is set if the other servers were asked to pause replication, so that they receive from no primary.
	Paused bool
	// Others holds the state of the other registered servers as they reported it after the fence.
	Others []Member
	// Unlisted holds the state of the members that are not registered, but answered at their addresses after the fence. They can't be
	// promoted, as no VM would send anything to them.
	Unlisted []Member
	// Unheard is the number of members of the group whose log none of the servers that responded has. The old primary counts
	// unless it stepped down.
	Unheard int
	// Overdue is set if the unheard members have been awaited for so long that they count as lost, with the writes that only they have.
	Overdue bool
	// Ordered is the server named by an earlier order that may still take effect; empty if there is none. It is preferred
	// among servers with equally long logs.
	Ordered ids.BackendServerID
}

// Successor returns the server to promote, or false if none is safe. Every acknowledged write is in the logs of two members, the primary
// and a replica, so the longest log has all of them if at most one member is unheard. That holds for an old primary that stepped down
// as well: while it was cut off, another one may have been promoted, and acknowledged writes with members that are unheard now. What a
// member without a registration has counts, too.
func (fenceResult FenceResult) Successor() (Member, bool) {
	best := fenceResult.mostAdvanced()
	switch {
	case len(fenceResult.Others) == 0:
		return Member{}, false
	case fenceResult.Unheard > membership.MaxUnheard && !fenceResult.Overdue:
		return Member{}, false
	case fenceResult.UnlistedAhead() && !fenceResult.Overdue:
		return Member{}, false
	case fenceResult.SteppedDown && fenceResult.Unheard > 0 && best.Received.Less(fenceResult.Final):
		return Member{}, false
	}
	return best, true
}

// UnlistedAhead reports whether a member that is not registered has a longer log than all others. It may be the only one with an
// acknowledged write, and can be promoted once it is registered again. An old primary that stepped down counts with its final log.
func (fenceResult FenceResult) UnlistedAhead() bool {
	longest := fenceResult.mostAdvanced().Received
	if fenceResult.SteppedDown && longest.Less(fenceResult.Final) {
		longest = fenceResult.Final
	}
	return longest.Less(MostAdvanced(fenceResult.Unlisted).Received)
}

// mostAdvanced returns the most advanced of the other servers, the one ordered earlier if its log is as long.
func (fenceResult FenceResult) mostAdvanced() Member {
	best := MostAdvanced(fenceResult.Others)
	for _, member := range fenceResult.Others {
		if member.ID == fenceResult.Ordered && member.Received == best.Received {
			return member
		}
	}
	return best
}

// MayStepDown reports whether a primary that responds may be asked to step down, given the number of members that do not respond. If
// there are too many of them, nobody could be promoted, and the group would lose the primary that it has. That ends when the members
// that do not respond are overdue.
func MayStepDown(silentMembers int, overdue bool) bool {
	return silentMembers <= membership.MaxUnheard || overdue
}

// SafetyChecks holds the results of the safety checks between the fence and the promotion.
type SafetyChecks struct {
	// Acknowledged is the position of the last write acknowledged by any of the VMs that responded.
	Acknowledged position.Position
	// Unanswered is the number of VMs that did not respond in time. Any of them may have acknowledged later writes.
	Unanswered int
	// Listed is set if the registrations were read after the fence.
	Listed bool
	// Joined is set if a server registered after the fence. It may have received writes from the old primary, which let
	// the old primary acknowledge them.
	Joined bool
	// Unfenced is set if a paused server is receiving the log again.
	Unfenced bool
	// Served is set if a VM that responded had a lease of the old primary until it was fenced.
	Served bool
}

// The reasons for which a successor must not be promoted.
const (
	registrationsUnknown = "registrations_unknown"
	serverJoined         = "server_joined"
	receivesAgain        = "server_receives_again"
	writeMissing         = "acknowledged_write_missing"
	writesUnknown        = "acknowledged_writes_unknown"
	primaryServes        = "primary_serves_others"
)

// IsIncomplete reports whether the reason for not promoting a successor is that its log lacks or may lack an acknowledged write.
func IsIncomplete(cause string) bool { return cause == writeMissing || cause == writesUnknown }

// IsReachedByOthers reports whether the reason for not promoting a successor is that other VMs reach the members that this VM can't.
func IsReachedByOthers(cause string) bool { return cause == primaryServes }

// Confirm returns the server to promote in view of the safety checks, or the reason for which none may be promoted. If the
// successor lacks or may lack an acknowledged write, an old primary that stepped down is promoted again if its log has all of them.
func (fenceResult FenceResult) Confirm(successor Member, safetyChecks SafetyChecks) (Member, string) {
	cause := fenceResult.UnsafeReason(successor, safetyChecks)
	if fenceResult.SteppedDown && IsIncomplete(cause) && !fenceResult.Final.Less(safetyChecks.Acknowledged) {
		old := fenceResult.Old
		old.Received = fenceResult.Final
		return old, ""
	}
	return successor, cause
}

// UnsafeReason returns the reason for which the successor must not be promoted, or an empty string if it may be.
func (fenceResult FenceResult) UnsafeReason(successor Member, safetyChecks SafetyChecks) string {
	switch {
	case !safetyChecks.Listed:
		return registrationsUnknown
	case safetyChecks.Joined:
		return serverJoined
	case safetyChecks.Unfenced:
		return receivesAgain
	case safetyChecks.Served && fenceResult.Overdue:
		return primaryServes
	case successor.Received.Less(safetyChecks.Acknowledged) && !fenceResult.Overdue:
		return writeMissing
	case safetyChecks.Unanswered > 0 && fenceResult.SteppedDown && successor.Received.Less(fenceResult.Final):
		return writesUnknown
	}
	return ""
}
