package answer

import (
	"hash/fnv"

	"dotterelgw/core/statement"
)

// Cause tells why an answer can't belong to its call.
type Cause string

const (
	// Unsigned means that a read, write or commit succeeded without a signature.
	Unsigned Cause = "unsigned"
	// Signed means that the answer has a signature although calls of the kind get none.
	Signed Cause = "signed"
	// Repeated means that an earlier answer on the connection had the same signature. The answer to the call is still to come.
	Repeated Cause = "repeated"
	// State means that the call can't lead to the transaction state in the answer.
	State Cause = "state"
	// Rows means that the answer has rows although calls of the kind get none, or lacks the row of a status.
	Rows Cause = "rows"
	// SecondError means that an earlier answer on the connection reported an error as well, and nothing confirms this one. Errors carry
	// nothing that tells them apart.
	SecondError Cause = "second_error"
)

// Causes holds all causes.
var Causes = []Cause{Unsigned, Signed, Repeated, State, Rows, SecondError}

// noSignature stands for an absent signature in answers to calls that get none.
const noSignature = "-"

// rememberedSignatures is the number of signatures that a tracker remembers: those of the last 10 s of a connection with 100 statements a
// second. A second answer that comes later than that is not recognised.
const rememberedSignatures = 1024

// Tracker checks the answers on one connection, in their order. The zero value is that of a new connection. It is not safe for concurrent use.
type Tracker struct {
	state statement.TransactionState
	// signatures holds the hashes of the latest signatures, next the index of the oldest one once there are enough. known holds the same ones.
	signatures []uint64
	next       int
	known      map[uint64]bool
	// failed reports whether an answer has reported an error, confirming whether the next error is going to be confirmed.
	failed, confirming bool
}

// Failed reports whether an answer has reported an error. The second answer of that call may be taken for any later one.
func (tracker *Tracker) Failed() bool { return tracker.failed }

// SetConfirming states whether the call whose answer is checked next is followed by one that can only succeed. If an earlier error was taken
// for the answer, that call gets an answer that doesn't fit.
func (tracker *Tracker) SetConfirming(confirming bool) { tracker.confirming = confirming }

// Check records the next answer, which is taken for that of a call of the kind. It returns why the answer can't belong to the call, or
// false if it may. A repeated answer changes nothing, so that the next one can be checked for the same call.
func (tracker *Tracker) Check(kind statement.Kind, reply statement.Reply) (Cause, bool) {
	signed := reply.Code == statement.Complete && reply.Signature != "" && reply.Signature != noSignature
	if signed && !tracker.remember(reply.Signature) {
		return Repeated, true
	}
	before := tracker.state
	tracker.state = reply.State
	if reply.Code != statement.Complete {
		return tracker.checkError(before, kind, reply.State)
	}
	switch {
	case signed && !isSigned(kind):
		return Signed, true
	case !signed && isSigned(kind):
		return Unsigned, true
	case reply.State != stateAfter(before, kind):
		return State, true
	case !mayHaveRows(kind) && isControl(kind) != (len(reply.Rows) > 0):
		return Rows, true
	}
	return "", false
}

// checkError is Check for an answer that reports an error.
func (tracker *Tracker) checkError(before statement.TransactionState, kind statement.Kind, after statement.TransactionState) (Cause, bool) {
	if tracker.failed && !tracker.confirming {
		return SecondError, true
	}
	tracker.failed = true
	if !mayFail(before, kind, after) {
		return State, true
	}
	return "", false
}

// IsCurrent reports whether an answer that fits a call of the kind tells the position of the log after that call. The second answer to an
// earlier call of the kind fits as well if it has no signature; for control statements the caller excludes that.
func IsCurrent(kind statement.Kind, reply statement.Reply) bool {
	return reply.Code != statement.Complete || isSigned(kind) || isControl(kind)
}

// remember records a signature; false if it is remembered already.
func (tracker *Tracker) remember(signature string) bool {
	digest := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = digest.Write([]byte(signature))
	hash := digest.Sum64()
	if tracker.known[hash] {
		return false
	}
	if tracker.known == nil {
		tracker.known = make(map[uint64]bool)
	}
	tracker.known[hash] = true
	if len(tracker.signatures) < rememberedSignatures {
		tracker.signatures = append(tracker.signatures, hash)
		return true
	}
	delete(tracker.known, tracker.signatures[tracker.next])
	tracker.signatures[tracker.next] = hash
	tracker.next = (tracker.next + 1) % rememberedSignatures
	return true
}

// isSigned reports whether successful calls of the kind get a signature.
func isSigned(kind statement.Kind) bool {
	switch kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	}
	return false
}

// isControl reports whether successful calls of the kind get a row with the state of the server.
func isControl(kind statement.Kind) bool {
	switch kind {
	case statement.Status, statement.Pause, statement.Resume, statement.StepDown:
		return true
	}
	return false
}

// mayHaveRows reports whether successful calls of the kind may get any number of rows.
func mayHaveRows(kind statement.Kind) bool {
	return kind == statement.Read || kind == statement.Execute
}

// stateAfter returns the state after a successful call of the kind.
func stateAfter(before statement.TransactionState, kind statement.Kind) statement.TransactionState {
	switch kind {
	case statement.Begin, statement.BeginReadOnly:
		return statement.InTransaction
	case statement.Commit, statement.Rollback:
		return statement.Idle
	}
	return before
}

// mayFail reports whether a call of the kind that fails can lead to the state. The end of a transaction may have any.
func mayFail(before statement.TransactionState, kind statement.Kind, after statement.TransactionState) bool {
	switch {
	case kind == statement.Commit, kind == statement.Rollback:
		return true
	case before == statement.Idle:
		return after != statement.InTransaction
	}
	return after != statement.Idle
}
