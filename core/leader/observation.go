package leader

import (
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// Status is what a backend server answers when it is asked for its state.
type Status struct {
	// Role is what the server acts as.
	Role catalog.Role
	// Term is the newest term that the server knows.
	Term ids.Term
	// Received is the end of the log that the server holds.
	Received position.Position
	// Paused is the term for which the server refuses to receive the log; 0 means that it receives.
	Paused ids.Term
	// Lag is how far what reads see is behind what the server received.
	Lag time.Duration
	// Busy is the number of statements that run or wait on the server.
	Busy int
	// Connections is the number of connections to the server from all VMs.
	Connections int
	// Applied is the end of the log as reads on the server see it.
	Applied position.Position
}

// Observation is a status with the time at which it was asked for, on the clock of the VM.
type Observation struct {
	Status
	// SentAt is the time at which the request was sent: the status is at least as new.
	SentAt time.Duration
}
