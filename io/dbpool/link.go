package dbpool

import (
	"context"
	"fmt"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
)

// Call is one statement to a backend server.
type Call struct {
	// ID is the caller's identifier; it is empty for statements of the proxy's own.
	ID statement.RequestID
	// Kind tells what the call does.
	Kind statement.Kind
	// Text is a caller's statement, sent as it came.
	Text string
	// Name is the name of a session value or prepared statement; it replaces the caller's name in Execute.
	Name string
	// Value is a session value, a shape or the arguments of Execute.
	Value string
	// After is the position that the server's log must hold; the zero value asks for none.
	After position.Position
	// Term belongs to Pause and StepDown.
	Term ids.Term
}

// Link is a connection to a backend server in some protocol. Answers come in the order of the calls.
type Link interface {
	// Send writes the calls. After an error it is not known which of them the server got.
	Send(deadline time.Time, calls ...Call) error
	// Receive returns the next answer.
	Receive(deadline time.Time) (statement.Reply, error)
	// Status decodes the answer to Status, Pause, Resume or StepDown.
	Status(reply statement.Reply) (leader.Status, error)
	// Quiet states without waiting that the server has neither closed the connection nor sent something unasked.
	Quiet() bool
	// Close ends the connection; an orderly end tells the server.
	Close(orderly bool)
}

// Dialer opens links.
type Dialer interface {
	// Dial opens a link for statements of the organisation; the error is a *RefusedError if the server refused.
	Dial(ctx context.Context, server catalog.Server, organisation ids.OrganisationID) (Link, error)
}

// RefusedError states that a backend server refused a session.
type RefusedError struct {
	// Code is the server's reason.
	Code statement.Code
	// Message is the server's explanation.
	Message string
}

// Error implements error.Error.
func (refused *RefusedError) Error() string {
	return fmt.Sprintf("the server refused the session: %s %s", refused.Code, refused.Message)
}
