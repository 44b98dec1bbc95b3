package leader

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Status is the response of a backend server to a status request.
type Status struct {
	// Role is the role in which the server currently acts.
	Role catalog.Role
	// Term is the highest term that the server knows.
	Term ids.Term
	// Received is the end of the server's log.
	Received position.Position
	// PausedTerm is the term for which the server has paused replication, 0 if it is receiving the log.
	PausedTerm ids.Term
	// Lag is how far the state visible to reads is behind the log that the server has received.
	Lag time.Duration
	// ActiveStatements is the number of statements that are running or queued on the server.
	ActiveStatements int
	// Connections is the number of connections to the server from all VMs.
	Connections int
	// Applied is the log position up to which writes are visible to reads on the server.
	Applied position.Position
}

// Observation is a status with the time of its request, on the clock of the VM.
type Observation struct {
	Status
	// SentAt is the time at which the request was sent. The status is no older than this.
	SentAt time.Duration
}
