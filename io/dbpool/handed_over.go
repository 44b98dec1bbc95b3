package dbpool

import (
	"errors"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
)

var (
	// ErrHomeLost reports that the VM to which a statement was handed over can't be reached any more. It says nothing about the server.
	ErrHomeLost = errors.New("the VM that holds the server's connections was lost")
	// ErrHomeUnavailable reports that the VM to which a statement was handed over can't run it. Nothing was sent to the server.
	ErrHomeUnavailable = errors.New("the VM that holds the server's connections can't use them")
)

// NotRunError reports that a statement was given up before it was sent to its server.
type NotRunError struct {
	// Cause tells why, for example ErrQueueFull or ErrHomeUnavailable.
	Cause error
}

// Error implements error.Error.
func (notRun *NotRunError) Error() string { return "not sent to the server: " + notRun.Cause.Error() }

// Unwrap returns the cause.
func (notRun *NotRunError) Unwrap() error { return notRun.Cause }

// NewConn returns a connection on the link that belongs to no shared pool. Its release closes the link.
func NewConn(server catalog.Server, organisation ids.OrganisationID, link Link) *Conn {
	// A pool without room closes every connection that is released to it.
	pool := New(server, nil, 0)
	pool.open = 1
	return &Conn{link: link, organisation: organisation, pool: pool}
}
