package handover

import "dotterelgw/core/position"

// mayEvacuate reports whether a primary in an evacuated availability zone may be replaced now: a server elsewhere has received the log that
// the primary had when it was first found there, and as much as any other server in an evacuated zone. Otherwise the attempt would cost
// the group its primary for a second, and end with another server of an evacuated zone, or the same one. The next attempt needs a later
// position.
func (failureDetector *FailureDetector) mayEvacuate(primary *Member, others []Member) bool {
	if failureDetector.evacuationTarget == (position.Position{}) {
		failureDetector.evacuationTarget = primary.Received
	}
	var elsewhere []Member
	target := failureDetector.evacuationTarget
	for _, other := range others {
		switch {
		case !other.Evacuated:
			elsewhere = append(elsewhere, other)
		case target.Less(other.Received):
			target = other.Received
		}
	}
	if len(elsewhere) == 0 || MostAdvanced(elsewhere).Received.Less(target) {
		return false
	}
	failureDetector.evacuationTarget = position.Position{}
	return true
}

// Obstacle is the reason for which a primary in an evacuated availability zone is not replaced; empty if there is none.
type Obstacle string

// The obstacles.
const (
	// NoServerElsewhere means that no server in another zone responds.
	NoServerElsewhere Obstacle = "no_server_elsewhere"
	// ServerElsewhereBehind means that no server in another zone has the log of the primary.
	ServerElsewhereBehind Obstacle = "server_elsewhere_behind"
)

// EvacuationObstacle returns the obstacle to the evacuation of a primary that ReplacementReason keeps.
func (failureDetector *FailureDetector) EvacuationObstacle(members []Member) Obstacle {
	primary := failureDetector.CurrentPrimary(members)
	switch {
	case primary == nil || !primary.Evacuated:
		return ""
	case allEvacuated(candidates(members, primary.ID)):
		return NoServerElsewhere
	}
	return ServerElsewhereBehind
}

// allEvacuated reports whether all members are in evacuated availability zones.
func allEvacuated(members []Member) bool {
	for _, member := range members {
		if !member.Evacuated {
			return false
		}
	}
	return true
}

// preferredTo reports whether the member is to be preferred to the other one as the successor if both have the same log.
func (member Member) preferredTo(other Member) bool {
	switch {
	case member.Evacuated != other.Evacuated:
		return other.Evacuated
	case member.Leaving != other.Leaving:
		return other.Leaving
	}
	return other.Cold && !member.Cold
}
