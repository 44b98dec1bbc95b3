package dbpool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
)

// Call is one statement sent to a backend server.
type Call struct {
	// ID is the caller's identifier of the request; it is empty for control statements of the proxy.
	ID statement.RequestID
	// Kind is the kind of statement.
	Kind statement.Kind
	// Text is a caller's statement, forwarded unchanged.
	Text string
	// Name is the name of a session value or prepared statement. For Execute it replaces the name used by the caller.
	Name string
	// Value is a session value, a shape or the arguments of Execute.
	Value string
	// MinPosition is the position that the server's log must have reached; the zero value requires none.
	MinPosition position.GroupPosition
	// Term is set for Pause and StepDown.
	Term ids.Term
}

// Link is a connection to a backend server in some protocol. Answers arrive in the order of the calls.
type Link interface {
	// Send writes the calls. After an error it is unknown which of them the server received.
	Send(deadline time.Time, calls ...Call) error
	// Receive returns the next answer.
	Receive(deadline time.Time) (statement.Reply, error)
	// Status decodes the answer to Status, Pause, Resume or StepDown.
	Status(reply statement.Reply) (leader.Status, error)
	// Usable reports, without blocking, that the server has neither closed the connection nor sent unsolicited data.
	Usable() bool
	// Close closes the connection. An orderly close notifies the server first.
	Close(orderly bool)
}

// orderedLink is a link whose answers carry no identifier of their call, so that only their order matches them.
type orderedLink interface {
	// Surplus returns the escaped beginning of what lies unread; empty if there is nothing. It doesn't block.
	Surplus() string
}

// Dialer opens links.
type Dialer interface {
	// Dial opens a link for statements of the organisation. The error is a *RefusedError if the server refused the
	// session.
	Dial(ctx context.Context, server catalog.Server, organisation ids.OrganisationID) (Link, error)
}

// ErrNoMemory reports that this VM had no memory for an answer. It says nothing about the server.
var ErrNoMemory = errors.New("no memory for the answer")

// RefusedError reports that a backend server refused a session.
type RefusedError struct {
	// Code is the status code sent by the server.
	Code statement.Code
	// Message is the explanation sent by the server.
	Message string
}

// Error implements error.Error.
func (refused *RefusedError) Error() string {
	return fmt.Sprintf("the server refused the session: %s %s", refused.Code, refused.Message)
}
