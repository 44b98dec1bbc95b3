package handover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// PromiseDuration is the time after which a promise expires unless it is renewed or released. It covers the agreement of the
// VMs, the request to promote and several times the 600 ms that a promotion takes.
const PromiseDuration = 4 * time.Second

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

// Promise is the promise of this VM to the VM that replaces the primary of a group: until the replacement has ended, this VM
// does not rely on a primary of an earlier term and acknowledges none of its writes. Otherwise the old primary could continue
// through a server that the replacing VM does not know. It is not safe for concurrent use.
type Promise struct {
	// term is the term of the successor, 0 while there is no promise.
	term ids.Term
	// until is the time at which the promise expires.
	until time.Duration
	// startedTerm is the highest term known to have started after a promise. start is the end of its primary's log at that
	// time.
	startedTerm ids.Term
	start       position.Position
}

// Renew promises not to rely on primaries of earlier terms, and renews the promise if there is one.
func (promise *Promise) Renew(now time.Duration, term ids.Term) {
	promise.term = max(promise.term, term)
	promise.until = now + PromiseDuration
}

// Release ends the promise for the term, or for an earlier one, when no server was promoted.
func (promise *Promise) Release(term ids.Term) {
	if promise.term <= term {
		promise.term = 0
	}
}

// PrimaryPromoted ends the promise when a primary of the term has been promoted. start is the end of its log at that time.
func (promise *Promise) PrimaryPromoted(term ids.Term, start position.Position) {
	if term > promise.startedTerm {
		promise.startedTerm, promise.start = term, start
	}
	promise.Release(term)
}

// MinTerm returns the lowest term whose primary may be relied on and the time at which the promise expires. The term is 0 if
// there is no promise.
func (promise *Promise) MinTerm() (term ids.Term, until time.Duration) {
	return promise.term, promise.until
}

// Durability returns the durability of a write at the position. expired is set if the write waited for a promise that expired.
func (promise *Promise) Durability(now time.Duration, at position.Position, expired bool) WriteState {
	switch {
	case at.Term < promise.startedTerm && promise.start.Less(at):
		return PossiblyLost
	case at.Term < promise.startedTerm:
		return Durable
	case at.Term >= promise.term:
		return Durable
	case now < promise.until:
		return Pending
	case expired:
		return PossiblyLost
	}
	return Durable
}
