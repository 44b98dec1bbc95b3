package handover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// PromiseDuration is the time after which a promise expires unless it is renewed or released. It covers the agreement of the
// VMs, the request to promote and several times the 600 ms that a promotion takes.
const PromiseDuration = 4 * time.Second

// Verdict is the durability of a write that a server reported as committed.
type Verdict uint8

// The verdicts on a write.
const (
	// Kept means that the write is in the log of whichever server is the primary.
	Kept Verdict = iota
	// Undecided means that a replacement in progress may drop the write.
	Undecided
	// Doubtful means that the write may have been dropped.
	Doubtful
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

// Make promises not to rely on primaries of earlier terms, and renews the promise if there is one.
func (promise *Promise) Make(now time.Duration, term ids.Term) {
	promise.term = max(promise.term, term)
	promise.until = now + PromiseDuration
}

// Release ends the promise for the term, or for an earlier one, when no server was promoted.
func (promise *Promise) Release(term ids.Term) {
	if promise.term <= term {
		promise.term = 0
	}
}

// Lead ends the promise when a primary of the term has been promoted. start is the end of its log at that time.
func (promise *Promise) Lead(term ids.Term, start position.Position) {
	if term > promise.startedTerm {
		promise.startedTerm, promise.start = term, start
	}
	promise.Release(term)
}

// InForce returns the lowest term whose primary may be relied on and the time at which the promise expires. The term is 0 if
// there is no promise.
func (promise *Promise) InForce() (term ids.Term, until time.Duration) {
	return promise.term, promise.until
}

// Judge returns the durability of a write at the position. expired is set if the write waited for a promise that expired.
func (promise *Promise) Judge(now time.Duration, at position.Position, expired bool) Verdict {
	switch {
	case at.Term < promise.startedTerm && promise.start.Less(at):
		return Doubtful
	case at.Term < promise.startedTerm:
		return Kept
	case at.Term >= promise.term:
		return Kept
	case now < promise.until:
		return Undecided
	case expired:
		return Doubtful
	}
	return Kept
}
