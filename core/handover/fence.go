package handover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// FenceDuration is the time after which a fence expires unless it is renewed or released. It covers the agreement of the
// VMs, the request to promote and several times the 600 ms that a promotion takes.
const FenceDuration = 4 * time.Second

// WriteState is the durability of a write that a server reported as committed.
type WriteState uint8

// The verdicts on a write.
const (
	// Durable means that the write is in the log of whichever server is the primary.
	Durable WriteState = iota
	// Pending means that a replacement in progress may drop the write.
	Pending
	// PossiblyLost means that the write may have been dropped.
	PossiblyLost
)

// Fence keeps this VM from earlier primaries of a group while another VM replaces the primary: until the replacement has ended, it
// does not rely on a primary of an earlier term and acknowledges none of its writes. Otherwise the old primary could continue
// through a server that the replacing VM does not know. It is not safe for concurrent use.
type Fence struct {
	// term is the term of the successor, 0 while there is no fence.
	term ids.Term
	// until is the time at which the fence expires.
	until time.Duration
	// startedTerm is the highest term known to have started after a fence. start is the end of its primary's log at that
	// time.
	startedTerm ids.Term
	start       position.Position
}

// Renew fences primaries of terms before the given one, and renews the fence if there is one.
func (fence *Fence) Renew(now time.Duration, term ids.Term) {
	fence.term = max(fence.term, term)
	fence.until = now + FenceDuration
}

// Release ends the fence for the term, or for an earlier one, when no server was promoted.
func (fence *Fence) Release(term ids.Term) {
	if fence.term <= term {
		fence.term = 0
	}
}

// PrimaryPromoted ends the fence when a primary of the term has been promoted. start is the end of its log at that time.
func (fence *Fence) PrimaryPromoted(term ids.Term, start position.Position) {
	if term > fence.startedTerm {
		fence.startedTerm, fence.start = term, start
	}
	fence.Release(term)
}

// MinTerm returns the lowest term whose primary may be relied on and the time at which the fence expires. The term is 0 if
// there is no fence.
func (fence *Fence) MinTerm() (term ids.Term, until time.Duration) {
	return fence.term, fence.until
}

// Durability returns the durability of a write at the position. expired is set if the write waited for a fence that expired. Until
// assuredUntil no server without the write can be promoted unless this VM is fenced first.
func (fence *Fence) Durability(now time.Duration, at position.Position, expired bool, assuredUntil time.Duration) WriteState {
	switch {
	case at.Term < fence.startedTerm && fence.start.Less(at):
		return PossiblyLost
	case at.Term < fence.startedTerm:
		return Durable
	case at.Term < fence.term && now < fence.until:
		return Pending
	case at.Term < fence.term && expired:
		return PossiblyLost
	case now >= assuredUntil:
		// A VM that can't reach this one may be replacing the primary.
		return Pending
	}
	return Durable
}
