package statement

import "dotterelgw/core/position"

// State is the state of a session's transaction.
type State uint8

// The states of a session.
const (
	// Idle is the state outside of a transaction.
	Idle State = iota
	// Open is the state inside a transaction.
	Open
	// Failed is the state of a transaction that can only be rolled back.
	Failed
)

// Code tells how a request ended.
type Code uint8

// The codes of replies. A code says either that nothing ran, that something ran, or that this is not known.
const (
	// Complete is a success.
	Complete Code = iota
	// Busy states that nothing ran, as there is no capacity.
	Busy
	// Lagging states that nothing ran, as the server lacks the position that was asked for.
	Lagging
	// ReadOnly states that nothing is kept, as the server is not the primary.
	ReadOnly
	// Misrouted states that nothing ran, as another server was meant.
	Misrouted
	// TooManyConnections states that nothing ran, as the server takes no more connections.
	TooManyConnections
	// UnknownStatement states that nothing ran, as the server does not know the prepared name.
	UnknownStatement
	// Aborted states that the transaction was rolled back.
	Aborted
	// Error states that the statement ran and failed.
	Error
	// Timeout states that the statement ran for too long.
	Timeout
	// InDoubt states that it is not known whether the request took effect.
	InDoubt
	// KeyUnknown states that the caller's key is not accepted.
	KeyUnknown
	// DatabaseUnknown states that no route has the name.
	DatabaseUnknown
	// Malformed states that the message violates the protocol or does not fit the session's state.
	Malformed
	// TooLarge states that the message is longer than allowed.
	TooLarge
)

var codeNames = map[Code]string{
	Complete: "complete", Busy: "busy", Lagging: "lagging", ReadOnly: "read_only", Misrouted: "misrouted",
	TooManyConnections: "too_many_connections", UnknownStatement: "unknown_statement", Aborted: "aborted", Error: "error",
	Timeout: "timeout", InDoubt: "in_doubt", KeyUnknown: "key_unknown", DatabaseUnknown: "database_unknown",
	Malformed: "malformed", TooLarge: "too_large",
}

// String returns the name of the code for logs and metrics.
func (code Code) String() string { return codeNames[code] }

// notRun holds the codes of a backend server that promise that the statement did not run.
var notRun = map[Code]bool{
	Busy: true, Lagging: true, ReadOnly: true, Misrouted: true, TooManyConnections: true, UnknownStatement: true,
}

// NotRun states whether the code promises that the statement did not run.
func (code Code) NotRun() bool { return notRun[code] }

// Reply is the answer to one request.
type Reply struct {
	// Rows holds the rows in order.
	Rows []string
	// Code tells how the request ended.
	Code Code
	// Signature is what the backend server signed a success with; it is empty for answers of the proxy's own.
	Signature string
	// Message explains a code other than Complete.
	Message string
	// State is the state of the session after the request.
	State State
	// Position is the end of the server's log as far as reads on it see; the zero value states none.
	Position position.Position
}
