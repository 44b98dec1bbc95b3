package schedule

import (
	"time"

	"dotterelgw/core/ids"
)

// Policy holds what an operator or a configuration can choose.
type Policy struct {
	// Running is the number of statements that may run at the server at a time.
	Running int
	// Aging is the time of waiting after which an entry that would starve is served in a small part of the server that is kept for
	// such entries; 0 means that nothing is kept.
	Aging time.Duration
	// Weights holds the shares of organisations; one that is missing has the weight 1.
	Weights map[ids.OrganisationID]float64
}

const (
	// defaultAging is shorter than the time that the least urgent callers wait.
	defaultAging = 500 * time.Millisecond
	// slotsPerSpare is the number of slots for which one more statement is sent ahead, so that a slot isn't idle while an answer
	// and the next statement are on their way.
	slotsPerSpare = 4
)

// DefaultPolicy returns the policy for a server that runs the number of statements concurrently.
func DefaultPolicy(slots int) Policy {
	return Policy{Running: slots + (slots+slotsPerSpare-1)/slotsPerSpare, Aging: defaultAging}
}

func (policy Policy) weight(organisation ids.OrganisationID) float64 {
	if weight := policy.Weights[organisation]; weight > 0 {
		return weight
	}
	return 1
}

// Entry describes a statement that waits for a slot. All points in time are on one clock.
type Entry struct {
	// Organisation is charged for the work.
	Organisation ids.OrganisationID
	// Priority is the priority of the route; lower values are served first.
	Priority int
	// Arrived is when the operation arrived first, also if it was refused since and has come back.
	Arrived time.Duration
	// Objective is the target latency, counted from Arrived; 0 means unknown.
	Objective time.Duration
	// Deadline is the time by which the statement must have run; 0 means never.
	Deadline time.Duration
	// Work is the time for which the statement is expected to hold a slot.
	Work time.Duration
	// Continues reports whether the statement belongs to an open transaction, which holds a connection.
	Continues bool
	// PrimaryOnly reports whether no replica could run the statement.
	PrimaryOnly bool
}

// Cause tells why an entry was refused.
type Cause string

const (
	// Full means that too much work went before the entry when it arrived.
	Full Cause = "full"
	// Displaced means that more urgent work arrived after the entry.
	Displaced Cause = "displaced"
	// Late means that the entry missed its objective and would have missed its deadline behind those that can still meet theirs.
	Late Cause = "late"
)

// Refusal tells why an entry can't be served in time, and when one like it could.
type Refusal struct {
	// Cause tells what made the entry impossible to serve.
	Cause Cause
	// RoomIn is the time after which there is room for the caller, counted behind those that were told before.
	RoomIn time.Duration
	// Expected is the expected wait.
	Expected time.Duration
	// Left is the time within which the entry would have had to start.
	Left time.Duration
	// Waiting is the number of entries that waited.
	Waiting int
}

// Ticket identifies a waiting entry.
type Ticket struct{ item *item }

// Refused is an entry that was refused while it waited.
type Refused struct {
	Ticket
	Refusal
}
