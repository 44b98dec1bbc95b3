package handover

import (
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
)

// PromiseDuration is the time for which a promise holds unless it is renewed or ended. It covers the agreement of the VMs, the
// order and several times the 600 ms that a promotion takes.
const PromiseDuration = 4 * time.Second

// Verdict tells what is known of a write that a server reported as done.
type Verdict uint8

// The verdicts on a write.
const (
	// Kept states that the write is in the log of whichever server leads.
	Kept Verdict = iota
	// Undecided states that a replacement is under way which may drop the write.
	Undecided
	// Doubtful states that the write may have been dropped.
	Doubtful
)

// Promise is what a VM promised to the VM that replaces the primary of a group: to rely on no primary of an earlier term and to
// acknowledge none of its writes until the replacement has ended. A server that the other VM does not know could otherwise
// let the old primary go on. It is not safe for concurrent use.
type Promise struct {
	// term is the term of the successor; 0 while there is no promise.
	term ids.Term
	// until is the time at which the promise ends by itself.
	until time.Duration
	// led is the newest term known to have begun after a promise, and start the end of the log that its primary began with.
	led   ids.Term
	start position.Position
}

// Make promises to leave all terms before this one alone.
func (promise *Promise) Make(now time.Duration, term ids.Term) {
	promise.term = max(promise.term, term)
	promise.until = now + PromiseDuration
}

// Release ends the promise for the term: nobody was promoted.
func (promise *Promise) Release(term ids.Term) {
	if promise.term <= term {
		promise.term = 0
	}
}

// Lead ends the promise: a primary of the term begins with the log up to start.
func (promise *Promise) Lead(term ids.Term, start position.Position) {
	if term > promise.led {
		promise.led, promise.start = term, start
	}
	promise.Release(term)
}

// InForce returns the term before which no primary is to be relied on, and until when; 0 if there is no promise.
func (promise *Promise) InForce() (term ids.Term, until time.Duration) {
	return promise.term, promise.until
}

// Judge returns what is known of a write at the position. Expired states that it waited for a promise that ended by itself.
func (promise *Promise) Judge(now time.Duration, at position.Position, expired bool) Verdict {
	switch {
	case at.Term < promise.led && promise.start.Less(at):
		return Doubtful
	case at.Term < promise.led:
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
