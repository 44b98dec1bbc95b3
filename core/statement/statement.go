package statement

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements.
const (
	// Invalid is a text that can't be parsed as any other kind.
	Invalid Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that only reads.
	BeginReadOnly
	// Commit ends a transaction and commits its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read reads an item.
	Read
	// Write changes an item.
	Write
	// Set changes a session value.
	Set
	// Prepare creates a named prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate deletes a prepared statement.
	Deallocate
	// Reset deletes the session values and the prepared statements of a connection.
	Reset
	// Status requests the state of a backend server.
	Status
	// Pause makes a replica stop receiving the log.
	Pause
	// Resume makes a paused replica receive the log again.
	Resume
	// StepDown demotes a primary of a lower term to a replica.
	StepDown
)

var kindNames = map[Kind]string{
	Invalid: "invalid", Begin: "begin", BeginReadOnly: "begin_read_only", Commit: "commit", Rollback: "rollback",
	Read: "read", Write: "write", Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
	Reset: "reset", Status: "status", Pause: "pause", Resume: "resume", StepDown: "step_down",
}

// String returns the name of the kind for logs and metrics.
func (kind Kind) String() string { return kindNames[kind] }

// RequestID is the identifier that a caller gave to a request. It is empty for statements of the proxy itself.
type RequestID string

// Prepared is the definition of a prepared statement.
type Prepared struct {
	// Text is the statement as the caller prepared it.
	Text string
	// Writes reports whether executing the statement changes an item.
	Writes bool
}

// Statement is one statement of a caller.
type Statement struct {
	// Kind is the kind of the statement.
	Kind Kind
	// Text is the full text as the caller sent it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the new value for Set, or the text after the name for Execute.
	Value string
	// Prepared is the definition of the prepared statement for Prepare.
	Prepared Prepared
}

// Request is a statement with the identifier by which its caller matches the reply.
type Request struct {
	// ID is the identifier that the caller gave to the request.
	ID RequestID
	// Statement is the statement to run.
	Statement Statement
}
