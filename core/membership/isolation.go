package membership

import (
	"time"

	"dotterelgw/core/ids"
)

// isolationRounds is the number of rounds in which no VM reached a member, after which its process counts as ended. A single status request
// may be lost, or be late on a busy server.
const isolationRounds = 3

// Isolation counts the rounds in which no VM reached a member that is not registered. One VM may be cut off from a process that others, and the
// primary, reach. The zero value has counted none.
type Isolation struct {
	rounds int
	// since is the time at which the first of the rounds began.
	since time.Duration
}

// Update records a round that began at the time: whether this VM reached the member, which others were asked, and what those that answered told. A round without all
// answers counts for nothing, as a VM that is cut off itself may be on the side of the member.
func (isolation *Isolation) Update(began time.Duration, reached bool, asked []ids.VMID, answers map[ids.VMID]bool) {
	complete := true
	for _, vm := range asked {
		reachedByVM, answered := answers[vm]
		reached = reached || reachedByVM
		complete = complete && answered
	}
	switch {
	case reached:
		isolation.rounds = 0
	case complete:
		if isolation.rounds == 0 {
			isolation.since = began
		}
		isolation.rounds++
	}
}

// Since returns the time since which no VM has reached the member.
func (isolation *Isolation) Since() time.Duration { return isolation.since }

// IsComplete reports whether the process counts as ended, as no VM reaches it.
func (isolation *Isolation) IsComplete() bool { return isolation.rounds >= isolationRounds }
