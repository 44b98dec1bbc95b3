package proxy

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// ownWrite is the last write of a session that was acknowledged in a group.
type ownWrite struct {
	at position.GroupPosition
	// acknowledgedAt is the time of the acknowledgement.
	acknowledgedAt time.Duration
}

// ownWrites holds the last acknowledged write of a session in each group to which its route has led. They stay for as long as the session,
// as its route may lead there again.
type ownWrites map[ids.GroupID]ownWrite

// record records a write of the group whose success is about to be sent to the caller.
func (ownWrites *ownWrites) record(at position.GroupPosition, now time.Duration) {
	if *ownWrites == nil {
		*ownWrites = make(map[ids.GroupID]ownWrite)
	}
	group, _ := at.Parts()
	(*ownWrites)[group] = ownWrite{at: at, acknowledgedAt: now}
}

// in returns the last write in the group, the zero value if there is none.
func (ownWrites ownWrites) in(group ids.GroupID) ownWrite { return ownWrites[group] }
