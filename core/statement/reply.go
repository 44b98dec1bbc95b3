package statement

import "dotterelgw/core/position"

// TransactionState is the transaction state of a session.
type TransactionState uint8

// The transaction states.
const (
	// Idle means that no transaction is open.
	Idle TransactionState = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// FailedTransaction means that the open transaction has failed and can only be rolled back.
	FailedTransaction
)

// Code is the result code of a request.
type Code uint8

// The result codes. Each implies that nothing ran, that something ran, or that this is unknown.
const (
	// Complete means success.
	Complete Code = iota
	// Busy means that nothing ran, since there was no capacity.
	Busy
	// Lagging means that nothing ran, since the server has not reached the requested position.
	Lagging
	// ReadOnly means that nothing was stored, since the server is not the primary.
	ReadOnly
	// Misrouted means that nothing ran, since the request was meant for another server.
	Misrouted
	// TooManyConnections means that nothing ran, since the server accepts no more connections.
	TooManyConnections
	// UnknownStatement means that nothing ran, since the server has no prepared statement of that name.
	UnknownStatement
	// Aborted means that the transaction was rolled back.
	Aborted
	// Error means that the statement ran and failed.
	Error
	// Timeout means that the statement ran for longer than its time limit.
	Timeout
	// InDoubt means that it is unknown whether the request took effect.
	InDoubt
	// KeyUnknown means that the caller's key is not accepted.
	KeyUnknown
	// DatabaseUnknown means that there is no route with that database name.
	DatabaseUnknown
	// Malformed means that the message violates the protocol or is not allowed in the session's state.
	Malformed
	// TooLarge means that the message exceeds the maximum length.
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

// notRun holds the codes with which a backend server guarantees that the statement had no effect.
var notRun = map[Code]bool{
	Busy: true, Lagging: true, ReadOnly: true, Misrouted: true, TooManyConnections: true, UnknownStatement: true,
}

// NotRun reports whether the code guarantees that the statement did not run or, for ReadOnly, that nothing was stored.
func (code Code) NotRun() bool { return notRun[code] }

// Reply is the response to one request.
type Reply struct {
	// Rows holds the result rows in order.
	Rows []string
	// Code is the result code.
	Code Code
	// Signature is the signature of the backend server for a successful request. It is empty for replies of the proxy itself.
	Signature string
	// Message describes the failure if Code is not Complete.
	Message string
	// State is the transaction state of the session after the request.
	State TransactionState
	// Position is the log position up to which reads on the server see the log. The zero value means that none was given.
	Position position.Position
}
