package budget

import (
	"cmp"
	"slices"
	"time"
)

// ConnectionID identifies the connection of a caller within a process.
type ConnectionID uint64

// Activity is what a connection does.
type Activity uint8

// The activities.
const (
	// Starting means that the start-up message has not arrived as a whole.
	Starting Activity = iota
	// Idle means that the session waits for the next request and no transaction is open.
	Idle
	// InTransaction means that the session waits for the next request of an open transaction.
	InTransaction
	// Receiving means that a part of a request has arrived.
	Receiving
	// Working means that a request runs.
	Working
	// Sending means that an answer is being written.
	Sending
)

var activityNames = [...]string{
	Starting: "starting", Idle: "idle", InTransaction: "in_transaction", Receiving: "receiving", Working: "working", Sending: "sending",
}

// String returns the name of the activity for logs and metrics.
func (activity Activity) String() string { return activityNames[activity] }

// Connection is what the choice of connections to close depends on.
type Connection struct {
	// ID identifies the connection.
	ID ConnectionID
	// Activity is what the connection does, Since the time since when it does.
	Activity Activity
	Since    time.Duration
	// Held is what the connection holds of the budget.
	Held Bytes
}

// minStall is the time in an activity from which on a connection counts as stalled or idle: within it the next bytes of a caller that
// works are expected.
const minStall = time.Second

// ForBytes returns the connections to close so that the asker can take missing more bytes, and false if the asker is to be refused.
//
// Messages that have not arrived and answers that are not read go first, in the order of bytes times the time for which they are held. An
// idle session that holds more than the asker follows. A request that runs is never broken off.
func ForBytes(connections []Connection, asker Connection, missing Bytes, now time.Duration) ([]ConnectionID, bool) {
	candidates := make([]Connection, 0, len(connections))
	for _, connection := range connections {
		stalled := connection.Activity == Receiving || connection.Activity == Sending
		idle := connection.Activity == Idle && connection.Held > asker.Held
		if connection.ID != asker.ID && connection.Held > 0 && (stalled && connection.outranks(asker, now) || idle) {
			candidates = append(candidates, connection)
		}
	}
	slices.SortFunc(candidates, func(first, second Connection) int {
		if byIdle := cmp.Compare(idleRank(first), idleRank(second)); byIdle != 0 {
			return byIdle
		}
		return cmp.Compare(second.cost(now), first.cost(now))
	})
	var victims []ConnectionID
	for _, candidate := range candidates {
		if missing <= 0 {
			break
		}
		victims = append(victims, candidate.ID)
		missing -= candidate.Held
	}
	return victims, missing <= 0
}

// outranks reports whether the connection is closed before the asker. An asker whose request runs, or whose answer is ready, has no rank.
func (connection Connection) outranks(asker Connection, now time.Duration) bool {
	return asker.Activity != Receiving || connection.cost(now) > asker.cost(now)
}

// cost returns the bytes times the time in milliseconds for which the connection holds them.
func (connection Connection) cost(now time.Duration) int64 {
	return int64(connection.Held) * (1 + (now - connection.Since).Milliseconds())
}

func idleRank(connection Connection) int {
	if connection.Activity == Idle {
		return 1
	}
	return 0
}

// connectionRanks orders the activities in which a connection may be closed for another one to be accepted.
var connectionRanks = map[Activity]int{Starting: 0, Receiving: 1, Sending: 2, Idle: 3}

// ForConnections returns up to count connections to close so that other callers can connect: first those without a start-up, then those
// with an unfinished message or an answer that is not read, then idle sessions; the longest in their activity first. Connections that
// entered their activity less than a second ago stay.
func ForConnections(connections []Connection, count int, now time.Duration) []ConnectionID {
	candidates := make([]Connection, 0, len(connections))
	for _, connection := range connections {
		if _, closable := connectionRanks[connection.Activity]; closable && now-connection.Since >= minStall {
			candidates = append(candidates, connection)
		}
	}
	slices.SortFunc(candidates, func(first, second Connection) int {
		if byRank := cmp.Compare(connectionRanks[first.Activity], connectionRanks[second.Activity]); byRank != 0 {
			return byRank
		}
		return cmp.Compare(first.Since, second.Since)
	})
	victims := make([]ConnectionID, 0, count)
	for _, candidate := range candidates[:min(count, len(candidates))] {
		victims = append(victims, candidate.ID)
	}
	return victims
}
