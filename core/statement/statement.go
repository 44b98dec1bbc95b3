package statement

// Kind tells what a statement does.
type Kind uint8

// The kinds of statements.
const (
	// Invalid is a text that no kind matches.
	Invalid Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that only reads.
	BeginReadOnly
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read returns an item.
	Read
	// Write changes an item.
	Write
	// Set changes a value of the session.
	Set
	// Prepare gives a name to a shape.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Reset drops the values and the prepared statements of a connection.
	Reset
	// Status asks a backend server for its state.
	Status
	// Pause stops a replica from receiving the log.
	Pause
	// Resume ends a pause.
	Resume
	// StepDown makes a primary of a lower term a replica.
	StepDown
)

var kindNames = map[Kind]string{
	Invalid: "invalid", Begin: "begin", BeginReadOnly: "begin_read_only", Commit: "commit", Rollback: "rollback",
	Read: "read", Write: "write", Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
	Reset: "reset", Status: "status", Pause: "pause", Resume: "resume", StepDown: "step_down",
}

// String returns the name of the kind for logs and metrics.
func (kind Kind) String() string { return kindNames[kind] }

// RequestID is the identifier that a caller gave to a request; it is empty for statements of the proxy's own.
type RequestID string

// Shape is a prepared statement: its text, and whether it writes.
type Shape struct {
	// Text is the statement as the caller prepared it.
	Text string
	// Writes states that executing the shape changes an item.
	Writes bool
}

// Statement is one statement of a caller.
type Statement struct {
	// Kind tells what the statement does.
	Kind Kind
	// Text is the whole text as the caller sent it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the new value of Set, or what follows the name in Execute.
	Value string
	// Shape is what Prepare names.
	Shape Shape
}

// Request is a statement with the identifier under which its caller expects the answer.
type Request struct {
	// ID is the caller's identifier.
	ID RequestID
	// Statement is what is to run.
	Statement Statement
}
